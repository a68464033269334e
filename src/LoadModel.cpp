/** @file LoadModel.cpp Exponentially weighted rates of arriving and finished work. */
#include <sequoia/LoadModel.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

using FloatMs = std::chrono::duration<double, std::milli>;

void WorkRate::add(double work, TimePoint now)
{
    if (m_first == TimePoint())
        m_first = now;
    m_sum = m_sum * std::exp(-FloatMs(now - m_last) / FloatMs(m_timeConstant)) + work;
    m_last = now;
}

double WorkRate::perMs(TimePoint now) const
{
    if (m_first == TimePoint())
        return 0;
    // Shortly after the first addition the sum covers less than the time constant, so the divisor is smaller as well.
    constexpr double minElapsedMs = 50;
    const auto elapsed = std::max(FloatMs(now - m_first).count(), minElapsedMs);
    const double constantMs = FloatMs(m_timeConstant).count();
    return m_sum * std::exp(-FloatMs(now - m_last) / FloatMs(m_timeConstant))
        / (constantMs * (1 - std::exp(-elapsed / constantMs)));
}

LoadModel::LoadModel(LoadModelLimits limits)
    : m_limits(limits)
    , m_finished(limits.serviceTimeConstant)
{
}

void LoadModel::recordArrival(uint32_t priority, double work, TimePoint now)
{
    m_arrivals.try_emplace(priority, m_limits.arrivalTimeConstant).first->second.add(work, now);
}

void LoadModel::recordCompletion(double work, TimePoint now) { m_finished.add(work, now); }

void LoadModel::capacityChanged(double before, double after, TimePoint now)
{
    if (before > 0 && after > 0) {
        m_finished.scale(after / before);
    } else if (before != after) {
        m_finished = WorkRate(m_limits.serviceTimeConstant);
        m_backloggedSince = now;
    }
}

void LoadModel::setBacklogged(bool isBacklogged, TimePoint now)
{
    if (isBacklogged && !m_isBacklogged)
        m_backloggedSince = now;
    m_isBacklogged = isBacklogged;
}

double LoadModel::arrivalRateBefore(uint32_t priority, TimePoint now) const
{
    double sum = 0;
    for (const auto& [other, rate] : m_arrivals)
        sum += other < priority ? rate.perMs(now) : 0;
    return sum;
}

double LoadModel::arrivalRate(TimePoint now) const
{
    double sum = 0;
    for (const auto& [priority, rate] : m_arrivals)
        sum += rate.perMs(now);
    return sum;
}

double LoadModel::capacity(double share, TimePoint now) const
{
    if (!m_isBacklogged)
        return share;
    const auto observed = std::max(FloatMs(now - m_backloggedSince - m_limits.serviceDelay), FloatMs(0));
    const double weight = 1 - std::exp(-observed / FloatMs(m_limits.serviceTimeConstant));
    return std::max(m_finished.perMs(now) * weight + share * (1 - weight), share * m_limits.minShare);
}

} // namespace sequoia
