/** @file RunProgress.cpp Decisions on runs that take longer than expected. */
#include <sequoia/RunProgress.h>

#include <algorithm>

namespace sequoia {

namespace {

    using FloatMs = std::chrono::duration<double, std::milli>;

    constexpr uint32_t wholePercent = 100;

} // namespace

RunProgress::RunProgress(const RunProgressLimits& limits)
    : m_limits(limits)
{
}

void RunProgress::listed(std::optional<uint32_t> percent, Microseconds elapsed)
{
    if (percent && elapsed - m_later.at >= m_limits.speedWindow) {
        m_earlier = m_later;
        m_later = { elapsed, *percent };
    }
    if (!percent || (m_percent && *percent <= *m_percent))
        return;
    m_hasRisen = m_percent.has_value();
    m_percent = percent;
    m_percentAt = elapsed;
    if (*percent >= m_limits.minPercent && elapsed.count() > 0)
        m_highestSpeed = std::max(m_highestSpeed, *percent / FloatMs(elapsed).count());
}

Microseconds RunProgress::allowedTime(const RunTimes& times) const
{
    return toMicroseconds(times.expected * m_limits.stuckFactor) + m_limits.margin;
}

Microseconds RunProgress::confirmTime() const
{
    // The percent is a whole number, and the listing that first shows it may come late.
    constexpr double margin = 1.5;
    const auto perPercent = m_percentAt / std::max<int64_t>(m_percent.value_or(0), 1);
    return std::max(toMicroseconds(perPercent * margin), Microseconds(m_limits.minConfirmTime));
}

RunPace RunProgress::judge(const RunTimes& times)
{
    const auto allowed = allowedTime(times);
    if (times.elapsed <= allowed || times.lastListed < times.expected + m_limits.margin)
        return RunPace::InTime;
    if (m_percent.value_or(0) == 0)
        return RunPace::Stuck;
    const auto unchanged = times.lastListed - m_percentAt;
    if (m_isProgressing)
        return unchanged > allowed ? RunPace::Stuck : RunPace::Progressing;
    if (unchanged >= confirmTime())
        return RunPace::Stuck;
    m_isProgressing
        = m_hasRisen && times.elapsed - m_percentAt <= std::max(confirmTime(), Microseconds(m_limits.listingLead));
    return m_isProgressing ? RunPace::Progressing : RunPace::InTime;
}

Microseconds RunProgress::listingWanted(const RunTimes& times) const
{
    const auto due = times.expected + m_limits.margin;
    const auto allowed = allowedTime(times);
    if (!times.listsPercent)
        return due;
    if (times.elapsed > due && m_percent.value_or(0) == 0)
        return due;
    if (m_isProgressing)
        return m_percentAt + allowed;
    // Entries have to hear of the progress before they take the run for a straggler.
    if (times.elapsed <= std::max(due, allowed - m_limits.listingLead))
        return times.expected + m_limits.margin / 2;
    return std::max({ m_percentAt + confirmTime(), allowed - m_limits.listingLead, due });
}

std::optional<Microseconds> RunProgress::predictedTime(Microseconds lastListed) const
{
    if (m_percent.value_or(0) == 0)
        return std::nullopt;
    constexpr double rounding = 0.5; // The percent is rounded down.
    const auto whole = std::min<double>(*m_percent + rounding, wholePercent);
    const auto fromRise = toMicroseconds(m_percentAt * (wholePercent / whole));
    const auto atLeast = toMicroseconds(lastListed * (double(wholePercent) / std::min(*m_percent + 1, wholePercent)));
    return std::max(fromRise, atLeast);
}

bool RunProgress::hasSpeed(const RunTimes& times) const
{
    return m_percent.value_or(0) >= m_limits.minPercent || (m_percent && times.lastListed > times.expected);
}

bool RunProgress::isNormal(const RunTimes& times) const
{
    const auto predicted = predictedTime(times.lastListed);
    return hasSpeed(times) && predicted && *predicted <= times.expected * m_limits.normalFactor;
}

bool RunProgress::isNormalLately(const RunTimes& times) const
{
    if (m_percent.value_or(0) < m_earlier.percent + m_limits.minPercent || times.expected.count() == 0)
        return false;
    const auto time = FloatMs(times.lastListed - m_earlier.at) / (*m_percent - m_earlier.percent) * wholePercent;
    return time <= times.expected * m_limits.normalFactor;
}

bool RunProgress::isSlow(const RunTimes& times) const
{
    const auto predicted = predictedTime(times.lastListed);
    return hasSpeed(times) && predicted && *predicted > allowedTime(times);
}

bool RunProgress::hasSlowedDown(Microseconds lastListed) const
{
    return m_percent && *m_percent / FloatMs(lastListed).count() * m_limits.fallFactor < m_highestSpeed;
}

SlowCause causeOf(const SlowRunEvidence& evidence, const RunProgressLimits& limits)
{
    if (evidence.hasSlowedDown)
        return SlowCause::Server;
    if (evidence.hasNormalRun)
        return SlowCause::Task;
    const bool isProved
        = evidence.slowJobs >= limits.slowJobs || (evidence.slowJobs > 1 && evidence.slowRuns >= limits.slowRuns);
    return isProved ? SlowCause::Server : SlowCause::Unknown;
}

bool isBetterLeft(const ReportedProgress& progress, std::optional<double> slownessElsewhere, Milliseconds handover,
    const RunProgressLimits& limits)
{
    // A run that should have ended long ago has come to a halt, or its agent has.
    if (progress.isStuck || progress.age > progress.remaining * limits.stuckFactor + limits.margin)
        return false;
    if (!slownessElsewhere)
        return true;
    const auto elsewhere = FloatMs(progress.work) * *slownessElsewhere + handover;
    return progress.remaining - progress.age <= elsewhere * limits.minGain;
}

} // namespace sequoia
