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

void SpeedModel::recall(double slowness, uint32_t samples)
{
    if (samples <= m_samples || slowness <= 0)
        return;
    m_present = m_usual = std::log(slowness);
    m_samples = m_presentSamples = samples;
}

double SpeedModel::present(TimePoint now) const
{
    const auto idle = FloatMs(now - m_lastSample - m_limits.staleAfter);
    if (m_samples == 0 || idle.count() <= 0)
        return m_present;
    const double decay = std::exp2(-idle / FloatMs(m_limits.halfLife));
    return m_usual + (m_present - m_usual) * decay;
}

double SpeedModel::slowness(TimePoint now) const { return std::exp(present(now)); }

double SpeedModel::spread() const
{
    // An exponential average with weight w has the variance of a mean of (2 - w) / w samples.
    const double maxSamples = (2 - m_limits.leastWeight) / m_limits.leastWeight;
    const double prior = std::pow(m_limits.sampleSpread / m_limits.priorSpread, 2);
    return m_limits.sampleSpread / std::sqrt(std::min<double>(m_presentSamples, maxSamples) + prior);
}

void SpeedModel::learn(Milliseconds expected, Microseconds ran, TimePoint now)
{
    if (expected.count() == 0)
        return;
    const double bound = std::log(m_limits.most);
    const double sample = std::clamp(std::log(FloatMs(ran) / FloatMs(expected)), -bound, bound);

    m_present = present(now);
    const double difference = sample - m_present;
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
    m_present += difference * weight(++m_presentSamples, m_limits.leastWeight);
    m_usual += (sample - m_usual) * weight(++m_samples, m_limits.usualWeight);
    m_lastSample = now;
    if (m_streak < m_limits.changeSamples)
        return;
    m_present = m_streakSum / m_streak;
    m_presentSamples = m_streak;
    m_streak = 0;
    m_streakSum = 0;
}

} // namespace sequoia
