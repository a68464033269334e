/** @file EntryCore.h The deterministic state of an entry: sessions, jobs, queues, grants and recovery. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/Placement.h>
#include <sequoia/TeamQueue.h>

#include <map>

namespace sequoia {

/** Bounds of an entry core. */
struct EntryLimits {
    size_t maxOpenJobs = 20000; ///< Jobs without an answer.
    size_t maxQueuedTasks = 200000;
    Milliseconds maxDeadline { 600000 };
    Milliseconds retention { 120000 }; ///< How long an answer is kept for resubmissions.
    Milliseconds sessionIdleTimeout { 3600000 }; ///< A session without records ends after this time without use.
    Milliseconds linkSilence { 1500 }; ///< A link with starts outstanding that is silent this long is replaced.
    Milliseconds heartbeatInterval { 3000 }; ///< Longest quiet time on a link.
    Milliseconds agentLostTimeout { 6000 }; ///< Starts at an agent without a link count as unknown after this time.
    Milliseconds speedEstimateTtl {
        2000
    }; ///< The speed of an agent without starts is taken for unknown after this time.
    uint32_t retryAttempts = 8; ///< Starts of one task that may be refused.
};

/** Why the day plan refuses a visit. */
struct VisitRefusal {
    std::string detail; ///< For people, with the new date if there is one.
};

/** Behaviour that the core gets from its owner. */
struct EntryHooks {
    PlacementPolicy place;
    /** Whether a task may run today; empty if it may. */
    std::function<std::optional<VisitRefusal>(const JobSpec&, const TaskSpec&)> checkVisit;
    std::function<Revision()> revision; ///< Configuration in force.
};

/** Errors of submit, poll and cancel. */
enum class EntryError : uint8_t {
    UnknownSession,
    ContentDiffers, ///< The job id was used with another content.
    TooManyJobs,
    UnknownJob, ///< Never seen.
    Expired, ///< The record has gone: outcome unknown, and it is never started again.
    Acknowledged, ///< The caller gave the record up.
    Stopping ///< The entry takes no new jobs.
};

/** Result of a command: nothing, or why it was refused. */
using CommandResult = std::optional<EntryError>;

/** Counters of an entry core. */
struct EntryCounters {
    uint64_t starts = 0;
    uint64_t refusedStarts = 0;
    uint64_t answers = 0;
    uint64_t needs = 0;
    uint64_t returns = 0;
    uint64_t queries = 0;
    uint64_t abandons = 0;
    uint64_t heartbeatsSent = 0; ///< Sent.
    uint64_t heartbeatsReceived = 0;
    uint64_t messagesReceived = 0;
    uint64_t messagesSent = 0;
    uint64_t jobsComplete = 0;
    uint64_t jobsFailed = 0;
    uint64_t jobsNotRun = 0;
    /** Messages of both ways but for beats. */
    uint64_t messages() const { return messagesSent + messagesReceived - heartbeatsSent - heartbeatsReceived; }
    /** Messages that are neither an accepted start nor its answer; beats are not counted. */
    uint64_t wasted() const { return messages() - 2 * (starts - refusedStarts); }
};

/**
 * State of one entry. Every change is a command with the time in it; the same commands give the same effects.
 * Not thread-safe: it belongs to the control thread.
 */
class EntryCore {
public:
    EntryCore(Incarnation self, EntryLimits limits, EntryHooks hooks);

    SessionNumber openSession(TimePoint now);
    /** Whether a session is open and takes new jobs. */
    bool isOpen(SessionNumber session) const { return !m_isStopping && m_sessions.contains(session); }

    /** Submits a job, or joins the one of the same id. The waiter gets the answer as an effect. */
    CommandResult submit(JobSpec spec, WaiterId waiter, TimePoint now, CommandMode mode);
    /** Waits for a known job. */
    CommandResult poll(const JobKey& job, WaiterId waiter, TimePoint now);
    /** Ends a job; waiting tasks do not start, running ones go on unheard. */
    CommandResult cancel(const JobKey& job, TimePoint now, CommandMode mode);
    /** Drops the record of an answered job. */
    CommandResult acknowledge(const JobKey& job, CommandMode mode);
    /** A request went away before its answer. */
    void dropWaiter(const JobKey& job, WaiterId waiter);

    /** A message from an agent. */
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint now);
    /** A link to an agent has ended. */
    void linkClosed(LinkId link, TimePoint now);
    /** Agent accepted after its Hello was checked. */
    void agentLinked(LinkId link, const wire::HelloT& hello, TimePoint now);

    /** Refuses queued jobs with visits that the day plan has moved. */
    void dayPlanChanged(TimePoint now);
    void setTeamPolicy(const std::string& team, TeamPolicy policy) { m_queue.setPolicy(team, policy); }

    /**
     * Recovers a job of another home from the agents; it starts nothing. The waiter gets an answer once all agents
     * have replied. With `isEnded` false the home may only be out of reach: then only what it must say as well is said.
     */
    void recover(const JobKey& job, bool isEnded, WaiterId waiter, TimePoint now);

    /** Refuses new jobs; the open ones go on. */
    void stop() { m_isStopping = true; }
    bool isIdle() const { return m_openJobs == 0 && m_withheldAnswers.empty(); }

    /** Time passes: deadlines, retries, silence, retention. */
    void tick(TimePoint now);

    std::vector<Effect> takeEffects();
    const EntryCounters& counters() const { return m_counters; }
    const AgentTable& agents() const { return m_agents; }
    const TeamQueue& queue() const { return m_queue; }
    size_t openJobs() const { return m_openJobs; }
    size_t queuedTasks() const { return m_queuedTasks; }
    size_t records() const { return m_jobs.size(); }
    /** Quiet time allowed on a link, so that all beats together stay within the control budget. */
    Milliseconds heartbeatInterval() const;

private:
    enum class TaskState : uint8_t { Waiting, Started, Succeeded };

    struct Job {
        JobSpec spec;
        TimePoint deadline {};
        TimePoint virtualFinish {}; ///< Key in the team queue.
        TimePoint expires {}; ///< When the record of the answer goes.
        std::vector<TaskState> states;
        std::vector<Attempt> attempts; ///< By task, its latest start.
        std::vector<uint32_t> waiting; ///< Indices of waiting tasks, the longest last.
        std::vector<std::string> answers;
        size_t succeeded = 0;
        std::vector<AgentIndex> startedAgents; ///< Agents that were sent starts.
        std::set<AgentIndex> pendingAbandons; ///< Agents that have not confirmed the failure.
        bool isForfeited = false; ///< A recoverer may have answered it; this entry recovers it like any other.
        bool isPublished = false; ///< The answer may be told.
        TimePoint publishAt {}; ///< When it is told without confirmation.
        size_t outstanding = 0; ///< Starts whose end has not been heard of.
        size_t possibleRuns = 0; ///< Starts sent and not proved "not started".
        uint32_t refusals = 0;
        bool isQueued = false;
        bool isAcknowledged = false;
        TimePoint retryAt {}; ///< Set while the job waits for its back-off.
        JobAnswerPtr answer;
        std::vector<WaiterId> waiters;
    };

    struct Session {
        uint32_t expiredBelow = 0; ///< Sequence numbers below it without a record have expired.
        size_t records = 0;
        TimePoint lastUsed {};
    };

    struct Recovery {
        bool isOwnerEnded = false; ///< The home has ended for certain.
        std::set<AgentIndex> pending; ///< Agents that have not replied.
        std::map<TaskIndex, wire::AnswerT> found;
        size_t taskCount = 0; ///< Zero until an agent knows it.
        JobAnswerPtr answer;
        std::vector<WaiterId> waiters;
        TimePoint expires {};
    };

    void finish(Job& job, JobAnswer answer, TimePoint now);
    void abandon(Job& job, TimePoint now);
    void sendAbandon(const JobKey& job, AgentIndex agent);
    void onAbandoned(Job& job, AgentIndex agent, bool isRefused, TimePoint now);
    void publishAnswer(Job& job);
    void releaseTaskState(Job& job);
    void fail(Job& job, FailureReason reason, std::string detail, TimePoint now);
    void enqueue(Job& job);
    void dequeue(Job& job);
    std::optional<FailureReason> refusalReason(const JobSpec& spec, std::string& detail) const;
    Milliseconds expectedWait() const;
    void updateCapacity(TimePoint now);
    void dispatchQueued(TimePoint now);
    bool startNext(Job& job, TimePoint now);
    std::optional<AgentIndex> chooseAgent(const Job& job, TaskIndex task) const;
    void start(Job& job, TaskIndex task, AgentIndex agent, TimePoint now);
    wire::Backlog backlog(TimePoint now) const;
    Job* findJob(const JobKey& key);
    EntryError missingJobError(const JobKey& key) const;
    void expireSessions(TimePoint now);

    void onAnswer(AgentIndex agent, const wire::AnswerT& answer, TimePoint now);
    void queryOutstanding(AgentIndex agent);
    void closeStart(AgentIndex agent, const TaskKey& task);
    Attempt attemptOf(const TaskKey& task) const;
    void onSucceeded(Job& job, TaskIndex task, const std::string& body, TimePoint now);
    void updateSpeedEstimate(AgentIndex agent, Microseconds run, Milliseconds declared);
    /** An agent that looked slow gets no starts, so that nothing would ever correct an outdated estimate. */
    void expireSpeedEstimate(AgentIndex agent, TimePoint now);
    void onNotStarted(Job& job, TaskIndex task, const std::string& reason, TimePoint now);
    void onState(AgentIndex agent, const wire::StateT& state, TimePoint now);
    void onRecall(AgentIndex agent, uint32_t wanted, TimePoint now);
    void sendRecover(const JobKey& job, const Recovery& recovery, AgentIndex agent);
    void onRecovered(AgentIndex agent, const wire::RecoveredT& message, TimePoint now);
    void concludeRecovery(const JobKey& key, Recovery& recovery);
    void failOutstandingStarts(AgentIndex agent, const std::string& reason, TimePoint now);
    void requestGrants(TimePoint now);
    void tickUnlinkedAgent(AgentIndex agent, TimePoint now);
    void tickAgents(TimePoint now);
    void tickJobs(TimePoint now);
    void expireRecords(TimePoint now);

    Incarnation m_self;
    EntryLimits m_limits;
    EntryHooks m_hooks;
    uint64_t m_nextSession = 1;
    std::unordered_map<SessionNumber, Session> m_sessions;
    TimePoint m_lastSessionCheck {};
    bool m_isStopping = false;
    std::unordered_map<JobKey, Job> m_jobs;
    std::unordered_map<JobKey, Recovery> m_recoveries;
    std::set<std::pair<TimePoint, JobKey>> m_deadlines;
    std::set<std::pair<TimePoint, JobKey>> m_withheldAnswers;
    std::set<std::pair<TimePoint, JobKey>> m_retries;
    std::set<std::pair<TimePoint, JobKey>> m_expiries;
    std::set<std::pair<TimePoint, JobKey>> m_queuedByVirtualFinish; ///< Queued jobs by their time of arrival.
    TeamQueue m_queue;
    AgentTable m_agents;
    size_t m_openJobs = 0;
    size_t m_queuedTasks = 0;
    double m_capacity = 0; ///< Slots within reach lately; falls slowly, so that a cut link is no overload.
    TimePoint m_lastCapacityUpdate {};
    TimePoint m_lastAgentCheck {};
    TimePoint m_nextNeedSweep {}; ///< Before that no agent is asked for grants.
    Microseconds m_queuedWork {}; ///< Declared run time of the queued tasks.
    EntryCounters m_counters;
    EffectList m_effects;
};

} // namespace sequoia
