#pragma once

#include "core/batch/board.h"

#include <optional>
#include <set>
#include <vector>

namespace bergamotwick::batch {

/// Executors that are lost: which runs were on them, which task is the likely cause, and which task is given up for it. Thread safety of all
/// functions: none; one thread owns the cluster state.

/// How an executor was lost.
enum class LossKind : std::uint8_t {
    Crashed, ///< its process is gone, or a later incarnation answers in its place
    Left, ///< it had announced its end, and may have crashed before that
    Unreachable, ///< nothing was heard of it until all leases had expired; only its next incarnation can show whether it crashed
};

/// What a report says of starts on a lost executor that no list has shown.
struct UnlistedStarts
{
    std::set<RunId> refused_; ///< not carried out
    std::set<RunId> accepted_; ///< the executor has answered them; others may never have reached it
};

/// A run on an executor when it was lost.
struct LostRun
{
    RunId id_;
    std::optional<Duration> survival_; ///< from its first to its last listing; unset if this leader never saw it listed
    bool isolated_ = false; ///< Run::isolated_
    std::optional<Duration> maxSurvival_ = std::nullopt; ///< set if it may have lived longer than survival_, at most this long
    bool hasBegun_ = true; ///< it was listed, or its start was accepted; if not, its start was called, and may not have reached the executor
};

/// An executor that was lost, with the runs on it.
struct ExecutorLoss
{
    Incarnation incarnation_;
    LossKind kind_ = LossKind::Crashed;
    std::vector<LostRun> runs_;
};

/// Returns whether \p report says that nothing runs on the executor because its process is gone or its leases have expired.
[[nodiscard]] bool reportsLoss(const ClusterState &cluster, const Report &report);

/// Returns how the executor of \p report was lost. Precondition: reportsLoss(). \p executor is its record before the report's lists are applied.
[[nodiscard]] LossKind lossKindOf(const Executor &executor, const Report &report) noexcept;

/// Returns whether \p run may have begun as far as its agent has told this leader. A later start of a task than its first is only called when its executor
/// has just answered, and the agent tells so at once.
[[nodiscard]] bool mayHaveBegun(const Run &run) noexcept;

/// Returns the loss of \p executor with the runs that its current incarnation held and that may have begun, without refused ones and those for which the
/// loss has been recorded. Of an executor that had left only runs that had just begun, or may have: others ended with it.
[[nodiscard]] ExecutorLoss lossOf(const ClusterState &cluster, const Executor &executor, LossKind kind, const UnlistedStarts &unlisted = {});

/// Returns the runs that probably caused \p loss: an isolated one, else those that had begun but were never listed, else the youngest if they had been
/// listed for a short time only, and those that may never have reached the executor. Empty if the cause lies elsewhere. Thread-safe.
[[nodiscard]] std::vector<RunId> likelyCauses(const ExecutorLoss &loss);

/// Counts \p loss for each task that ran on the executor. Whether a task that is the only suspect again is given up is decided after a short
/// delay, in which losses of other executors may come to light.
void recordLoss(ClusterState &cluster, Executor &executor, const ExecutorLoss &loss);

/// Counts \p run, which ends without success and without the loss of its executor, like a crash if few starts of its task remain. Precondition: it
/// is removed in the same step.
void countSpentStart(ClusterState &cluster, const Run &run);

/// Settles what was uncertain about the former losses on the host of \p current, which has answered: an earlier incarnation has crashed, and
/// \p current itself has not.
void resolveLosses(ClusterState &cluster, const Incarnation &current);

/// Gives up the jobs of tasks for which a decision is due and no other cause is known.
void decideOnSuspects(ClusterState &cluster);

/// Forgets the crashes of the task of \p run once the run has survived on \p executor for longer than its lost runs did.
void clearSurvivor(ClusterState &cluster, const Executor &executor, Run &run);

/// Loads a stored crash history. Precondition: the job's progress has been loaded.
void loadCrashHistory(ClusterState &cluster, Job &job, const CrashHistory &history);

/// Suspects the tasks of \p job that were started repeatedly without a recorded end: a leader of a release that doesn't count crashes may have
/// started them.
void suspectRepeatedStarts(ClusterState &cluster, Job &job);

/// Returns the crash history to write with the job's progress, or std::nullopt if the store holds none and none is needed.
[[nodiscard]] std::optional<CrashHistory> crashHistoryToStore(const Job &job);

}
