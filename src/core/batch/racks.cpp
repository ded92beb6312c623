#include "core/batch/racks.h"

#include "core/batch/ledger.h"

#include <algorithm>
#include <map>

namespace bergamotwick::batch {

namespace {

/// Urgent work waits at most this long for its rack; a guarantee has to be had back, and stops take as long again.
constexpr milliseconds urgentPatience{600};

/// How long a group waits for the right rack before it takes any: half of the time that it would lose there.
milliseconds patienceOf(const Board &board, const WaitingGroup &group)
{
    const milliseconds estimate = group.job_->submission_.steps_[group.group_.step_].estimate_;
    const milliseconds worth(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * (board.limits_.spreadFactor_ - 1) / 2));
    return group.job_->priority_ == 0 ? std::min(worth, urgentPatience) : worth;
}

std::string rackOf(const Board &board, const Incarnation &place)
{
    return board.executors_.at(place.executor_).rack();
}

/// Returns whether \p reservation holds room where the group runs at full speed.
bool isNear(const Board &board, const Reservation &reservation, const Step &step)
{
    const std::string wanted = step.sameRack_ ? rackOf(board, reservation.places_.front()) : step.affinity_;
    return std::all_of(reservation.places_.begin(), reservation.places_.end(), [&](const Incarnation &place) { return rackOf(board, place) == wanted; });
}

}

bool prefersRack(const Step &step) noexcept
{
    return step.sameRack_ || !step.affinity_.empty();
}

std::vector<std::string> preferredRacks(const WaitingGroup &group, const std::vector<Executor *> &candidates)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    if (!step.sameRack_) {
        return {step.affinity_};
    }
    std::map<std::string, std::int64_t> free;
    for (const Executor *executor : candidates) {
        free[executor->rack()] += freeRoom(*executor, group.job_->submission_.id_, group.group_.first_).accelerators_;
    }
    std::vector<std::string> racks;
    racks.reserve(free.size());
    for (const auto &[rack, accelerators] : free) {
        racks.push_back(rack);
    }
    std::stable_sort(racks.begin(), racks.end(), [&free](const std::string &left, const std::string &right) { return free.at(left) < free.at(right); });
    return racks;
}

bool mayLeaveRack(const Board &board, const WaitingGroup &group)
{
    const Step &step = group.job_->submission_.steps_[group.group_.step_];
    const auto reserved = group.job_->reservations_.find(group.group_.first_);
    if (reserved != group.job_->reservations_.end() && reserved->second.until_ > board.now_) {
        return !isNear(board, reserved->second, step);
    }
    const auto waiting = group.job_->waitingSince_.find(group.group_.first_);
    return board.hasHeard() && waiting != group.job_->waitingSince_.end() && board.now_ - waiting->second > patienceOf(board, group);
}

}
