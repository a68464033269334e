/** @file RoomPolicy.h Where a task runs, which job is next, and which job is refused: pure functions. */
#pragma once

#include <sequoia/Room.h>
#include <sequoia/Time.h>

#include <functional>
#include <optional>
#include <vector>

namespace sequoia {

/** What an entry believes of a backend server, as far as placing needs it. */
struct RoomCandidate {
    Room free;
    double slowness = 1.0; ///< Run time over the estimate, smoothed.
    double slownessSpread = 0; ///< Deviation of the logarithm of the slowness from the truth.
    bool isNear = true; ///< The data is near, or the task names no place.
    int64_t mostHere = 1; ///< Most tasks of the step that it may still take.
    bool isTrial = false; ///< It takes one task to show that it is good again.
    Room total;
    bool isPreferred = true; ///< Other entries leave it to this one, so that its free room is known well.
};

/** Tasks of one step that wait for room. */
struct RoomRequest {
    Room room; ///< What each task takes.
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
struct RoomChoice {
    size_t candidate = 0; ///< Position in the list.
    int64_t count = 0; ///< Tasks that go there.
};

/** Figures of the policy. */
struct RoomPolicyLimits {
    double farFactor = 1.5; ///< Run time of a task whose data is in another rack; from the deployment.
    Milliseconds overhead { 10 }; ///< Messages and processing of a start and its answer.
    double lateFactor = 3; ///< An answer later than this many times the objective is worth nothing; from the pages.
    double longerDeviations = 1.6; ///< Run times this many deviations above the estimate are allowed for.
    double slownessDeviations = 1.3; ///< A server may be slower than believed by so many deviations.
    double leastSlownessMargin = 1.05; ///< And is by this factor.
    double shorterDeviations = 0.85; ///< And this many below it.
    double reservedShare = 0.2; ///< Part of a fast server's room that is left for tasks that need one.
    double contendedShare = 0.5; ///< The same for a server that another entry prefers; its room may be gone.
    double lateOvertaking = 0.8; ///< Part of the present arrivals that is expected to go on overtaking late jobs.
    double holdShare
        = 0.15; ///< Part of the spare time that may be spent on waiting for a server that is surely in time.
};

/** How well a server suits a task; the later the better. */
enum class Fit : uint8_t {
    Hopeless, ///< Too late to be worth anything.
    Late, ///< Worth less, or in time only if the estimate is too long.
    Likely, ///< In time if the estimate is right.
    Safe ///< In time even if the estimate is off.
};

/** How well a server suits a task that starts now. */
Fit fitOf(const RoomCandidate& candidate, const RoomRequest& request, const RoomPolicyLimits& limits);

/**
 * Chooses a server for some of the waiting tasks; empty if they should wait.
 * Of the servers that are surely in time, those come first that keep a reserve of room for tasks that need a fast one;
 * among them those that this entry prefers, the fastest first, and then the others, of whatever speed. Without such a
 * reserve the slowest is taken. Of equal ones it is the one that takes most tasks of the job, so that a failing server
 * spoils few jobs. If all that are surely in time are full, the task waits for one during a part of its spare time, and
 * then takes the fastest.
 */
std::optional<RoomChoice> choosePlace(
    const std::vector<RoomCandidate>& candidates, const RoomRequest& request, const RoomPolicyLimits& limits);

using PlaceHook = std::function<std::optional<RoomChoice>(const std::vector<RoomCandidate>&, const RoomRequest&)>;

/** A job as the queue sees it. */
struct QueuedWork {
    Milliseconds chain { 0 }; ///< Longest chain of estimates that is left.
    double stretch = 1;
    Milliseconds objective { 0 };
    Milliseconds age { 0 }; ///< Since its arrival.
    Milliseconds remaining { 0 }; ///< Until its caller leaves.
    double slowness = 1; ///< Of the servers on the whole.
};

/** Time in which the job must start to meet its objective; negative if it can't. */
Milliseconds slackToObjective(const QueuedWork& work, const RoomPolicyLimits& limits);
/** Time in which the job must start to be worth anything; negative if it can't. */
Milliseconds slackToWorthless(const QueuedWork& work, const RoomPolicyLimits& limits);

/** Time in which the job must start to end before its caller leaves; negative if it can't. */
Milliseconds slackToLeave(const QueuedWork& work, const RoomPolicyLimits& limits);

/** Load as an entry knows it. Work is in thousandths of a core times milliseconds at slowness 1. */
struct LoadView {
    double ahead = 0; ///< Work that goes before the job.
    double queued = 0; ///< All work that waits.
    double capacity = 0; ///< Work per millisecond that the servers do for this entry.
    double overtaking = 0; ///< Work per millisecond that comes and goes before the job.
    double arriving = 0; ///< All work per millisecond that comes.
    bool isComplete = true; ///< False while agents are still being found, as after a start.
};

/** What becomes of a job that waits. */
enum class Prospect : uint8_t {
    InTime,
    Late, ///< It can be done when nothing that can be in time waits.
    Worthless
};

/** What a queue promises a job. */
struct Admission {
    Prospect prospect = Prospect::InTime;
    Milliseconds predictedWait { 0 };
    Milliseconds retryAfter { 0 }; ///< When the queue will have become short enough.
};

/**
 * Predicts what becomes of a job. Answers bursts and lost servers: jobs that can't be in time must not make others
 * late, and jobs that would be worth nothing are refused at once.
 */
Admission admit(const QueuedWork& work, const LoadView& load, const RoomPolicyLimits& limits);

using AdmitHook = std::function<Admission(const QueuedWork&, const LoadView&)>;

} // namespace sequoia
