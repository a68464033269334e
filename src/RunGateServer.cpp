/** @file RunGateServer.cpp The backend server of a run gate: its reports, its end and its next process. */
#include <sequoia/RunGate.h>

#include <algorithm>

namespace sequoia {

namespace {

    bool isSameProcess(const ServerReport& a, const ServerReport& b)
    {
        return a.instance == b.instance && a.startedMs == b.startedMs;
    }

} // namespace

bool RunGate::isLate(const ServerReport& report, TimePoint now)
{
    if (report.sequence > m_server->sequence) {
        m_lowerReports = {};
        return false;
    }
    // A late report is followed by newer ones. Reports that keep rising below the one in use show that this one was
    // wrong.
    const bool isRising = m_lowerReports.since != TimePoint() && report.sequence > m_lowerReports.sequence;
    if (!isRising)
        m_lowerReports.since = now;
    m_lowerReports.sequence = report.sequence;
    if (now - m_lowerReports.since < m_limits.lowerReportsTime)
        return true;
    m_lowerReports = {};
    return false;
}

bool RunGate::acceptOtherProcess(const ServerReport& report)
{
    const bool isListed = report.startedMs == m_serverStartedMs;
    const bool isInUseListed = m_server->startedMs == m_serverStartedMs;
    const bool isOtherListed = m_otherServer && m_otherServer->startedMs == m_serverStartedMs;
    const bool isRepeated = m_otherServer && isSameProcess(*m_otherServer, report);
    if ((isListed && !isInUseListed) || (!isRepeated && report.startedMs > m_server->startedMs)) {
        if (isListed || !isOtherListed)
            m_otherServer = m_server;
        return true;
    }
    if (isRepeated ? report.sequence > m_otherServer->sequence : isListed || !isOtherListed)
        m_otherServer = report;
    return false;
}

bool RunGate::isRival(const ServerReport& a, const ServerReport& b)
{
    return a.startedMs == b.startedMs && a.instance != b.instance;
}

void RunGate::instanceRefused(const std::string& instance, TimePoint now)
{
    if (m_server && m_otherServer && m_server->instance == instance && isRival(*m_server, *m_otherServer))
        useOtherReport(now);
}

void RunGate::selectReport(TimePoint now)
{
    if (!m_server || !m_otherServer || m_server->startedMs == m_serverStartedMs
        || m_otherServer->startedMs != m_serverStartedMs)
        return;
    useOtherReport(now);
}

void RunGate::useOtherReport(TimePoint now)
{
    std::swap(m_server, m_otherServer);
    m_lowerReports = {};
    m_roomLimit.reset();
    m_effects.record(LogLevel::Info, "server-selected",
        { { "instance", m_server->instance }, { "born", m_server->startedMs }, { "other", m_otherServer->instance },
            { "other_born", m_otherServer->startedMs } });
    reserveFreed(std::nullopt, now);
    sendReports(now);
}

bool RunGate::serverAnnounced(const ServerReport& report, TimePoint now)
{
    detectSuspension(now);
    const bool isSame = m_server && isSameProcess(*m_server, report);
    if (isSame && isLate(report, now))
        return false;
    if (m_server && !isSame && !acceptOtherProcess(report)) {
        // The listing decides which of the processes is there; between two ids of one process, whether the server
        // answers a poll that is meant for the one in use.
        poll(Milliseconds(0), now, isRival(*m_server, report) ? m_server->instance : "");
        return false;
    }
    const bool isChanged = !isSame || report.total != m_server->total || report.service != m_server->service
        || report.labels != m_server->labels || m_roomLimit.has_value();
    const bool wasDraining = m_server && m_server->isDraining;
    if (!isSame || report.isDraining != wasDraining || report.total != m_server->total) {
        m_effects.record(LogLevel::Info, "server-announced",
            { { "instance", report.instance }, { "born", report.startedMs }, { "service", report.service },
                { "total", toString(report.total) }, { "draining", report.isDraining ? "true" : "false" } });
    }
    m_server = report;
    m_roomLimit.reset();
    m_isServerGone = false;
    if (!isSame)
        m_lowerReports = {};
    // The announcement doesn't show which runs have ended: the new process may have some, and the one before may go on.
    if (!isSame && m_serverStartedMs > 0 && report.startedMs != m_serverStartedMs)
        poll(Milliseconds(0), now);
    if (isChanged)
        reserveFreed(std::nullopt, now); // Of what a larger server has, as of what a run frees.
    if (isChanged || state(now) != m_reportedState)
        sendReports(now);
    return true;
}

void RunGate::serverLeft(const std::string& instance, TimePoint now)
{
    detectSuspension(now);
    if (!m_server || m_server->instance != instance)
        return;
    m_effects.record(LogLevel::Info, "server-left", { { "instance", instance } });
    m_isServerGone = true;
    // The process may not have ended yet, or it may be the one before under the same id: a refused connection, a
    // listing or the end of the lease decides.
    poll(Milliseconds(0), now);
    sendReports(now);
}

void RunGate::startIncarnation(const Listing& listing, TimePoint now)
{
    const auto late
        = std::count_if(m_runs.begin(), m_runs.end(), [](const auto& run) { return run.second.mayStartLate(); });
    m_effects.record(LogLevel::Info, "server-life",
        { { "born", listing.startedMs }, { "before", m_serverStartedMs },
            { "runs", static_cast<int64_t>(m_runs.size()) }, { "may_start_late", static_cast<int64_t>(late) } });
    ++m_counters.incarnations;
    const bool isFirst = m_serverStartedMs == 0;
    m_serverStartedMs = listing.startedMs;
    m_seenUpTo = 0;
    m_listedClock = {};
    m_roomLimit.reset();
    m_unknownRuns.clear();
    m_unreadableRuns.clear();
    m_unreadableEnded = 0;
    m_unreadableEndListed = {};
    m_pendingPolls.clear(); // The process before doesn't answer them any more.
    m_speed.reset(); // The new incarnation may run on another kind of VM.
    m_listsPercent = false;
    m_lastNormalOrder = {};
    m_unexplained.clear();
    for (auto& [id, run] : m_runs)
        run.progress = RunProgress(m_limits.progress); // What starts late starts anew.
    if (isFirst)
        return;
    // A process that was replaced while it answered, as by a release, accuses nobody.
    recordCrash(std::exchange(m_lapsedRuns, {}), now);
    m_isCrashRecorded = false;
    // The new process hasn't seen the fence; with a higher one it ignores the calls that were sent before.
    setFence(m_fence + 1);
    m_mayHaveEarlierLease = true;
    for (auto& [id, run] : m_runs) {
        const bool isStopped = run.state == RunState::Fencing || run.state == RunState::Stopping;
        const bool isListed = std::any_of(
            listing.running.begin(), listing.running.end(), [&id = id](const auto& listed) { return listed.id == id; });
        if (isListed && !isStopped) {
            run.state = RunState::Running;
            run.firstConclusivePoll = m_pollNumber + 1;
        } else if (run.mayStartLate()) {
            run.state = RunState::Fencing; // A stop that the process before answered fences nothing here.
            run.firstConclusivePoll = 0;
            run.nextStop = now;
        } else if (run.firstConclusivePoll == 0) {
            run.firstConclusivePoll = m_pollNumber + 1;
        }
    }
    tickStops(now);
}

} // namespace sequoia
