/** @file CrashRecords.cpp Blames crashes of backend servers on tasks and routes. */
#include <sequoia/CrashRecords.h>

#include <algorithm>

namespace sequoia {

CrashRecords::CrashRecords(const CrashLimits& limits)
    : m_limits(limits)
{
}

bool CrashRecords::add(const ServerCrash& crash, TimePoint now)
{
    const auto when = now - crash.age;
    if (crash.age >= m_limits.retention
        || !m_known.try_emplace({ crash.agent, crash.number }, when + m_limits.retention).second)
        return false;
    const bool isLatest = m_history.empty() || m_history.rbegin()->first <= when;
    m_history.emplace(when, crash.runs);
    if (isLatest) {
        apply(crash.runs, when);
        return true;
    }
    // A process that has just started is told of the crashes agent by agent, but what one shows depends on those
    // before.
    for (auto& [task, record] : m_tasks)
        record.seen = {};
    for (const auto& [time, runs] : m_history)
        apply(runs, time);
    return true;
}

void CrashRecords::apply(const std::vector<CrashedRun>& runs, TimePoint when)
{
    const bool hasSuspects = std::any_of(runs.begin(), runs.end(), [](const CrashedRun& run) { return run.isSuspect; });
    const bool isAmbiguous = hasSuspects && std::any_of(runs.begin(), runs.end(), [&](const CrashedRun& run) {
        return !run.isSuspect && crashesUnder(run.task) > 0;
    });
    for (const auto& run : runs) {
        auto& record = m_tasks[run.task];
        record.expires = std::max(record.expires, when + m_limits.retention);
        const bool isBlamed = isAmbiguous ? run.isSuspect || record.crashes() > 0
            : hasSuspects                 ? run.isSuspect
                                          : run.isLatest;
        const bool isSameAge
            = record.crashes() > 0 && record.age() <= maxAge(run.age) && run.age <= maxAge(record.age());
        const bool isProof = isSameAge && std::max(run.age, record.age()) <= m_limits.maxProvenAge;
        ++record.seen.total;
        record.seen.crashes = isSameAge ? record.seen.crashes + 1 : 1;
        record.seen.age = run.age;
        if (!isBlamed)
            continue;
        ++record.seen.blamed;
        record.seen.hasCrashedAsSuspect |= run.isSuspect && !isAmbiguous && isProof;
        if (record.seen.hasCrashedAsSuspect || (run.isSuspect && isIsolated(run.route, when)))
            isolate(run.route, when);
    }
}

void CrashRecords::isolate(const std::string& name, TimePoint when)
{
    const auto [it, isNew] = m_routes.try_emplace(name);
    auto& route = it->second;
    if (!isNew && when <= route.lastCrash)
        return;
    if (isNew)
        route.successesToRelease = m_limits.successesToRelease;
    else if (route.releasedAt != TimePoint())
        route.successesToRelease = std::min(2 * route.successesToRelease, m_limits.maxSuccessesToRelease);
    route.releasedAt = {};
    route.lastCrash = when;
    route.successes = 0;
}

void CrashRecords::recordSuccess(const std::string& name, TimePoint firstOrder, TimePoint now)
{
    const auto it = m_routes.find(name);
    if (it == m_routes.end() || it->second.releasedAt != TimePoint() || firstOrder <= it->second.lastCrash)
        return;
    if (++it->second.successes >= it->second.successesToRelease)
        it->second.releasedAt = now;
}

void CrashRecords::restore(const TaskId& task, const CrashSuspicion& suspicion, TimePoint now)
{
    auto& record = m_tasks[task];
    record.restored = suspicion;
    record.expires = now + m_limits.retention;
}

void CrashRecords::tick(TimePoint now)
{
    m_history.erase(m_history.begin(), m_history.lower_bound(now - m_limits.retention));
    std::erase_if(m_known, [&](const auto& known) { return known.second <= now; });
    std::erase_if(m_tasks, [&](const auto& task) { return task.second.expires <= now; });
    for (auto& [name, route] : m_routes) {
        if (route.releasedAt == TimePoint() && now - route.lastCrash >= m_limits.maxIsolation)
            route.releasedAt = now;
    }
    std::erase_if(m_routes, [&](const auto& entry) {
        const auto& route = entry.second;
        return route.releasedAt != TimePoint() && now - route.releasedAt >= m_limits.probation;
    });
}

uint32_t CrashRecords::crashesUnder(const TaskId& task) const
{
    const auto it = m_tasks.find(task);
    return it == m_tasks.end() ? 0 : it->second.crashes();
}

bool CrashRecords::isSuspect(const TaskRecord& record) const
{
    return record.blamed() > 0 || record.crashes() >= m_limits.crashesToGiveUp;
}

Milliseconds CrashRecords::suspicionTime(const TaskId& task) const
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end() || !isSuspect(it->second))
        return Milliseconds(0);
    return maxAge(std::min(it->second.age(), m_limits.maxProvenAge));
}

bool CrashRecords::isGivenUp(const TaskId& task) const
{
    const auto it = m_tasks.find(task);
    if (it == m_tasks.end())
        return false;
    const auto crashes = it->second.crashes();
    return crashes >= m_limits.maxCrashes || it->second.total() >= m_limits.maxCrashesAtAnyAge
        || (crashes >= m_limits.crashesToGiveUp && it->second.hasCrashedAsSuspect());
}

bool CrashRecords::hasTaskGivenUp(WorkId job) const
{
    for (auto it = m_tasks.lower_bound({ job, StepIndex(0), TaskIndex(0) });
         it != m_tasks.end() && it->first.job == job; ++it) {
        if (isGivenUp(it->first))
            return true;
    }
    return false;
}

bool CrashRecords::isIsolated(const std::string& route, TimePoint now) const
{
    return isolationLeft(route, now).count() > 0;
}

bool CrashRecords::hasIsolatedRoutes(TimePoint now) const
{
    return std::any_of(
        m_routes.begin(), m_routes.end(), [&](const auto& route) { return isIsolated(route.first, now); });
}

Milliseconds CrashRecords::isolationLeft(const std::string& name, TimePoint now) const
{
    const auto it = m_routes.find(name);
    if (it == m_routes.end() || it->second.releasedAt != TimePoint())
        return Milliseconds(0);
    return std::max(
        std::chrono::ceil<Milliseconds>(it->second.lastCrash + m_limits.maxIsolation - now), Milliseconds(0));
}

std::map<TaskId, CrashSuspicion> CrashRecords::suspicions() const
{
    std::map<TaskId, CrashSuspicion> out;
    for (const auto& [task, record] : m_tasks) {
        if (isSuspect(record))
            out[task]
                = { record.total(), record.crashes(), record.blamed(), record.hasCrashedAsSuspect(), record.age() };
    }
    return out;
}

} // namespace sequoia
