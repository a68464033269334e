/** @file CallerPatience.cpp Usual waiting times by route. */
#include <sequoia/ResubmissionDetector.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

ResubmissionDetector::ResubmissionDetector(const ResubmissionDetectorLimits& limits)
    : m_limits(limits)
{
}

void ResubmissionDetector::restore(const Learned& learned)
{
    for (const auto& [name, patience] : learned.callerTimeouts) {
        if (m_routes.size() < m_limits.maxRoutes)
            m_routes.try_emplace(name, patience);
    }
}

Milliseconds ResubmissionDetector::waitedBefore(const std::string& name, Milliseconds budget)
{
    if (m_routes.size() >= m_limits.maxRoutes && !m_routes.contains(name))
        return Milliseconds(0);
    auto& route = m_routes[name];
    const double time = std::log(std::max(static_cast<double>(budget.count()), 1.0));
    const double variance = (route.squares + m_limits.priorSpread * m_limits.priorSpread * m_limits.priorRequests)
        / (route.requests + m_limits.priorRequests);
    const double reach = m_limits.deviations * std::sqrt(variance);
    const double least = route.mean - reach;
    const bool isShort = route.requests >= m_limits.minRequests && time < least;
    route.shortShare += ((isShort ? 1.0 : 0.0) - route.shortShare) / m_limits.shareWindowRequests;
    if (isShort && route.shortShare <= m_limits.maxShortShare)
        return std::max(Milliseconds(static_cast<int64_t>(std::exp(least))) - budget, m_limits.minResendDelay);
    // The first requests after a start may be repeated ones: a much longer time replaces what they showed.
    if (route.requests < m_limits.minRequests && time > route.mean + reach)
        route = { 0, 0, 0, route.shortShare };
    const double keep = 1 - 1 / m_limits.windowRequests;
    route.requests = route.requests * keep + 1;
    const double difference = time - route.mean;
    route.mean += difference / route.requests;
    const double below = std::min(difference, 0.0);
    route.squares = route.squares * keep + 2 * below * below; // Both sides would add as much if they were alike.
    return Milliseconds(0);
}

} // namespace sequoia
