/** @file LoadModel.cpp Averages of arriving and finished work. */
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
    // As long as the time since the first addition is shorter than the memory, the sum is of that time only.
    constexpr double shortestMs = 50;
    const auto elapsed = std::max(FloatMs(now - m_first).count(), shortestMs);
    const double memory = FloatMs(m_timeConstant).count();
    return m_sum * std::exp(-FloatMs(now - m_last) / FloatMs(m_timeConstant))
        / (memory * (1 - std::exp(-elapsed / memory)));
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
    const auto seen = std::max(FloatMs(now - m_backloggedSince - m_limits.serviceDelay), FloatMs(0));
    const double known = 1 - std::exp(-seen / FloatMs(m_limits.serviceTimeConstant));
    return std::max(m_finished.perMs(now) * known + share * (1 - known), share * m_limits.minShare);
}

} // namespace sequoia
