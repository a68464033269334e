/** @file SpeedModel.cpp Exponential averages of the logarithm of run time over expected time. */
#include <sequoia/SpeedModel.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

using FloatMs = std::chrono::duration<double, std::milli>;

SpeedModel::SpeedModel(const SpeedModelLimits& limits)
    : m_limits(limits)
{
}

void SpeedModel::reset() { *this = SpeedModel(m_limits); }

void SpeedModel::restore(double slowness, uint32_t samples)
{
    if (samples <= m_samples || slowness <= 0)
        return;
    m_current = m_baseline = std::log(slowness);
    m_samples = m_currentSamples = samples;
}

double SpeedModel::current(TimePoint now) const
{
    const auto idle = FloatMs(now - m_lastSample - m_limits.staleAfter);
    if (m_samples == 0 || idle.count() <= 0)
        return m_current;
    const double decay = std::exp2(-idle / FloatMs(m_limits.halfLife));
    return m_baseline + (m_current - m_baseline) * decay;
}

double SpeedModel::slowness(TimePoint now) const { return std::exp(current(now)); }

double SpeedModel::spread() const
{
    // An exponential average with weight w has the variance of a mean of (2 - w) / w samples.
    const double maxSamples = (2 - m_limits.minWeight) / m_limits.minWeight;
    const double prior = std::pow(m_limits.sampleSpread / m_limits.priorSpread, 2);
    return m_limits.sampleSpread / std::sqrt(std::min<double>(m_currentSamples, maxSamples) + prior);
}

void SpeedModel::learn(Milliseconds expected, Microseconds ran, TimePoint now)
{
    if (expected.count() == 0)
        return;
    const double bound = std::log(m_limits.maxFactor);
    const double sample = std::clamp(std::log(FloatMs(ran) / FloatMs(expected)), -bound, bound);

    m_current = current(now);
    const double difference = sample - m_current;
    const bool isOutlier = std::abs(difference) > std::log(m_limits.changeFactor);
    const bool isSlow = difference > 0;
    if (!isOutlier || isSlow != m_isStreakSlow) {
        m_streak = 0;
        m_streakSum = 0;
    }
    m_isStreakSlow = isSlow;
    m_streak += isOutlier ? 1 : 0;
    m_streakSum += isOutlier ? sample : 0;

    const double prior = std::pow(m_limits.sampleSpread / m_limits.priorSpread, 2);
    const auto weight = [&](uint32_t samples, double minimum) { return std::max(1 / (samples + prior), minimum); };
    m_current += difference * weight(++m_currentSamples, m_limits.minWeight);
    m_baseline += (sample - m_baseline) * weight(++m_samples, m_limits.minBaselineWeight);
    m_lastSample = now;
    if (m_streak < m_limits.changeSamples)
        return;
    m_current = m_streakSum / m_streak;
    m_currentSamples = m_streak;
    m_streak = 0;
    m_streakSum = 0;
}

} // namespace sequoia
