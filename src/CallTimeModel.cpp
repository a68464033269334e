/** @file CallTimeModel.cpp Decaying maximum of the answer times of calls. */
#include <sequoia/CallTimeModel.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

using FloatMs = std::chrono::duration<double, std::milli>;

CallTimeModel::CallTimeModel(const CallTimeModelLimits& limits)
    : m_limits(limits)
{
}

double CallTimeModel::peakMs(TimePoint now) const
{
    return m_peakMs * std::exp2(-FloatMs(now - m_peakAt) / FloatMs(m_limits.halfLife));
}

void CallTimeModel::learn(Microseconds answerTime, TimePoint now)
{
    m_peakMs = std::max(peakMs(now), FloatMs(answerTime).count());
    m_peakAt = now;
}

Milliseconds CallTimeModel::timeout(TimePoint now) const
{
    const auto learned = Milliseconds(static_cast<int64_t>(std::ceil(peakMs(now) * m_limits.margin)));
    return std::clamp(learned, m_limits.min, m_limits.max);
}

} // namespace sequoia
