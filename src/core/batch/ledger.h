#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// The room of executors. A run takes room from the decision to start it until its end is certain: what is being started, what is in
/// doubt and what is being stopped all count. Thread safety of all functions: none; the board is one thread's.

/// Returns what runs and other groups' reservations leave free on \p executor.
[[nodiscard]] Room freeRoom(const Executor &executor, const JobId &job, std::size_t group);

/// Enters \p run. Precondition: its job and executor are known and the run isn't entered yet.
void addRun(Board &board, Run run);

/// Removes a run whose end is certain, and frees its task for another start.
void removeRun(Board &board, const RunId &id);

/// Sets executors apart for a group of \p job. Precondition: all places are known.
void reserve(Board &board, Job &job, const Group &group, Reservation reservation);

/// Takes \p used out of a group's reservation, and keeps the rest for its \p remaining tasks.
void useReservation(Board &board, Job &job, const Group &group, const std::vector<Incarnation> &used, std::size_t remaining);

/// Gives a group's reservation up, if it has one.
void release(Board &board, Job &job, std::size_t group);

/// Returns whether \p executor may get new work of \p service now.
[[nodiscard]] bool isUsable(const Board &board, const Executor &executor, const ServiceId &service);

}
