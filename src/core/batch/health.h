#pragma once

#include "core/batch/queueing.h"

namespace bergamotwick::batch {

/// Which executors are kept from work because work went wrong there: from a task that failed or stood still on them, and from all work
/// for a while. Answers sick workers that pass for well. Thread safety of all functions: none; the board is one thread's.

/// Keeps the task at \p index, and with it the other members of its gang, off \p executor.
void shun(const Board &board, Job &job, const Group &group, std::size_t index, const ExecutorId &executor);

/// Returns whether a task of \p group may go to \p executor: it doesn't shun it, and if it has failed before, the executor is none on
/// which something failed since a task last ended well. The last attempt is made where a task has ended well lately. A group that has
/// waited long enough for such an executor takes any.
[[nodiscard]] bool mayTake(const Board &board, const WaitingGroup &group, std::size_t index, const Executor &executor);

/// Returns whether something failed on \p executor lately, and no task has ended well there since.
[[nodiscard]] bool isSuspect(const Board &board, const Executor &executor);

/// Lets a group's tasks onto the executors they shun if the other \p candidates could not hold them even when empty.
void forgetShunnedIfNeeded(Board &board, Job &job, const Group &group, const std::vector<Executor *> &candidates);

/// Notes that a task of \p job has failed on \p executor; after failures of several jobs in a row it gets no work for a while.
void noteFailure(Board &board, Executor &executor, const JobId &job);

/// Gives \p executor no work for a while, unless too many are set aside already for it to be the executors' fault.
void setAside(Board &board, Executor &executor, const char *reason);

}
