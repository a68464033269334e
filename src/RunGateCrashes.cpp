/** @file RunGateCrashes.cpp Crashes of the backend server of a run gate, and the runs that are suspected to cause them.
 */
#include <sequoia/RunGate.h>

#include <algorithm>
#include <set>

namespace sequoia {

std::vector<CrashedRun> RunGate::crashedRuns(TimePoint now) const
{
    const auto when = m_pollLostAt == TimePoint() ? now : m_pollLostAt;
    std::vector<std::pair<uint64_t, RunId>> orders;
    for (const auto& [id, run] : m_runs) {
        // A run of the process before is kept until it can't start late any more; it hasn't been in this one.
        if (run.ordered <= when && run.serverStartedMs == m_serverStartedMs)
            orders.emplace_back(run.startNumber, id);
    }
    std::sort(orders.rbegin(), orders.rend());
    std::set<WorkId> latest;
    std::vector<CrashedRun> out;
    for (const auto& [number, id] : orders) {
        if (latest.size() < m_limits.latestJobs)
            latest.insert(id.task.job);
        const auto& run = m_runs.at(id);
        // The server may have taken an unanswered start late; the call may also have been repeated after the crash.
        const auto age = toMilliseconds(std::max(when, run.startCalled) - run.startCalled);
        out.push_back({ id.task, run.route, age, latest.contains(id.task.job), run.suspectUntil > when });
    }
    return out;
}

void RunGate::recordCrash(std::vector<CrashedRun> runs, TimePoint now)
{
    if (runs.empty() || (m_server && m_server->isDraining) || std::exchange(m_isCrashRecorded, true))
        return;
    m_effects.record(LogLevel::Warning, "server-crashed",
        { { "born", m_serverStartedMs }, { "runs", static_cast<int64_t>(runs.size()) } });
    for (const auto& run : runs) {
        if (run.isSuspect || run.isLatest)
            m_effects.record(LogLevel::Warning, "crash-suspect",
                { { "job", run.task.job }, { "task", toString(run.task) }, { "route", run.route },
                    { "ms", run.age.count() }, { "again", run.isSuspect ? "true" : "false" } });
    }
    const ServerCrash crash { m_self, static_cast<uint32_t>(++m_counters.crashes), {}, std::move(runs) };
    for (const auto& [id, link] : m_links)
        send(id, crashMessage(crash, now, now), now);
    m_crashes.emplace_back(crash, now);
    if (m_crashes.size() > m_limits.maxCrashes)
        m_crashes.pop_front();
}

void RunGate::sendCrashes(LinkId link, TimePoint now)
{
    while (!m_crashes.empty() && now - m_crashes.front().second > m_limits.crashRetention)
        m_crashes.pop_front();
    for (const auto& [crash, when] : m_crashes)
        send(link, crashMessage(crash, when, now), now);
}

wire::ServerCrashT RunGate::crashMessage(const ServerCrash& crash, TimePoint when, TimePoint now) const
{
    wire::ServerCrashT message;
    message.agent_incarnation = raw(crash.agent);
    message.number = crash.number;
    message.age_ms = static_cast<uint32_t>(toMilliseconds(now - when).count());
    for (const auto& run : crash.runs) {
        auto entry = std::make_unique<wire::CrashedRunT>();
        entry->id = std::make_unique<wire::RunId>(toWire(RunId { run.task, RunNumber(0) }));
        entry->upper_case = run.task.job.upperCase;
        entry->route = run.route;
        entry->age_ms = static_cast<uint32_t>(run.age.count());
        entry->is_latest = run.isLatest;
        entry->is_suspect = run.isSuspect;
        message.runs.push_back(std::move(entry));
    }
    return message;
}

std::optional<WorkId> RunGate::suspectedJob(TimePoint now) const
{
    const auto it
        = std::find_if(m_runs.begin(), m_runs.end(), [&](const auto& run) { return run.second.suspectUntil > now; });
    return it == m_runs.end() ? std::nullopt : std::optional(it->first.task.job);
}

bool RunGate::isBlockedBySuspects(WorkId job, bool isSuspect, TimePoint now) const
{
    const auto suspected = suspectedJob(now);
    if (suspected)
        return *suspected != job;
    return isSuspect && std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& run) {
        return run.first.task.job != job && now - run.second.ordered < m_limits.suspectDistance;
    });
}

} // namespace sequoia
