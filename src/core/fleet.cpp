#include "core/fleet.h"

#include <algorithm>

namespace bergamotwick {

namespace {

Resources componentwiseMin(const Resources &left, const Resources &right) noexcept
{
    return {std::min(left.cores_, right.cores_), std::min(left.memoryMb_, right.memoryMb_), std::min(left.accelerators_, right.accelerators_)};
}

}

Resources Worker::free() const noexcept
{
    Resources remaining = capacity_;
    for (const Resources &amount : used_) {
        remaining -= amount;
    }
    return remaining;
}

Resources Worker::unreserved() const noexcept
{
    return capacity_ - reserved_ - usedBy(Tenure::Firm);
}

Resources Worker::available(CapacityView view) const noexcept
{
    switch (view) {
    case CapacityView::Free:
        return free();
    case CapacityView::FreeUnreserved:
        return componentwiseMin(free(), unreserved());
    case CapacityView::FreeAfterPreemption:
        break;
    }
    return capacity_ - usedBy(Tenure::Guaranteed) - usedBy(Tenure::Firm) - usedBy(Tenure::Urgent);
}

bool Fleet::isSchedulable(WorkerIndex index) const
{
    const Worker &worker = workers_[index];
    return worker.alive_ && !worker.quarantined_ && dataCentres_[worker.dataCentre_].inService_;
}

std::uint64_t Fleet::adjacencyGroup(WorkerIndex index, Adjacency within) const
{
    switch (within) {
    case Adjacency::Worker:
        return index;
    case Adjacency::Rack:
        return workers_[index].rack_;
    case Adjacency::DataCentre:
        break;
    }
    return workers_[index].dataCentre_;
}

bool Fleet::find(const WorkerId &id, WorkerIndex &index) const
{
    const auto found = indexOf_.find(id);
    if (found == indexOf_.end()) {
        return false;
    }
    index = found->second;
    return true;
}

template<class Change>
void Fleet::update(WorkerIndex index, Change change)
{
    removeFromIndexes(index);
    change(workers_[index]);
    this->addToIndexes(index);
}

void Fleet::adjustRackTotal(RackIndex rackIndex, std::size_t view, std::int32_t delta)
{
    Rack &rack = racks_[rackIndex];
    DataCentre &dataCentre = dataCentres_[rack.dataCentre_];
    auto &racksByTotal = dataCentre.racksByAvailable_[view];
    racksByTotal.erase({rack.accelerators_[view], rackIndex});
    rack.accelerators_[view] += delta;
    dataCentre.accelerators_[view] += delta;
    racksByTotal.insert({rack.accelerators_[view], rackIndex});
}

void Fleet::removeFromIndexes(WorkerIndex index)
{
    const Worker &worker = workers_[index];
    for (std::size_t view = 0; view < capacityViewCount; ++view) {
        const Resources available = worker.available(static_cast<CapacityView>(view));
        if (dataCentres_[worker.dataCentre_].workersByAvailable_[view].erase({available.accelerators_, available.cores_, index}) > 0) {
            adjustRackTotal(worker.rack_, view, -std::max(available.accelerators_, 0));
        }
    }
}

void Fleet::addToIndexes(WorkerIndex index)
{
    const Worker &worker = workers_[index];
    if (!isSchedulable(index)) {
        return;
    }
    for (std::size_t view = 0; view < capacityViewCount; ++view) {
        const Resources available = worker.available(static_cast<CapacityView>(view));
        dataCentres_[worker.dataCentre_].workersByAvailable_[view].insert({available.accelerators_, available.cores_, index});
        adjustRackTotal(worker.rack_, view, std::max(available.accelerators_, 0));
    }
}

DataCentreIndex Fleet::findOrAddDataCentre(const DataCentreId &id)
{
    const auto same = [&id](const DataCentre &dataCentre) { return dataCentre.id_ == id; };
    const auto found = std::find_if(dataCentres_.begin(), dataCentres_.end(), same);
    if (found != dataCentres_.end()) {
        return static_cast<DataCentreIndex>(found - dataCentres_.begin());
    }
    dataCentres_.emplace_back().id_ = id;
    return static_cast<DataCentreIndex>(dataCentres_.size() - 1);
}

RackIndex Fleet::findOrAddRack(DataCentreIndex dataCentre, const RackId &id)
{
    const auto [it, inserted] = dataCentres_[dataCentre].racks_.emplace(id, static_cast<RackIndex>(racks_.size()));
    if (inserted) {
        racks_.emplace_back().dataCentre_ = dataCentre;
    }
    return it->second;
}

WorkerIndex Fleet::upsert(const WorkerId &id, const DataCentreId &dataCentre, const RackId &rack, const Resources &capacity)
{
    const DataCentreIndex dataCentreAt = findOrAddDataCentre(dataCentre);
    const RackIndex rackAt = findOrAddRack(dataCentreAt, rack);
    const auto [it, inserted] = indexOf_.emplace(id, static_cast<WorkerIndex>(workers_.size()));
    const WorkerIndex index = it->second;
    if (inserted) {
        workers_.emplace_back().id_ = id;
    } else if (const Worker &known = workers_[index]; known.rack_ == rackAt && known.capacity_ == capacity) {
        return index;
    }
    removeFromIndexes(index);
    Worker &worker = workers_[index];
    if (!inserted) {
        std::erase(racks_[worker.rack_].workers_, index);
    }
    worker.dataCentre_ = dataCentreAt;
    worker.rack_ = rackAt;
    worker.capacity_ = capacity;
    racks_[rackAt].workers_.push_back(index);
    this->addToIndexes(index);
    return index;
}

void Fleet::setAlive(WorkerIndex worker, bool alive)
{
    if (workers_[worker].alive_ != alive) {
        update(worker, [alive](Worker &record) { record.alive_ = alive; });
    }
}

void Fleet::setQuarantined(WorkerIndex worker, bool quarantined)
{
    if (workers_[worker].quarantined_ != quarantined) {
        update(worker, [quarantined](Worker &record) { record.quarantined_ = quarantined; });
    }
}

void Fleet::setInService(const DataCentreId &id, bool inService)
{
    const DataCentreIndex at = findOrAddDataCentre(id);
    if (dataCentres_[at].inService_ == inService) {
        return;
    }
    std::vector<WorkerIndex> workers;
    for (const auto &[rack, rackAt] : dataCentres_[at].racks_) {
        workers.insert(workers.end(), racks_[rackAt].workers_.begin(), racks_[rackAt].workers_.end());
    }
    for (const WorkerIndex worker : workers) {
        removeFromIndexes(worker);
    }
    dataCentres_[at].inService_ = inService;
    for (const WorkerIndex worker : workers) {
        addToIndexes(worker);
    }
}

void Fleet::allocate(WorkerIndex worker, Tenure tenure, const Resources &amount)
{
    update(worker, [&](Worker &record) { record.used_[static_cast<std::size_t>(tenure)] += amount; });
}

void Fleet::release(WorkerIndex worker, Tenure tenure, const Resources &amount)
{
    update(worker, [&](Worker &record) { record.used_[static_cast<std::size_t>(tenure)] -= amount; });
}

void Fleet::reserve(WorkerIndex worker, const Resources &amount)
{
    update(worker, [&](Worker &record) { record.reserved_ += amount; });
}

void Fleet::unreserve(WorkerIndex worker, const Resources &amount)
{
    update(worker, [&](Worker &record) { record.reserved_ -= amount; });
}

std::int32_t Fleet::maxAcceleratorsInOneDataCentre(CapacityView view) const
{
    std::int32_t largest = 0;
    for (const DataCentre &dataCentre : dataCentres_) {
        largest = std::max(largest, dataCentre.accelerators_[static_cast<std::size_t>(view)]);
    }
    return largest;
}

std::int32_t Fleet::totalAccelerators(CapacityView view) const
{
    std::int32_t total = 0;
    for (const DataCentre &dataCentre : dataCentres_) {
        total += dataCentre.accelerators_[static_cast<std::size_t>(view)];
    }
    return total;
}

}
