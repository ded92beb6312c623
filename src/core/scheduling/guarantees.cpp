#include "core/scheduling/guarantees.h"

#include "core/scheduling/ledger.h"

#include <algorithm>

namespace bergamotwick {

namespace {

void unbind(SchedulerBoard &board, Reservation &reservation)
{
    if (!reservation.bound_) {
        return;
    }
    for (const ReservedSlot &slot : reservation.slots_) {
        board.fleet_.unreserve(slot.worker_, reservation.shape_.each_);
        board.touched_.insert(slot.worker_);
    }
    reservation.slots_.clear();
    reservation.bound_ = false;
}

/// Drops a reservation that the configuration no longer has; what runs under it goes on as ordinary work.
void withdraw(SchedulerBoard &board, Reservation &reservation)
{
    for (const ReservedSlot &slot : reservation.slots_) {
        if (const auto user = board.jobs_.find(slot.user_); user != board.jobs_.end()) {
            changeTenure(board, user->second, user->second.record_.spec_.stoppable_ ? Tenure::Borrowed : Tenure::Firm);
        }
    }
    unbind(board, reservation);
}

bool inUse(const Reservation &reservation)
{
    return std::any_of(reservation.slots_.begin(), reservation.slots_.end(), [](const ReservedSlot &slot) { return !slot.user_.empty(); });
}

bool lostWorker(const SchedulerBoard &board, const Reservation &reservation)
{
    return std::any_of(
        reservation.slots_.begin(), reservation.slots_.end(), [&](const ReservedSlot &slot) { return !board.fleet_.isSchedulable(slot.worker_); });
}

/// Chooses the group that the shape leaves fullest, so that other shapes and large jobs still find whole ones.
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
            const Resources room = fleet.worker(at).unreserved();
            fits += room.timesFits(shape.each_, shape.tasks_);
            left += std::max(room.accelerators_, 0);
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

void addSlot(SchedulerBoard &board, Reservation &reservation, WorkerIndex worker, const JobId &user)
{
    board.fleet_.reserve(worker, reservation.shape_.each_);
    reservation.slots_.push_back({worker, user});
    board.touched_.insert(worker);
}

/// Rebuilds the block around jobs that a former owner has started under this guarantee.
void adoptSlots(SchedulerBoard &board, Reservation &reservation)
{
    const auto want = static_cast<std::size_t>(reservation.shape_.tasks_);
    for (const JobId &id : board.live_) {
        const JobEntry &job = board.jobs_.at(id);
        const JobRecord &record = job.record_;
        if (record.tenure_ != Tenure::Guaranteed || record.spec_.workspace_ != reservation.workspace_ || record.guarantee_ != reservation.id_) {
            continue;
        }
        for (const MemberState &member : job.members_) {
            for (std::int32_t task = 0; task < member.tasks_ && reservation.slots_.size() < want; ++task) {
                addSlot(board, reservation, member.worker_, id);
            }
        }
    }
}

/// Fills a block that is begun with room beside it, as close together as the shape asks.
void completeSlots(SchedulerBoard &board, Reservation &reservation)
{
    const GuaranteeConfig &shape = reservation.shape_;
    const WorkerIndex first = reservation.slots_.front().worker_;
    const std::uint64_t group = board.fleet_.adjacencyGroup(first, shape.within_);
    for (WorkerIndex at = 0; at < board.fleet_.workers().size(); ++at) {
        if (!board.fleet_.isSchedulable(at) || board.fleet_.adjacencyGroup(at, shape.within_) != group) {
            continue;
        }
        while (reservation.slots_.size() < static_cast<std::size_t>(shape.tasks_) && board.fleet_.worker(at).unreserved().covers(shape.each_)) {
            addSlot(board, reservation, at, JobId());
        }
    }
}

void bind(SchedulerBoard &board, Reservation &reservation)
{
    adoptSlots(board, reservation);
    if (!reservation.slots_.empty()) {
        completeSlots(board, reservation);
    } else {
        for (const WorkerIndex worker : chooseSlots(board.fleet_, reservation.shape_)) {
            addSlot(board, reservation, worker, JobId());
        }
    }
    if (!reservation.slots_.empty()) {
        reservation.bound_ = true;
        board.placeAgain_ = true;
    }
}

}

void rebuildReservations(SchedulerBoard &board)
{
    std::vector<Reservation> next;
    for (const auto &[workspace, workspaceConfig] : board.config_->workspaces_) {
        for (const auto &[id, shape] : workspaceConfig.guarantees_) {
            next.push_back({workspace, id, shape, false, {}});
        }
    }
    for (Reservation &old : board.reservations_) {
        const auto same = [&old](const Reservation &fresh) {
            return fresh.workspace_ == old.workspace_ && fresh.id_ == old.id_ && fresh.shape_.tasks_ == old.shape_.tasks_
                && fresh.shape_.each_ == old.shape_.each_ && fresh.shape_.within_ == old.shape_.within_;
        };
        if (const auto kept = std::find_if(next.begin(), next.end(), same); kept != next.end()) {
            kept->bound_ = old.bound_;
            kept->slots_ = std::move(old.slots_);
            continue;
        }
        withdraw(board, old);
    }
    board.reservations_ = std::move(next);
}

void bindReservations(SchedulerBoard &board)
{
    for (Reservation &reservation : board.reservations_) {
        if (reservation.bound_ && lostWorker(board, reservation) && !inUse(reservation)) {
            unbind(board, reservation);
        }
    }
    for (Reservation &reservation : board.reservations_) {
        if (!reservation.bound_) {
            bind(board, reservation);
        }
    }
}

std::optional<GangPlacement> reservedBlockFor(const SchedulerBoard &board, const JobEntry &job, GuaranteeId &guarantee)
{
    const JobSpec &spec = job.record_.spec_;
    const auto before = [](const Reservation &reservation, const WorkspaceId &id) { return reservation.workspace_ < id; };
    auto at = std::lower_bound(board.reservations_.begin(), board.reservations_.end(), spec.workspace_, before);
    for (; at != board.reservations_.end() && at->workspace_ == spec.workspace_; ++at) {
        const Reservation &reservation = *at;
        if (!reservation.bound_ || !reservation.shape_.each_.covers(spec.each_)) {
            continue;
        }
        std::map<WorkerIndex, std::int32_t> taken;
        std::int32_t left = spec.tasks_;
        for (const ReservedSlot &slot : reservation.slots_) {
            if (left > 0 && slot.user_.empty() && board.fleet_.isSchedulable(slot.worker_) && !job.failedOn_.contains(slot.worker_)) {
                ++taken[slot.worker_];
                --left;
            }
        }
        const bool closeEnough = reservation.shape_.within_ <= spec.within_ || taken.size() == 1;
        if (left == 0 && closeEnough) {
            guarantee = reservation.id_;
            GangPlacement block;
            for (const auto &[worker, tasks] : taken) {
                block.push_back({worker, tasks});
            }
            return block;
        }
    }
    return std::nullopt;
}

std::size_t unboundShapes(const SchedulerBoard &board)
{
    return static_cast<std::size_t>(
        std::count_if(board.reservations_.begin(), board.reservations_.end(), [](const Reservation &reservation) { return !reservation.bound_; }));
}

}
