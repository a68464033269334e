/** @file RoomPolicy.h Where a task runs, which job is next, and which job is refused: pure functions. */
#pragma once

#include <sequoia/Resources.h>
#include <sequoia/Time.h>

#include <functional>
#include <optional>
#include <vector>

namespace sequoia {

/** What an entry believes of a backend server, as far as placing needs it. */
struct PlacementCandidate {
    Resources free;
    double slowness = 1.0; ///< Run time over the estimate, smoothed.
    double slownessSpread = 0; ///< Deviation of the logarithm of the slowness from the truth.
    bool isNearData = true; ///< The data is near, or the task names no place.
    int64_t maxTasks = 1; ///< Most tasks of the step that it may still take.
    bool isTrial = false; ///< It takes one task to show that it is good again.
    Resources total;
    bool isPreferred = true; ///< Other entries leave it to this one, so that its free room is known well.
};

/** Tasks of one step that wait for room. */
struct PlacementRequest {
    Resources resources; ///< What each task takes.
    int64_t count = 1; ///< Waiting tasks.
    Milliseconds estimate { 0 };
    double spread = 0.4; ///< Deviation of the logarithm of run time over estimate.
    Milliseconds waited { 0 }; ///< Since the job arrived, less what its earlier steps took.
    double stretch = 1; ///< With `objective`, the latency objective of the route.
    Milliseconds objective { 0 };
    Milliseconds remaining { 0 }; ///< Until the answer is worth nothing.
    uint64_t salt = 0; ///< Spreads equal choices of several entries.
};

/** Tasks for one server. */
struct PlacementChoice {
    size_t candidate = 0; ///< Position in the list.
    int64_t count = 0; ///< Tasks that go there.
};

/** Figures of the policy. */
struct TaskPlacementLimits {
    double farFactor = 1.5; ///< Run time of a task whose data is in another rack; from the deployment.
    Milliseconds overhead { 10 }; ///< Messages and processing of a start and its answer.
    double lateFactor = 3; ///< An answer later than this many times the objective is worth nothing; from the pages.
    double maxRunTimeDeviations = 1.6; ///< Run times this many deviations above the estimate are allowed for.
    double slownessDeviations = 1.3; ///< A server may be slower than believed by so many deviations.
    double minSlownessMargin = 1.05; ///< And is by this factor.
    double minRunTimeDeviations = 0.85; ///< And this many below it.
    double reservedShare = 0.2; ///< Part of a fast server's room that is left for tasks that need one.
    double contendedReservedShare = 0.5; ///< The same for a server that another entry prefers; its room may be gone.
    double lateOvertakingShare = 0.8; ///< Part of the present arrivals that is expected to go on overtaking late jobs.
    double maxHoldShare
        = 0.15; ///< Part of the spare time that may be spent on waiting for a server that is surely in time.
};

/** How well a server suits a task; the later the better. */
enum class Fit : uint8_t {
    MissesDeadline, ///< Too late to be worth anything.
    Late, ///< Worth less, or in time only if the estimate is too long.
    Likely, ///< In time if the estimate is right.
    Safe ///< In time even if the estimate is off.
};

/** How well a server suits a task that starts now. */
Fit fitOf(const PlacementCandidate& candidate, const PlacementRequest& request, const TaskPlacementLimits& limits);

/**
 * Chooses a server for some of the waiting tasks; empty if they should wait.
 * Of the servers that are surely in time, those come first that keep a reserve of room for tasks that need a fast one;
 * among them those that this entry prefers, the fastest first, and then the others, of whatever speed. Without such a
 * reserve the slowest is taken. Of equal ones it is the one that takes most tasks of the job, so that a failing server
 * spoils few jobs. If all that are surely in time are full, the task waits for one during a part of its spare time, and
 * then takes the fastest.
 */
std::optional<PlacementChoice> choosePlacement(const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request, const TaskPlacementLimits& limits);

using PlacementHook
    = std::function<std::optional<PlacementChoice>(const std::vector<PlacementCandidate>&, const PlacementRequest&)>;

/** A job as the queue sees it. */
struct QueuedJob {
    Milliseconds criticalPath { 0 }; ///< Longest chain of estimates that is left.
    double stretch = 1;
    Milliseconds objective { 0 };
    Milliseconds age { 0 }; ///< Since its arrival.
    Milliseconds remaining { 0 }; ///< Until its caller leaves.
    double slowness = 1; ///< Of the servers on the whole.
};

/** Time in which the job must start to meet its objective; negative if it can't. */
Milliseconds slackToObjective(const QueuedJob& work, const TaskPlacementLimits& limits);
/** Time in which the job must start to be worth anything; negative if it can't. */
Milliseconds slackToLateLimit(const QueuedJob& work, const TaskPlacementLimits& limits);

/** Time in which the job must start to end before its caller leaves; negative if it can't. */
Milliseconds slackToDeadline(const QueuedJob& work, const TaskPlacementLimits& limits);

/** Load as an entry knows it. Work is in thousandths of a core times milliseconds at slowness 1. */
struct LoadView {
    double workAhead = 0; ///< Work that goes before the job.
    double queuedWork = 0; ///< All work that waits.
    double capacity = 0; ///< Work per millisecond that the servers do for this entry.
    double overtakingRate = 0; ///< Work per millisecond that comes and goes before the job.
    double arrivalRate = 0; ///< All work per millisecond that comes.
    bool isComplete = true; ///< False while agents are still being found, as after a start.
};

/** What becomes of a job that waits. */
enum class AdmissionDecision : uint8_t {
    InTime,
    Late, ///< It can be done when nothing that can be in time waits.
    Reject
};

/** What a queue promises a job. */
struct Admission {
    AdmissionDecision decision = AdmissionDecision::InTime;
    Milliseconds predictedWait { 0 };
    Milliseconds retryAfter { 0 }; ///< When the queue will have become short enough.
};

/**
 * Predicts what becomes of a job. Answers bursts and lost servers: jobs that can't be in time must not make others
 * late, and jobs that would be worth nothing are refused at once.
 */
Admission admit(const QueuedJob& work, const LoadView& load, const TaskPlacementLimits& limits);

using AdmitHook = std::function<Admission(const QueuedJob&, const LoadView&)>;

} // namespace sequoia
