/** @file EntryCore.cpp Jobs of an entry: submission, queueing, starts and answers. */
#include <sequoia/EntryCore.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

namespace {

    constexpr Milliseconds defaultRunTime { 200 }; // For tasks that declare none.
    constexpr Milliseconds firstRetryPause { 5 };
    constexpr uint32_t maxPauseDoublings = 7;

    Milliseconds declaredOrDefault(const TaskSpec& task)
    {
        return task.declaredRunTime.count() > 0 ? task.declaredRunTime : defaultRunTime;
    }

    /** Back-off that doubles with each refusal; jitter from the job's key keeps jobs from retrying in step. */
    Milliseconds retryPause(uint32_t refusals, const JobKey& key)
    {
        const auto pause = firstRetryPause * (1U << std::min(refusals, maxPauseDoublings));
        const auto jitter = std::hash<JobKey>()(key) % static_cast<uint64_t>(pause.count());
        return pause / 2 + Milliseconds(jitter) / 2;
    }

} // namespace

EntryCore::EntryCore(Incarnation self, EntryLimits limits, EntryHooks hooks)
    : m_self(self)
    , m_limits(limits)
    , m_hooks(std::move(hooks))
{
}

std::vector<Effect> EntryCore::takeEffects()
{
    auto effects = m_effects.take();
    for (const auto& effect : effects) {
        if (std::holds_alternative<SendMessage>(effect))
            ++m_counters.messagesSent;
    }
    return effects;
}

SessionNumber EntryCore::openSession(TimePoint now)
{
    const auto number = SessionNumber(m_nextSession++);
    m_sessions[number].lastUsed = now;
    return number;
}

EntryError EntryCore::missingJobError(const JobKey& key) const
{
    if (key.owner != m_self || raw(key.session) >= m_nextSession)
        return EntryError::UnknownSession;
    const auto session = m_sessions.find(key.session);
    if (session == m_sessions.end() || raw(key.sequence) < session->second.expiredBelow)
        return EntryError::Expired;
    return EntryError::UnknownJob;
}

EntryCore::Job* EntryCore::findJob(const JobKey& key)
{
    const auto it = m_jobs.find(key);
    return it == m_jobs.end() ? nullptr : &it->second;
}

CommandResult EntryCore::submit(JobSpec spec, WaiterId waiter, TimePoint now, CommandMode mode)
{
    const JobKey key = spec.key;
    if (auto* known = findJob(key)) {
        if (known->spec.digest != spec.digest)
            return EntryError::ContentDiffers;
        return mode == CommandMode::Check ? std::nullopt : poll(key, waiter, now);
    }
    if (const auto error = missingJobError(key); error != EntryError::UnknownJob)
        return error;
    if (m_isStopping)
        return EntryError::Stopping;
    if (m_openJobs >= m_limits.maxOpenJobs)
        return EntryError::TooManyJobs;
    if (mode == CommandMode::Check)
        return std::nullopt;

    auto& session = m_sessions[key.session];
    session.lastUsed = now;
    ++session.records;
    auto& job = m_jobs[key];
    job.spec = std::move(spec);
    job.waiters.push_back(waiter);
    job.deadline = now + std::min(job.spec.deadline, m_limits.maxDeadline);
    ++m_openJobs;
    m_deadlines.emplace(job.deadline, key);
    m_effects.record(LogLevel::Debug, "job-submitted",
        { { "job", key }, { "team", job.spec.team }, { "tasks", static_cast<int64_t>(job.spec.tasks.size()) } });

    const size_t n = job.spec.tasks.size();
    job.states.assign(n, TaskState::Waiting);
    job.attempts.resize(n);
    job.answers.resize(n);
    Microseconds work {};
    for (size_t i = 0; i < n; ++i) {
        job.waiting.push_back(static_cast<uint32_t>(i));
        work += declaredOrDefault(job.spec.tasks[i]);
    }
    std::stable_sort(job.waiting.begin(), job.waiting.end(),
        [&](uint32_t a, uint32_t b) { return job.spec.tasks[a].declaredRunTime < job.spec.tasks[b].declaredRunTime; });
    // Favours jobs with little work and jobs that arrived early; a job can be overtaken for a bounded time only.
    job.virtualFinish = now + work;
    std::string detail;
    if (const auto reason = refusalReason(job.spec, detail)) {
        fail(job, *reason, detail, now);
        return std::nullopt;
    }
    enqueue(job);
    dispatchQueued(now);
    return std::nullopt;
}

std::optional<FailureReason> EntryCore::refusalReason(const JobSpec& spec, std::string& detail) const
{
    Milliseconds maxDeclared {};
    for (const auto& task : spec.tasks) {
        maxDeclared = std::max(maxDeclared, task.declaredRunTime);
        if (const auto refusal = m_hooks.checkVisit(spec, task)) {
            detail = refusal->detail;
            return FailureReason::Moved;
        }
    }
    const auto deadline = std::min(spec.deadline, m_limits.maxDeadline);
    if (maxDeclared > deadline) {
        detail = fmt::format(
            "a task declares a run time of {} ms, but the deadline is {} ms", maxDeclared.count(), deadline.count());
        return FailureReason::Impossible;
    }
    if (m_queuedTasks + spec.tasks.size() > m_limits.maxQueuedTasks) {
        detail = "the queue is full";
        return FailureReason::Overloaded;
    }
    if (const auto wait = expectedWait(); wait + maxDeclared > deadline) {
        detail = fmt::format("the expected wait of {} ms exceeds the deadline", wait.count());
        return FailureReason::Overloaded;
    }
    return std::nullopt;
}

Milliseconds EntryCore::expectedWait() const
{
    if (m_capacity < 1)
        return Milliseconds(0);
    return toMilliseconds(std::chrono::duration<double, std::micro>(m_queuedWork) / m_capacity);
}

void EntryCore::updateCapacity(TimePoint now)
{
    constexpr double decayPerSecond = 0.05;
    const double slots = m_agents.totalGrants() + m_agents.totalOutstanding();
    const double seconds = std::chrono::duration<double>(now - m_lastCapacityUpdate).count();
    m_lastCapacityUpdate = now;
    m_capacity = std::max(slots, m_capacity * std::max(0.0, 1 - decayPerSecond * seconds));
}

CommandResult EntryCore::poll(const JobKey& key, WaiterId waiter, TimePoint now)
{
    auto* job = findJob(key);
    if (job == nullptr)
        return missingJobError(key);
    if (job->isAcknowledged)
        return EntryError::Acknowledged;
    if (job->isForfeited)
        recover(key, false, waiter, now);
    else if (job->isPublished)
        m_effects.add(DeliverAnswer { key, job->answer, { waiter } });
    else
        job->waiters.push_back(waiter);
    return std::nullopt;
}

CommandResult EntryCore::cancel(const JobKey& key, TimePoint now, CommandMode mode)
{
    auto* job = findJob(key);
    if (job == nullptr)
        return missingJobError(key);
    if (mode == CommandMode::Execute && !job->answer)
        fail(*job, FailureReason::Cancelled, "cancelled by the caller", now);
    return std::nullopt;
}

CommandResult EntryCore::acknowledge(const JobKey& key, CommandMode mode)
{
    auto* job = findJob(key);
    if (job == nullptr)
        return missingJobError(key);
    if (!job->isPublished)
        return EntryError::UnknownJob;
    if (mode == CommandMode::Check)
        return std::nullopt;
    // Keeps the key until the retention period ends, so that a late resubmission is not taken for a new job.
    job->isAcknowledged = true;
    job->answer = std::make_shared<const JobAnswer>();
    return std::nullopt;
}

void EntryCore::dropWaiter(const JobKey& key, WaiterId waiter)
{
    if (auto* job = findJob(key))
        std::erase(job->waiters, waiter);
    const auto it = m_recoveries.find(key);
    if (it != m_recoveries.end())
        std::erase(it->second.waiters, waiter);
}

void EntryCore::enqueue(Job& job)
{
    if (job.isQueued || job.waiting.empty())
        return;
    job.isQueued = true;
    m_queue.push(job.spec.team, job.spec.key, job.virtualFinish);
    m_queuedByVirtualFinish.emplace(job.virtualFinish, job.spec.key);
    m_queuedTasks += job.waiting.size();
    for (const auto index : job.waiting)
        m_queuedWork += declaredOrDefault(job.spec.tasks[index]);
}

void EntryCore::dequeue(Job& job)
{
    if (job.retryAt != TimePoint()) {
        m_retries.erase({ job.retryAt, job.spec.key });
        job.retryAt = TimePoint();
    }
    if (!job.isQueued)
        return;
    job.isQueued = false;
    m_queue.erase(job.spec.team, job.spec.key, job.virtualFinish);
    m_queuedByVirtualFinish.erase({ job.virtualFinish, job.spec.key });
    m_queuedTasks -= job.waiting.size();
    for (const auto index : job.waiting)
        m_queuedWork -= declaredOrDefault(job.spec.tasks[index]);
}

void EntryCore::fail(Job& job, FailureReason reason, std::string detail, TimePoint now)
{
    JobAnswer answer;
    answer.reason = reason;
    answer.isNotRun = job.possibleRuns == 0;
    answer.detail = std::move(detail);
    finish(job, std::move(answer), now);
}

void EntryCore::finish(Job& job, JobAnswer answer, TimePoint now)
{
    dequeue(job);
    const JobKey key = job.spec.key;
    m_deadlines.erase({ job.deadline, key });
    --m_openJobs;
    const bool isComplete = answer.status == JobStatus::Complete;
    ++(isComplete ? m_counters.jobsComplete : m_counters.jobsFailed);
    if (answer.isNotRun)
        ++m_counters.jobsNotRun;
    m_effects.record(isComplete ? LogLevel::Debug : LogLevel::Info, "job-answered",
        { { "job", key }, { "status", isComplete ? "complete" : "failed" },
            { "reason", std::string(toString(answer.reason)) }, { "not_run", answer.isNotRun ? "true" : "false" },
            { "detail", answer.detail } });
    job.answer = std::make_shared<const JobAnswer>(std::move(answer));
    // An answered job needs its digest only, to recognize resubmissions.
    job.spec.tasks.clear();
    job.spec.tasks.shrink_to_fit();
    job.waiting = {};
    job.answers = {};
    job.expires = now + m_limits.retention;
    m_expiries.emplace(job.expires, key);
    if (!isComplete)
        abandon(job, now);
    if (job.pendingAbandons.empty())
        publishAnswer(job);
}

void EntryCore::abandon(Job& job, TimePoint now)
{
    for (const auto index : job.startedAgents) {
        const auto& agent = m_agents.at(index);
        const bool isLost = !agent.isLinked && now - agent.lostAt > m_limits.agentLostTimeout;
        if (!isLost && job.pendingAbandons.insert(index).second)
            sendAbandon(job.spec.key, index);
    }
    if (job.pendingAbandons.empty())
        return;
    job.publishAt = now + m_limits.agentLostTimeout;
    m_withheldAnswers.emplace(job.publishAt, job.spec.key);
}

void EntryCore::sendAbandon(const JobKey& key, AgentIndex index)
{
    const auto& agent = m_agents.at(index);
    if (!agent.isLinked)
        return; // agentLinked() sends it.
    wire::AbandonT message;
    message.job = std::make_unique<wire::JobKey>(toWire(key));
    m_effects.send(agent.link, std::move(message));
    ++m_counters.abandons;
}

void EntryCore::onAbandoned(Job& job, AgentIndex agent, bool isRefused, TimePoint now)
{
    if (job.isPublished || job.isForfeited || job.pendingAbandons.erase(agent) == 0)
        return;
    if (!isRefused) {
        if (job.pendingAbandons.empty())
            publishAnswer(job);
        return;
    }
    // Another entry found this one ended or unreachable, recovered the job and may have delivered an answer already.
    job.isForfeited = true;
    m_withheldAnswers.erase({ job.publishAt, job.spec.key });
    m_effects.record(LogLevel::Warning, "job-forfeited", { { "job", job.spec.key } });
    for (const auto waiter : std::exchange(job.waiters, {}))
        recover(job.spec.key, false, waiter, now);
}

void EntryCore::releaseTaskState(Job& job)
{
    if (!job.isPublished || job.outstanding > 0)
        return;
    // No further answers of its tasks can arrive; only the answer and the digest are needed.
    job.states = {};
    job.attempts = {};
}

void EntryCore::publishAnswer(Job& job)
{
    m_withheldAnswers.erase({ job.publishAt, job.spec.key });
    job.pendingAbandons.clear();
    job.startedAgents = {};
    job.isPublished = true;
    releaseTaskState(job);
    m_effects.add(DeliverAnswer { job.spec.key, job.answer, std::exchange(job.waiters, {}) });
}

wire::Backlog EntryCore::backlog(TimePoint now) const
{
    if (m_queuedByVirtualFinish.empty())
        return {};
    // The virtual finish time is later than the arrival by the job's work, so the result is a lower bound of the wait.
    const auto wait = std::max(toMicroseconds(now - m_queuedByVirtualFinish.begin()->first), Microseconds(1));
    return { static_cast<uint32_t>(wait.count()), static_cast<uint32_t>(m_queuedTasks) };
}

void EntryCore::dispatchQueued(TimePoint now)
{
    for (;;) {
        const auto key = m_queue.front();
        if (!key)
            return;
        if (!startNext(*findJob(*key), now))
            break;
    }
    requestGrants(now);
}

bool EntryCore::startNext(Job& job, TimePoint now)
{
    // The longest task determines when the job is answered, so it is placed first. If it should wait for a faster
    // agent, a slow one may still suit the shortest task.
    for (const auto index : { job.waiting.back(), job.waiting.front() }) {
        const auto agent = chooseAgent(job, TaskIndex(index));
        if (!agent)
            continue;
        start(job, TaskIndex(index), *agent, now);
        return true;
    }
    return false;
}

std::optional<AgentIndex> EntryCore::chooseAgent(const Job& job, TaskIndex task) const
{
    const auto& spec = job.spec.tasks[raw(task)];
    return m_hooks.place(m_agents, { { job.spec.key, task }, spec.declaredRunTime, spec.repeatable, m_queuedTasks });
}

void EntryCore::start(Job& job, TaskIndex task, AgentIndex index, TimePoint now)
{
    const auto& spec = job.spec.tasks[raw(task)];
    const TaskKey key { job.spec.key, task };
    m_queuedTasks -= 1;
    m_queuedWork -= declaredOrDefault(spec);
    if (job.waiting.back() == raw(task))
        job.waiting.pop_back();
    else
        job.waiting.erase(job.waiting.begin());
    if (job.waiting.empty()) {
        job.isQueued = false;
        m_queue.erase(job.spec.team, job.spec.key, job.virtualFinish);
        m_queuedByVirtualFinish.erase({ job.virtualFinish, job.spec.key });
    }
    m_queue.started(job.spec.team);
    job.states[raw(task)] = TaskState::Started;
    job.attempts[raw(task)] = Attempt(raw(job.attempts[raw(task)]) + 1);
    job.startedAgents.push_back(index);
    ++job.possibleRuns;
    ++job.outstanding;

    auto& agent = m_agents.at(index);
    wire::StartT message;
    message.task = std::make_unique<wire::TaskKey>(toWire(key, job.attempts[raw(task)]));
    message.agent_incarnation = raw(agent.incarnation);
    message.task_count = static_cast<uint16_t>(job.states.size());
    message.remaining_ms = static_cast<uint32_t>(toMilliseconds(job.deadline - now).count());
    message.declared_ms = static_cast<uint32_t>(spec.declaredRunTime.count());
    message.repeatable = spec.repeatable;
    message.trial = agent.holdsTrial && agent.grants == 1;
    message.revision = raw(m_hooks.revision());
    message.payload = spec.payload;
    message.backlog = std::make_unique<wire::Backlog>(backlog(now));
    m_effects.record(LogLevel::Debug, "task-start", { { "task", key }, { "agent", agent.name } });
    m_effects.send(agent.link, std::move(message));
    if (agent.grants > 0)
        m_agents.setGrants(index, agent.grants - 1);
    m_agents.addOutstanding(index, key);
    agent.lastSent = now;
    agent.lastStarted = now;
    agent.unacknowledgedSince = TimePoint();
    if (agent.outstanding.size() == 1)
        agent.lastHeard = now; // Silence is measured from the first outstanding start.
    ++m_counters.starts;
}

void EntryCore::onNotStarted(Job& job, TaskIndex task, const std::string& reason, TimePoint now)
{
    --job.possibleRuns;
    ++m_counters.refusedStarts;
    if (job.answer)
        return;
    job.states[raw(task)] = TaskState::Waiting;
    dequeue(job);
    job.waiting.push_back(raw(task));
    ++job.refusals;
    const uint32_t allowed = m_limits.retryAttempts + static_cast<uint32_t>(job.states.size());
    if (job.refusals > allowed) {
        fail(job, FailureReason::RetriesExhausted,
            fmt::format("{} starts refused, last reason: {}", job.refusals, reason), now);
        return;
    }
    job.retryAt = now + retryPause(std::min(job.refusals - 1, maxPauseDoublings), job.spec.key);
    m_retries.emplace(job.retryAt, job.spec.key);
}

void EntryCore::dayPlanChanged(TimePoint now)
{
    std::vector<JobKey> open;
    for (const auto& entry : m_deadlines)
        open.push_back(entry.second);
    for (const auto& key : open) {
        auto& job = *findJob(key);
        if (job.possibleRuns > 0)
            continue;
        for (const auto& task : job.spec.tasks) {
            if (const auto refusal = m_hooks.checkVisit(job.spec, task)) {
                fail(job, FailureReason::Moved, refusal->detail, now);
                break;
            }
        }
    }
}

void EntryCore::tick(TimePoint now)
{
    tickJobs(now);
    tickAgents(now);
    updateCapacity(now);
    expireRecords(now);
    dispatchQueued(now);
}

void EntryCore::tickJobs(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto& job = *findJob(m_deadlines.begin()->second);
        fail(job, FailureReason::DeadlinePassed, "no answer before the deadline", now);
    }
    while (!m_withheldAnswers.empty() && m_withheldAnswers.begin()->first <= now)
        publishAnswer(*findJob(m_withheldAnswers.begin()->second));
    while (!m_retries.empty() && m_retries.begin()->first <= now) {
        auto& job = *findJob(m_retries.begin()->second);
        m_retries.erase(m_retries.begin());
        job.retryAt = TimePoint();
        enqueue(job);
    }
}

void EntryCore::expireRecords(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const JobKey key = m_expiries.begin()->second;
        m_expiries.erase(m_expiries.begin());
        auto& job = *findJob(key);
        if (job.outstanding > 0 || !(job.isPublished || job.isForfeited)) {
            job.expires = now + m_limits.retention;
            m_expiries.emplace(job.expires, key);
            continue;
        }
        auto& session = m_sessions[key.session];
        session.expiredBelow = std::max(session.expiredBelow, raw(key.sequence) + 1);
        --session.records;
        m_jobs.erase(key);
    }
    std::erase_if(m_recoveries, [&](const auto& entry) { return entry.second.expires <= now; });
    expireSessions(now);
}

void EntryCore::expireSessions(TimePoint now)
{
    constexpr auto checkPeriod = 10s;
    if (now - m_lastSessionCheck < checkPeriod)
        return;
    m_lastSessionCheck = now;
    std::erase_if(m_sessions, [&](const auto& entry) {
        return entry.second.records == 0 && now - entry.second.lastUsed > m_limits.sessionIdleTimeout;
    });
}

} // namespace sequoia
