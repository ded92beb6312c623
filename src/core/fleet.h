#pragma once

#include "bergamotwick/ids.h"
#include "bergamotwick/job.h"
#include "bergamotwick/resources.h"
#include "bergamotwick/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bergamotwick {

using WorkerIndex = std::uint32_t;
using RackIndex = std::uint32_t;
using DataCentreIndex = std::uint32_t;

/// How a job holds resources on a worker, and for whom it may be preempted.
enum class Tenure : std::uint8_t {
    Borrowed, ///< may be preempted for a guarantee or for urgent work
    Urgent, ///< may be preempted for a guarantee or for a waiting gang, but not for urgent work
    Firm, ///< must not be preempted; uses no reserved capacity
    Guaranteed, ///< uses capacity that is reserved for the job's workspace
};

constexpr std::size_t tenureCount = 4;

/// Which part of a worker's capacity counts as available to a placement search.
enum class CapacityView : std::uint8_t {
    Free, ///< not in use, whether reserved or not
    FreeUnreserved, ///< neither in use nor reserved
    FreeAfterPreemption, ///< free once every job with Tenure::Borrowed has been stopped
};

constexpr std::size_t capacityViewCount = 3;

struct Worker
{
    WorkerId id_;
    DataCentreIndex dataCentre_ = 0;
    RackIndex rack_ = 0;
    Resources capacity_;
    Resources reserved_; ///< held by guarantees, whether in use or not
    std::array<Resources, tenureCount> used_{};
    bool alive_ = false;
    bool quarantined_ = false; ///< jobs fail on it, so it gets no new work

    [[nodiscard]] Resources usedBy(Tenure tenure) const noexcept
    {
        return used_[static_cast<std::size_t>(tenure)];
    }

    [[nodiscard]] Resources free() const noexcept;
    [[nodiscard]] Resources available(CapacityView view) const noexcept;

    /// Returns the capacity left for new reservations: the total minus existing reservations and firm jobs.
    [[nodiscard]] Resources unreserved() const noexcept;
};

/// The workers of one region, with indexes that find available capacity without a full scan.
///
/// Thread safety: none; owned by one scheduler.
class Fleet
{
public:
    /// Available accelerators, available cores and the worker, so that the tightest fit sorts first.
    using WorkerKey = std::tuple<std::int32_t, std::int32_t, WorkerIndex>;
    /// Total of the available accelerators of a rack's schedulable workers, and the rack.
    using RackKey = std::pair<std::int32_t, RackIndex>;

    /// Adds a worker or updates its location and capacity. Returns its index.
    WorkerIndex upsert(const WorkerId &id, const DataCentreId &dataCentre, const RackId &rack, const Resources &capacity);

    /// Records whether \p worker is alive.
    void setAlive(WorkerIndex worker, bool alive);

    /// Excludes \p worker from new work, or admits it again.
    void setQuarantined(WorkerIndex worker, bool quarantined);

    /// Admits new work to \p dataCentre, or excludes it.
    void setInService(const DataCentreId &dataCentre, bool inService);

    void allocate(WorkerIndex worker, Tenure tenure, const Resources &amount);
    void release(WorkerIndex worker, Tenure tenure, const Resources &amount);
    void reserve(WorkerIndex worker, const Resources &amount);
    void unreserve(WorkerIndex worker, const Resources &amount);

    [[nodiscard]] const Worker &worker(WorkerIndex index) const
    {
        return workers_[index];
    }

    [[nodiscard]] const std::vector<Worker> &workers() const noexcept
    {
        return workers_;
    }

    /// Returns whether new work may be placed on \p worker: it is alive, not quarantined and in a data centre in service.
    [[nodiscard]] bool isSchedulable(WorkerIndex worker) const;

    /// Returns the index of the worker, rack or data centre that \p worker belongs to, depending on \p within.
    ///
    /// Workers with the same index are as close together as \p within requires.
    [[nodiscard]] std::uint64_t adjacencyGroup(WorkerIndex worker, Adjacency within) const;

    /// Returns whether \p id is known; sets \p index if it is.
    [[nodiscard]] bool find(const WorkerId &id, WorkerIndex &index) const;

    [[nodiscard]] std::size_t dataCentreCount() const noexcept
    {
        return dataCentres_.size();
    }

    [[nodiscard]] const DataCentreId &dataCentreId(DataCentreIndex index) const
    {
        return dataCentres_[index].id_;
    }

    [[nodiscard]] bool inService(DataCentreIndex index) const
    {
        return dataCentres_[index].inService_;
    }

    /// Returns the schedulable workers of \p dataCentre in ascending order of available capacity.
    [[nodiscard]] const std::set<WorkerKey> &workersByAvailable(CapacityView view, DataCentreIndex dataCentre) const
    {
        return dataCentres_[dataCentre].workersByAvailable_[static_cast<std::size_t>(view)];
    }

    /// Returns the racks of \p dataCentre in ascending order of the accelerators available on their schedulable workers.
    [[nodiscard]] const std::set<RackKey> &racksByAvailable(CapacityView view, DataCentreIndex dataCentre) const
    {
        return dataCentres_[dataCentre].racksByAvailable_[static_cast<std::size_t>(view)];
    }

    [[nodiscard]] const std::vector<WorkerIndex> &rackWorkers(RackIndex rack) const
    {
        return racks_[rack].workers_;
    }

    /// Returns the accelerators available on all schedulable workers. Linear in the number of data centres.
    [[nodiscard]] std::int32_t totalAccelerators(CapacityView view) const;

    /// Returns the largest number of accelerators available in any one data centre; a gang never spans two.
    [[nodiscard]] std::int32_t maxAcceleratorsInOneDataCentre(CapacityView view) const;

private:
    struct Rack
    {
        DataCentreIndex dataCentre_ = 0;
        std::vector<WorkerIndex> workers_;
        std::array<std::int32_t, capacityViewCount> accelerators_{};
    };

    struct DataCentre
    {
        DataCentreId id_;
        bool inService_ = true;
        std::map<RackId, RackIndex> racks_;
        std::array<std::set<WorkerKey>, capacityViewCount> workersByAvailable_;
        std::array<std::set<RackKey>, capacityViewCount> racksByAvailable_;
        std::array<std::int32_t, capacityViewCount> accelerators_{};
    };

    template<class Change>
    void update(WorkerIndex index, Change change);

    void removeFromIndexes(WorkerIndex index);
    void addToIndexes(WorkerIndex index);
    void adjustRackTotal(RackIndex rack, std::size_t view, std::int32_t delta);
    DataCentreIndex findOrAddDataCentre(const DataCentreId &id);
    RackIndex findOrAddRack(DataCentreIndex dataCentre, const RackId &id);

    std::vector<Worker> workers_;
    std::vector<Rack> racks_;
    std::vector<DataCentre> dataCentres_;
    std::unordered_map<WorkerId, WorkerIndex> indexOf_;
};

}
