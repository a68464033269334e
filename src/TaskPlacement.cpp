/** @file TaskPlacement.cpp Placement of tasks and admission of jobs. */
#include <sequoia/TaskPlacement.h>

#include <cmath>
#include <tuple>

namespace sequoia {

namespace {

    using FloatMs = std::chrono::duration<double, std::milli>;

    double effectiveSlowness(const PlacementCandidate& candidate, const TaskPlacementLimits& limits)
    {
        return candidate.slowness * (candidate.isNearData ? 1.0 : limits.farFactor);
    }

    /** Time left until the objective or the deadline, whichever is earlier, if the task takes `work` at slowness 1. */
    FloatMs spareTime(FloatMs work, double slowness, const PlacementRequest& request, const TaskPlacementLimits& limits)
    {
        // The objective depends on the true work: a wrong estimate changes both the run time and the time allowed.
        const auto toObjective = work * (request.stretch - slowness) + request.objective - request.waited;
        const auto toDeadline = FloatMs(request.remaining) - work * slowness;
        return std::min(toObjective, toDeadline) - limits.overhead;
    }

    /** Run times at slowness 1 that a server rated Safe allows for. */
    struct AllowedWork {
        FloatMs min {};
        FloatMs max {};
    };

    AllowedWork allowedWork(const PlacementRequest& request, const TaskPlacementLimits& limits)
    {
        const auto work = FloatMs(request.estimate);
        return { work * std::exp(-limits.minRunTimeDeviations * request.spread),
            work * std::exp(limits.maxRunTimeDeviations * request.spread) };
    }

    Fit fitOf(const PlacementCandidate& candidate, const PlacementRequest& request, const AllowedWork& allowed,
        const TaskPlacementLimits& limits)
    {
        const auto slowness = effectiveSlowness(candidate, limits);
        const auto nominalSlack = spareTime(FloatMs(request.estimate), slowness, request, limits);
        if (nominalSlack.count() < 0) {
            const auto toDeadline = FloatMs(request.remaining - limits.overhead);
            return allowed.min * slowness <= toDeadline ? Fit::Late : Fit::MissesDeadline;
        }
        const auto margin
            = std::max(std::exp(limits.slownessDeviations * candidate.slownessSpread), limits.minSlownessMargin);
        const auto longRunSlack = spareTime(allowed.max, slowness * margin, request, limits);
        const auto shortRunSlack = spareTime(allowed.min, slowness * margin, request, limits);
        return std::min(longRunSlack, shortRunSlack).count() >= 0 ? Fit::Safe : Fit::Likely;
    }

    /** Servers in the same class count as equally fast. */
    int64_t speedClass(double slowness)
    {
        constexpr double classesPerDoubling = 3;
        constexpr double minSlowness = 0.01;
        return std::llround(std::log2(std::max(slowness, minSlowness)) * classesPerDoubling);
    }

} // namespace

Fit fitOf(const PlacementCandidate& candidate, const PlacementRequest& request, const TaskPlacementLimits& limits)
{
    return fitOf(candidate, request, allowedWork(request, limits), limits);
}

std::optional<PlacementChoice> choosePlacement(const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request, const TaskPlacementLimits& limits)
{
    const auto allowed = allowedWork(request, limits);
    auto best = Fit::MissesDeadline; // Of all candidates, whether or not they have enough free resources.
    std::optional<PlacementChoice> safe;
    std::tuple<bool, bool, bool, int64_t, int64_t, uint64_t> safeRank {};
    std::optional<PlacementChoice> other;
    std::tuple<Fit, int64_t, bool, int64_t, uint64_t> otherRank {};
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const auto fit = fitOf(candidate, request, allowed, limits);
        best = std::max(best, fit);
        const auto n = timesFitting(request.resources, candidate.free, std::min(request.count, candidate.maxTasks));
        if (n < 1 || fit == Fit::MissesDeadline)
            continue;
        const auto speed = speedClass(effectiveSlowness(candidate, limits));
        const uint64_t tieBreak = (request.salt + i * 0x9E3779B97F4A7C15U) >> 40U;
        if (fit == Fit::Safe) {
            const auto leftCpu = static_cast<double>((candidate.free - request.resources * n).cpu);
            const double share = candidate.isPreferred ? limits.reservedShare : limits.contendedReservedShare;
            const bool keepsReserve = leftCpu >= share * static_cast<double>(candidate.total.cpu);
            // Speed doesn't count on servers that other entries prefer, else all entries would order from the same fast
            // server.
            const auto fastestFirst = candidate.isPreferred ? -speed : 0;
            // A trial comes first: it risks one task only and may put a whole server back into use.
            const std::tuple rank { candidate.isTrial, keepsReserve, candidate.isPreferred,
                keepsReserve ? fastestFirst : speed, n, tieBreak };
            if (!safe || rank > safeRank) {
                safe = { i, n };
                safeRank = rank;
            }
            continue;
        }
        // A task that will be late anyway goes to the slowest server, and leaves the fast ones to others.
        const std::tuple rank { fit, fit == Fit::Late ? speed : -speed, candidate.isPreferred, n, tieBreak };
        if (!other || rank > otherRank) {
            other = { i, n };
            otherRank = rank;
        }
    }
    if (safe || !other)
        return safe;
    const auto fit = std::get<Fit>(otherRank);
    if (fit == best)
        return other;
    if (fit == Fit::Late)
        return std::nullopt; // It can still be in time on a server that is full now.
    const auto spare = spareTime(
        FloatMs(request.estimate), effectiveSlowness(candidates[other->candidate], limits), request, limits);
    const auto maxHold = (spare + request.waited) * limits.maxHoldShare;
    return FloatMs(request.waited) < maxHold ? std::nullopt : other;
}

Milliseconds slackToObjective(const QueuedJob& job, const TaskPlacementLimits& limits)
{
    const auto allowed = FloatMs(job.criticalPath) * job.stretch + job.objective;
    return toMilliseconds(allowed - FloatMs(job.criticalPath) * job.slowness - job.age - limits.overhead);
}

Milliseconds slackToLateLimit(const QueuedJob& job, const TaskPlacementLimits& limits)
{
    const auto allowed = (FloatMs(job.criticalPath) * job.stretch + job.objective) * limits.lateFactor;
    const auto byObjective = allowed - FloatMs(job.age) - FloatMs(job.criticalPath) * job.slowness - limits.overhead;
    return std::min(toMilliseconds(byObjective), slackToDeadline(job, limits));
}

Milliseconds slackToDeadline(const QueuedJob& job, const TaskPlacementLimits& limits)
{
    return toMilliseconds(FloatMs(job.remaining) - FloatMs(job.criticalPath) * job.slowness - limits.overhead);
}

namespace {

    /** Time until queued work is done, while other work overtakes it. */
    Milliseconds predictWait(double work, double capacity, double overtaking)
    {
        constexpr double minShare = 0.1; // At least this part of the capacity counts, so that the wait is finite.
        constexpr double minCapacity = 1;
        constexpr double maxWaitMs = 60000;
        const double available = std::max({ capacity - overtaking, capacity * minShare, minCapacity });
        return Milliseconds(static_cast<int64_t>(std::min(work / available, maxWaitMs)));
    }

} // namespace

Admission admit(const QueuedJob& job, const LoadView& load, const TaskPlacementLimits& limits)
{
    Admission out;
    if (load.queuedWork <= 0 || !load.isComplete)
        return out;
    out.predictedWait = predictWait(load.workAhead, load.capacity, load.overtakingRate);
    if (out.predictedWait <= slackToObjective(job, limits))
        return out;
    out.predictedWait = predictWait(load.queuedWork, load.capacity, load.arrivalRate * limits.lateOvertakingShare);
    // An answer after the late limit is worth nothing, so a job that can still meet the limit isn't kept for longer.
    const auto toLateLimit = slackToLateLimit(job, limits);
    const auto slack = toLateLimit.count() >= 0 ? toLateLimit : std::max(slackToDeadline(job, limits), Milliseconds(0));
    out.decision = out.predictedWait <= slack ? AdmissionDecision::Late : AdmissionDecision::Reject;
    if (out.decision == AdmissionDecision::Reject)
        out.retryAfter = out.predictedWait - slack;
    return out;
}

} // namespace sequoia
