/** @file AgentCore.cpp At-most-once starts, recovery replies and task results of an agent. */
#include <sequoia/AgentCore.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

AgentCore::AgentCore(Incarnation self, AgentLimits limits)
    : m_self(self)
    , m_limits(limits)
    , m_health(limits)
{
}

std::optional<LinkId> AgentCore::linkOf(Incarnation entry) const
{
    for (const auto& [id, link] : m_links) {
        if (link.entry == entry)
            return id;
    }
    return std::nullopt;
}

void AgentCore::receive(LinkId id, const wire::BodyUnion& body, TimePoint now)
{
    const auto it = m_links.find(id);
    if (it == m_links.end()) {
        m_effects.add(CloseLink { id, "message received before Welcome" });
        return;
    }
    auto& link = it->second;
    link.lastHeard = now;
    link.unacknowledgedSince = TimePoint();
    switch (body.type) {
    case wire::Body::Start:
        onStart(id, *body.AsStart(), now);
        break;
    case wire::Body::Query:
        onQuery(id, *body.AsQuery(), now);
        break;
    case wire::Body::Recover:
        onRecover(id, *body.AsRecover(), now);
        break;
    case wire::Body::Abandon:
        onAbandon(id, *body.AsAbandon(), now);
        break;
    case wire::Body::Return:
        onReturn(id, *body.AsReturn(), now);
        break;
    case wire::Body::Need:
        updateBacklog(link, body.AsNeed()->backlog);
        distributeGrants(now);
        recallGrantsFor(id, now);
        break;
    case wire::Body::Beat:
        link.heartbeatInterval = std::max(m_limits.heartbeatInterval, Milliseconds(body.AsBeat()->beat_ms));
        break;
    default:
        m_effects.add(CloseLink { id, "unexpected message" });
    }
}

std::optional<std::string> AgentCore::refusal(
    LinkId link, const wire::StartT& start, const TaskKey& task, TimePoint now)
{
    if (m_links.at(link).entry != task.job.owner)
        return "start not sent by the owner of its job";
    if (m_jobs.at(task.job).isAbandoned)
        return "the job of the task has failed";
    if (m_fenced.contains(task.job.owner))
        return "the owner of the job is fenced as ended";
    if (start.revision > m_newestRevision) {
        m_newestRevision = start.revision;
        m_newestRevisionSince = now;
    }
    if (start.revision < m_newestRevision && now - m_newestRevisionSince > m_limits.revisionGrace)
        return "start refers to an old configuration";
    if (m_isDraining)
        return "draining";
    if (m_slots == 0)
        return "no backend server";
    const bool isTrial = start.trial && m_health.health() == Health::Trial && m_running == 0;
    if (m_health.health() != Health::Good && !isTrial)
        return "quarantined: " + m_health.reason();
    if (m_running >= m_slots)
        return "no free slot";
    return std::nullopt;
}

void AgentCore::onStart(LinkId id, const wire::StartT& start, TimePoint now)
{
    const auto task = fromWire(start.task);
    // A start for an earlier incarnation is not answered: only that incarnation knew whether the task ran.
    if (!task || start.agent_incarnation != raw(m_self))
        return;
    auto& link = m_links.at(id);
    updateBacklog(link, start.backlog);
    auto& job = m_jobs[task->job];
    job.taskCount = std::max(job.taskCount, start.task_count);
    extendRetention(task->job, job, now);
    const auto attempt = Attempt(start.task->attempt());
    auto& record = job.tasks[task->index];
    const bool isNotStarted = record.attempt == Attempt() || record.outcome == wire::Outcome::NotStarted;
    if (attempt <= record.attempt || !isNotStarted) {
        // Ensures at-most-once: a repeated or delayed start gets the recorded state as its answer and runs nothing.
        m_effects.send(id, answerOf(*task, record));
        return;
    }
    if (link.grants > 0) {
        --link.grants;
        --m_granted;
    }
    record = TaskRecord();
    record.attempt = attempt;
    if (const auto reason = refusal(id, start, *task, now)) {
        record.outcome = wire::Outcome::NotStarted;
        record.reason = *reason;
        m_effects.send(id, answerOf(*task, record));
        link.lastSent = now;
        return;
    }
    record.started = now;
    record.declaredRunTime = Milliseconds(start.declared_ms);
    ++job.running;
    ++m_running;
    ++link.running;
    m_runningTasks.insert(*task);
    m_effects.record(LogLevel::Debug, "backend-call", { { "task", *task } });
    m_effects.add(CallBackend { *task, start.payload, Milliseconds(start.remaining_ms) });
}

void AgentCore::extendRetention(const JobKey& key, JobRecord& job, TimePoint now)
{
    m_expiries.erase({ job.expires, key });
    job.expires = now + m_limits.retention;
    m_expiries.emplace(job.expires, key);
}

wire::AnswerT AgentCore::answerOf(const TaskKey& task, const TaskRecord& record) const
{
    wire::AnswerT answer;
    answer.task = std::make_unique<wire::TaskKey>(toWire(task, record.attempt));
    answer.outcome = record.outcome;
    answer.reason = record.reason;
    answer.body = record.body;
    answer.run_us = static_cast<uint32_t>(record.run.count());
    return answer;
}

void AgentCore::backendFinished(const TaskKey& task, BackendResult result, TimePoint now)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || m_runningTasks.erase(task) == 0)
        return;
    auto& record = job->second.tasks.at(task.index);
    record.outcome = result.outcome;
    record.reason = std::move(result.reason);
    record.body = std::move(result.body);
    record.run = result.run;
    --job->second.running;
    --m_running;
    if (const auto link = linkOf(task.job.owner))
        --m_links.at(*link).running;
    extendRetention(task.job, job->second, now);
    recordOutcome(task, record, now);
    sendAnswer(task, record, now);
    if (job->second.running == 0) {
        for (const auto link : std::exchange(job->second.recoverers, {}))
            sendRecovered(link, task.job, job->second);
    }
    distributeGrants(now);
}

void AgentCore::recordOutcome(const TaskKey& task, const TaskRecord& record, TimePoint now)
{
    if (record.outcome == wire::Outcome::Succeeded) {
        if (m_health.recordSuccess()) {
            m_effects.record(LogLevel::Info, "quarantine-ended", {});
            offerToAll(now);
        }
        return;
    }
    if (record.outcome == wire::Outcome::NotStarted) {
        m_health.quarantine(record.reason, now);
        withdraw("quarantined: " + record.reason, now);
        return;
    }
    if (m_health.recordFailure(task.job, record.reason, now))
        withdraw("quarantined: " + record.reason, now);
}

void AgentCore::sendAnswer(const TaskKey& task, const TaskRecord& record, TimePoint now)
{
    const auto owner = linkOf(task.job.owner);
    if (!owner)
        return; // The owner sends a Query when it is linked again.
    auto answer = answerOf(task, record);
    auto& link = m_links.at(*owner);
    if (isOpen() && freeSlots() > 0 && chooseLinkForSlot(*owner) == *owner) {
        answer.grants = 1;
        ++link.grants;
        ++m_granted;
        if (link.backlog > 0)
            --link.backlog;
    }
    m_effects.send(*owner, std::move(answer));
    link.lastSent = now;
    if (link.unacknowledgedSince == TimePoint())
        link.unacknowledgedSince = now;
}

void AgentCore::onQuery(LinkId id, const wire::QueryT& query, TimePoint now)
{
    if (query.agent_incarnation != raw(m_self))
        return;
    wire::StateT state;
    for (const auto& wireTask : query.tasks) {
        const TaskKey task { *fromWire(std::make_unique<wire::JobKey>(wireTask.job())), TaskIndex(wireTask.index()) };
        auto& job = m_jobs[task.job];
        extendRetention(task.job, job, now);
        auto& record = job.tasks[task.index];
        const auto attempt = Attempt(wireTask.attempt());
        const bool isNotStarted = record.attempt == Attempt() || record.outcome == wire::Outcome::NotStarted;
        if (attempt > record.attempt && isNotStarted) {
            // Leaves a tombstone: a start still delayed on an earlier link is refused when it arrives.
            record.attempt = attempt;
            record.outcome = wire::Outcome::NotStarted;
            record.reason = "the start never arrived";
        }
        state.answers.push_back(std::make_unique<wire::AnswerT>(answerOf(task, record)));
    }
    m_effects.send(id, std::move(state));
    m_links.at(id).lastSent = now;
}

void AgentCore::onRecover(LinkId id, const wire::RecoverT& message, TimePoint now)
{
    const auto key = fromWire(message.job);
    if (!key)
        return;
    if (message.fence)
        m_fenced[key->owner] = now + m_limits.retention;
    auto& job = m_jobs[*key];
    extendRetention(*key, job, now);
    if (job.running > 0)
        job.recoverers.insert(id);
    else
        sendRecovered(id, *key, job);
}

void AgentCore::sendRecovered(LinkId id, const JobKey& key, JobRecord& job)
{
    job.isReported = true;
    if (!m_links.contains(id))
        return;
    wire::RecoveredT reply;
    reply.job = std::make_unique<wire::JobKey>(toWire(key));
    reply.fenced = m_fenced.contains(key.owner);
    reply.task_count = job.taskCount;
    for (const auto& [index, record] : job.tasks) {
        auto answer = std::make_unique<wire::AnswerT>(answerOf({ key, index }, record));
        if (job.isAbandoned) {
            answer->outcome = wire::Outcome::Failed;
            answer->reason = "the owner has failed the job";
        }
        reply.answers.push_back(std::move(answer));
    }
    m_effects.send(id, std::move(reply));
}

void AgentCore::onAbandon(LinkId id, const wire::AbandonT& message, TimePoint now)
{
    const auto key = fromWire(message.job);
    if (!key)
        return;
    auto& job = m_jobs[*key];
    extendRetention(*key, job, now);
    job.isAbandoned = !job.isReported;
    wire::AbandonedT reply;
    reply.refused = job.isReported;
    reply.job = std::make_unique<wire::JobKey>(toWire(*key));
    m_effects.send(id, std::move(reply));
    m_links.at(id).lastSent = now;
}

void AgentCore::tick(TimePoint now)
{
    tickLinks(now);
    tickStalls(now);
    tickTrial(now);
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const JobKey key = m_expiries.begin()->second;
        auto& job = m_jobs.at(key);
        if (job.running > 0) {
            extendRetention(key, job, now);
            continue;
        }
        m_expiries.erase(m_expiries.begin());
        m_jobs.erase(key);
    }
    std::erase_if(m_fenced, [&](const auto& entry) { return entry.second <= now; });
}

} // namespace sequoia
