/** @file RunGateLinks.cpp Links of a run gate to entries: reports, reservation of freed resources, and time-outs. */
#include <sequoia/RunGate.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

std::optional<LinkId> RunGate::linkOf(Incarnation entry) const
{
    for (const auto& [id, link] : m_links) {
        if (link.entry == entry)
            return id;
    }
    return std::nullopt;
}

TimePoint RunGate::confirmedOf(const Run& run) const
{
    if (const auto lost = m_lostOwners.find(run.owner); lost != m_lostOwners.end())
        return lost->second.confirmed;
    const auto link = linkOf(run.owner);
    return link ? m_links.at(*link).confirmed : run.ownerConfirmed;
}

void RunGate::confirm(EntryLink& link, TimePoint agentTime, TimePoint now)
{
    link.confirmed = std::max(link.confirmed, link.hasAgentTimes ? std::min(agentTime, now) : now);
}

bool RunGate::concerns(const Run& run, Incarnation entry)
{
    return run.owner == entry || std::find(run.successors.begin(), run.successors.end(), entry) != run.successors.end();
}

void RunGate::addSuccessor(Run& run, EntryLink& link, TimePoint now)
{
    if (concerns(run, link.entry))
        return;
    run.successors.push_back(link.entry);
    if (++link.runs == 1)
        link.busySince = now;
}

void RunGate::sendOrphans(LinkId link, const std::vector<RunId>& ids, TimePoint now)
{
    if (ids.empty() || !m_links.at(link).hasAgentTimes)
        return; // Entries of an earlier release don't know the message.
    wire::OrphanedRunsT message;
    for (const auto& id : ids)
        message.ids.push_back(toWire(id));
    send(link, std::move(message), now);
}

void RunGate::sendOrphansToOthers(const std::vector<RunId>& ids, std::optional<LinkId> except, TimePoint now)
{
    for (const auto& [id, link] : m_links) {
        if (id != except)
            sendOrphans(id, ids, now);
    }
}

void RunGate::relayOrphans(LinkId from, const wire::RelayedOrphansT& message, TimePoint now)
{
    for (const auto& [id, link] : m_links) {
        if (id != from && link.takesRelays)
            send(id, message, now);
    }
}

void RunGate::entryLinked(LinkId id, const wire::WelcomeT& welcome, TimePoint agentTime, TimePoint now)
{
    detectSuspension(now);
    const auto entry = Incarnation(welcome.incarnation);
    if (const auto older = linkOf(entry)) {
        m_effects.add(CloseLink { *older, "replaced by a new link" });
        m_links.erase(*older);
    }
    auto& link = m_links[id];
    link.entry = entry;
    link.lastHeard = now;
    auto limits = m_limits;
    if (welcome.run_lapse_ms > 0)
        limits.runLapse = std::max(Milliseconds(welcome.run_lapse_ms), m_limits.shortestLapse());
    if (welcome.caller_resend_ms > 0)
        limits.resendDelay = std::max(Milliseconds(welcome.caller_resend_ms), m_limits.shortestLapse());
    link.ownerBound = limits.ownerBound();
    m_stopBound = std::min(m_stopBound, limits.stopBound());
    link.hasAgentTimes = agentTime != TimePoint();
    link.takesRelays = welcome.relays;
    confirm(link, agentTime, now);
    link.lastSent = now;
    std::vector<RunId> orphans;
    for (const auto& [runId, run] : m_runs) {
        link.runs += concerns(run, entry) ? 1 : 0;
        if (run.owner != entry && run.isOrphaned)
            orphans.push_back(runId);
    }
    m_lostOwners.erase(entry);
    if (welcome.server_life == m_serverStartedMs)
        m_speed.restore(static_cast<double>(welcome.slowness), welcome.samples);
    m_effects.record(LogLevel::Info, "entry-linked",
        { { "entry", welcome.entry }, { "incarnation", fmt::format("{:016x}", raw(entry)) },
            { "runs", static_cast<int64_t>(link.runs) } });
    sendCrashes(id, now); // These precede the report, on which the entry sends orders.
    sendOrphans(id, orphans, now);
    sendReport(id, now);
}

void RunGate::linkClosed(LinkId id, TimePoint now)
{
    if (m_links.contains(id))
        sendOrphansToOthers(removeLink(id, now), std::nullopt, now);
}

std::vector<RunId> RunGate::removeLink(LinkId id, TimePoint now)
{
    const auto it = m_links.find(id);
    std::vector<RunId> orphans;
    for (auto& [runId, run] : m_runs) {
        if (run.owner != it->second.entry)
            continue;
        run.isOrphaned = true;
        orphans.push_back(runId);
    }
    if (it->second.runs > 0)
        m_lostOwners.emplace(it->second.entry, LostOwner { now, it->second.confirmed, it->second.ownerBound });
    m_effects.record(LogLevel::Info, "entry-unlinked",
        { { "link", static_cast<int64_t>(raw(id)) }, { "runs", static_cast<int64_t>(it->second.runs) },
            { "heard_ms_ago", toMilliseconds(now - it->second.lastHeard).count() },
            { "confirmed_ms_ago", toMilliseconds(now - it->second.confirmed).count() } });
    m_links.erase(it);
    return orphans;
}

bool RunGate::isSilent(const EntryLink& link, TimePoint now) const
{
    if (link.runs == 0)
        return now - link.lastHeard > std::min(link.ownerBound, m_limits.ownerBound());
    return now - std::max(link.confirmed, link.busySince) > m_limits.ownerTimeout;
}

void RunGate::closeSilentLink(LinkId id, TimePoint now)
{
    m_effects.add(CloseLink { id, "silent" });
    linkClosed(id, now);
}

template <typename Message> void RunGate::fillResources(Message& message, EntryLink& link, TimePoint now)
{
    link.lastFree = suspectedJob(now) ? Resources() : freeFor(link, now);
    link.lastUpdate = now;
    message.free = std::make_unique<wire::Room>(toWire(link.lastFree));
    message.orders_seen = link.ordersSeen;
    link.lastKept = kept(now);
    for (const auto& it : link.lastKept)
        message.kept.emplace_back(it.priority, static_cast<uint32_t>(it.cpu));
    message.slowness = static_cast<float>(slowness(now));
    message.slowness_spread = static_cast<float>(m_speed.spread());
}

void RunGate::sendResult(LinkId linkId, const RunId& id, wire::RunOutcome outcome, wire::Refusal refusal,
    const std::string& reason, Microseconds runTime, TimePoint now, RunNumber activeRun)
{
    auto& link = m_links.at(linkId);
    wire::RunResultT result;
    result.id = std::make_unique<wire::RunId>(toWire(id));
    result.outcome = outcome;
    result.refusal = refusal;
    result.reason = reason;
    result.active_run = raw(activeRun);
    result.run_us = static_cast<uint32_t>(std::max<int64_t>(runTime.count(), 0));
    fillResources(result, link, now);
    send(linkId, std::move(result), now);
}

void RunGate::sendUpdate(LinkId id, EntryLink& link, TimePoint now)
{
    wire::RoomUpdateT update;
    fillResources(update, link, now);
    send(id, std::move(update), now);
}

void RunGate::sendReport(LinkId id, TimePoint now)
{
    auto& link = m_links.at(id);
    wire::RoomReportT report;
    if (m_server) {
        report.service = m_server->service;
        report.labels = m_server->labels;
    }
    report.state = state(now);
    report.reason = closedReason(now);
    report.total = std::make_unique<wire::Room>(toWire(total()));
    fillResources(report, link, now);
    report.server_life = m_serverStartedMs;
    report.samples = m_speed.samples();
    send(id, std::move(report), now);
}

void RunGate::sendReports(TimePoint now)
{
    const auto gateState = state(now);
    if (gateState != m_reportedState) {
        m_effects.record(gateState == wire::GateState::Closed ? LogLevel::Warning : LogLevel::Info, "gate-state",
            { { "state", wire::EnumNameGateState(gateState) }, { "reason", closedReason(now) },
                { "used", toString(m_used) }, { "total", toString(total()) } });
    }
    m_reportedState = gateState;
    for (const auto& [id, link] : m_links)
        sendReport(id, now);
}

void RunGate::reserveFreed(std::optional<LinkId> resultLink, TimePoint now)
{
    if (state(now) != wire::GateState::Open || suspectedJob(now))
        return;
    const auto urgency
        = [](const EntryLink& link) { return std::tuple(link.demandBand, link.demandPriority, link.demandDue); };
    const auto isWaiting = [&](const EntryLink& link) {
        return link.demandUntil > now && link.demandTasks > 0 && link.reservedUntil <= now
            && link.demandResources.fitsIn(freeFor(link, link.demandRoutePriority, now));
    };
    for (;;) {
        auto best = m_links.end();
        int64_t waiting = 0;
        for (auto it = m_links.begin(); it != m_links.end(); ++it) {
            if (!isWaiting(it->second))
                continue;
            ++waiting;
            if (best == m_links.end() || urgency(it->second) < urgency(best->second))
                best = it;
        }
        if (best == m_links.end())
            return;
        auto& link = best->second;
        const auto fitting
            = timesFitting(link.demandResources, freeFor(link, link.demandRoutePriority, now), link.demandTasks);
        const auto n = std::max<int64_t>(fitting, 1);
        link.reserved = link.demandResources * n;
        link.reservedUntil = now + m_limits.reservationTime;
        link.demandTasks -= static_cast<uint32_t>(n);
        if (best->first != resultLink) // The result sent on that link reports the free resources, too.
            sendUpdate(best->first, link, now);
    }
}

void RunGate::drain(TimePoint now)
{
    detectSuspension(now);
    m_isDraining = true;
    sendReports(now);
}

void RunGate::tick(TimePoint now)
{
    detectSuspension(now);
    m_lastTick = now;
    if (!m_oldLeasesEnd)
        m_oldLeasesEnd = now + m_limits.maxLease;
    if (!m_isRecovered && now >= *m_oldLeasesEnd && m_unknownRuns.empty())
        m_isRecovered = true; // The leases of an earlier process have ended, as nobody renewed them.
    if (m_pendingPolls.empty() && now >= m_nextPoll)
        poll(m_isPollLost || !m_isRecovered ? Milliseconds(0) : m_limits.pollWait, now);
    // Runs that are left when the process has ended have no lease: they may start in the next one.
    if (!m_runs.empty() && now > m_leaseEnds && !m_isProcessEnded) {
        m_lapsedRuns = crashedRuns(now); // Whether the server has crashed shows when it answers again.
        endAll("lease-ended", now);
        // The next poll renews the lease. Its higher fence makes the server ignore a start call that is still in
        // transit, whose run would otherwise live on under the renewed lease.
        setFence(m_fence + 1);
    }
    tickLinks(now);
    tickOwners(now);
    tickStops(now);
    tickHealth(now);
    m_shares.forgetOld(now);
    std::erase_if(m_endedRuns, [&](const auto& ended) { return ended.second.expires <= now; });
    if (state(now) != m_reportedState)
        sendReports(now);
    recordSummary(now);
}

void RunGate::recordSummary(TimePoint now)
{
    if (now < m_nextSummary)
        return;
    m_nextSummary = now + m_limits.summaryPeriod;
    constexpr double percent = 100;
    const auto n = [](uint64_t count) { return static_cast<int64_t>(count); };
    m_effects.record(LogLevel::Info, "gate-summary",
        { { "state", wire::EnumNameGateState(state(now)) }, { "reason", closedReason(now) },
            { "total", toString(total()) }, { "used", toString(m_used) }, { "runs", n(m_runs.size()) },
            { "entries", n(m_links.size()) }, { "slowness_percent", static_cast<int64_t>(slowness(now) * percent) },
            { "orders", n(m_counters.orders) }, { "refused", n(m_counters.refused()) }, { "done", n(m_counters.done) },
            { "failed", n(m_counters.failed) }, { "lost", n(m_counters.lost) } });
}

bool RunGate::isKeptChanged(const EntryLink& link, const std::vector<KeptCpu>& kept, int64_t cpu)
{
    const auto of = [](const std::vector<KeptCpu>& kept, uint32_t priority) {
        const auto it = std::find_if(kept.begin(), kept.end(), [&](const auto& it) { return it.priority == priority; });
        return it == kept.end() ? 0 : it->cpu;
    };
    const auto differs
        = [&](const KeptCpu& it) { return std::abs(of(kept, it.priority) - of(link.lastKept, it.priority)) > cpu; };
    return std::any_of(kept.begin(), kept.end(), differs)
        || std::any_of(link.lastKept.begin(), link.lastKept.end(), differs);
}

void RunGate::tickLinks(TimePoint now)
{
    std::vector<LinkId> silent;
    // With many entries, updates to each of them are sent less often, so that the message rate stays bounded.
    constexpr int64_t linksAtBasePeriod = 4;
    const auto factor = std::max<int64_t>(1, static_cast<int64_t>(m_links.size()) / linksAtBasePeriod);
    constexpr int64_t reportedFraction = 16; // Changes of more than 1/16 of the server's processors are reported.
    const auto keptNow = kept(now);
    for (auto& [id, link] : m_links) {
        const bool isBusy = link.runs > 0;
        if (isSilent(link, now)) {
            silent.push_back(id);
            continue;
        }
        const auto change = suspectedJob(now) ? 0 : std::abs(freeFor(link, now).cpu - link.lastFree.cpu);
        const bool isChanged
            = change * reportedFraction > total().cpu || isKeptChanged(link, keptNow, total().cpu / reportedFraction);
        if (isChanged && now - link.lastUpdate >= m_limits.updatePeriod * factor)
            sendUpdate(id, link, now);
        else if (now - link.lastSent >= (isBusy ? m_limits.heartbeatInterval : m_limits.idleHeartbeatInterval))
            send(id, wire::BeatT(), now);
    }
    for (const auto id : silent)
        closeSilentLink(id, now);
}

void RunGate::tickOwners(TimePoint now)
{
    for (auto it = m_lostOwners.begin(); it != m_lostOwners.end();) {
        // The grace is shorter if the last answer was old, so that there is time for the stops before the leases end.
        const auto lastAnswer = std::min(it->second.unlinkedAt, it->second.confirmed + m_limits.ownerTimeout);
        if (now - lastAnswer < m_limits.relinkGrace) {
            ++it;
            continue;
        }
        int64_t stopped = 0;
        for (auto& [id, run] : m_runs) {
            if (run.owner == it->first) {
                run.ownerConfirmed = it->second.confirmed;
                recordRun(LogLevel::Warning, "run-owner-lost", id, run, "no link to its owner", now);
                run.overBy = std::min(run.overBy, it->second.confirmed + it->second.ownerBound);
                stopRun(id, run, now);
                ++stopped;
            }
        }
        m_effects.record(LogLevel::Warning, "owner-lost",
            { { "entry", fmt::format("{:016x}", raw(it->first)) }, { "runs_stopped", stopped } });
        it = m_lostOwners.erase(it);
    }
}

void RunGate::tickStops(TimePoint now)
{
    for (auto& [id, run] : m_runs) {
        if ((run.state != RunState::Fencing && run.state != RunState::Stopping) || now < run.nextStop)
            continue;
        run.nextStop = now + 2 * m_limits.stopTimeout;
        m_effects.add(StopRun { id, run.instance, m_fence, m_limits.stopTimeout });
    }
}

void RunGate::tickHealth(TimePoint now)
{
    // A run that exceeds its expected time this far shows that the server hangs or is very slow.
    constexpr double stuckFactor = 2;
    constexpr Milliseconds stuckMargin { 40 };
    // A listing from before a run was due doesn't show whether it has ended since, as the answer to a poll may be lost.
    // The run then counts as stuck only after a newer listing, for which a poll is sent.
    bool isPollDue = false;
    for (auto& [id, run] : m_runs) {
        if (run.state != RunState::Running || run.isStuck || run.estimate.count() == 0)
            continue;
        const auto expected = run.estimate * std::max(slowness(now), 1.0);
        const auto due = run.ordered + toMicroseconds(expected) + Microseconds(stuckMargin);
        isPollDue |= now > due && m_lastListed < due && m_lastPoll < due;
        const auto stuckFrom = run.ordered + toMicroseconds(expected * stuckFactor) + Microseconds(stuckMargin);
        if (now <= stuckFrom || m_lastListed < due)
            continue;
        run.isStuck = true;
        recordRun(LogLevel::Info, "run-stuck", id, run, "", now);
        updateSpeedEstimate(run, now);
        m_health.recordFailure(healthKey(id), "runs are stuck", now);
    }
    if (isPollDue)
        poll(Milliseconds(0), now);
    if (m_health.beginTrial(now))
        m_effects.record(LogLevel::Info, "quarantine-trial", { { "reason", m_health.reason() } });
}

} // namespace sequoia
