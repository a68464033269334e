/** @file EstimateModel.cpp Regression of run times on estimates, with exponentially decaying weights. */
#include <sequoia/EstimateModel.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

namespace {

    constexpr double minMs = 0.1; // Lower bound of times, as the logarithm of 0 isn't finite.

    double logMs(double ms) { return std::log(std::max(ms, minMs)); }

} // namespace

EstimateModel::EstimateModel(const EstimateModelLimits& limits)
    : m_limits(limits)
{
}

const LearnedRunTimes* EstimateModel::find(const std::string& route, Milliseconds estimate) const
{
    const auto& routes = estimate.count() > 0 ? m_declared : m_undeclared;
    const auto it = routes.find(route);
    return it == routes.end() ? nullptr : &it->second;
}

double EstimateModel::slopeOf(const LearnedRunTimes& route) const
{
    // The prior has a slope of 1, that of estimates without a random error; with few jobs the slope stays close to it.
    const double prior = m_limits.priorJobs * m_limits.priorSpread * m_limits.priorSpread;
    return std::clamp((route.sumXY + prior) / (route.sumXX + prior), 0.0, 1.0);
}

double EstimateModel::expectedLog(const LearnedRunTimes& route, double x) const
{
    const double confidence = route.weight / (route.weight + m_limits.priorJobs);
    const double shift = (route.meanY - route.meanX - m_offset) * confidence;
    return route.meanX + shift + slopeOf(route) * (x - route.meanX);
}

Milliseconds EstimateModel::expected(const std::string& route, Milliseconds estimate) const
{
    const auto* known = find(route, estimate);
    if (known == nullptr)
        return estimate;
    const double y = estimate.count() > 0 ? expectedLog(*known, logMs(static_cast<double>(estimate.count())))
                                          : known->meanY - m_offset;
    return Milliseconds(std::max<int64_t>(std::llround(std::exp(y)), 1));
}

double EstimateModel::spread(const std::string& route) const
{
    const auto it = m_declared.find(route);
    const double prior = m_limits.priorSpread * m_limits.priorSpread * m_limits.priorJobs;
    if (it == m_declared.end())
        return m_limits.priorSpread;
    return std::sqrt((it->second.sumResidual + prior) / (it->second.weight + m_limits.priorJobs));
}

void EstimateModel::learn(const std::string& name, Milliseconds estimate, Microseconds ran)
{
    auto& routes = estimate.count() > 0 ? m_declared : m_undeclared;
    if (routes.size() >= m_limits.maxRoutes && !routes.contains(name))
        return;
    using FloatMs = std::chrono::duration<double, std::milli>;
    const double x = logMs(static_cast<double>(estimate.count()));
    const double y = logMs(FloatMs(ran).count());
    auto& route = routes[name];
    const double decay = 1 - 1 / m_limits.windowJobs;
    const double residual = route.weight > 0 ? y - m_offset - expectedLog(route, x) : y - m_offset - x;
    route.weight = route.weight * decay + 1;
    const double dx = x - route.meanX;
    route.meanX += dx / route.weight;
    route.meanY += (y - route.meanY) / route.weight;
    route.sumXX = route.sumXX * decay + dx * (x - route.meanX);
    route.sumXY = route.sumXY * decay + dx * (y - route.meanY);
    route.sumResidual = route.sumResidual * decay + residual * residual;
    if (estimate.count() == 0)
        return;
    m_offsetWeight = m_offsetWeight * decay + 1;
    m_offset += (y - x - m_offset) / m_offsetWeight;
}

void EstimateModel::saveTo(Learned& out) const
{
    out.declared = m_declared;
    out.undeclared = m_undeclared;
}

void EstimateModel::restore(const Learned& learned)
{
    for (const auto& [name, times] : learned.declared) {
        if (m_declared.size() >= m_limits.maxRoutes || !m_declared.try_emplace(name, times).second)
            continue;
        m_offset += (times.meanY - times.meanX - m_offset) * times.weight / (m_offsetWeight + times.weight);
        m_offsetWeight += times.weight;
    }
    for (const auto& [name, times] : learned.undeclared) {
        if (m_undeclared.size() < m_limits.maxRoutes)
            m_undeclared.try_emplace(name, times);
    }
}

} // namespace sequoia
