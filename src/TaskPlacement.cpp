/** @file RoomPolicy.cpp Placing, ordering and refusing jobs that take room. */
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

    /** Time to spare until the objective and the caller's leave if the task takes `work` at slowness 1. */
    FloatMs spareTime(FloatMs work, double slowness, const PlacementRequest& request, const TaskPlacementLimits& limits)
    {
        // The objective is counted from the true work, so that a wrong estimate moves both sides of it.
        const auto toObjective = work * (request.stretch - slowness) + request.objective - request.waited;
        const auto toLeave = FloatMs(request.remaining) - work * slowness;
        return std::min(toObjective, toLeave) - limits.overhead;
    }

    /** Servers of almost equal speed are told apart by the room they have. */
    int64_t speedClass(double slowness)
    {
        constexpr double classesPerDoubling = 3;
        constexpr double least = 0.01;
        return std::llround(std::log2(std::max(slowness, least)) * classesPerDoubling);
    }

} // namespace

Fit fitOf(const PlacementCandidate& candidate, const PlacementRequest& request, const TaskPlacementLimits& limits)
{
    const auto slowness = effectiveSlowness(candidate, limits);
    const auto work = FloatMs(request.estimate);
    const auto nominal = spareTime(work, slowness, request, limits);
    const auto margin
        = std::max(std::exp(limits.slownessDeviations * candidate.slownessSpread), limits.minSlownessMargin);
    const auto leastWork = work * std::exp(-limits.minRunTimeDeviations * request.spread);
    const auto mostWork = work * std::exp(limits.maxRunTimeDeviations * request.spread);
    const auto longer = spareTime(mostWork, slowness * margin, request, limits);
    const auto shorter = spareTime(leastWork, slowness * margin, request, limits);
    if (std::min({ nominal, longer, shorter }).count() >= 0)
        return Fit::Safe;
    if (nominal.count() >= 0)
        return Fit::Likely;
    const auto useful = FloatMs(request.remaining - limits.overhead);
    return leastWork * slowness <= useful ? Fit::Late : Fit::MissesDeadline;
}

std::optional<PlacementChoice> choosePlacement(const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request, const TaskPlacementLimits& limits)
{
    auto best = Fit::MissesDeadline; // With or without room.
    std::optional<PlacementChoice> safe;
    std::tuple<bool, bool, bool, int64_t, int64_t, uint64_t> safeRank {};
    std::optional<PlacementChoice> other;
    std::tuple<Fit, int64_t, bool, int64_t, uint64_t> otherRank {};
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const auto fit = fitOf(candidate, request, limits);
        best = std::max(best, fit);
        const auto n = timesFitting(request.resources, candidate.free, std::min(request.count, candidate.maxTasks));
        if (n < 1 || fit == Fit::MissesDeadline)
            continue;
        const auto speed = speedClass(effectiveSlowness(candidate, limits));
        const uint64_t spread = (request.salt + i * 0x9E3779B97F4A7C15U) >> 40U;
        if (fit == Fit::Safe) {
            // A trial costs one task and may bring back a whole server.
            const auto left = static_cast<double>((candidate.free - request.resources * n).cpu);
            const double share = candidate.isPreferred ? limits.reservedShare : limits.contendedReservedShare;
            const bool keepsReserve = left >= share * static_cast<double>(candidate.total.cpu);
            // Entries that all went for the fastest of their old views would meet there.
            const auto fastest = candidate.isPreferred ? -speed : 0;
            const std::tuple rank { candidate.isTrial, keepsReserve, candidate.isPreferred,
                keepsReserve ? fastest : speed, n, spread };
            if (!safe || rank > safeRank) {
                safe = { i, n };
                safeRank = rank;
            }
            continue;
        }
        // What is late anyway is left to the slow servers.
        const std::tuple rank { fit, fit == Fit::Late ? speed : -speed, candidate.isPreferred, n, spread };
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
        return std::nullopt; // It can still be in time elsewhere.
    const auto spare = spareTime(
        FloatMs(request.estimate), effectiveSlowness(candidates[other->candidate], limits), request, limits);
    const auto longestHold = (spare + request.waited) * limits.maxHoldShare;
    return FloatMs(request.waited) < longestHold ? std::nullopt : other;
}

Milliseconds slackToObjective(const QueuedJob& work, const TaskPlacementLimits& limits)
{
    const auto allowed = FloatMs(work.criticalPath) * work.stretch + work.objective;
    return toMilliseconds(allowed - FloatMs(work.criticalPath) * work.slowness - work.age - limits.overhead);
}

Milliseconds slackToLateLimit(const QueuedJob& work, const TaskPlacementLimits& limits)
{
    const auto allowed = (FloatMs(work.criticalPath) * work.stretch + work.objective) * limits.lateFactor;
    const auto byObjective = allowed - FloatMs(work.age) - FloatMs(work.criticalPath) * work.slowness - limits.overhead;
    return std::min(toMilliseconds(byObjective), slackToDeadline(work, limits));
}

Milliseconds slackToDeadline(const QueuedJob& work, const TaskPlacementLimits& limits)
{
    return toMilliseconds(FloatMs(work.remaining) - FloatMs(work.criticalPath) * work.slowness - limits.overhead);
}

namespace {

    /** Time until work that waits is done, while other work overtakes it. */
    Milliseconds predictWait(double work, double capacity, double overtaking)
    {
        constexpr double leastShare = 0.1; // Of the capacity; keeps the prediction finite.
        constexpr double leastCapacity = 1;
        constexpr double longestWaitMs = 60000;
        const double left = std::max({ capacity - overtaking, capacity * leastShare, leastCapacity });
        return Milliseconds(static_cast<int64_t>(std::min(work / left, longestWaitMs)));
    }

} // namespace

Admission admit(const QueuedJob& work, const LoadView& load, const TaskPlacementLimits& limits)
{
    Admission out;
    if (load.queuedWork <= 0 || !load.isComplete)
        return out;
    out.predictedWait = predictWait(load.workAhead, load.capacity, load.overtakingRate);
    if (out.predictedWait <= slackToObjective(work, limits))
        return out;
    out.predictedWait = predictWait(load.queuedWork, load.capacity, load.arrivalRate * limits.lateOvertakingShare);
    const auto slack = std::max(slackToDeadline(work, limits), Milliseconds(0));
    out.decision = out.predictedWait <= slack ? AdmissionDecision::Late : AdmissionDecision::Reject;
    if (out.decision == AdmissionDecision::Reject)
        out.retryAfter = out.predictedWait - slack;
    return out;
}

} // namespace sequoia
