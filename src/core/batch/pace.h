#pragma once

#include "core/batch/board.h"

#include <optional>

namespace bergamotwick::batch {

/// How fast runs progress, and what that says of their executors: tasks of one step behave alike. Answers fleets of executors of different
/// speeds. Thread safety of all functions: none; the board is one thread's.

/// Returns the time that \p run takes for a percent; nothing if it has shown too little.
[[nodiscard]] std::optional<Duration> paceOf(const Run &run);

/// Returns the middle pace of the other tasks of the same step; nothing if none has one.
[[nodiscard]] std::optional<Duration> paceOfFellows(const Board &board, const Run &run);

/// Returns how much longer \p run takes if it goes on as so far. Precondition: it has progressed.
[[nodiscard]] milliseconds restAtPace(const Board &board, const Run &run);

/// Compares those runs of \p executor that are half done with their fellows elsewhere, each once.
void learnSpeed(Board &board, Executor &executor);

/// Returns whether urgent work had better keep off \p executor.
[[nodiscard]] bool isSlowForUrgent(const Executor &executor);

}
