/** @file EntryRecovery.cpp Recovery of the jobs of ended entries from the records of the agents. */
#include <sequoia/EntryCore.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

void EntryCore::recover(const JobKey& key, bool isOwnerEnded, WaiterId waiter, TimePoint now)
{
    const auto [it, isNew] = m_recoveries.try_emplace(key);
    auto& recovery = it->second;
    recovery.expires = now + m_limits.retention;
    recovery.waiters.push_back(waiter);
    const bool isQueryDue = isNew || (isOwnerEnded && !recovery.isOwnerEnded && !recovery.answer);
    recovery.isOwnerEnded = recovery.isOwnerEnded || isOwnerEnded;
    if (isQueryDue) {
        m_effects.record(
            LogLevel::Info, "recovery-started", { { "job", key }, { "home_ended", isOwnerEnded ? "true" : "false" } });
        for (size_t i = 0; i < m_agents.size(); ++i) {
            const auto index = AgentIndex(i);
            const auto& agent = m_agents.at(index);
            // An agent that was unlinked for the whole retention period holds no record of the job any more.
            const bool mayHoldRecord = agent.isLinked || now - agent.lostAt < m_limits.retention;
            if (mayHoldRecord)
                recovery.pending.insert(index);
            if (agent.isLinked)
                sendRecover(key, recovery, index);
        }
    }
    concludeRecovery(key, recovery);
}

void EntryCore::sendRecover(const JobKey& key, const Recovery& recovery, AgentIndex index)
{
    wire::RecoverT message;
    message.job = std::make_unique<wire::JobKey>(toWire(key));
    message.fence = recovery.isOwnerEnded;
    m_effects.send(m_agents.at(index).link, std::move(message));
    ++m_counters.queries;
}

void EntryCore::onRecovered(AgentIndex index, const wire::RecoveredT& message, TimePoint)
{
    const auto key = fromWire(message.job);
    const auto it = key ? m_recoveries.find(*key) : m_recoveries.end();
    if (it == m_recoveries.end())
        return;
    auto& recovery = it->second;
    recovery.taskCount = std::max<size_t>(recovery.taskCount, message.task_count);
    for (const auto& answer : message.answers) {
        const auto task = fromWire(answer->task);
        const bool isFinal = answer->outcome == wire::Outcome::Succeeded || answer->outcome == wire::Outcome::Failed;
        if (task && isFinal)
            recovery.found.insert_or_assign(task->index, *answer);
    }
    // An unfenced agent may still start tasks of the job, so only a reply sent after the fence is final.
    if (message.fenced || !recovery.isOwnerEnded)
        recovery.pending.erase(index);
    concludeRecovery(it->first, recovery);
}

void EntryCore::concludeRecovery(const JobKey& key, Recovery& recovery)
{
    if (!recovery.answer) {
        JobAnswer answer;
        const auto failed = std::find_if(recovery.found.begin(), recovery.found.end(),
            [](const auto& entry) { return entry.second.outcome == wire::Outcome::Failed; });
        const bool isComplete = recovery.taskCount > 0 && recovery.found.size() == recovery.taskCount;
        if (failed != recovery.found.end()) {
            answer.reason = FailureReason::TaskFailed;
            answer.detail = fmt::format("task {}: {}", raw(failed->first), failed->second.reason);
        } else if (isComplete) {
            answer.status = JobStatus::Complete;
            for (const auto& entry : recovery.found)
                answer.answers.push_back(entry.second.body);
        } else if (recovery.isOwnerEnded && recovery.pending.empty()) {
            answer.reason = FailureReason::OutcomeUnknown;
            answer.detail = "the entry that owned the job has ended";
        } else {
            return;
        }
        recovery.answer = std::make_shared<const JobAnswer>(std::move(answer));
        m_effects.record(LogLevel::Info, "recovery-done",
            { { "job", key }, { "reason", std::string(toString(recovery.answer->reason)) } });
    }
    m_effects.add(DeliverAnswer { key, recovery.answer, std::exchange(recovery.waiters, {}) });
}

} // namespace sequoia
