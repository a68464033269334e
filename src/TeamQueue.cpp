/** @file TeamQueue.cpp Weighted fair queueing between teams. */
#include <sequoia/TeamQueue.h>

#include <algorithm>

namespace sequoia {

size_t TeamQueue::intern(const std::string& team)
{
    const auto [it, isNew] = m_byName.try_emplace(team, m_teams.size());
    if (isNew) {
        m_teams.emplace_back();
        m_names.push_back(team);
    }
    return it->second;
}

void TeamQueue::refresh(size_t n)
{
    auto& team = m_teams[n];
    const bool isBelowQuota = team.policy.quota == 0 || team.running < team.policy.quota;
    const bool shouldBeReady = !team.waiting.empty() && isBelowQuota;
    if (shouldBeReady == team.isReady)
        return;
    if (shouldBeReady) {
        // A team earns no credit for the time in which it was idle.
        team.virtualTime = std::max(team.virtualTime, m_virtualNow);
        m_ready.emplace(team.virtualTime, n);
    } else {
        m_ready.erase({ team.virtualTime, n });
    }
    team.isReady = shouldBeReady;
}

void TeamQueue::setPolicy(const std::string& team, TeamPolicy policy)
{
    const size_t n = intern(team);
    m_teams[n].policy = policy;
    refresh(n);
}

void TeamQueue::push(const std::string& team, const JobKey& job, TimePoint virtualFinish)
{
    const size_t n = intern(team);
    m_teams[n].waiting.emplace(virtualFinish, job);
    refresh(n);
}

void TeamQueue::erase(const std::string& team, const JobKey& job, TimePoint virtualFinish)
{
    const size_t n = intern(team);
    m_teams[n].waiting.erase({ virtualFinish, job });
    refresh(n);
}

std::optional<JobKey> TeamQueue::front() const
{
    if (m_ready.empty())
        return std::nullopt;
    return m_teams[m_ready.begin()->second].waiting.begin()->second;
}

void TeamQueue::started(const std::string& name)
{
    const size_t n = intern(name);
    auto& team = m_teams[n];
    ++team.running;
    if (team.isReady)
        m_ready.erase({ team.virtualTime, n });
    m_virtualNow = std::max(m_virtualNow, team.virtualTime);
    team.virtualTime += 1.0 / team.policy.weight;
    if (team.isReady)
        m_ready.emplace(team.virtualTime, n);
    refresh(n);
}

void TeamQueue::ended(const std::string& name)
{
    const size_t n = intern(name);
    if (m_teams[n].running > 0)
        --m_teams[n].running;
    refresh(n);
}

std::vector<std::pair<std::string, size_t>> TeamQueue::depths() const
{
    std::vector<std::pair<std::string, size_t>> out;
    for (size_t i = 0; i < m_teams.size(); ++i) {
        if (!m_teams[i].waiting.empty())
            out.emplace_back(m_names[i], m_teams[i].waiting.size());
    }
    return out;
}

} // namespace sequoia
