/** @file EntryAgents.cpp Links of an entry to its agents: grants, answers, heartbeats and lost agents. */
#include <sequoia/EntryCore.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

namespace {

    constexpr double smoothing = 0.15; // Weight of the latest run in the speed estimates.
    constexpr Microseconds firstNeedPause { 2000 };
    constexpr Microseconds maxNeedPause { 256000 };
    constexpr size_t queryBatch = 512; // Tasks per Query message.

    /** Bytes of a heartbeat on the wire, with headers and acknowledgement, in both directions. */
    constexpr uint64_t heartbeatBytes = 320;
    /** Control traffic that the heartbeats of one process may cause. */
    constexpr uint64_t heartbeatBudgetBytesPerSecond = 2000;

} // namespace

Milliseconds EntryCore::heartbeatInterval() const
{
    const Milliseconds minInterval(m_agents.size() * heartbeatBytes * 1000 / heartbeatBudgetBytesPerSecond);
    return std::max(m_limits.heartbeatInterval, minInterval);
}

void EntryCore::agentLinked(LinkId link, const wire::HelloT& hello, TimePoint now)
{
    const AgentIndex index = m_agents.intern(hello.agent);
    auto& agent = m_agents.at(index);
    if (agent.isLinked) {
        m_effects.add(CloseLink { agent.link, "replaced by a newer connection" });
        m_agents.unbindLink(agent.link);
    }
    if (agent.incarnation != Incarnation(hello.incarnation)) {
        failOutstandingStarts(index, "the agent has restarted", now);
        agent.incarnation = Incarnation(hello.incarnation);
    }
    agent.failureDomain = hello.failure_domain;
    agent.httpAddress = hello.http_address;
    agent.isWithdrawn = false;
    agent.lastHeard = now;
    agent.lastSent = now;
    agent.needPause = firstNeedPause;
    m_agents.bindLink(index, link);
    m_effects.record(LogLevel::Info, "agent-linked",
        { { "agent", agent.name }, { "incarnation", fmt::format("{:016x}", hello.incarnation) } });

    queryOutstanding(index);
    for (const auto& [time, key] : m_withheldAnswers) {
        if (findJob(key)->pendingAbandons.contains(index))
            sendAbandon(key, index);
    }
    for (const auto& [key, recovery] : m_recoveries) {
        if (recovery.pending.contains(index))
            sendRecover(key, recovery, index);
    }
}

void EntryCore::queryOutstanding(AgentIndex index)
{
    const auto& agent = m_agents.at(index);
    wire::QueryT query;
    for (auto it = agent.outstanding.begin(); it != agent.outstanding.end();) {
        query.tasks.push_back(toWire(*it, attemptOf(*it)));
        ++it;
        if (query.tasks.size() < queryBatch && it != agent.outstanding.end())
            continue;
        query.agent_incarnation = raw(agent.incarnation);
        m_effects.send(agent.link, std::exchange(query, {}));
        ++m_counters.queries;
    }
}

void EntryCore::linkClosed(LinkId link, TimePoint now)
{
    const auto index = m_agents.byLink(link);
    if (!index)
        return;
    m_agents.unbindLink(link);
    m_agents.at(*index).lostAt = now;
    m_effects.record(LogLevel::Info, "agent-unlinked", { { "agent", m_agents.at(*index).name } });
}

void EntryCore::receive(LinkId link, const wire::BodyUnion& body, TimePoint now)
{
    const auto found = m_agents.byLink(link);
    if (!found) {
        m_effects.add(CloseLink { link, "message received before Hello" });
        return;
    }
    const AgentIndex index = *found;
    auto& agent = m_agents.at(index);
    agent.lastHeard = now;
    ++m_counters.messagesReceived;
    switch (body.type) {
    case wire::Body::Answer:
        onAnswer(index, *body.AsAnswer(), now);
        break;
    case wire::Body::Offer:
        agent.isWithdrawn = false;
        agent.needPause = firstNeedPause;
        m_agents.setGrants(index, agent.grants + body.AsOffer()->grants);
        agent.holdsTrial = body.AsOffer()->trial;
        break;
    case wire::Body::Withdraw:
        agent.isWithdrawn = true;
        m_agents.setGrants(index, 0);
        m_effects.record(
            LogLevel::Info, "agent-withdrawn", { { "agent", agent.name }, { "reason", body.AsWithdraw()->reason } });
        break;
    case wire::Body::Recall:
        onRecall(index, body.AsRecall()->grants, now);
        break;
    case wire::Body::State:
        onState(index, *body.AsState(), now);
        break;
    case wire::Body::Recovered:
        onRecovered(index, *body.AsRecovered(), now);
        break;
    case wire::Body::Abandoned:
        if (const auto key = fromWire(body.AsAbandoned()->job)) {
            if (auto* job = findJob(*key))
                onAbandoned(*job, index, body.AsAbandoned()->refused, now);
        }
        break;
    case wire::Body::Beat:
        ++m_counters.heartbeatsReceived;
        break;
    default:
        m_effects.add(CloseLink { link, "unexpected message" });
        return;
    }
    dispatchQueued(now);
}

void EntryCore::onRecall(AgentIndex index, uint32_t requested, TimePoint now)
{
    auto& agent = m_agents.at(index);
    const uint32_t n = std::min(requested, agent.grants);
    m_agents.setGrants(index, agent.grants - n);
    wire::ReturnT message;
    message.grants = static_cast<uint16_t>(n);
    message.backlog = std::make_unique<wire::Backlog>(backlog(now));
    m_effects.send(agent.link, std::move(message));
    agent.lastSent = now;
    ++m_counters.returns;
}

void EntryCore::closeStart(AgentIndex index, const TaskKey& task)
{
    m_agents.removeOutstanding(index, task);
    if (auto* job = findJob(task.job)) {
        --job->outstanding;
        m_queue.ended(job->spec.team);
        releaseTaskState(*job);
    }
}

Attempt EntryCore::attemptOf(const TaskKey& task) const
{
    const auto it = m_jobs.find(task.job);
    return it == m_jobs.end() ? Attempt() : it->second.attempts[raw(task.index)];
}

void EntryCore::onAnswer(AgentIndex index, const wire::AnswerT& answer, TimePoint now)
{
    auto& agent = m_agents.at(index);
    if (answer.grants > 0)
        m_agents.setGrants(index, agent.grants + answer.grants);
    if (agent.unacknowledgedSince == TimePoint())
        agent.unacknowledgedSince = now;
    const auto task = fromWire(answer.task);
    if (!task || !agent.outstanding.contains(*task) || answer.outcome == wire::Outcome::Running)
        return;
    if (Attempt(answer.task->attempt()) != attemptOf(*task))
        return; // A delayed answer to an earlier start of the task.
    closeStart(index, *task);
    ++m_counters.answers;
    auto* job = findJob(task->job);
    if (job == nullptr || raw(task->index) >= job->states.size())
        return;
    m_effects.record(LogLevel::Debug, "task-answer",
        { { "task", *task }, { "agent", agent.name }, { "outcome", wire::EnumNameOutcome(answer.outcome) },
            { "run_us", static_cast<int64_t>(answer.run_us) } });
    switch (answer.outcome) {
    case wire::Outcome::Succeeded:
        if (!job->answer)
            updateSpeedEstimate(index, Microseconds(answer.run_us), job->spec.tasks[raw(task->index)].declaredRunTime);
        onSucceeded(*job, task->index, answer.body, now);
        break;
    case wire::Outcome::NotStarted:
    case wire::Outcome::Unseen:
        onNotStarted(*job, task->index, answer.reason, now);
        break;
    default:
        if (!job->answer)
            fail(*job, FailureReason::TaskFailed, fmt::format("task {}: {}", raw(task->index), answer.reason), now);
    }
}

void EntryCore::onSucceeded(Job& job, TaskIndex task, const std::string& body, TimePoint now)
{
    if (job.answer || job.states[raw(task)] != TaskState::Started)
        return;
    job.states[raw(task)] = TaskState::Succeeded;
    job.answers[raw(task)] = body;
    ++job.succeeded;
    if (job.succeeded < job.states.size())
        return;
    JobAnswer jobAnswer;
    jobAnswer.status = JobStatus::Complete;
    jobAnswer.answers = std::move(job.answers);
    finish(job, std::move(jobAnswer), now);
}

void EntryCore::updateSpeedEstimate(AgentIndex index, Microseconds run, Milliseconds declared)
{
    auto& agent = m_agents.at(index);
    const double seconds = std::chrono::duration<double>(run).count();
    // The first answers of an agent have more weight, so that a slow agent is recognized early.
    constexpr uint32_t warmUpSamples = 7;
    agent.samples = std::min(agent.samples + 1, warmUpSamples);
    const double weight = std::max(smoothing, 1.0 / agent.samples);
    m_agents.setMeanRun(index, agent.meanRunSeconds + weight * (seconds - agent.meanRunSeconds));
    if (declared.count() == 0)
        return;
    const double ratio = seconds / std::chrono::duration<double>(declared).count();
    m_agents.setSlowness(index, agent.slowness + weight * (ratio - agent.slowness));
}

void EntryCore::expireSpeedEstimate(AgentIndex index, TimePoint now)
{
    auto& agent = m_agents.at(index);
    if (agent.grants == 0 || !agent.outstanding.empty() || now - agent.lastStarted <= m_limits.speedEstimateTtl)
        return;
    agent.lastStarted = now;
    const double fastest = m_agents.agentsWithGrants().begin()->first;
    if (agent.slowness > fastest)
        m_agents.setSlowness(index, fastest);
}

void EntryCore::onState(AgentIndex index, const wire::StateT& state, TimePoint now)
{
    for (const auto& answer : state.answers)
        onAnswer(index, *answer, now);
}

void EntryCore::failOutstandingStarts(AgentIndex index, const std::string& reason, TimePoint now)
{
    const auto tasks = m_agents.at(index).outstanding;
    for (const auto& task : tasks) {
        closeStart(index, task);
        auto* job = findJob(task.job);
        if (job != nullptr && !job->answer)
            fail(*job, FailureReason::OutcomeUnknown, fmt::format("task {}: {}", raw(task.index), reason), now);
    }
}

void EntryCore::requestGrants(TimePoint now)
{
    if (m_queuedTasks == 0 || m_agents.totalGrants() > 0 || m_queue.front() == std::nullopt)
        return;
    if (now < m_nextNeedSweep)
        return;
    m_nextNeedSweep = now + firstNeedPause;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        auto& agent = m_agents.at(AgentIndex(i));
        // An agent with outstanding starts of this entry has learned the backlog from their messages.
        const bool isEligible = agent.isLinked && !agent.isWithdrawn && agent.outstanding.empty();
        if (!isEligible || now < agent.nextNeed)
            continue;
        wire::NeedT message;
        message.backlog = std::make_unique<wire::Backlog>(backlog(now));
        m_effects.send(agent.link, std::move(message));
        agent.lastSent = now;
        agent.nextNeed = now + agent.needPause;
        agent.needPause = std::min(agent.needPause * 2, maxNeedPause);
        ++m_counters.needs;
    }
}

void EntryCore::tickUnlinkedAgent(AgentIndex index, TimePoint now)
{
    constexpr Milliseconds relinkPause { 1000 };
    auto& agent = m_agents.at(index);
    if (now - agent.lostAt > m_limits.agentLostTimeout) {
        failOutstandingStarts(index, "the agent is out of reach", now);
        return;
    }
    if (now < agent.nextRelinkRequest)
        return;
    // The agent may not have noticed yet that its link is dead; a request on a new connection tells it.
    agent.nextRelinkRequest = now + relinkPause;
    m_effects.add(AskForRelink { agent.httpAddress });
}

void EntryCore::tickAgents(TimePoint now)
{
    constexpr Milliseconds checkPeriod { 50 };
    if (now - m_lastAgentCheck < checkPeriod)
        return;
    m_lastAgentCheck = now;
    const auto interval = heartbeatInterval();
    for (size_t i = 0; i < m_agents.size(); ++i) {
        const auto index = AgentIndex(i);
        auto& agent = m_agents.at(index);
        if (!agent.isLinked) {
            if (!agent.outstanding.empty())
                tickUnlinkedAgent(index, now);
            continue;
        }
        expireSpeedEstimate(index, now);
        const auto silence = now - agent.lastHeard;
        const bool isSilent = !agent.outstanding.empty() ? silence > m_limits.linkSilence : silence > 3 * interval;
        if (isSilent) {
            m_effects.record(LogLevel::Warning, "link-silent", { { "agent", agent.name } });
            m_effects.add(CloseLink { agent.link, "silent" });
            linkClosed(agent.link, now);
            continue;
        }
        // Without a message from this entry while tasks run, and one after the last answer, the agent would close the
        // link as silent.
        const bool isAcknowledgementDue
            = agent.unacknowledgedSince > agent.lastSent && now - agent.unacknowledgedSince > m_limits.linkSilence / 2;
        const bool isBusyLinkQuiet = !agent.outstanding.empty() && now - agent.lastSent > m_limits.linkSilence / 3;
        if (isAcknowledgementDue || isBusyLinkQuiet || now - agent.lastSent >= interval) {
            wire::BeatT beat;
            beat.beat_ms = static_cast<uint32_t>(interval.count());
            m_effects.send(agent.link, std::move(beat));
            agent.lastSent = now;
            agent.unacknowledgedSince = TimePoint();
            ++m_counters.heartbeatsSent;
        }
    }
}

} // namespace sequoia
