/** @file Placement.cpp Agent table with its index, and placement policies. */
#include <sequoia/Placement.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>

namespace sequoia {

AgentIndex AgentTable::intern(const std::string& name)
{
    const auto [it, isNew] = m_byName.try_emplace(name, AgentIndex(m_agents.size()));
    if (isNew) {
        m_agents.emplace_back();
        m_agents.back().name = name;
    }
    return it->second;
}

std::optional<AgentIndex> AgentTable::byLink(LinkId link) const
{
    const auto it = m_byLink.find(link);
    if (it == m_byLink.end())
        return std::nullopt;
    return it->second;
}

void AgentTable::bindLink(AgentIndex index, LinkId link)
{
    m_byLink[link] = index;
    at(index).link = link;
    at(index).isLinked = true;
    refreshSums(index);
}

namespace {

    constexpr double bucketRatio = 1.25;
    constexpr double minBucketSlowness = 0.01; // Lower bound of the first bucket.
    constexpr double minRunSeconds = 1e-3;

    size_t bucketOf(double slowness, size_t count)
    {
        const double n = std::log(std::max(slowness, minBucketSlowness) / minBucketSlowness) / std::log(bucketRatio);
        return std::min(static_cast<size_t>(n), count - 1);
    }

    double slownessOf(size_t bucket)
    {
        return minBucketSlowness * std::pow(bucketRatio, static_cast<double>(bucket) + 0.5);
    }

} // namespace

void AgentTable::refreshSums(AgentIndex index)
{
    auto& agent = at(index);
    if (agent.slotsFreedPerSecond > 0) {
        m_slotsFreedPerSecond.at(agent.bucket) -= agent.slotsFreedPerSecond;
        --m_busyAgents.at(agent.bucket);
    }
    const bool isWorking = agent.isLinked && !agent.outstanding.empty();
    agent.bucket = bucketOf(agent.slowness, bucketCount);
    agent.slotsFreedPerSecond
        = isWorking ? static_cast<double>(agent.outstanding.size()) / std::max(agent.meanRunSeconds, minRunSeconds) : 0;
    if (isWorking) {
        m_slotsFreedPerSecond.at(agent.bucket) += agent.slotsFreedPerSecond;
        ++m_busyAgents.at(agent.bucket);
    }
}

void AgentTable::setMeanRun(AgentIndex index, double seconds)
{
    at(index).meanRunSeconds = seconds;
    refreshSums(index);
}

double AgentTable::slotsFreedPerSecondByFaster(double slowness) const
{
    const auto end = m_slotsFreedPerSecond.begin() + static_cast<std::ptrdiff_t>(bucketOf(slowness, bucketCount));
    return std::accumulate(m_slotsFreedPerSecond.begin(), end, 0.0);
}

std::optional<double> AgentTable::slownessOfFastestBusy() const
{
    const auto it = std::find_if(m_busyAgents.begin(), m_busyAgents.end(), [](uint32_t n) { return n > 0; });
    if (it == m_busyAgents.end())
        return std::nullopt;
    return slownessOf(static_cast<size_t>(it - m_busyAgents.begin()));
}

void AgentTable::unbindLink(LinkId link)
{
    if (const auto index = byLink(link)) {
        at(*index).isLinked = false;
        setGrants(*index, 0);
        refreshSums(*index);
    }
    m_byLink.erase(link);
}

void AgentTable::setGrants(AgentIndex index, uint32_t grants)
{
    auto& agent = at(index);
    m_totalGrants += grants - agent.grants;
    if (agent.grants == 0 && grants > 0)
        m_agentsWithGrants.emplace(agent.slowness, index);
    if (agent.grants > 0 && grants == 0)
        m_agentsWithGrants.erase({ agent.slowness, index });
    agent.grants = grants;
    if (grants == 0)
        agent.holdsTrial = false;
}

void AgentTable::setSlowness(AgentIndex index, double slowness)
{
    auto& agent = at(index);
    if (agent.grants > 0) {
        m_agentsWithGrants.erase({ agent.slowness, index });
        m_agentsWithGrants.emplace(slowness, index);
    }
    agent.slowness = slowness;
    refreshSums(index);
}

void AgentTable::addOutstanding(AgentIndex index, const TaskKey& task)
{
    if (!at(index).outstanding.insert(task).second)
        return;
    ++m_totalOutstanding;
    refreshSums(index);
}

bool AgentTable::removeOutstanding(AgentIndex index, const TaskKey& task)
{
    if (at(index).outstanding.erase(task) == 0)
        return false;
    --m_totalOutstanding;
    refreshSums(index);
    return true;
}

namespace {

    /** A trial grant is used only for tasks that the caller allows to run again. */
    bool mayUse(const AgentRecord& agent, const PlacementTask& task)
    {
        return !agent.holdsTrial || task.isRepeatable || agent.grants > 1;
    }

    std::optional<AgentIndex> fastestUsable(const AgentTable& agents, const PlacementTask& task)
    {
        for (const auto& [slowness, index] : agents.agentsWithGrants()) {
            if (mayUse(agents.at(index), task))
                return index;
        }
        return std::nullopt;
    }

    bool acceptsStarts(const AgentRecord& agent) { return agent.isLinked && !agent.isWithdrawn; }

    std::optional<AgentIndex> randomLinked(const AgentTable& agents, std::mt19937_64& random)
    {
        if (agents.size() == 0)
            return std::nullopt;
        const size_t first = random() % agents.size();
        for (size_t i = 0; i < agents.size(); ++i) {
            const auto index = AgentIndex((first + i) % agents.size());
            if (acceptsStarts(agents.at(index)))
                return index;
        }
        return std::nullopt;
    }

} // namespace

PlacementPolicy fastestGrant() { return fastestUsable; }

PlacementPolicy earliestFinish(WaitPolicy wait)
{
    return [wait](const AgentTable& agents, const PlacementTask& task) -> std::optional<AgentIndex> {
        const auto best = fastestUsable(agents, task);
        if (!best || task.declaredRunTime.count() == 0)
            return best;
        const double slowness = agents.at(*best).slowness;
        const double fastestSlowness = agents.slownessOfFastestBusy().value_or(slowness);
        const double slotsPerSecond = agents.slotsFreedPerSecondByFaster(slowness);
        if (slowness < fastestSlowness * wait.minSlownessRatio || slotsPerSecond <= 0)
            return best;
        const double seconds = std::chrono::duration<double>(task.declaredRunTime).count();
        const double waitSeconds = static_cast<double>(task.queuedTasks) / slotsPerSecond;
        if (waitSeconds + fastestSlowness * seconds < wait.maxFinishRatio * slowness * seconds)
            return std::nullopt;
        return best;
    };
}

PlacementPolicy randomWithRefusal(uint64_t seed)
{
    auto random = std::make_shared<std::mt19937_64>(seed);
    return [random](const AgentTable& agents, const PlacementTask&) { return randomLinked(agents, *random); };
}

PlacementPolicy leastOutstanding()
{
    return [](const AgentTable& agents, const PlacementTask&) {
        std::optional<AgentIndex> best;
        for (size_t i = 0; i < agents.size(); ++i) {
            const auto& agent = agents.at(AgentIndex(i));
            if (!acceptsStarts(agent))
                continue;
            if (!best || agent.outstanding.size() < agents.at(*best).outstanding.size())
                best = AgentIndex(i);
        }
        return best;
    };
}

PlacementPolicy twoChoices(uint64_t seed)
{
    auto random = std::make_shared<std::mt19937_64>(seed);
    return [random](const AgentTable& agents, const PlacementTask&) {
        const auto first = randomLinked(agents, *random);
        const auto second = randomLinked(agents, *random);
        if (!first || !second)
            return first;
        const bool isFirstBusier = agents.at(*first).outstanding.size() > agents.at(*second).outstanding.size();
        return isFirstBusier ? second : first;
    };
}

std::optional<PlacementPolicy> placementPolicy(const std::string& name, const std::string& profile, uint64_t seed)
{
    if (name == "grants")
        return earliestFinish(profile == "messages" ? messagesFirst : responseFirst);
    if (name == "fastest-grant")
        return fastestGrant();
    if (name == "random")
        return randomWithRefusal(seed);
    if (name == "least-outstanding")
        return leastOutstanding();
    if (name == "two-choices")
        return twoChoices(seed);
    return std::nullopt;
}

} // namespace sequoia
