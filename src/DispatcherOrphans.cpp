/** @file DispatcherOrphans.cpp Orphaned runs of a dispatcher: what entries tell of them, and how jobs adopt them. */
#include <sequoia/Dispatcher.h>

#include <algorithm>

namespace sequoia {

void Dispatcher::adoptRuns(Job& job, TimePoint now)
{
    const auto jobId = job.spec.id;
    for (size_t i = 0; i < m_agents.size() && m_endedJobs.contains(jobId); ++i) {
        for (const auto& id : m_agents[i].runs) {
            if (id.task.job == jobId)
                adoptRun(job, id, i, now);
        }
    }
    const auto orphans = [&] {
        std::vector<OrphanKey> keys;
        for (auto it = m_orphanedRuns.lower_bound({ { { jobId, StepIndex(0), TaskIndex(0) }, RunNumber(0) } });
             it != m_orphanedRuns.end() && it->first.id.task.job == jobId; ++it) {
            if (it->second.isOpen(now))
                keys.push_back(it->first);
        }
        return keys;
    };
    for (const auto& key : orphans())
        adoptOrphan(job, key.id.task, now);
    for (const auto& key : orphans())
        sendStop(key.agent, { key.id }, false, now); // The task waits for it after the one that it has adopted.
}

void Dispatcher::adoptOrphan(Job& job, const TaskId& taskId, TimePoint now)
{
    const auto* task = findTask(taskId);
    if (task == nullptr || (task->state != TaskState::Ready && task->state != TaskState::Blocked))
        return;
    auto latest = m_orphanedRuns.end();
    for (auto it = m_orphanedRuns.lower_bound({ { taskId, RunNumber(0) } });
         it != m_orphanedRuns.end() && it->first.id.task == taskId; ++it) {
        if (it->second.isOpen(now))
            latest = it;
    }
    if (latest == m_orphanedRuns.end())
        return;
    const auto [key, orphan] = *latest;
    m_orphanedRuns.erase(latest);
    adoptForeignRun(job, key.id, key.agent, { key.incarnation, orphan.lapse }, now);
}

void Dispatcher::adoptRun(Job& job, const RunId& id, size_t agentIndex, TimePoint now)
{
    if (findTask(id.task) == nullptr)
        return; // The job was submitted with other steps.
    auto& step = job.steps[raw(id.task.step)];
    auto& task = step.tasks[raw(id.task.index)];
    std::erase(step.ready, raw(id.task.index));
    const auto highest = raw(task.run);
    task.state = TaskState::Ordered;
    task.run = id.run;
    task.agent = agentIndex;
    task.orderedAt = now;
    task.isStopping = true;
    ++job.orders;
    job.firstOrderAt = now;
    job.firstRun = std::max(job.firstRun, RunNumber(std::max(raw(id.run), highest) + 1));
    traceRun("run-adopted", job, id, m_agents[agentIndex], "", now);
}

void Dispatcher::adoptForeignRun(Job& job, const RunId& id, size_t agentIndex, const ForeignRun& run, TimePoint now)
{
    const auto* task = findTask(id.task);
    if (task == nullptr || (task->state == TaskState::Ordered && task->run >= id.run))
        return;
    ++m_counters.adoptedRuns;
    auto& agent = m_agents[agentIndex];
    if (agent.runs.empty())
        agent.lastHeard = now; // The shorter silence limit of links with runs counts from here.
    agent.runs.insert(id);
    agent.foreignRuns[id] = run;
    adoptRun(job, id, agentIndex, now);
    m_effects.record(LogLevel::Info, "run-adopted",
        { { "job", id.task.job }, { "task", toString(id.task) }, { "run", static_cast<int64_t>(raw(id.run)) },
            { "agent", agent.name } });
    sendStop(agentIndex, { id }, false, now);
}

std::vector<RunId> Dispatcher::ownerlessRuns(const AgentView& agent)
{
    std::vector<RunId> ids;
    std::copy_if(
        agent.runs.begin(), agent.runs.end(), std::back_inserter(ids), [&](const RunId& id) { return !isWanted(id); });
    return ids;
}

std::map<size_t, std::vector<RunId>> Dispatcher::untoldOrphans()
{
    std::map<size_t, std::vector<RunId>> runs;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        if (m_agents[i].relays >= maxRelays)
            continue;
        if (auto ids = ownerlessRuns(m_agents[i]); !ids.empty())
            runs[i] = std::move(ids);
    }
    return runs;
}

TimePoint Dispatcher::lapseOf(const AgentView& agent, const RunId& id, TimePoint now) const
{
    const auto lapse = (agent.isLinked ? now : agent.unlinkedAt) + m_limits.runLapse;
    const auto foreign = agent.foreignRuns.find(id);
    return foreign == agent.foreignRuns.end() ? lapse : std::max(lapse, foreign->second.lapse);
}

void Dispatcher::onOrphanedRuns(size_t index, const wire::OrphanedRunsT& message, TimePoint now)
{
    for (const auto& id : runsOf(message.ids, message.upper_case))
        onOrphan(index, id, { m_agents[index].incarnation, {} }, now);
}

void Dispatcher::onRelayedOrphans(const wire::RelayedOrphansT& message, TimePoint now)
{
    for (const auto& runs : message.agents) {
        const auto index = agentNamed(runs->agent);
        for (const auto& id : runsOf(runs->ids, runs->upper_case))
            onOrphan(index, id, { Incarnation(runs->agent_incarnation), now + Milliseconds(runs->lapse_ms) }, now);
    }
}

bool Dispatcher::rememberOrphan(size_t index, const RunId& id, const ForeignRun& run, TimePoint now)
{
    const auto known = m_orphanedRuns.find({ id, index, run.incarnation });
    if (known == m_orphanedRuns.end()) {
        if (m_orphanedRuns.size() < m_limits.maxOrphanedRuns)
            m_orphanedRuns[{ id, index, run.incarnation }] = { run.lapse, now + m_limits.orphanRetention, false };
        return true;
    }
    auto& orphan = known->second;
    orphan.lapse = std::max(orphan.lapse, run.lapse);
    if (!orphan.isOver)
        orphan.expires = now + m_limits.orphanRetention;
    return false;
}

void Dispatcher::onOrphan(size_t index, const RunId& id, const ForeignRun& run, TimePoint now)
{
    auto& agent = m_agents[index];
    if (agent.runs.contains(id) && agent.incarnationOf(id) == run.incarnation) {
        if (const auto known = agent.foreignRuns.find(id); known != agent.foreignRuns.end())
            known->second.lapse = std::max(known->second.lapse, run.lapse);
        return;
    }
    auto* job = findJob(id.task.job);
    if (job == nullptr) {
        rememberOrphan(index, id, run, now);
        return;
    }
    const auto* task = findTask(id.task);
    const auto known = m_orphanedRuns.find({ id, index, run.incarnation });
    if (task == nullptr || (known != m_orphanedRuns.end() && known->second.isOver))
        return;
    if (task->state == TaskState::Ready || task->state == TaskState::Blocked) {
        adoptForeignRun(*job, id, index, run, now);
        requeue(*job, now);
        return;
    }
    if (!rememberOrphan(index, id, run, now))
        return;
    ++m_counters.jobsElsewhere;
    m_effects.record(LogLevel::Warning, "job-elsewhere",
        { { "job", id.task.job }, { "task", toString(id.task) }, { "run", static_cast<int64_t>(raw(id.run)) },
            { "agent", agent.name } });
    sendStop(index, { id }, false, now);
}

std::vector<size_t> Dispatcher::chooseRelays() const
{
    std::vector<size_t> linked;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        if (m_agents[i].isLinked && m_agents[i].takesRelays)
            linked.push_back(i);
    }
    std::stable_sort(linked.begin(), linked.end(),
        [&](size_t a, size_t b) { return m_agents[a].lastReceived > m_agents[b].lastReceived; });
    std::set<std::string> failureDomains;
    std::vector<size_t> chosen;
    std::vector<size_t> others;
    for (const auto i : linked) {
        const bool isFirstOfDomain = failureDomains.insert(m_agents[i].failureDomain).second;
        (isFirstOfDomain ? chosen : others).push_back(i);
    }
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(chosen.size(), maxRelays));
    return chosen;
}

size_t Dispatcher::relayOrphans(const std::map<size_t, std::vector<RunId>>& runs, TimePoint now)
{
    std::map<std::pair<size_t, Incarnation>, wire::AgentRunsT> byIncarnation;
    for (const auto& [index, ids] : runs) {
        const auto& agent = m_agents[index];
        for (const auto& id : ids) {
            const auto incarnation = agent.incarnationOf(id);
            auto& entry = byIncarnation[{ index, incarnation }];
            entry.agent = agent.name;
            entry.agent_incarnation = raw(incarnation);
            const auto lapse = std::max<int64_t>(toMilliseconds(lapseOf(agent, id, now) - now).count(), 0);
            entry.lapse_ms = std::max(entry.lapse_ms, static_cast<uint32_t>(lapse));
            addRun(id, entry.ids, entry.upper_case);
        }
    }
    if (byIncarnation.empty())
        return 0;
    wire::RelayedOrphansT message;
    for (auto& [key, entry] : byIncarnation)
        message.agents.push_back(std::make_unique<wire::AgentRunsT>(std::move(entry)));
    const auto relays = chooseRelays();
    for (const auto relay : relays)
        send(m_agents[relay], message, now);
    return relays.size();
}

} // namespace sequoia
