/** @file DispatcherClaims.cpp Claims of a dispatcher's jobs: a job runs only while the agents that its id ranks first
 * let no other entry run it. */
#include <sequoia/Dispatcher.h>

#include <algorithm>

namespace sequoia {

static uint64_t rankOf(WorkId job, uint64_t nameHash)
{
    constexpr uint64_t mix = 0x9E3779B97F4A7C15U;
    uint64_t n = (raw(job) ^ nameHash) * mix;
    n = (n ^ (n >> 29U)) * mix;
    return n ^ (n >> 32U);
}

bool Dispatcher::isClaimed(WorkId id) const
{
    const auto it = m_claims.find(id);
    return it != m_claims.end() && it->second.isHeld;
}

std::vector<size_t> Dispatcher::chooseClaimAgents(WorkId id, const Claim& claim) const
{
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        const auto& agent = m_agents[i];
        if (agent.isLinked && agent.takesClaims && !agent.isClaimOverdue && !claim.agents.contains(i))
            candidates.push_back(i);
    }
    if (candidates.empty())
        return {};
    const auto isHigher
        = [&](size_t a, size_t b) { return rankOf(id, m_agents[a].nameHash) > rankOf(id, m_agents[b].nameHash); };
    const auto first = *std::min_element(candidates.begin(), candidates.end(), isHigher);
    const auto isElsewhere = [&](size_t i) { return m_agents[i].failureDomain != m_agents[first].failureDomain; };
    const bool hasOthers = std::any_of(candidates.begin(), candidates.end(), isElsewhere);
    std::erase_if(candidates, [&](size_t i) { return i == first || (hasOthers && !isElsewhere(i)); });
    std::vector<size_t> chosen { first };
    if (!candidates.empty())
        chosen.push_back(*std::min_element(candidates.begin(), candidates.end(), isHigher));
    return chosen;
}

void Dispatcher::requestClaim(WorkId id, TimePoint now)
{
    auto& claim = m_claims[id];
    claim.askedAt = now;
    for (const auto i : chooseClaimAgents(id, claim)) {
        claim.agents[i] = {};
        wire::JobClaimT message;
        message.jobs.push_back(raw(id));
        send(m_agents[i], std::move(message), now);
    }
}

void Dispatcher::updateClaim(WorkId id, TimePoint now)
{
    auto& claim = m_claims.at(id);
    bool isGranted = false;
    bool isRefused = false;
    bool isAwaited = false; // An answer may still come.
    for (const auto& [i, asked] : claim.agents) {
        const auto state = asked.state;
        isGranted |= state == ClaimState::Granted;
        isRefused |= state == ClaimState::Refused;
        isAwaited |= state == ClaimState::Asked && !m_agents[i].isClaimOverdue && !isClaimOverdue(claim, now);
    }
    claim.isHeld = !isRefused && ((isGranted && !isAwaited) || !mayBeResubmission(now));
    if (claim.agents.empty()) // Agents of earlier releases keep no claims.
        claim.isHeld = linkedAgents() > 0 && std::none_of(m_agents.begin(), m_agents.end(), [](const AgentView& agent) {
            return agent.isLinked && agent.takesClaims;
        });
    if (findJob(id) == nullptr)
        return;
    if (claim.isHeld) {
        m_unclaimedJobs.erase(id);
    } else {
        m_unclaimedJobs.insert(id);
    }
}

bool Dispatcher::mayBeResubmission(TimePoint now) const
{
    return now < m_entriesDisturbedUntil; // A new link tells of what happened before.
}

void Dispatcher::entriesDisturbed(TimePoint now) { m_entriesDisturbedUntil = now + m_limits.orphanRetention; }

bool Dispatcher::isClaimOverdue(const Claim& claim, TimePoint now) const
{
    return m_catchUpUntil <= now && now - claim.askedAt >= m_limits.claimTimeout;
}

void Dispatcher::tickClaims(TimePoint now)
{
    for (const auto id : std::set(m_unclaimedJobs)) {
        auto& claim = m_claims.at(id);
        std::erase_if(claim.agents, [&](const auto& agent) {
            const auto& view = m_agents[agent.first];
            return agent.second.state == ClaimState::Refused && !view.isLinked
                && now - view.unlinkedAt > m_limits.runLapse;
        });
        const bool isOverdue = isClaimOverdue(claim, now);
        bool isAnswered = false;
        bool isAsked = false;
        for (const auto& [i, asked] : claim.agents) {
            auto& agent = m_agents[i];
            const auto state = asked.state;
            isAnswered |= state == ClaimState::Granted || state == ClaimState::Refused;
            isAsked |= state == ClaimState::Asked;
            agent.isClaimOverdue |= state == ClaimState::Asked && isOverdue && agent.lastReceived < claim.askedAt;
        }
        if (!isAnswered && (isOverdue || !isAsked))
            requestClaim(id, now);
        takeOverClaims(id, now);
        updateClaim(id, now);
    }
}

bool Dispatcher::areRunsKnownOf(Incarnation entry, TimePoint now) const
{
    return std::all_of(m_agents.begin(), m_agents.end(), [&](const AgentView& agent) {
        if (!agent.isLinked)
            return now - agent.unlinkedAt > m_limits.runLapse;
        const auto it = agent.lostEntries.find(entry);
        return it != agent.lostEntries.end() && now - it->second < m_limits.lostEntryRetention;
    });
}

void Dispatcher::takeOverClaims(WorkId id, TimePoint now)
{
    for (auto& [i, asked] : m_claims.at(id).agents) {
        if (asked.predecessor == Incarnation() || !m_agents[i].isLinked || !areRunsKnownOf(asked.predecessor, now))
            continue;
        wire::JobClaimT message;
        message.jobs.push_back(raw(id));
        message.predecessor = raw(std::exchange(asked.predecessor, Incarnation()));
        send(m_agents[i], std::move(message), now);
    }
}

void Dispatcher::onEntryState(size_t index, const wire::EntryStateT& message, TimePoint now)
{
    const Incarnation entry { message.entry };
    auto& lost = m_agents[index].lostEntries;
    std::erase_if(lost, [&](const auto& known) { return now - known.second > m_limits.lostEntryRetention; });
    lost.erase(entry);
    if (message.is_linked)
        return;
    lost[entry] = now;
    entriesDisturbed(now);
    for (const auto id : m_unclaimedJobs)
        takeOverClaims(id, now);
}

bool Dispatcher::onClaimResult(size_t index, const wire::JobClaimResultT& result, TimePoint now)
{
    const WorkId id { result.job };
    const auto it = m_claims.find(id);
    if (it == m_claims.end() || !it->second.agents.contains(index))
        return false;
    auto& asked = it->second.agents[index];
    asked.state = result.granted ? ClaimState::Granted : ClaimState::Refused;
    asked.predecessor = result.is_lost ? Incarnation(result.holder) : Incarnation();
    if (!result.granted) {
        ++m_counters.refusedClaims;
        if (auto* job = findJob(id))
            job->trace.add({ "claim-refused", now, {}, false, m_agents[index].name, {} });
    }
    const bool wasHeld = it->second.isHeld;
    takeOverClaims(id, now);
    updateClaim(id, now);
    return it->second.isHeld && !wasHeld;
}

void Dispatcher::renewClaims(size_t index, TimePoint now)
{
    wire::JobClaimT message;
    message.is_complete = true;
    for (auto& [id, claim] : m_claims) {
        const auto it = claim.agents.find(index);
        if (it == claim.agents.end())
            continue;
        if (it->second.state != ClaimState::Refused)
            it->second.state = ClaimState::Asked;
        if (!claim.isHeld)
            claim.askedAt = now;
        message.jobs.push_back(raw(id));
    }
    send(m_agents[index], std::move(message), now);
}

void Dispatcher::suspendClaims(size_t index, TimePoint now)
{
    std::vector<WorkId> changed;
    for (auto& [id, claim] : m_claims) {
        const auto it = claim.agents.find(index);
        if (it == claim.agents.end() || it->second.state == ClaimState::Refused)
            continue;
        it->second.state = ClaimState::Unlinked;
        changed.push_back(id);
    }
    for (const auto id : changed)
        updateClaim(id, now);
}

void Dispatcher::releaseClaimIfOver(WorkId id, TimePoint now)
{
    const auto it = m_claims.find(id);
    if (it == m_claims.end() || it->second.runs > 0 || findJob(id) != nullptr)
        return;
    for (const auto& [i, asked] : it->second.agents) {
        if (!m_agents[i].isLinked)
            continue; // It is told which claims there are when it links again.
        wire::JobReleaseT message;
        message.jobs.push_back(raw(id));
        send(m_agents[i], std::move(message), now);
    }
    m_claims.erase(it);
}

void Dispatcher::addRun(size_t agent, const RunId& id, TimePoint now)
{
    auto& view = m_agents[agent];
    if (view.runs.empty())
        view.lastHeard = now; // The shorter silence limit of links with runs counts from here.
    if (view.runs.insert(id).second)
        ++m_claims[id.task.job].runs;
}

bool Dispatcher::removeRun(size_t agent, const RunId& id)
{
    if (m_agents[agent].runs.erase(id) == 0)
        return false;
    --m_claims.at(id.task.job).runs;
    return true;
}

} // namespace sequoia
