#include "core/scheduling/guarantees.h"

#include "core/scheduling/ledger.h"

#include <algorithm>

namespace bergamotwick {

namespace {

void unbind(SchedulerState &state, Reservation &reservation)
{
    if (!reservation.bound_) {
        return;
    }
    for (const ReservedSlot &slot : reservation.slots_) {
        state.fleet_.unreserve(slot.worker_, reservation.shape_.each_);
        state.changedWorkers_.insert(slot.worker_);
    }
    reservation.slots_.clear();
    reservation.bound_ = false;
}

/// Removes a reservation that is no longer configured; its jobs continue with an ordinary tenure.
void withdraw(SchedulerState &state, Reservation &reservation)
{
    for (const ReservedSlot &slot : reservation.slots_) {
        if (const auto job = state.jobs_.find(slot.jobId_); job != state.jobs_.end()) {
            changeTenure(state, job->second, job->second.record_.spec_.stoppable_ ? Tenure::Borrowed : Tenure::Firm);
        }
    }
    unbind(state, reservation);
}

bool isInUse(const Reservation &reservation)
{
    return std::any_of(reservation.slots_.begin(), reservation.slots_.end(), [](const ReservedSlot &slot) { return !slot.jobId_.empty(); });
}

bool hasLostWorker(const SchedulerState &state, const Reservation &reservation)
{
    return std::any_of(
        reservation.slots_.begin(), reservation.slots_.end(), [&](const ReservedSlot &slot) { return !state.fleet_.isSchedulable(slot.worker_); });
}

/// Chooses slots in the adjacency group with the fewest unreserved accelerators that fits the shape.
///
/// Keeps the emptier groups whole for other shapes and large jobs.
std::vector<WorkerIndex> chooseSlots(const Fleet &fleet, const GuaranteeConfig &shape)
{
    std::map<std::uint64_t, std::vector<WorkerIndex>> groups;
    for (WorkerIndex at = 0; at < fleet.workers().size(); ++at) {
        const Worker &worker = fleet.worker(at);
        if (fleet.isSchedulable(at) && worker.unreserved().covers(shape.each_)) {
            groups[fleet.adjacencyGroup(at, shape.within_)].push_back(at);
        }
    }
    const std::vector<WorkerIndex> *best = nullptr;
    std::int32_t bestLeft = 0;
    for (const auto &[group, workers] : groups) {
        std::int32_t fits = 0;
        std::int32_t left = 0;
        for (const WorkerIndex at : workers) {
            const Resources available = fleet.worker(at).unreserved();
            fits += available.timesFits(shape.each_, shape.tasks_);
            left += std::max(available.accelerators_, 0);
        }
        if (fits >= shape.tasks_ && (!best || left < bestLeft)) {
            best = &workers;
            bestLeft = left;
        }
    }
    std::vector<WorkerIndex> slots;
    if (best) {
        for (const WorkerIndex at : *best) {
            const std::int32_t here = fleet.worker(at).unreserved().timesFits(shape.each_, shape.tasks_ - static_cast<std::int32_t>(slots.size()));
            slots.insert(slots.end(), static_cast<std::size_t>(here), at);
        }
    }
    return slots;
}

void addSlot(SchedulerState &state, Reservation &reservation, WorkerIndex worker, const JobId &job)
{
    state.fleet_.reserve(worker, reservation.shape_.each_);
    reservation.slots_.push_back({worker, job});
    state.changedWorkers_.insert(worker);
}

/// Reserves the slots of jobs that a former owner has placed under this guarantee.
void adoptSlots(SchedulerState &state, Reservation &reservation)
{
    const auto want = static_cast<std::size_t>(reservation.shape_.tasks_);
    for (const JobId &id : state.live_) {
        const TrackedJob &job = state.jobs_.at(id);
        const JobRecord &record = job.record_;
        if (record.tenure_ != Tenure::Guaranteed || record.spec_.workspace_ != reservation.workspace_ || record.guarantee_ != reservation.id_) {
            continue;
        }
        for (const MemberState &member : job.members_) {
            for (std::int32_t task = 0; task < member.tasks_ && reservation.slots_.size() < want; ++task) {
                addSlot(state, reservation, member.worker_, id);
            }
        }
    }
}

/// Adds the missing slots from the adjacency group of the first slot. Precondition: there is a first slot.
void completeSlots(SchedulerState &state, Reservation &reservation)
{
    const GuaranteeConfig &shape = reservation.shape_;
    const WorkerIndex first = reservation.slots_.front().worker_;
    const std::uint64_t group = state.fleet_.adjacencyGroup(first, shape.within_);
    for (WorkerIndex at = 0; at < state.fleet_.workers().size(); ++at) {
        if (!state.fleet_.isSchedulable(at) || state.fleet_.adjacencyGroup(at, shape.within_) != group) {
            continue;
        }
        while (reservation.slots_.size() < static_cast<std::size_t>(shape.tasks_) && state.fleet_.worker(at).unreserved().covers(shape.each_)) {
            addSlot(state, reservation, at, JobId());
        }
    }
}

void bind(SchedulerState &state, Reservation &reservation)
{
    adoptSlots(state, reservation);
    if (!reservation.slots_.empty()) {
        completeSlots(state, reservation);
    } else {
        for (const WorkerIndex worker : chooseSlots(state.fleet_, reservation.shape_)) {
            addSlot(state, reservation, worker, JobId());
        }
    }
    if (!reservation.slots_.empty()) {
        reservation.bound_ = true;
        state.placementPending_ = true;
    }
}

}

void rebuildReservations(SchedulerState &state)
{
    std::vector<Reservation> next;
    for (const auto &[workspace, workspaceConfig] : state.config_->workspaces_) {
        for (const auto &[id, shape] : workspaceConfig.guarantees_) {
            next.push_back({workspace, id, shape, false, {}});
        }
    }
    for (Reservation &old : state.reservations_) {
        const auto same = [&old](const Reservation &fresh) {
            return fresh.workspace_ == old.workspace_ && fresh.id_ == old.id_ && fresh.shape_.tasks_ == old.shape_.tasks_
                && fresh.shape_.each_ == old.shape_.each_ && fresh.shape_.within_ == old.shape_.within_;
        };
        if (const auto kept = std::find_if(next.begin(), next.end(), same); kept != next.end()) {
            kept->bound_ = old.bound_;
            kept->slots_ = std::move(old.slots_);
            continue;
        }
        withdraw(state, old);
    }
    state.reservations_ = std::move(next);
}

void bindReservations(SchedulerState &state)
{
    for (Reservation &reservation : state.reservations_) {
        if (reservation.bound_ && hasLostWorker(state, reservation) && !isInUse(reservation)) {
            unbind(state, reservation);
        }
    }
    for (Reservation &reservation : state.reservations_) {
        if (!reservation.bound_) {
            bind(state, reservation);
        }
    }
}

std::optional<GangPlacement> findReservedPlacement(const SchedulerState &state, const TrackedJob &job, GuaranteeId &guarantee)
{
    const JobSpec &spec = job.record_.spec_;
    const auto before = [](const Reservation &reservation, const WorkspaceId &id) { return reservation.workspace_ < id; };
    auto at = std::lower_bound(state.reservations_.begin(), state.reservations_.end(), spec.workspace_, before);
    for (; at != state.reservations_.end() && at->workspace_ == spec.workspace_; ++at) {
        const Reservation &reservation = *at;
        if (!reservation.bound_ || !reservation.shape_.each_.covers(spec.each_)) {
            continue;
        }
        std::map<WorkerIndex, std::int32_t> taken;
        std::int32_t left = spec.tasks_;
        for (const ReservedSlot &slot : reservation.slots_) {
            if (left > 0 && slot.jobId_.empty() && state.fleet_.isSchedulable(slot.worker_) && !job.failedWorkers_.contains(slot.worker_)) {
                ++taken[slot.worker_];
                --left;
            }
        }
        const bool meetsAdjacency = reservation.shape_.within_ <= spec.within_ || taken.size() == 1;
        if (left == 0 && meetsAdjacency) {
            guarantee = reservation.id_;
            GangPlacement placement;
            for (const auto &[worker, tasks] : taken) {
                placement.push_back({worker, tasks});
            }
            return placement;
        }
    }
    return std::nullopt;
}

std::size_t unboundReservationCount(const SchedulerState &state)
{
    return static_cast<std::size_t>(
        std::count_if(state.reservations_.begin(), state.reservations_.end(), [](const Reservation &reservation) { return !reservation.bound_; }));
}

}
