/** @file AgentGrants.cpp Distribution of an agent's free slots to entries, and their withdrawal. */
#include <sequoia/AgentCore.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

namespace {

    /** A freed slot goes to another entry only if that entry's oldest task has waited this much longer. */
    constexpr Microseconds reassignThreshold { 50000 };
    constexpr Milliseconds trialGrantTimeout { 2000 }; // A trial grant unused for this time is offered again.

} // namespace

uint32_t AgentCore::usableSlots() const
{
    // Each failed job halves the usable slots until a success, so that a server that fails every task affects few jobs.
    const auto halvings = std::min<size_t>(m_health.failures(), 31);
    return std::max(m_slots >> halvings, std::min(m_slots, 1U));
}

uint32_t AgentCore::freeSlots() const
{
    const uint32_t used = m_running + m_granted;
    const uint32_t usable = usableSlots();
    return usable > used ? usable - used : 0;
}

void AgentCore::entryLinked(LinkId id, const wire::WelcomeT& welcome, TimePoint now)
{
    auto& link = m_links[id];
    link.entry = Incarnation(welcome.incarnation);
    link.lastHeard = now;
    link.lastSent = now;
    link.heartbeatInterval = std::max(m_limits.heartbeatInterval, Milliseconds(welcome.beat_ms));
    link.running = static_cast<uint32_t>(std::count_if(m_runningTasks.begin(), m_runningTasks.end(),
        [&](const TaskKey& task) { return task.job.owner == link.entry; }));
    m_effects.record(
        LogLevel::Info, "entry-linked", { { "entry", welcome.entry }, { "link", static_cast<int64_t>(raw(id)) } });
    recallExcessGrants();
    distributeGrants(now);
}

void AgentCore::recallExcessGrants()
{
    const auto isIdle = [](const auto& entry) { return entry.second.grants == 0 && entry.second.running == 0; };
    if (m_links.empty() || std::none_of(m_links.begin(), m_links.end(), isIdle))
        return;
    const auto share = std::max(m_slots / static_cast<uint32_t>(m_links.size()), 1U);
    for (auto& [id, link] : m_links) {
        if (link.grants <= share || link.pendingRecall > 0)
            continue;
        link.pendingRecall = link.grants - share;
        wire::RecallT recall;
        recall.grants = static_cast<uint16_t>(link.pendingRecall);
        m_effects.send(id, recall);
    }
}

void AgentCore::linkClosed(LinkId id, TimePoint now)
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    m_granted -= it->second.grants;
    m_links.erase(it);
    m_effects.record(LogLevel::Info, "entry-unlinked", { { "link", static_cast<int64_t>(raw(id)) } });
    for (auto& [key, job] : m_jobs)
        job.recoverers.erase(id);
    distributeGrants(now);
}

void AgentCore::updateBacklog(EntryLink& link, const std::unique_ptr<wire::Backlog>& backlog)
{
    link.oldestWait = backlog ? Microseconds(backlog->oldest_wait_us()) : Microseconds(0);
    link.backlog = backlog ? backlog->tasks() : 0;
}

LinkId AgentCore::chooseLinkForSlot(LinkId owner) const
{
    LinkId best = owner;
    const auto& ownerLink = m_links.at(owner);
    // The known backlog of other entries may be outdated, so only a clearly longer wait there reassigns the slot.
    Microseconds bestWait = reassignThreshold + (ownerLink.backlog > 0 ? ownerLink.oldestWait : Microseconds(0));
    for (const auto& [id, link] : m_links) {
        if (id != owner && link.backlog > 0 && link.oldestWait > bestWait) {
            best = id;
            bestWait = link.oldestWait;
        }
    }
    return best;
}

void AgentCore::distributeGrants(TimePoint now)
{
    if (!isOpen() || m_links.empty())
        return;
    std::map<LinkId, uint32_t> grantsByLink;
    for (uint32_t free = freeSlots(); free > 0; --free) {
        // The longest wait comes first; among entries without backlog, the fewest grants and running tasks.
        const auto best = std::min_element(m_links.begin(), m_links.end(), [&](const auto& a, const auto& b) {
            const auto order = [&](const auto& entry) {
                const uint32_t n = grantsByLink[entry.first];
                const bool isWaiting = entry.second.backlog > n;
                const auto wait = isWaiting ? entry.second.oldestWait : Microseconds(0);
                return std::pair(-wait, entry.second.grants + entry.second.running + n);
            };
            return order(a) < order(b);
        });
        ++grantsByLink[best->first];
    }
    for (const auto& [id, n] : grantsByLink) {
        if (n > 0)
            offer(id, n, false, now);
    }
}

void AgentCore::offerToAll(TimePoint now)
{
    if (!isOpen())
        return;
    // An Offer of zero grants tells an entry that this agent is available again and accepts Need messages.
    for (const auto& [id, link] : m_links)
        offer(id, 0, false, now);
    distributeGrants(now);
}

void AgentCore::offer(LinkId id, uint32_t grants, bool trial, TimePoint now)
{
    auto& link = m_links.at(id);
    link.grants += grants;
    m_granted += grants;
    link.backlog -= std::min(link.backlog, grants);
    link.lastSent = now;
    wire::OfferT message;
    message.grants = static_cast<uint16_t>(grants);
    message.trial = trial;
    m_effects.send(id, message);
}

void AgentCore::recallGrantsFor(LinkId requesterId, TimePoint now)
{
    auto& requester = m_links.at(requesterId);
    if (!isOpen() || requester.grants > 0 || requester.backlog == 0)
        return;
    const auto largestHolder = std::max_element(
        m_links.begin(), m_links.end(), [](const auto& a, const auto& b) { return a.second.grants < b.second.grants; });
    auto& link = largestHolder->second;
    if (largestHolder->first == requesterId || link.grants == 0 || link.pendingRecall > 0)
        return;
    link.pendingRecall = std::min(requester.backlog, (link.grants + 1) / 2);
    wire::RecallT message;
    message.grants = static_cast<uint16_t>(link.pendingRecall);
    m_effects.send(largestHolder->first, message);
    link.lastSent = now;
}

void AgentCore::onReturn(LinkId id, const wire::ReturnT& message, TimePoint now)
{
    auto& link = m_links.at(id);
    const uint32_t n = std::min<uint32_t>(message.grants, link.grants);
    link.grants -= n;
    link.pendingRecall = 0;
    m_granted -= n;
    updateBacklog(link, message.backlog);
    distributeGrants(now);
    recallExcessGrants(); // Entries may have linked while these grants were being returned.
}

void AgentCore::withdraw(const std::string& reason, TimePoint now)
{
    m_effects.record(LogLevel::Warning, "work-withdrawn", { { "reason", reason } });
    for (auto& [id, link] : m_links) {
        m_granted -= link.grants;
        link.grants = 0;
        link.pendingRecall = 0;
        link.lastSent = now;
        wire::WithdrawT message;
        message.reason = reason;
        m_effects.send(id, std::move(message));
    }
}

void AgentCore::backendAnnounced(uint32_t slots, TimePoint now)
{
    if (slots == m_slots)
        return;
    m_effects.record(LogLevel::Info, "backend-announced", { { "slots", static_cast<int64_t>(slots) } });
    if (slots < m_slots)
        withdraw("the backend server offers fewer slots", now);
    m_slots = slots;
    offerToAll(now);
}

void AgentCore::backendLeft(const std::string& reason, TimePoint now)
{
    if (m_slots == 0)
        return;
    m_slots = 0;
    withdraw(reason, now);
}

void AgentCore::drain(TimePoint now)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    withdraw("draining", now);
}

void AgentCore::resume(TimePoint now)
{
    m_isDraining = false;
    offerToAll(now);
}

void AgentCore::tickLinks(TimePoint now)
{
    std::vector<LinkId> silent;
    for (auto& [id, link] : m_links) {
        // While tasks run, both sides send frequent heartbeats; the entry acknowledges an answer within half of
        // linkSilence.
        const auto interval = link.running > 0 ? m_limits.linkSilence / 3 : link.heartbeatInterval;
        const bool isAnswerUnacknowledged
            = link.unacknowledgedSince != TimePoint() && now - link.unacknowledgedSince > m_limits.linkSilence;
        const auto allowed = link.running > 0 ? m_limits.linkSilence : 3 * link.heartbeatInterval;
        if (isAnswerUnacknowledged || now - link.lastHeard > allowed) {
            silent.push_back(id);
            continue;
        }
        if (now - link.lastSent >= interval) {
            m_effects.send(id, wire::BeatT());
            link.lastSent = now;
        }
    }
    for (const auto id : silent) {
        m_effects.record(LogLevel::Warning, "link-silent", { { "link", static_cast<int64_t>(raw(id)) } });
        m_effects.add(CloseLink { id, "silent" });
        linkClosed(id, now);
    }
}

void AgentCore::tickStalls(TimePoint now)
{
    if (m_health.health() != Health::Good)
        return;
    for (const auto& task : m_runningTasks) {
        const auto& record = m_jobs.at(task.job).tasks.at(task.index);
        const auto declared = std::chrono::duration<double, std::milli>(record.declaredRunTime) * m_limits.stallFactor;
        const auto allowed = std::max(std::chrono::duration<double, std::milli>(m_limits.stallMinimum), declared);
        if (now - record.started > allowed) {
            m_health.quarantine("stalled", now);
            withdraw("quarantined: stalled", now);
            return;
        }
    }
}

void AgentCore::tickTrial(TimePoint now)
{
    if (m_links.empty() || m_slots == 0 || m_isDraining)
        return;
    const bool isUnused
        = m_health.health() == Health::Trial && m_running == 0 && now - m_trialOffered > trialGrantTimeout;
    if (isUnused && m_granted > 0)
        withdraw("the trial grant was not used", now);
    if (!isUnused && !(m_running < m_slots && m_health.beginTrial(now)))
        return;
    // The entry whose tasks have waited longest is the most likely to use the trial grant.
    const auto best = std::max_element(m_links.begin(), m_links.end(), [&](const auto& a, const auto& b) {
        return std::pair(a.second.oldestWait, a.second.lastHeard) < std::pair(b.second.oldestWait, b.second.lastHeard);
    });
    m_trialOffered = now;
    m_effects.record(LogLevel::Info, "quarantine-trial", { { "reason", m_health.reason() } });
    offer(best->first, 1, true, now);
}

} // namespace sequoia
