#pragma once

#include "core/batch/board.h"

namespace bergamotwick::batch {

/// Ends of runs that no executor has listed. These functions alone decide that such a run has certainly ended: only then may its task start again
/// and its resources be given away. Thread safety of all functions: none; one thread owns the cluster state.

/// Settles the run of \p order, an order whose outcome the agent of \p executor tells in \p report, unless it belongs to another incarnation, or a former
/// process of the agent may have called its start. Preconditions of this function and of those that take a report: its agent is known.
void applySettledOrder(ClusterState &cluster, const Executor &executor, const Report &report, const SettledOrder &order);

/// Settles runs that are missing from the executor's lists although it would list them if they were running or had ended.
void settleMissingRuns(ClusterState &cluster, Executor &executor, const Report &report);

/// Time in which a call of a start is answered or given up. No further call is made once its run has been listed.
constexpr milliseconds maxCallTime{1'000};

/// Returns until when a start may be carried out that is first ordered at \p orderedAt. Thread-safe.
[[nodiscard]] Instant latestStart(Instant orderedAt) noexcept;

/// Records that the start of \p run may be ordered, called and carried out from now on.
void noteStart(const ClusterState &cluster, Run &run);

/// Returns whether the start of \p run may be ordered now under the record that is stored of it.
[[nodiscard]] bool mayOrderStart(const ClusterState &cluster, const Run &run);

/// Returns whether \p report lists \p run, or says that it may be running. Thread-safe on const objects.
[[nodiscard]] bool isKnownToAgent(const Run &run, const Report &report);

/// Lets starts on \p executor that have been ordered for long, and that its agent doesn't know of, be recorded again before they are ordered again: the record
/// tells until when a start may be carried out, which follows from its last order.
void renewOverdueOrders(ClusterState &cluster, const Executor &executor, const Report &report);

/// Records which of the runs that \p report lists have starts that may still be carried out, so that these runs may begin anew on the executor's
/// next incarnation.
void noteLateStarts(ClusterState &cluster, const Report &report);

/// Returns whether a start of \p run may have been carried out after the lists in \p report were made without its agent knowing of it, because a former
/// process of the agent has called it.
[[nodiscard]] bool mayStartUnknown(const ClusterState &cluster, const Run &run, const Report &report);

/// Returns whether a start on \p executor may still be carried out without its agent knowing of it, because a former process of the agent has called it.
[[nodiscard]] bool mayStartUnknown(const ClusterState &cluster, const Executor &executor);

/// Records of which runs \p report tells that their starts have been called.
void noteCalls(ClusterState &cluster, const Report &report);

/// Records that the incarnation of \p executor has ended, as \p report of its host shows, unless the loss of all its runs has been recorded. If it had
/// announced its end, only runs that had just begun count.
void recordEndOfIncarnation(ClusterState &cluster, Executor &executor, const Report &report);

/// Records the loss of the executor if \p report tells of it.
void recordReportedLoss(ClusterState &cluster, Executor &executor, const Report &report);

/// Reassigns runs of earlier incarnations of the executor to the current one. Such a run is only active if a delayed start order reached the
/// current incarnation before its first fencing token did. The first lists of the current incarnation show which runs are active; the others
/// are then settled.
void carryOverToCurrentIncarnation(ClusterState &cluster, Executor &executor);

/// Settles the runs of earlier incarnations on the same host, which may have had other executor names. They have ended, as the current
/// incarnation, which \p report tells of, answers at their address.
void settleFormerIncarnationsOnHost(ClusterState &cluster, const Report &report);

/// Settles the runs of executors that have been silent for so long that all their leases have expired, except for starts that may still be
/// carried out.
void expireSilentLeases(ClusterState &cluster);

}
