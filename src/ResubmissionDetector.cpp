/** @file ResubmissionDetector.cpp Mean and spread of request budgets by route. */
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
    for (const auto& [name, state] : learned.callerTimeouts) {
        if (m_routes.size() < m_limits.maxRoutes)
            m_routes.try_emplace(name, state);
    }
}

Milliseconds ResubmissionDetector::waitedBefore(const std::string& name, Milliseconds budget)
{
    if (m_routes.size() >= m_limits.maxRoutes && !m_routes.contains(name))
        return Milliseconds(0);
    auto& route = m_routes[name];
    const double logBudget = std::log(std::max(static_cast<double>(budget.count()), 1.0));
    const double variance = (route.squares + m_limits.priorSpread * m_limits.priorSpread * m_limits.priorRequests)
        / (route.requests + m_limits.priorRequests);
    const double tolerance = m_limits.deviations * std::sqrt(variance);
    const double minLogBudget = route.mean - tolerance;
    const bool isShort = route.requests >= m_limits.minRequests && logBudget < minLogBudget;
    route.shortShare += ((isShort ? 1.0 : 0.0) - route.shortShare) / m_limits.shareWindowRequests;
    if (isShort && route.shortShare <= m_limits.maxShortShare)
        return std::max(Milliseconds(static_cast<int64_t>(std::exp(minLogBudget))) - budget, m_limits.minResendDelay);
    // The first requests after a start may be resubmissions: a much longer budget replaces what they showed.
    if (route.requests < m_limits.minRequests && logBudget > route.mean + tolerance)
        route = { 0, 0, 0, route.shortShare };
    const double decay = 1 - 1 / m_limits.windowRequests;
    route.requests = route.requests * decay + 1;
    const double difference = logBudget - route.mean;
    route.mean += difference / route.requests;
    const double below = std::min(difference, 0.0);
    route.squares = route.squares * decay + 2 * below * below; // Doubled, as differences above the mean are ignored.
    return Milliseconds(0);
}

} // namespace sequoia
