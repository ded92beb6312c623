#include "core/batch/ledger.h"

#include "core/batch/holding.h"

#include <algorithm>

namespace bergamotwick::batch {

Room freeRoom(const Executor &executor, const JobId &job, std::size_t group)
{
    Room room = executor.facts_.capacity_;
    room -= executor.used_;
    for (const auto &[owner, reserved] : executor.reserved_) {
        if (owner.first != job || owner.second != group) {
            room -= reserved;
        }
    }
    return room;
}

void addRun(Board &board, Run run)
{
    const Job &job = board.jobs_.at(run.id_.task_.job_);
    if (job.priority_ == 0) {
        run.urgentOf_ = job.submission_.service_;
        noteUrgentUse(board, run.urgentOf_, run.room_.accelerators_);
    }
    Executor &executor = board.executors_[run.place_.executor_];
    executor.runs_.insert(run.id_);
    executor.used_ += run.room_;
    const RunId id = run.id_;
    board.runs_.emplace(id, std::move(run));
}

void removeRun(Board &board, const RunId &id)
{
    const auto found = board.runs_.find(id);
    if (found == board.runs_.end()) {
        return;
    }
    const Run &run = found->second;
    Executor &executor = board.executors_[run.place_.executor_];
    if (executor.runs_.erase(id) > 0) {
        executor.used_ -= run.room_;
    }
    if (!run.urgentOf_.empty()) {
        noteUrgentUse(board, run.urgentOf_, -run.room_.accelerators_);
    }
    const auto job = board.jobs_.find(id.task_.job_);
    if (job != board.jobs_.end()) {
        const auto index = indexOf(job->second.submission_, id.task_);
        TaskProgress &task = job->second.progress_.tasks_[*index];
        if (task.run_ == id.run_) {
            task.assigned_ = false;
            job->second.touch();
        }
    }
    board.runs_.erase(found);
}

void reserve(Board &board, Job &job, const Group &group, Reservation reservation)
{
    release(board, job, group.first_);
    const Room each = job.submission_.steps_[group.step_].counted();
    for (const Incarnation &place : reservation.places_) {
        board.executors_[place.executor_].reserved_[{job.submission_.id_, group.first_}] += each;
    }
    job.reservations_[group.first_] = std::move(reservation);
}

void useReservation(Board &board, Job &job, const Group &group, const std::vector<Incarnation> &used, std::size_t remaining)
{
    const auto found = job.reservations_.find(group.first_);
    if (found == job.reservations_.end()) {
        return;
    }
    Reservation rest = found->second;
    for (const Incarnation &place : used) {
        const auto at = std::find(rest.places_.begin(), rest.places_.end(), place);
        if (at != rest.places_.end()) {
            rest.places_.erase(at);
        }
    }
    rest.places_.resize(std::min(rest.places_.size(), remaining));
    if (rest.places_.empty()) {
        release(board, job, group.first_);
    } else {
        reserve(board, job, group, std::move(rest));
    }
}

void release(Board &board, Job &job, std::size_t group)
{
    const auto found = job.reservations_.find(group);
    if (found == job.reservations_.end()) {
        return;
    }
    for (const Incarnation &place : found->second.places_) {
        board.executors_[place.executor_].reserved_.erase({job.submission_.id_, group});
    }
    job.reservations_.erase(found);
}

bool isUsable(const Board &board, const Executor &executor, const ServiceId &service)
{
    const ExecutorFacts &facts = executor.facts_;
    return executor.listed_ && executor.answers_ && executor.orphans_.empty() && facts.service_ == service && !facts.draining_ && !facts.left_
        && board.now_ - executor.lastReport_ < silenceLimit && executor.asideUntil_ <= board.now_ && !board.evacuated_.contains(facts.dataCentre_);
}

}
