/** @file DispatcherCrashes.cpp Reaction of a dispatcher to crashes of servers: suspects, and isolated routes. */
#include <sequoia/Dispatcher.h>

#include <algorithm>
#include <cmath>

namespace sequoia {

namespace {

    using FloatMs = std::chrono::duration<double, std::milli>;

    /** FNV-1a: alike in all processes, whatever their library. */
    uint64_t hashOf(const std::string& text)
    {
        uint64_t hash = 0xCBF29CE484222325U;
        for (const char c : text)
            hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3U;
        return hash;
    }

} // namespace

void Dispatcher::onCrash(const wire::ServerCrashT& message, TimePoint now)
{
    ServerCrash crash { Incarnation(message.agent_incarnation), message.number, Milliseconds(message.age_ms), {} };
    std::set<std::string> isolatedBefore;
    for (const auto& run : message.runs) {
        if (run == nullptr || run->id == nullptr)
            continue;
        crash.runs.push_back({ fromWire(*run->id, run->upper_case).task, run->route, Milliseconds(run->age_ms),
            run->is_latest, run->is_suspect });
        if (m_crashes.isIsolated(run->route, now))
            isolatedBefore.insert(run->route);
    }
    if (!m_crashes.add(crash, now))
        return;
    ++m_counters.serverCrashes;
    std::set<WorkId> crashing;
    for (const auto& run : crash.runs) {
        if (m_crashes.isGivenUp(run.task))
            crashing.insert(run.task.job);
        if (!m_crashes.isIsolated(run.route, now) || !isolatedBefore.insert(run.route).second)
            continue;
        ++m_counters.isolations;
        m_effects.record(LogLevel::Warning, "route-isolated",
            { { "route", run.route }, { "ms", m_crashes.isolationLeft(run.route, now).count() } });
    }
    updateIsolation(now);
    for (const auto job : crashing)
        giveUpCrashing(job, now);
}

void Dispatcher::giveUpCrashing(WorkId id, TimePoint now)
{
    if (findJob(id) != nullptr)
        finish(id, { WorkStatus::Failed, "crashes-servers", {} }, now);
}

void Dispatcher::updateIsolation(TimePoint now)
{
    m_crashes.tick(now);
    const bool hadIsolation = std::exchange(m_hasIsolation, false);
    m_isolatingServices.clear();
    if (!m_crashes.hasIsolatedRoutes(now)) {
        if (hadIsolation)
            m_effects.record(LogLevel::Info, "routes-released", {});
        return;
    }
    // All entries know the same agents, and choose the same ones by a hash of the names.
    std::map<std::string, std::vector<std::pair<uint64_t, AgentView*>>> byService;
    for (auto& agent : m_agents) {
        agent.isForIsolatedRoutes = false;
        if (agent.isLinked && !agent.isEvacuated())
            byService[agent.service].emplace_back(hashOf(agent.name), &agent);
    }
    for (auto& [service, agents] : byService) {
        if (agents.size() < 2 || !hasOtherRoutes(service, now))
            continue;
        std::sort(agents.begin(), agents.end());
        const auto wanted = std::llround(static_cast<double>(agents.size()) * m_limits.isolationShare);
        const auto n = std::max<size_t>(static_cast<size_t>(wanted), 1);
        for (size_t i = 0; i < n; ++i)
            agents[i].second->isForIsolatedRoutes = true;
        m_hasIsolation = true;
        m_isolatingServices.insert(service);
    }
    m_isolatedJobs = std::count_if(m_jobs.begin(), m_jobs.end(),
        [&](const auto& job) { return job.second.orders > 0 && isIsolated(job.second, now); });
}

bool Dispatcher::isIsolated(const Job& job, TimePoint now) const
{
    return m_hasIsolation && m_isolatingServices.contains(job.route.service)
        && m_crashes.isIsolated(job.route.name, now);
}

bool Dispatcher::hasOtherRoutes(const std::string& service, TimePoint now) const
{
    constexpr Milliseconds memory { 10000 };
    return std::any_of(m_lastArrivals.begin(), m_lastArrivals.end(), [&](const auto& arrival) {
        const auto& [key, when] = arrival;
        return key.first == service && now - when <= memory && !m_crashes.isIsolated(key.second, now);
    });
}

bool Dispatcher::isOpenToRoute(const Job& job, size_t step, const AgentView& agent, TimePoint now) const
{
    if (!m_hasIsolation)
        return true;
    const bool wanted = isIsolated(job, now);
    if (agent.isForIsolatedRoutes == wanted)
        return true;
    return std::none_of(m_agents.begin(), m_agents.end(), [&](const AgentView& other) {
        return other.isLinked && !other.isEvacuated() && other.isForIsolatedRoutes == wanted
            && couldRun(job, step, other);
    });
}

Milliseconds Dispatcher::suspicionTime(const Job& job, const TaskId& task, TimePoint now) const
{
    // Each server of isolated routes runs one job at a time, so that a crash shows whose it is.
    return isIsolated(job, now) ? std::max(toMilliseconds(job.deadline - now), Milliseconds(1))
                                : m_crashes.suspicionTime(task);
}

Admission Dispatcher::admissionOf(const Job& job, const LoadView& load, TimePoint now) const
{
    const auto queued = queuedJob(job, now);
    if (!isIsolated(job, now))
        return m_hooks.admit(queued, load);
    const auto servers = std::count_if(m_agents.begin(), m_agents.end(), [&](const AgentView& agent) {
        return agent.acceptsRunsOf(job.route.service) && isOpenToRoute(job, 0, agent, now);
    });
    Admission out;
    out.retryAfter = m_crashes.isolationLeft(job.route.name, now);
    if (servers == 0) {
        out.decision = AdmissionDecision::Reject;
        return out;
    }
    // Each server runs one job of an isolated route at a time, and all entries share these servers.
    const auto perServer
        = static_cast<double>(m_isolatedJobs * static_cast<int64_t>(m_entryCount)) / static_cast<double>(servers);
    const auto runTime = FloatMs(queued.criticalPath) * queued.slowness + m_placementLimits.overhead;
    out.predictedWait = toMilliseconds(runTime * perServer);
    if (out.predictedWait > slackToObjective(queued, m_placementLimits))
        out.decision = out.predictedWait > slackToLateLimit(queued, m_placementLimits) ? AdmissionDecision::Reject
                                                                                       : AdmissionDecision::Late;
    return out;
}

} // namespace sequoia
