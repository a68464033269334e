/** @file RunGateClaims.cpp Claims of entries to jobs at a run gate. */
#include <sequoia/RunGate.h>

#include <fmt/format.h>

namespace sequoia {

static std::vector<WorkId> workIds(const std::vector<uint64_t>& jobs)
{
    std::vector<WorkId> ids;
    ids.reserve(jobs.size());
    for (const auto job : jobs)
        ids.push_back(WorkId(job));
    return ids;
}

void RunGate::onClaim(LinkId linkId, const wire::JobClaimT& message, TimePoint now)
{
    const auto entry = m_links.at(linkId).entry;
    const auto jobs = workIds(message.jobs);
    if (message.is_complete)
        sendGranted(m_claims.releaseOthers(entry, jobs), now);
    for (const auto job : jobs) {
        const bool isGranted = m_claims.claim(entry, job, Incarnation(message.predecessor));
        sendClaimResult({ job, entry }, isGranted, now);
    }
}

void RunGate::sendClaimResult(const ClaimOfEntry& claim, bool isGranted, TimePoint now)
{
    wire::JobClaimResultT result;
    result.job = raw(claim.job);
    result.granted = isGranted;
    if (!isGranted) {
        const auto holder = m_claims.holderOf(claim.job);
        result.holder = raw(holder);
        result.is_lost = m_claims.isLost(holder);
        m_effects.record(LogLevel::Info, "claim-refused",
            { { "job", claim.job }, { "incarnation", fmt::format("{:016x}", raw(claim.entry)) },
                { "holder", fmt::format("{:016x}", raw(holder)) }, { "lost", result.is_lost ? "true" : "false" } });
    }
    send(*linkOf(claim.entry), result, now); // An entry without a link waits for nothing.
}

void RunGate::onRelease(LinkId linkId, const wire::JobReleaseT& message, TimePoint now)
{
    sendGranted(m_claims.release(m_links.at(linkId).entry, workIds(message.jobs)), now);
}

void RunGate::sendGranted(const std::vector<ClaimOfEntry>& claims, TimePoint now)
{
    for (const auto& claim : claims)
        sendClaimResult(claim, true, now);
}

void RunGate::sendEntryState(LinkId link, Incarnation entry, bool isLinked, TimePoint now)
{
    if (!m_links.at(link).takesClaims)
        return;
    wire::EntryStateT message;
    message.entry = raw(entry);
    message.is_linked = isLinked;
    send(link, message, now);
}

void RunGate::sendEntryStateToOthers(Incarnation entry, bool isLinked, TimePoint now)
{
    for (const auto& [id, link] : m_links) {
        if (link.entry != entry)
            sendEntryState(id, entry, isLinked, now);
    }
}

} // namespace sequoia
