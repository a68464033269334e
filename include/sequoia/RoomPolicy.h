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
    bool isNear = true; ///< The data is near, or the task names no place.
    int64_t mostHere = 1; ///< Most tasks of the step that it may still take.
    bool isTrial = false; ///< It takes one task to show that it is good again.
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
    double slownessMargin = 1.1; ///< A server may be this much slower than believed.
    double shorterDeviations = 0.85; ///< And this many below it.
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
 * Of the servers that are surely in time the slowest is taken, so that the fast ones are left for long tasks; of equal
 * ones the one that takes most tasks of the job, so that a failing server spoils few jobs. If all that are surely in
 * time are full, the task waits for one during a part of its spare time, and then takes the fastest.
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
};

/** Time in which the job must start to meet its objective; negative if it can't. */
Milliseconds slackToObjective(const QueuedWork& work, const RoomPolicyLimits& limits);
/** Time in which the job must start to be worth anything; negative if it can't. */
Milliseconds slackToWorthless(const QueuedWork& work, const RoomPolicyLimits& limits);

/** Load as an entry knows it. */
struct LoadView {
    double aheadCpuMs = 0; ///< Estimated core-milliseconds of the work that goes first.
    double cpuPerMs = 0; ///< Cores that work for this entry.
    bool isComplete = true; ///< False while agents are still being found, as after a start.
};

/** Whether a new job is queued. */
struct Admission {
    bool isAdmitted = true;
    Milliseconds predictedWait { 0 };
    Milliseconds retryAfter { 0 }; ///< When the queue will have become short enough.
};

/** Refuses a job that would start too late to be worth anything. Answers bursts and lost servers. */
Admission admit(const QueuedWork& work, const LoadView& load, const RoomPolicyLimits& limits);

using AdmitHook = std::function<Admission(const QueuedWork&, const LoadView&)>;

} // namespace sequoia
