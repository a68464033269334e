/** @file RunGatePolls.cpp Polls of a run gate: leases, fences, and what the server's listings show. */
#include <sequoia/RunGate.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

namespace {

    wire::RunOutcome toOutcome(EndKind kind)
    {
        switch (kind) {
        case EndKind::Done:
            return wire::RunOutcome::Done;
        case EndKind::Failed:
            return wire::RunOutcome::Failed;
        case EndKind::Stopped:
            return wire::RunOutcome::Stopped;
        case EndKind::Lapsed:
            return wire::RunOutcome::Lost;
        }
        return wire::RunOutcome::Lost;
    }

    std::string_view nameOf(EndKind kind)
    {
        constexpr std::array<std::string_view, 4> names { "done", "failed", "stopped", "lapsed" };
        return names.at(static_cast<size_t>(kind));
    }

} // namespace

TimePoint RunGate::leaseLimit() const
{
    auto limit = TimePoint::max();
    for (const auto& [id, link] : m_links) {
        if (link.runs > 0)
            limit = std::min(limit, link.confirmed + link.ownerBound);
    }
    for (const auto& [id, run] : m_runs) {
        limit = std::min(limit, run.overBy);
        if (const auto owner = m_lostOwners.find(run.owner); owner != m_lostOwners.end())
            limit = std::min(limit, owner->second.confirmed + owner->second.ownerBound);
    }
    for (const auto& [id, overBy] : m_unknownRuns)
        limit = std::min(limit, overBy);
    for (const auto& [row, unreadable] : m_unreadableRuns) {
        if (!unreadable.isDisproved)
            limit = std::min(limit, unreadable.overBy);
    }
    return limit;
}

Milliseconds RunGate::grantableLease(TimePoint limit, TimePoint now) const
{
    if (limit <= now)
        return Milliseconds(0);
    return std::min(m_limits.lease, toMilliseconds((limit - now) / (1 + m_limits.clockDriftMargin)));
}

TimePoint RunGate::grantLease(TimePoint now)
{
    const auto lease = grantableLease(leaseLimit(), now);
    if (lease.count() > 0)
        m_leaseEnds = std::max(m_leaseEnds, now + toMicroseconds(lease * (1 + m_limits.clockDriftMargin)));
    return now + lease;
}

void RunGate::extendLease(uint64_t number, TimePoint now)
{
    if (!m_mayHaveEarlierLease)
        return;
    m_leaseEnds = std::max(m_leaseEnds, now + toMicroseconds(m_limits.maxLease * (1 + m_limits.clockDriftMargin)));
    m_mayHaveEarlierLease = number < m_fencedFromPoll;
}

void RunGate::poll(Milliseconds wait, TimePoint now, std::string instance)
{
    std::optional<TimePoint> leaseEnd;
    // Until recovery is complete, leases aren't renewed, so that runs of an earlier process end; nor are those of a
    // server that has left, which may not answer any more.
    if (!m_isPollLost && m_isRecovered && !m_isServerGone)
        leaseEnd = grantLease(now);
    m_lastPoll = now;
    m_pendingPolls.insert(++m_pollNumber);
    ++m_counters.polls;
    if (now > m_leaseEnds && !m_mayHaveEarlierLease && m_oldLeasesEnd && now >= *m_oldLeasesEnd) {
        for (auto& [row, unreadable] : m_unreadableRuns) {
            if (unreadable.firstPollWithoutLease == 0)
                unreadable.firstPollWithoutLease = m_pollNumber;
        }
    }
    if (!instance.empty())
        m_probe = { m_pollNumber, instance };
    m_effects.add(PollServer {
        m_pollNumber, m_fence, leaseEnd, wait, wait + m_limits.pollTimeout, m_seenUpTo, std::move(instance) });
}

void RunGate::recordCall(bool isAnswered)
{
    constexpr double weight = 0.05; // Averages over about 20 calls, less than a second of a busy server.
    m_lostCallShare += ((isAnswered ? 0.0 : 1.0) - m_lostCallShare) * weight;
}

size_t RunGate::waitingPollsWanted() const
{
    return m_lostCallShare > m_limits.maxLostCallShare ? m_limits.pollsWhileCallsGetLost : 1;
}

void RunGate::sendWaitingPolls(TimePoint now)
{
    while (m_pendingPolls.size() < waitingPollsWanted())
        poll(m_limits.pollWait, now);
}

void RunGate::setFence(int64_t fence)
{
    m_fence = std::min(fence, maxFence);
    m_fencedFromPoll = m_pollNumber + 1;
}

void RunGate::raiseFence(TimePoint now)
{
    // The VM's time was set back, or an earlier release derived its fence from another clock. The distance from the
    // start doubles, so that it takes a few polls, and the VM's time passes the fence soon: the next process of this
    // agent has to begin above it, as the next one of the server refuses nothing.
    constexpr int64_t minRise = 1000;
    setFence(m_fence + std::max(minRise, m_fence - m_firstFence));
    m_nextPoll = now;
}

void RunGate::pollAnswered(uint64_t number, PollOutcome outcome, const Listing& listing, TimePoint now)
{
    detectSuspension(now);
    m_pendingPolls.erase(number);
    if (outcome == PollOutcome::OtherInstance && number != m_probe.poll)
        outcome = PollOutcome::NoAnswer; // A poll that names no id is refused for none: the answer shows nothing.
    if (outcome != PollOutcome::Refused)
        recordCall(outcome != PollOutcome::NoAnswer);
    const bool wasFresh = isListingFresh(now);
    if (outcome == PollOutcome::Refused) {
        m_nextPoll = now + m_limits.refusedPollInterval;
        if (!m_isServerGone) {
            m_effects.record(LogLevel::Warning, "server-gone", { { "runs", static_cast<int64_t>(m_runs.size()) } });
            m_isServerGone = true;
            recordCrash(m_runs.empty() ? m_lapsedRuns : crashedRuns(now), now);
        }
        processEnded(now);
    } else if (outcome == PollOutcome::NoAnswer) {
        if (!m_isPollLost)
            m_effects.record(LogLevel::Info, "look-unanswered", { { "look", static_cast<int64_t>(number) } });
        if (number > m_lastListedPoll) {
            if (m_pollLostAt == TimePoint())
                m_pollLostAt = now;
            m_isPollLost = true;
            m_nextPoll = now;
        } else {
            sendWaitingPolls(now); // The server has answered a later poll.
        }
    } else if (outcome == PollOutcome::OtherInstance) {
        instanceRefused(m_probe.instance, now);
        sendWaitingPolls(now);
    } else if (outcome == PollOutcome::StaleFence) {
        if (number >= m_fencedFromPoll)
            raiseFence(now);
        m_effects.record(LogLevel::Info, "look-outranked", { { "next_fence", m_fence } });
    } else if (listing.startedMs != m_serverStartedMs && number <= m_sentBeforeListing) {
        // The process before may have made it: its answers may arrive after those of the present one.
        if (m_pendingPolls.empty())
            poll(Milliseconds(0), now);
    } else {
        m_sentBeforeListing = m_pollNumber;
        m_isPollLost = false;
        if ((m_isServerGone || m_isProcessEnded) && listing.startedMs == m_serverStartedMs) {
            ++m_counters.refutedServerEnds;
            m_isCrashRecorded = false;
            m_effects.record(LogLevel::Warning, "server-end-refuted", { { "born", listing.startedMs } });
        }
        m_isServerGone = false;
        m_isProcessEnded = false;
        m_lastListed = now;
        m_lastListedPoll = std::max(m_lastListedPoll, number);
        const bool isReplaced = m_serverStartedMs > 0 && listing.startedMs != m_serverStartedMs;
        if (listing.startedMs != m_serverStartedMs)
            startIncarnation(listing, now);
        selectReport(now);
        extendLease(number, now);
        m_pollLostAt = {};
        m_lapsedRuns.clear();
        const auto seenBefore = m_seenUpTo;
        processEnds(listing, now);
        processRunning(number, listing, now);
        reportProgress(now);
        if (isReplaced)
            poll(Milliseconds(0), now); // Brings the fence, and decides the runs that were started after this poll.
        // A new end answers all waiting polls: those without an answer by now are on their way or lost.
        if (m_seenUpTo > seenBefore)
            m_pendingPolls.clear();
        if (listing.unreadableEnded > 0 && m_seenUpTo == seenBefore)
            m_nextPoll = now + m_limits.refusedPollInterval; // The server answers at once as long as it lists an end.
        else
            sendWaitingPolls(now);
    }
    if (!wasFresh || state(now) != m_reportedState)
        sendReports(now);
}

void RunGate::processEnded(TimePoint now)
{
    m_isProcessEnded = true;
    // The first poll of the next process has to outrank the starts that are on their way.
    if (m_startFence >= m_fence)
        setFence(m_fence + 1);
    std::vector<RunId> over;
    for (auto& [id, run] : m_runs) {
        if (!run.mayStartLate()) {
            over.push_back(id);
            continue;
        }
        // The next process may carry the start out; its answers to a stop and a poll decide.
        run.firstConclusivePoll = 0;
        if (run.state == RunState::Fencing)
            continue;
        run.state = RunState::Fencing;
        run.nextStop = now + m_limits.stopTimeout;
    }
    for (const auto& id : over) {
        const std::string reason = "server-gone";
        recordRun(LogLevel::Warning, "run-lost", id, m_runs.at(id), reason, now);
        endRun(id, wire::RunOutcome::Lost, wire::Refusal::None, reason, now);
    }
}

void RunGate::processEnds(const Listing& listing, TimePoint now)
{
    // An end that can't be read is acknowledged with the next one that can, as its number may be as wrong as the rest.
    // If it is that of a run of this agent, a listing without the run shows that it is over.
    if (listing.unreadableEnded > 0)
        m_unreadableEndListed = now;
    if (listing.unreadableEnded > m_unreadableEnded)
        m_effects.record(
            LogLevel::Warning, "unreadable-end", { { "rows", static_cast<int64_t>(listing.unreadableEnded) } });
    m_unreadableEnded = listing.unreadableEnded;
    for (const auto& end : listing.ended) {
        if (end.number <= m_seenUpTo)
            continue;
        m_seenUpTo = end.number;
        if (const auto ended = m_endedRuns.find(end.id); ended != m_endedRuns.end())
            ended->second.endListedBy = m_serverStartedMs;
        const auto it = m_runs.find(end.id);
        if (it == m_runs.end())
            continue;
        if (end.kind == EndKind::Done) {
            const auto times = timesOf(it->second, slowness(now), now);
            if (times.elapsed <= times.expected * m_limits.progress.normalFactor)
                recordNormalRun(it->second);
            if (it->second.isOverdue && it->second.cause == SlowCause::Unknown)
                m_unexplained[end.id.task.job] = { it->second.estimate, times.elapsed };
            else
                updateSpeedEstimate(it->second, now, now);
            m_effects.record(LogLevel::Debug, "run-done",
                { { "job", end.id.task.job }, { "task", toString(end.id.task) },
                    { "estimate_ms", it->second.estimate.count() },
                    { "start_ms", toMilliseconds(it->second.started - it->second.ordered).count() },
                    { "ms", toMilliseconds(now - it->second.ordered).count() } });
            if (m_health.recordSuccess())
                m_effects.record(LogLevel::Info, "quarantine-ended", {});
        } else if (end.kind == EndKind::Failed) {
            recordRun(LogLevel::Info, "run-failed", end.id, it->second, "", now);
            m_health.recordFailure(healthKey(end.id), "runs fail", now);
        } else if (end.kind == EndKind::Lapsed) {
            recordRun(LogLevel::Warning, "run-lapsed", end.id, it->second, "", now);
        }
        endRun(end.id, toOutcome(end.kind), wire::Refusal::None, std::string(nameOf(end.kind)), now);
        m_endedRuns.at(end.id).endListedBy = m_serverStartedMs;
    }
}

void RunGate::recordUnknownRun(uint64_t number, const RunId& id)
{
    const auto ended = m_endedRuns.find(id);
    const bool isRefuted = ended != m_endedRuns.end() && number > ended->second.lastPoll;
    const auto reason = isRefuted ? ended->second.reason : std::string();
    if (isRefuted)
        ++m_counters.outlivedRuns[reason];
    m_effects.record(LogLevel::Warning, isRefuted ? "run-outlived" : "unknown-run",
        { { "job", id.task.job }, { "task", toString(id.task) }, { "run", static_cast<int64_t>(raw(id.run)) },
            { "reason", reason } });
}

bool RunGate::isOvertaken(const Listing& listing) const
{
    if (listing.clock && *listing.clock < m_listedClock)
        return true;
    return std::any_of(listing.running.begin(), listing.running.end(), [this](const auto& listed) {
        const auto it = m_endedRuns.find(listed.id);
        return it != m_endedRuns.end() && it->second.endListedBy == m_serverStartedMs;
    });
}

std::set<std::string> RunGate::unreadableRows(const Listing& listing)
{
    std::set<std::string> rows;
    std::map<std::string, size_t> copies;
    for (const auto& text : listing.unreadableRunning) {
        const auto n = ++copies[text];
        rows.insert(n == 1 ? text : fmt::format("{} {}", text, n));
    }
    return rows;
}

bool RunGate::hasUnreadableRuns() const
{
    return std::any_of(
        m_unreadableRuns.begin(), m_unreadableRuns.end(), [](const auto& row) { return !row.second.isDisproved; });
}

bool RunGate::provesAbsence(const std::set<std::string>& rows) const
{
    return std::all_of(rows.begin(), rows.end(), [this](const auto& row) {
        const auto it = m_unreadableRuns.find(row);
        return it != m_unreadableRuns.end() && it->second.isDisproved;
    });
}

void RunGate::processUnreadable(uint64_t number, const std::set<std::string>& rows, TimePoint now)
{
    std::erase_if(m_unreadableRuns, [&](const auto& unreadable) { return !rows.contains(unreadable.first); });
    for (const auto& row : rows) {
        // No stop call can name the run. Its lease ends instead, with those of the other runs on the server.
        const auto [it, isNew] = m_unreadableRuns.try_emplace(row, UnreadableRun { now + m_stopBound });
        auto& unreadable = it->second;
        if (isNew)
            m_effects.record(LogLevel::Warning, "unreadable-run", { { "row", row } });
        if (unreadable.isDisproved || unreadable.firstPollWithoutLease == 0
            || number < unreadable.firstPollWithoutLease)
            continue;
        unreadable.isDisproved = true;
        m_effects.record(LogLevel::Warning, "unreadable-run-disproved", { { "row", row } });
    }
}

void RunGate::processRunning(uint64_t number, const Listing& listing, TimePoint now)
{
    const bool isNewest = !isOvertaken(listing);
    const auto rows = unreadableRows(listing);
    if (isNewest)
        processUnreadable(number, rows, now);
    const bool isComplete = provesAbsence(rows);
    if (isNewest && listing.clock)
        m_listedClock = *listing.clock;
    std::set<RunId> running;
    for (const auto& listed : listing.running) {
        running.insert(listed.id);
        const auto it = m_runs.find(listed.id);
        if (it != m_runs.end()) {
            it->second.isListed = true;
            it->second.serverStartedMs = m_serverStartedMs;
            if (isNewest)
                it->second.progress.listed(listed.percent, toMicroseconds(now - it->second.ordered));
            m_listsPercent |= listed.percent.has_value();
            continue;
        }
        if (!isNewest)
            continue;
        if (m_unknownRuns.try_emplace(listed.id, now + m_stopBound).second)
            recordUnknownRun(number, listed.id);
        m_effects.add(StopRun { listed.id, "", m_fence, m_limits.stopTimeout });
    }
    if (isNewest && isComplete) {
        std::erase_if(m_unknownRuns, [&](const auto& unknown) { return !running.contains(unknown.first); });
        if (m_unknownRuns.empty() && number >= m_fencedFromPoll)
            m_isRecovered = true;
    }
    std::vector<RunId> missing;
    for (const auto& [id, run] : m_runs) {
        if (isComplete && run.firstConclusivePoll > 0 && number >= run.firstConclusivePoll && !running.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing) {
        const auto& run = m_runs.at(id);
        if (run.serverStartedMs != m_serverStartedMs) {
            const std::string reason = "server-restarted";
            recordRun(LogLevel::Warning, "run-lost", id, run, reason, now);
            endRun(id, wire::RunOutcome::Lost, wire::Refusal::None, reason, now);
            continue;
        }
        // An end that can't be read may be that of a run whose start had no answer.
        const bool hasStarted = run.isListed || run.started != TimePoint() || run.ordered <= m_unreadableEndListed;
        endRun(id, hasStarted ? wire::RunOutcome::Lost : wire::RunOutcome::NotStarted,
            hasStarted ? wire::Refusal::None : wire::Refusal::Unanswered, "not-listed", now);
    }
}

} // namespace sequoia
