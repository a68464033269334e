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
        addRun(id, message.ids, message.upper_case);
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
    for (auto& [runId, run] : m_runs) {
        link.runs += concerns(run, entry) ? 1 : 0;
        if (run.owner == entry)
            run.told.reset(); // What was sent on an earlier link may be lost.
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
    result.upper_case = id.task.job.upperCase;
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

void RunGate::onEvacuations(LinkId link, const wire::EvacuationsT& message, TimePoint now)
{
    const bool wasEvacuated = isEvacuated();
    m_evacuations.update(message.domains, StoreVersion(message.version));
    if (isEvacuated() == wasEvacuated)
        return;
    m_counters.evacuations += isEvacuated() ? 1 : 0;
    m_effects.record(isEvacuated() ? LogLevel::Warning : LogLevel::Info, "evacuation",
        { { "domain", m_failureDomain }, { "state", isEvacuated() ? "begun" : "ended" },
            { "store_version", static_cast<int64_t>(message.version) },
            { "cause", fmt::format("entry {:016x}", raw(m_links.at(link).entry)) },
            { "runs", static_cast<int64_t>(m_runs.size()) } });
    reserveFreed(std::nullopt, now);
    sendReports(now);
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

RunTimes RunGate::timesOf(const Run& run, double slowness, TimePoint now) const
{
    return { toMicroseconds(run.estimate * std::max(slowness, 1.0)), toMicroseconds(now - run.ordered),
        toMicroseconds(m_lastListed - run.ordered), m_listsPercent };
}

void RunGate::tickHealth(TimePoint now)
{
    // A listing from before a run was due doesn't show whether it has ended since, as the answer to a poll may be lost.
    // The run then counts as stuck only after a newer listing, for which a poll is sent.
    bool isPollDue = false;
    // What one slow run shows must not make the others of this tick look as expected.
    const auto slownessBefore = slowness(now);
    for (auto& [id, run] : m_runs) {
        if (run.state != RunState::Running || run.isStuck || run.estimate.count() == 0)
            continue;
        const auto times = timesOf(run, run.progress.percent() ? slownessBefore : slowness(now), now);
        const auto wanted = run.ordered + run.progress.listingWanted(times);
        isPollDue |= now > wanted && m_lastListed < wanted && m_lastPoll < wanted;
        switch (run.progress.judge(times)) {
        case RunPace::InTime:
            break;
        case RunPace::Progressing:
            judgeLongRun(id, run, slownessBefore, now);
            break;
        case RunPace::Stuck:
            recordStuck(id, run, run.progress.percent() ? "no-progress" : "", now, now);
            break;
        }
    }
    reportProgress(now);
    if (isPollDue)
        poll(Milliseconds(0), now);
    if (m_health.beginTrial(now))
        m_effects.record(LogLevel::Info, "quarantine-trial", { { "reason", m_health.reason() } });
}

SlowRunEvidence RunGate::evidenceOn(const RunId& id, const Run& run, double slowness, TimePoint now) const
{
    constexpr Milliseconds orderSpread { 20 }; // Tasks of a job are ordered together, but arrive one after the other.
    const auto since = run.ordered - orderSpread;
    SlowRunEvidence evidence;
    evidence.hasSlowedDown = run.progress.hasSlowedDown(toMicroseconds(m_lastListed - run.ordered));
    evidence.hasNormalRun = m_lastNormalOrder >= since;
    std::set<WorkId> slowJobs { id.task.job };
    for (const auto& [job, sample] : m_unexplained)
        slowJobs.insert(job);
    evidence.slowRuns = static_cast<uint32_t>(m_unexplained.size());
    for (const auto& [otherId, other] : m_runs) {
        if (other.state != RunState::Running || other.estimate.count() == 0)
            continue;
        const auto times = timesOf(other, slowness, now);
        evidence.hasNormalRun
            |= (other.ordered >= since && other.progress.isNormal(times)) || other.progress.isNormalLately(times);
        if (other.cause == SlowCause::Task || !other.progress.isSlow(times))
            continue;
        slowJobs.insert(otherId.task.job);
        ++evidence.slowRuns;
    }
    evidence.slowJobs = static_cast<uint32_t>(slowJobs.size());
    return evidence;
}

void RunGate::recordNormalRun(const Run& run)
{
    m_lastNormalOrder = std::max(m_lastNormalOrder, run.ordered);
    m_unexplained.clear();
}

void RunGate::judgeLongRun(const RunId& id, Run& run, double slowness, TimePoint now)
{
    run.isOverdue = true;
    if (run.cause != SlowCause::Unknown)
        return;
    const auto evidence = evidenceOn(id, run, slowness, now);
    run.cause = causeOf(evidence, m_limits.progress);
    if (run.cause == SlowCause::Task) {
        run.isSample = false; // Its run time tells nothing about the server.
        ++m_counters.longRuns;
        recordRun(LogLevel::Debug, "run-long", id, run, "", now);
    } else if (run.cause == SlowCause::Server) {
        for (const auto& [job, sample] : m_unexplained) {
            if (sample.expected.count() > 0)
                m_speed.learn(sample.expected, sample.ran, now);
        }
        for (auto& [job, sample] : m_unexplained)
            sample = {}; // The job still counts, but its sample was used.
        const auto predicted = run.progress.predictedTime(toMicroseconds(m_lastListed - run.ordered));
        recordStuck(id, run, "slow-server", std::max(now, run.ordered + predicted.value_or(Microseconds(0))), now);
    }
}

void RunGate::recordStuck(const RunId& id, Run& run, const std::string& reason, TimePoint end, TimePoint now)
{
    run.isStuck = true;
    ++m_counters.stuckRuns[reason];
    recordRun(LogLevel::Info, "run-stuck", id, run, reason, now);
    updateSpeedEstimate(run, end, now);
    m_health.recordFailure(healthKey(id), "runs are stuck", now);
}

void RunGate::reportProgress(TimePoint now)
{
    if (!m_listsPercent)
        return;
    constexpr double mentionedShare = 0.75; // Entries may judge by an older slowness, and the prediction may be off.
    constexpr double changedShare = 0.25; // A prediction that is off by more of the time left is corrected.
    std::map<LinkId, wire::RoomUpdateT> reports;
    for (auto& [id, run] : m_runs) {
        if (run.state != RunState::Running || run.estimate.count() == 0)
            continue;
        const auto times = timesOf(run, slowness(now), now);
        const auto predicted = run.progress.predictedTime(times.lastListed);
        if (!predicted || times.lastListed < times.expected + m_limits.progress.margin / 2)
            continue;
        const auto allowed = times.expected * m_limits.progress.stuckFactor + m_limits.progress.margin;
        const auto link = linkOf(run.owner);
        if (!link || (!run.told && *predicted <= allowed * mentionedShare))
            continue;
        const bool isServerSlow = run.cause == SlowCause::Server;
        ToldProgress report { run.ordered + *predicted,
            isServerSlow ? run.estimate : toMilliseconds(*predicted / slowness(now)), run.isStuck && !isServerSlow };
        if (run.told && run.told->isStuck == report.isStuck
            && std::chrono::abs(report.work - run.told->work) <= run.told->work * changedShare
            && std::chrono::abs(report.end - run.told->end) <= std::max<Clock::duration>(
                   m_limits.progress.margin, toMicroseconds((report.end - now) * changedShare)))
            continue;
        run.told = report;
        ++m_counters.progressReports;
        auto& update = reports[*link];
        addUpperCase(id.task.job, update.progress.size(), update.upper_case);
        update.progress.emplace_back(toWire(id),
            static_cast<uint32_t>(std::max<int64_t>(toMilliseconds(report.end - now).count(), 0)),
            static_cast<uint32_t>(report.work.count()), static_cast<uint8_t>(run.progress.percent().value_or(0)),
            report.isStuck);
    }
    for (auto& [id, update] : reports) {
        auto& link = m_links.at(id);
        fillResources(update, link, now);
        send(id, std::move(update), now);
    }
}

} // namespace sequoia
