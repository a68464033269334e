/** @file RoomPolicy.cpp Placing, ordering and refusing jobs that take room. */
#include <sequoia/RoomPolicy.h>

#include <cmath>
#include <tuple>

namespace sequoia {

namespace {

    using FloatMs = std::chrono::duration<double, std::milli>;

    FloatMs predictedRun(const RoomCandidate& candidate, const RoomRequest& request, const RoomPolicyLimits& limits)
    {
        return FloatMs(request.estimate) * candidate.slowness * (candidate.isNear ? 1.0 : limits.farFactor);
    }

    /** Longest run that still meets the objective. */
    FloatMs allowedRun(const RoomRequest& request, const RoomPolicyLimits& limits)
    {
        return FloatMs(request.estimate) * request.stretch + request.objective - request.waited - limits.overhead;
    }

} // namespace

std::optional<RoomChoice> choosePlace(
    const std::vector<RoomCandidate>& candidates, const RoomRequest& request, const RoomPolicyLimits& limits)
{
    const auto allowed = allowedRun(request, limits);
    const auto useful = FloatMs(request.remaining - limits.overhead);
    bool isWorthWaiting = false;
    std::optional<RoomChoice> inTime;
    std::tuple<bool, int64_t, uint64_t> inTimeRank {};
    std::optional<RoomChoice> late;
    std::tuple<double, int64_t> lateRank {};
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const auto run = predictedRun(candidate, request, limits);
        const bool meetsObjective = run <= allowed;
        isWorthWaiting |= meetsObjective;
        const auto most = std::min(request.count, candidate.mostHere);
        const auto n = timesFitting(request.room, candidate.free, most);
        if (n < 1)
            continue;
        const uint64_t spread = (request.salt + i * 0x9E3779B97F4A7C15U) >> 40U;
        if (meetsObjective) {
            const std::tuple rank { candidate.slowness > request.stretch, n, spread };
            if (!inTime || rank > inTimeRank) {
                inTime = { i, n };
                inTimeRank = rank;
            }
        } else if (run <= useful) {
            const std::tuple rank { -run.count(), n };
            if (!late || rank > lateRank) {
                late = { i, n };
                lateRank = rank;
            }
        }
    }
    if (inTime)
        return inTime;
    return isWorthWaiting ? std::nullopt : late;
}

Milliseconds slackToObjective(const QueuedWork& work, const RoomPolicyLimits& limits)
{
    const auto allowed = FloatMs(work.chain) * work.stretch + work.objective;
    return toMilliseconds(allowed - work.chain - work.age - limits.overhead);
}

Milliseconds slackToWorthless(const QueuedWork& work, const RoomPolicyLimits& limits)
{
    const auto allowed = (FloatMs(work.chain) * work.stretch + work.objective) * limits.lateFactor;
    const auto byObjective = toMilliseconds(allowed - work.age);
    return std::min(byObjective, work.remaining) - work.chain - limits.overhead;
}

Admission admit(const QueuedWork& work, const LoadView& load, const RoomPolicyLimits& limits)
{
    Admission out;
    if (load.aheadCpuMs <= 0)
        return out;
    constexpr double leastCpuPerMs = 0.001; // Keeps the prediction finite when nothing works.
    constexpr double longestWaitMs = 60000;
    const double wait = load.aheadCpuMs / std::max(load.cpuPerMs, leastCpuPerMs);
    out.predictedWait = Milliseconds(static_cast<int64_t>(std::min(wait, longestWaitMs)));
    const auto slack = slackToWorthless(work, limits);
    out.isAdmitted = out.predictedWait <= slack;
    if (!out.isAdmitted)
        out.retryAfter = out.predictedWait - std::max(slack, Milliseconds(0));
    return out;
}

} // namespace sequoia
