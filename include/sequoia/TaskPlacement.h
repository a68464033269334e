/** @file TaskPlacement.h Placement of tasks on backend servers, and admission of jobs: pure functions. */
#pragma once

#include <sequoia/Resources.h>
#include <sequoia/Time.h>

#include <functional>
#include <optional>
#include <vector>

namespace sequoia {

/** A backend server that tasks may be placed on, as the entry knows it. */
struct PlacementCandidate {
    Resources free;
    double slowness = 1.0; ///< Ratio of run time to estimate, smoothed.
    double slownessSpread = 0; ///< Standard error of the logarithm of the slowness.
    bool isNearData = true; ///< The task's data is near, or the task has no preferred label.
    int64_t maxTasks = 1; ///< How many more tasks of the step it may take.
    bool isTrial = false; ///< It has left quarantine and may take one task on trial.
    Resources total;
    /** This entry orders from it first and others rarely do, so its free resources are well known. */
    bool isPreferred = true;
};

/** Ready tasks of one step that wait for resources. */
struct PlacementRequest {
    Resources resources; ///< Needed by each task.
    int64_t count = 1; ///< Waiting tasks.
    Milliseconds estimate { 0 }; ///< Expected time of the longest path from this step, at slowness 1.
    double spread = 0.4; ///< Standard deviation of the logarithm of the ratio of run time to estimate.
    Milliseconds waited { 0 }; ///< Time since the job's arrival.
    double stretch = 1; ///< The latency objective is `stretch` times the run time at slowness 1, plus `objective`.
    Milliseconds objective { 0 };
    Milliseconds remaining { 0 }; ///< Until the job's deadline.
    uint64_t salt = 0; ///< Breaks ties, so that several entries spread equal choices over the servers.
};

/** Where to place tasks, and how many. */
struct PlacementChoice {
    size_t candidate = 0; ///< Position in the list of candidates.
    int64_t count = 0; ///< Number of tasks to place there.
};

/** Parameters of placement and admission. */
struct TaskPlacementLimits {
    double farFactor = 1.5; ///< Run time factor of a task whose data is in another rack; set by the deployment.
    Milliseconds overhead { 10 }; ///< Time that the messages and processing of a start and its answer take.
    double lateFactor = 3; ///< An answer is worthless after this many times the objective; specified by the users.
    /** A server rated Safe allows for run times this many deviations above the estimate. */
    double maxRunTimeDeviations = 1.6;
    /** A server rated Safe allows for a slowness this many deviations above the known one. */
    double slownessDeviations = 1.3;
    double minSlownessMargin = 1.05; ///< Lower bound of the factor on the slowness that is allowed for.
    /** A server rated Safe allows for run times this many deviations below the estimate. */
    double minRunTimeDeviations = 0.85;
    /** Share of a server's processors that is left free, if possible, for tasks that need a fast server. */
    double reservedShare = 0.2;
    /** `reservedShare` of a server that other entries prefer, as its free resources may be taken by now. */
    double contendedReservedShare = 0.5;
    /** Share of the present arrival rate that is expected to continue to overtake late jobs. */
    double lateOvertakingShare = 0.8;
    /** Share of the spare time that a task may spend on waiting for a server rated Safe. */
    double maxHoldShare = 0.15;
};

/** How well a server suits a task, from worst to best. */
enum class Fit : uint8_t {
    MissesDeadline, ///< Even a short run would end after the deadline.
    Late, ///< Misses the objective, unless the run is shorter than estimated.
    Likely, ///< Meets the objective if the estimate is right.
    Safe ///< Meets the objective also if the run time or the slowness is off by the allowed deviations.
};

/** Rates a server for a task that starts there now. */
Fit fitOf(const PlacementCandidate& candidate, const PlacementRequest& request, const TaskPlacementLimits& limits);

/**
 * Chooses a server for some of the waiting tasks; empty if they should wait.
 * Of the servers rated Safe, a server on trial comes first. Then come those that keep their reserve for tasks that need
 * a fast server: first the ones that this entry prefers, fastest first, then the others regardless of speed. If none
 * keeps its reserve, the slowest preferred one is taken. Ties go to the server that takes the most tasks of the job, so
 * that a failing server affects few jobs. If all servers rated Safe are full, the task waits for one for a share of its
 * spare time and then takes the fastest server rated Likely. A server rated Late is taken only if none is rated better;
 * then the slowest one is.
 */
std::optional<PlacementChoice> choosePlacement(const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request, const TaskPlacementLimits& limits);

using PlacementHook
    = std::function<std::optional<PlacementChoice>(const std::vector<PlacementCandidate>&, const PlacementRequest&)>;

/** Figures of a queued job that decide its order and admission. */
struct QueuedJob {
    Milliseconds criticalPath { 0 }; ///< Expected time of the longest path through the steps that are left.
    double stretch = 1; ///< The latency objective is `stretch` times the critical path plus `objective`.
    Milliseconds objective { 0 };
    Milliseconds age { 0 }; ///< Time since its arrival.
    Milliseconds remaining { 0 }; ///< Until its deadline.
    double slowness = 1; ///< Mean slowness of the servers.
};

/** Time left to start the job so that it meets its objective; negative if it can't. */
Milliseconds slackToObjective(const QueuedJob& job, const TaskPlacementLimits& limits);
/**
 * Time left to start the job so that it ends within `lateFactor` times its objective and before its deadline; negative
 * if it can't.
 */
Milliseconds slackToLateLimit(const QueuedJob& job, const TaskPlacementLimits& limits);

/** Time left to start the job so that it ends before its deadline; negative if it can't. */
Milliseconds slackToDeadline(const QueuedJob& job, const TaskPlacementLimits& limits);

/** Load as an entry knows it. Work is in thousandths of a core times milliseconds, at slowness 1. */
struct LoadView {
    double workAhead = 0; ///< Queued work in front of the job.
    double queuedWork = 0; ///< All queued work.
    double capacity = 0; ///< Work per millisecond that the servers do for this entry.
    double overtakingRate = 0; ///< Work per millisecond that arrives and is queued in front of the job.
    double arrivalRate = 0; ///< All work per millisecond that arrives.
    bool isComplete = true; ///< False while agents are still being discovered after a start.
};

/** Decision about a job that waits. */
enum class AdmissionDecision : uint8_t {
    InTime, ///< It is expected to meet its objective.
    Late, ///< It is expected to meet its deadline only; it runs when no job that can be in time waits.
    Reject ///< It is expected to miss its deadline, and is refused.
};

/** Result of the admission of a job. */
struct Admission {
    AdmissionDecision decision = AdmissionDecision::InTime;
    Milliseconds predictedWait { 0 };
    Milliseconds retryAfter { 0 }; ///< Time until the queue is expected to be short enough.
};

/**
 * Predicts whether a job will be in time. Under bursts and after the loss of servers, jobs that can't meet their
 * objective must not delay others, and jobs that would miss their deadline are refused at once.
 */
Admission admit(const QueuedJob& job, const LoadView& load, const TaskPlacementLimits& limits);

using AdmitHook = std::function<Admission(const QueuedJob&, const LoadView&)>;

} // namespace sequoia
