/** @file JobClaims.cpp Claims of entries to jobs at one agent. */
#include <sequoia/JobClaims.h>

#include <algorithm>

namespace sequoia {

bool JobClaims::claim(Incarnation entry, WorkId job, Incarnation predecessor)
{
    const auto [it, isNew] = m_claims.try_emplace(job, Claim { entry, {} });
    auto& claim = it->second;
    if (claim.holder == predecessor && isLost(predecessor)) {
        claim.holder = entry;
        std::erase(claim.waiting, entry);
    }
    if (isNew || claim.holder == entry)
        return true;
    if (std::find(claim.waiting.begin(), claim.waiting.end(), entry) == claim.waiting.end())
        claim.waiting.push_back(entry);
    return false;
}

Incarnation JobClaims::holderOf(WorkId job) const
{
    const auto it = m_claims.find(job);
    return it == m_claims.end() ? Incarnation() : it->second.holder;
}

std::map<WorkId, JobClaims::Claim>::iterator JobClaims::passOn(
    std::map<WorkId, Claim>::iterator it, std::vector<ClaimOfEntry>& granted)
{
    auto& claim = it->second;
    if (claim.waiting.empty())
        return m_claims.erase(it);
    claim.holder = claim.waiting.front();
    claim.waiting.pop_front();
    granted.push_back({ it->first, claim.holder });
    return std::next(it);
}

std::vector<ClaimOfEntry> JobClaims::release(Incarnation entry, const std::vector<WorkId>& jobs)
{
    std::vector<ClaimOfEntry> granted;
    for (const auto job : jobs) {
        const auto it = m_claims.find(job);
        if (it == m_claims.end())
            continue;
        std::erase(it->second.waiting, entry);
        if (it->second.holder == entry)
            passOn(it, granted);
    }
    return granted;
}

std::vector<ClaimOfEntry> JobClaims::releaseOthers(Incarnation entry, const std::vector<WorkId>& jobs)
{
    std::vector<WorkId> released;
    for (const auto& [job, claim] : m_claims) {
        if (std::find(jobs.begin(), jobs.end(), job) == jobs.end())
            released.push_back(job);
    }
    return release(entry, released);
}

void JobClaims::entryLost(Incarnation entry, TimePoint lapse)
{
    m_lapses[entry] = lapse;
    for (auto& [job, claim] : m_claims)
        std::erase(claim.waiting, entry);
}

std::vector<ClaimOfEntry> JobClaims::waitingFor(Incarnation holder) const
{
    std::vector<ClaimOfEntry> waiting;
    for (const auto& [job, claim] : m_claims) {
        for (const auto entry : claim.waiting) {
            if (claim.holder == holder)
                waiting.push_back({ job, entry });
        }
    }
    return waiting;
}

void JobClaims::entryLinked(Incarnation entry) { m_lapses.erase(entry); }

std::vector<ClaimOfEntry> JobClaims::expire(TimePoint now)
{
    std::vector<ClaimOfEntry> granted;
    std::erase_if(m_lapses, [&](const auto& lapse) {
        if (now < lapse.second)
            return false;
        for (auto it = m_claims.begin(); it != m_claims.end();)
            it = it->second.holder == lapse.first ? passOn(it, granted) : std::next(it);
        return true;
    });
    return granted;
}

} // namespace sequoia
