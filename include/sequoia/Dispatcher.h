/** @file Dispatcher.h Deterministic core of an entry on the platform: jobs, queue, agents, runs. */
#pragma once

#include <sequoia/CrashRecords.h>
#include <sequoia/Effects.h>
#include <sequoia/EstimateModel.h>
#include <sequoia/Evacuations.h>
#include <sequoia/JobTrace.h>
#include <sequoia/LoadModel.h>
#include <sequoia/PriorityShares.h>
#include <sequoia/ResubmissionDetector.h>
#include <sequoia/RunProgress.h>
#include <sequoia/TaskPlacement.h>
#include <sequoia/Work.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace sequoia {

/** Parameters of a dispatcher. */
struct DispatcherLimits {
    Milliseconds linkSilence { 400 }; ///< A link with runs is closed after this long without a message.
    Milliseconds heartbeatInterval { 100 }; ///< Heartbeat interval on a link with runs.
    Milliseconds idleHeartbeatInterval { 800 }; ///< Heartbeat interval on a link without runs.
    Milliseconds idleLinkTimeout { 2000 }; ///< A link without runs is closed after this long without a message.
    Milliseconds runLapse { 1250 }; ///< Runs at an agent without a link for this long count as lost; see RunGateLimits.
    Milliseconds demandPeriod { 40 }; ///< Interval of the demand messages to an agent while tasks wait.
    /**
     * Time after the first tick in which agents are discovered. Until it ends, no job is refused as overloaded or for
     * lack of a server.
     */
    Milliseconds settleTime { 1500 };
    Milliseconds summaryPeriod { 5000 }; ///< Interval of the `entry-summary` log line.
    size_t maxOpenJobs = 4000;
    size_t maxQueuedTasks = 40000;
    /** Orphaned runs of other entries are remembered for this long; it exceeds the time after which their callers
     * submit the jobs again. */
    Milliseconds orphanRetention { 3000 };
    /** After the loss of a link, jobs wait this long at most for a new one before their first run: the agent tells of
     * orphaned runs on it. */
    Milliseconds relinkWait { 60 };
    Milliseconds suspensionThreshold { 100 }; ///< A process that did nothing for this long was suspended.
    /** A process whose pauses are all as long as that catches up on its links this often at most, so that jobs start
     * and silent agents are noticed in between; exceeds `linkSilence`. */
    Milliseconds catchUpInterval { 500 };
    size_t maxOrphanedRuns = 16384; ///< Orphaned runs of other entries beyond this many are not remembered.
    uint64_t traceSampleInterval = 64; ///< The trace of one in this many jobs answered in time is logged.
    size_t backfillDepth = 24; ///< Queued jobs that may fail to be placed before a pass over the queue ends.
    /** A run is stopped and repeated elsewhere after this many times its expected run time, plus `stragglerMargin`. */
    double stragglerFactor = 2;
    Milliseconds runNumberRetention { 20000 }; ///< Run numbers of ended jobs are kept for this time.
    Milliseconds stragglerMargin { 40 }; ///< See `stragglerFactor`.
    RunProgressLimits progress; ///< When runs that take long are left where they are; see RunProgress.h.
    ResubmissionDetectorLimits resubmission; ///< Detection of resubmitted requests.
    CrashLimits crashes; ///< Blame for crashes of servers.
    /** Share of the agents whose servers run the tasks of isolated routes, and no others meanwhile. */
    double isolationShare = 0.2;
};

/** A caller's request for a job. */
struct Caller {
    WaiterId waiter {};
    TimePoint arrival {}; ///< When its request came; the earliest possible time if it was read late.
    Milliseconds budget {}; ///< How long it waits for the answer, from `arrival` on.

    /** From then on it may have left, and may have submitted the job to another entry. */
    TimePoint deadline() const { return arrival + budget; }
};

/** Effect: sends the answer of a job to one of its callers. */
struct AnswerCaller {
    WaiterId waiter {};
    WorkId job {};
    WorkAnswer answer;
};

using DispatchEffect = std::variant<SendMessage, CloseLink, AnswerCaller, RecordEvent>;

/** Counters of a dispatcher. */
struct DispatcherCounters {
    uint64_t jobs = 0;
    std::map<std::pair<WorkStatus, std::string_view>, uint64_t> answers; ///< By status and reason.
    uint64_t callersGone = 0;
    uint64_t resubmittedJobs = 0; ///< Jobs whose request was taken for a resubmission.
    uint64_t orders = 0; ///< Run orders sent.
    std::map<wire::Refusal, uint64_t> refusals; ///< Run orders that an agent refused.
    uint64_t failedRuns = 0;
    uint64_t lostRuns = 0; ///< Runs that were stopped, or that ended without a result.
    uint64_t stragglers = 0; ///< Runs stopped as stragglers.
    uint64_t progressReports = 0; ///< Runs that take long, as agents told.
    uint64_t keptStragglers = 0; ///< Runs that weren't stopped as stragglers because of their progress.
    uint64_t serverCrashes = 0; ///< Crashes of servers that agents reported.
    uint64_t isolations = 0; ///< Isolations of routes whose tasks crash servers.
    uint64_t ownerlessRuns = 0; ///< Runs that an agent reported as running although they are not wanted any more.
    uint64_t adoptedRuns = 0; ///< Runs of other entries that jobs submitted here wait for.
    /** Orphaned runs of other entries whose task was ordered here before they were told of. */
    uint64_t jobsElsewhere = 0;
    uint64_t demands = 0; ///< Demand messages sent.
    uint64_t evacuations = 0; ///< Evacuations of failure domains that have begun.
    uint64_t resourceUpdates = 0; ///< RoomUpdate messages, which agents send without a run result.
    uint64_t messagesSent = 0;
    uint64_t messagesReceived = 0;

    /** Number of jobs answered with this status. */
    uint64_t answered(WorkStatus status) const;
    uint64_t refusedOrders() const;
};

/** A run of another entry. */
struct ForeignRun {
    Incarnation incarnation {}; ///< Of the agent that has it.
    TimePoint lapse {}; ///< It may be there until then if the agent isn't linked; zero if only the agent told of it.
};

/** What this entry knows of an agent and its backend server. */
struct AgentView {
    std::string name;
    std::string service;
    std::string failureDomain;
    std::vector<std::string> labels;
    Incarnation incarnation {};
    LinkId link {};
    bool isLinked = false;
    bool takesRelays = false; ///< It knows RelayedOrphans, unlike earlier releases.
    bool takesEvacuations = false; ///< It knows Evacuations, unlike earlier releases.
    bool takesUpperCase = false; ///< It tells job ids apart by the case of their letters, unlike earlier releases.
    bool isInEvacuatedDomain = false; ///< This entry knows that its failure domain is evacuated.
    bool isGateEvacuated = false; ///< Its last report on this link told that its failure domain is evacuated.
    bool isPreferred = true; ///< This entry orders from it first; see AgentShares.h.
    bool isForIsolatedRoutes = false; ///< While routes are isolated, its server runs their tasks and no others.
    wire::GateState state = wire::GateState::Closed;
    Resources total;
    Resources free; ///< As last reported by the agent, less the orders that the report does not cover yet.
    uint32_t ordersSent = 0; ///< Run orders sent on this link; numbers them.
    std::vector<KeptCpu> kept; ///< Part of `free` that the agent keeps from each priority for others.
    /** Numbers of orders that the agent has not reported as seen, with the resources that they take. */
    std::deque<std::pair<uint32_t, Resources>> unacknowledgedOrders;
    double slowness = 1.0; ///< Ratio of run time to estimate, smoothed.
    double slownessSpread = 0; ///< Standard error of the logarithm of the slowness.
    int64_t serverStartedMs = 0; ///< Start time of the backend server's process, ms since 1970.
    uint32_t slownessSamples = 0; ///< Number of jobs that the slowness was learned from.
    TimePoint freeReportedAt {}; ///< When `free` was last reported.
    TimePoint lastReceived {}; ///< When its last message arrived.
    TimePoint lastHeard {}; ///< The same, or when it got its first run, if that was later.
    /** The latest received on this link, by the agent's clock; goes back to it with each message. */
    TimePoint agentTime {};
    TimePoint lastSent {};
    TimePoint unlinkedAt {}; ///< When the link ended.
    size_t relays = 0; ///< Linked agents told of its ownerless runs, counted anew when any link is lost.
    TimePoint relinkUntil {}; ///< Until then a report on a new link is expected; zero if none is.
    TimePoint lastSuccess {}; ///< When a run there last ended successfully.
    TimePoint nextDemand {};
    std::unordered_set<RunId> runs; ///< Ordered runs whose result has not arrived.
    std::map<RunId, ForeignRun> foreignRuns; ///< Those of `runs` that other entries ordered.
    std::map<RunId, TimePoint> suspects; ///< Suspects of `runs`, and until when they are; see CrashRecords.h.

    /** Whether no run may start on its server until the operators withdraw the evacuation of its failure domain. */
    bool isEvacuated() const { return isInEvacuatedDomain || isGateEvacuated; }
    /** Whether runs can be ordered from it now. */
    bool isUsable() const { return isLinked && state != wire::GateState::Closed && !isEvacuated(); }
    /** The resources that tasks of a priority may take. */
    Resources freeFor(uint32_t priority) const;
    /** Whether runs of a service can be ordered from it now. */
    bool acceptsRunsOf(const std::string& name) const { return isUsable() && service == name; }
    /** Incarnation of the agent that has a run. */
    Incarnation incarnationOf(const RunId& id) const
    {
        const auto foreign = foreignRuns.find(id);
        return foreign == foreignRuns.end() ? incarnation : foreign->second.incarnation;
    }
    /** Whether suspects of another job keep a job's runs from its server. */
    bool isBlockedFor(WorkId job, TimePoint now) const
    {
        return std::any_of(suspects.begin(), suspects.end(),
            [&](const auto& suspect) { return suspect.second > now && suspect.first.task.job != job; });
    }
    /** Whether it has a label; the empty label matches every agent. */
    bool hasLabel(const std::string& label) const
    {
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }
};

/** Policies that the dispatcher's owner supplies. */
struct DispatcherHooks {
    PlacementHook place;
    AdmitHook admit;
    /** Whether the connection of a caller is open, as far as its end has arrived in this process's socket. */
    std::function<bool(WaiterId)> isConnected = [](WaiterId) { return true; };
};

/**
 * State machine of one entry; it places tasks by the processors, memory and accelerators they need. Every command
 * carries the current time, and the same sequence of commands gives the same effects. Not thread-safe: it is used by
 * the control thread only.
 */
class Dispatcher {
public:
    Dispatcher(DispatcherLimits limits, TaskPlacementLimits policy, DispatcherHooks hooks);

    /** Accepts or refuses a job, or adds the caller to the open job of this id. */
    void submit(WorkSpec spec, RoutePolicy route, const Caller& caller, TimePoint now);
    /** A caller of a job has disconnected; the job ends with its last caller. */
    void callerGone(WorkId job, WaiterId waiter, TimePoint now);

    /** Refuses new jobs from now on; open jobs continue. */
    void stop() { m_isStopping = true; }
    /** Ends and answers every open job; called when the process stops. */
    void answerAllJobs(TimePoint now);
    /** Whether a job is known here and not answered yet. */
    bool isOpen(WorkId job) const { return m_jobs.contains(job); }
    /** Ends a job at its caller's request; false if no such job is open. */
    bool cancel(WorkId job, TimePoint now);
    /** Number of open jobs of a route that no run was ordered for yet. */
    size_t waitingJobs(const std::string& route) const;

    /** An agent has opened a link and sent Hello. `agentTime` is that of the frame. */
    void agentLinked(LinkId link, const wire::HelloT& hello, TimePoint agentTime, TimePoint now);
    void linkClosed(LinkId link, TimePoint now);
    /** Handles a message from an agent. `agentTime` is that of the frame. */
    void receive(LinkId link, const wire::BodyUnion& body, TimePoint agentTime, TimePoint now);

    /** Sets how many entries share the agents, and the position of this one in the order that all entries agree on. */
    void setEntries(size_t entries, size_t position);
    /** The operators want these failure domains evacuated, as of a version of the store; older versions are ignored.
     * Agents there get no orders from now on, and count neither in predicted waits nor among the servers that a job
     * may fit. All agents that know the message are told. `cause` is who told this entry. */
    void setEvacuations(
        const std::vector<std::string>& domains, StoreVersion version, std::string_view cause, TimePoint now);
    /** Run times, speeds and caller timeouts that this entry has learned from traffic. */
    Learned learned() const;
    /** Takes over what other entries or an earlier process have learned. */
    void restore(const Learned& learned);
    /** Slowness of an agent's server, learned here or restored. */
    LearnedSpeed speedOf(const std::string& agent) const;
    /** Periodic work: heartbeats, silent links, lost runs, stragglers, deadlines and jobs that can't be in time. */
    void tick(TimePoint now);

    std::vector<DispatchEffect> takeEffects();
    const DispatcherCounters& counters() const { return m_counters; }
    const std::vector<AgentView>& agents() const { return m_agents; }
    size_t openJobs() const { return m_jobs.size(); }
    size_t queuedTasks() const;
    size_t linkedAgents() const;
    bool hasIsolatedRoutes() const { return m_hasIsolation; }
    const Evacuations& evacuations() const { return m_evacuations; }

private:
    static constexpr size_t maxRelays = 3; ///< Linked agents that are told of ownerless runs.

    enum class TaskState : uint8_t { Blocked, Ready, Ordered, Done };

    /** Progress of a run that takes long. */
    struct TaskProgress {
        TimePoint reportedAt {};
        ReportedProgress report; ///< As of then.
        bool isKept = false; ///< It was left running although it took long.
    };

    struct Task {
        TaskState state = TaskState::Blocked;
        RunNumber run {}; ///< Number of its latest run.
        uint32_t failures = 0;
        uint32_t refusals = 0;
        size_t agent = 0; ///< Agent of its latest run.
        TimePoint orderedAt {}; ///< When its latest run was ordered.
        bool isStopping = false; ///< Its latest run is being stopped as a straggler.
        std::optional<TaskProgress> progress; ///< What its agent has told of its latest run; empty if nothing.
        uint32_t stragglerStops = 0; ///< Runs stopped as stragglers; each doubles the time allowed for the next.
        /** Agents where a run of this task failed, was lost, was a straggler, or was refused other than as NoRoom. */
        std::vector<size_t> avoidedAgents;
    };

    struct Step {
        std::vector<Task> tasks;
        std::vector<uint32_t> ready; ///< Positions of ready tasks.
        size_t done = 0; ///< Number of tasks that are done.
        Milliseconds expected { 0 }; ///< Expected run time of a task at slowness 1; zero if unknown.
        Microseconds maxRunTime { 0 }; ///< Longest run time of the tasks that are done, scaled to slowness 1.
        Microseconds totalRunTime { 0 }; ///< Sum of the same run times.
    };

    /**
     * Queue order: by band (jobs with runs, jobs that can meet their objective, late jobs, stale jobs), then by
     * priority and latest start.
     */
    struct QueueKey {
        uint8_t band = 0; ///< Value of the enumeration Band in Dispatcher.cpp.
        uint32_t priority = 0;
        TimePoint latestStart {}; ///< Start that just meets the objective.
        WorkId job {};
        auto operator<=>(const QueueKey&) const = default;
    };

    struct Job {
        WorkSpec spec;
        RoutePolicy route;
        std::vector<WaiterId> waiters;
        TimePoint arrival {}; ///< Estimated arrival of its first request: earlier than this one for a resubmission.
        Milliseconds waitedBefore { 0 }; ///< Time that its caller is estimated to have waited before this request.
        TimePoint deadline {}; ///< When its first caller stops waiting.
        std::vector<Step> steps;
        /** By step: expected time of the longest path from its start to the end of the job. */
        std::vector<Milliseconds> criticalPaths;
        size_t tasksLeft = 0;
        bool isLate = false; ///< It waits behind all jobs that can meet their objective.
        uint32_t orders = 0; ///< Run orders sent for it, or adopted.
        bool isStarted = false; ///< A run order was sent for it.
        uint32_t refusals = 0; ///< Run orders refused.
        uint32_t failures = 0; ///< Runs failed.
        TimePoint firstOrderAt {};
        std::optional<QueueKey> queueKey; ///< Its key in the queue; empty if it is not queued.
        JobTrace trace;
        RunNumber firstRun { 1 }; ///< Run numbers start here, above those of an earlier job of the same id.
    };

    /** Fills in a new job: its tasks, expected times, and the steps that are ready at once. */
    void initializeJob(Job& job, WorkSpec spec, RoutePolicy route, const Caller& caller, TimePoint now);
    /** A job that was submitted again waits for the ends of its earlier runs, which are being stopped, before its tasks
     * start anew. */
    void adoptRuns(Job& job, TimePoint now);
    /** The task of a run, which was ordered before its job was submitted here, waits for the end of this run. */
    void adoptRun(Job& job, const RunId& id, size_t agent, TimePoint now);
    /** A task without a run waits for the latest of its orphaned runs that it has not waited for. */
    void adoptOrphan(Job& job, const TaskId& task, TimePoint now);
    /** The same for a run of another entry, which is stopped. */
    void adoptForeignRun(Job& job, const RunId& id, size_t agent, const ForeignRun& run, TimePoint now);
    /** Reason for which a new job is refused; empty if it can be accepted. */
    std::string_view rejectionReason(const Job& job, TimePoint now) const;
    /** Admission of a job: by the load, or for an isolated route by the servers that are open to it. */
    Admission admissionOf(const Job& job, const LoadView& load, TimePoint now) const;
    /** A crash that an agent reported: gives up the tasks that crash servers, and isolates their routes. */
    void onCrash(const wire::ServerCrashT& message, TimePoint now);
    /** Answers a job one of whose tasks crashes servers. */
    void giveUpCrashing(WorkId id, TimePoint now);
    bool isIsolated(const Job& job, TimePoint now) const;
    /** Whether an agent runs tasks of a step while routes are isolated; any agent does if none of those that are meant
     * for its route is large enough and labelled for it. */
    bool isOpenToRoute(const Job& job, size_t step, const AgentView& agent, TimePoint now) const;
    /** How long after its start a run of a task is suspected to crash its server; zero if it isn't. */
    Milliseconds suspicionTime(const Job& job, const TaskId& task, TimePoint now) const;
    /** Whether jobs of a route of the service that isn't isolated have arrived lately. */
    bool hasOtherRoutes(const std::string& service, TimePoint now) const;
    /** Chooses the agents for isolated routes alike at all entries. */
    void updateIsolation(TimePoint now);
    /** Whether an agent's server is large enough and labelled for a task of a step. */
    bool couldRun(const Job& job, size_t step, const AgentView& agent) const;
    /** Whether each task could run on a server as it was last reported, or on one that isn't known yet. */
    bool mayFitLater(const Job& job) const;
    /** Refuses the waiting jobs that no server is large enough for any more. */
    void refuseWhatFitsNoServer(TimePoint now);
    std::optional<size_t> agentOf(LinkId link) const;
    /** An agent has lost its link; a report on a new one is expected until `relinkUntil`, zero if none is. */
    void unlink(size_t agent, TimePoint relinkUntil, TimePoint now);
    /** Recomputes which agents this entry orders from first. */
    void updatePreferredAgents();
    Job* findJob(WorkId id);
    Task* findTask(const TaskId& id);
    /** Whether the task of a run still waits for this run's result. */
    bool isWanted(const RunId& id);
    QueuedJob queuedJob(const Job& job, TimePoint now) const;
    /** Amount of work of the ready tasks of a job; see LoadView for the unit. */
    static double waitingWork(const Job& job);
    /** Load without the fields that depend on a job: its work ahead, the queued work and the overtaking rate. */
    LoadView loadView(TimePoint now) const;
    /** Load as it concerns a job with this key. */
    LoadView loadBefore(const QueueKey& key, TimePoint now) const;
    /**
     * Repeats the admission of queued jobs without runs: those that can't meet their objective become late, those that
     * can't meet their deadline are refused.
     */
    void reviewQueue(TimePoint now);
    /** Work per millisecond, at slowness 1, of all agents that accept it. */
    double usableCapacity() const;
    /** Agents have become usable or unusable, of `capacityBefore` in all, as their failure domains are evacuated or no
     * longer are: adapts what was derived from the usable agents, and the queue. */
    void usableAgentsChanged(double capacityBefore, TimePoint now);
    /** Tells an agent which failure domains are evacuated, if it knows the message and there is something to tell. */
    void sendEvacuations(AgentView& agent, TimePoint now);
    /** Whether the discovery of agents after the start is complete. */
    bool isSettled(TimePoint now) const { return m_settledAt != TimePoint() && now >= m_settledAt; }
    /** Mean slowness of the agents that accept work, weighted by their processors. */
    double meanSlowness() const;
    QueueKey keyOf(const Job& job, TimePoint now) const;
    /** Whether all steps that a step depends on are done. */
    static bool isUnblocked(const Job& job, size_t step);
    /** Makes the blocked tasks of a step ready. */
    void makeReady(Job& job, size_t step);
    /** Inserts a job into the queue, or moves it, or takes it out if it has no ready task. */
    void requeue(Job& job, TimePoint now);
    void removeFromQueue(Job& job);
    /** Whether a caller of a job has not ended its connection. */
    bool hasCaller(const Job& job) const;
    /** Ends a job that has no caller any more. */
    void callersLeft(WorkId id, TimePoint now);
    /** Places queued tasks on agents; if tasks stay queued, sends demands. */
    void dispatchQueued(TimePoint now);
    /** Places the ready tasks of a job; false if some have to wait. */
    bool placeJob(Job& job, TimePoint now);
    /**
     * Whether an agent may have room for a task of a step. While servers are full, most messages of agents change
     * nothing for the jobs that wait; this check keeps a pass over the queue cheap then.
     */
    bool hasRoomFor(const Job& job, size_t step, TimePoint now) const;
    /** Places some ready tasks of a step on one agent; false if they have to wait. */
    bool placeStep(Job& job, size_t step, TimePoint now);
    /** Agents that may run the next ready task of a step; those that the task avoids only if there are no others. */
    std::vector<size_t> eligibleAgents(const Job& job, size_t step, TimePoint now) const;
    /** How many more tasks of a step an agent may take under the step's `maxPerServer`. */
    static int64_t maxTasksAt(const Job& job, size_t step, size_t agent);
    /** Sends a run order for a task to an agent. */
    void sendRunOrder(Job& job, size_t step, uint32_t index, size_t agent, TimePoint now);
    /** Updates free resources and slowness from a message. */
    template <typename Message> static void updateResources(AgentView& agent, const Message& message, TimePoint now);
    /** Tells agents which tasks wait; an agent reserves free resources for the entry with the most urgent demand. */
    void sendDemands(TimePoint now);
    void onReport(size_t agent, const wire::RoomReportT& report, TimePoint now);
    void onResult(size_t agent, const wire::RunResultT& result, TimePoint now);
    /** Runs of another entry have lost their caller or their entry: their jobs may be submitted here. */
    void onOrphanedRuns(size_t agent, const wire::OrphanedRunsT& message, TimePoint now);
    /** The same, told by their entry; the agents that have the runs may be out of reach. */
    void onRelayedOrphans(const wire::RelayedOrphansT& message, TimePoint now);
    void onOrphan(size_t agent, const RunId& id, const ForeignRun& run, TimePoint now);
    /** False if the run was known. */
    bool rememberOrphan(size_t agent, const RunId& id, const ForeignRun& run, TimePoint now);
    /** Tells the other entries of runs, by agent, whose caller has left; a few linked agents pass the message on.
     * Returns how many. */
    size_t relayOrphans(const std::map<size_t, std::vector<RunId>>& runs, TimePoint now);
    /** Runs at an agent that no task waits for any more; their job may be open again. */
    std::vector<RunId> ownerlessRuns(const AgentView& agent);
    /** Those of all agents that too few linked agents were told of since a link was lost. */
    std::map<size_t, std::vector<RunId>> untoldOrphans();
    /** Agents for this: those heard of most recently, of different failure domains if there are such. */
    std::vector<size_t> chooseRelays() const;
    /** Position of an agent; one that has not linked yet is added. */
    size_t agentNamed(const std::string& name);
    void runEnded(Job& job, const RunId& id, size_t agent, const wire::RunResultT& result, TimePoint now);
    void taskDone(Job& job, size_t step, Task& task, Microseconds ran, TimePoint now);
    /** Feeds the run times of a job's tasks to the estimate model. */
    void learnRunTimes(const Job& job);
    /** Makes a task whose run has ended without success ready again. */
    void retryTask(Job& job, const RunId& id, Task& task, TimePoint now);
    /** Answers a job, stops its runs and forgets it. */
    void finish(WorkId id, WorkAnswer answer, TimePoint now);
    /** Latency objective of a job, counted from its arrival. */
    static Microseconds objectiveOf(const Job& job);
    /** Log text of a job's open runs: task, agent, time so far and expected time. */
    std::string unfinishedText(const Job& job, TimePoint now) const;
    void stopRuns(Job& job, bool isCallerGone, TimePoint now);
    /** Adds an event about a run to the job's trace. */
    static void traceRun(
        std::string_view kind, Job& job, const RunId& id, const AgentView& agent, std::string reason, TimePoint now);
    void sendStop(size_t agent, const std::vector<RunId>& ids, bool isCallerGone, TimePoint now);
    /** After a suspension, messages that arrived meanwhile are read before links count as silent and jobs start. */
    void detectSuspension(TimePoint now);
    /** How long a link may be without a message before it is closed. */
    Milliseconds allowedSilence(const AgentView& agent) const;
    /** Whether a link was lost a moment ago, or messages may wait, so that orphaned runs may not be known. */
    bool isRelinking(TimePoint now) const;
    /** Until when a run at an agent may be there if nothing is heard of it. */
    TimePoint lapseOf(const AgentView& agent, const RunId& id, TimePoint now) const;
    /** Ends runs at an agent as lost. */
    void markRunsLost(size_t agent, const std::vector<RunId>& ids, std::string_view cause, TimePoint now);
    void tickLinks(TimePoint now);
    void tickQueue(TimePoint now);
    void tickStragglers(TimePoint now);
    /** Longest run time, at slowness 1, of a step's finished tasks and of its runs on other servers so far. */
    Microseconds observedRunTime(const Job& job, size_t step, const Task& task, TimePoint now) const;
    /** Whether a run takes too long, and another server could still finish the task before the deadline. */
    bool isStraggler(const Job& job, size_t step, Task& task, TimePoint now);
    /** Whether a run that takes too long is left running, as its progress shows that this is better. */
    bool isKept(const Job& job, size_t step, Task& task, TimePoint now);
    void onProgress(size_t agent, const wire::RoomUpdateT& update, TimePoint now);
    void recordSummary(TimePoint now);
    template <typename Message> void send(AgentView& agent, Message message, TimePoint now)
    {
        m_effects.send(agent.link, std::move(message), agent.agentTime);
        agent.lastSent = now;
        ++m_counters.messagesSent;
    }

    DispatcherLimits m_limits;
    TaskPlacementLimits m_placementLimits;
    DispatcherHooks m_hooks;
    EffectListOf<DispatchEffect> m_effects;
    DispatcherCounters m_counters;
    EstimateModel m_estimates;
    LoadModel m_load;
    ResubmissionDetector m_resubmissions;
    CrashRecords m_crashes;
    Evacuations m_evacuations;
    bool m_hasIsolation = false; ///< Routes are isolated, and there are agents for them.
    std::set<std::string> m_isolatingServices; ///< Services with such agents.
    /** When a job of each route last arrived, by service and name. */
    std::map<std::pair<std::string, std::string>, TimePoint> m_lastArrivals;
    int64_t m_isolatedJobs = 0; ///< Open jobs of isolated routes with runs, at the last tick.
    std::map<std::string, LearnedSpeed> m_restoredSpeeds; ///< By agent; from the store.
    double m_meanSlowness = 1; ///< Mean over the agents, weighted by their processors.
    std::unordered_map<WorkId, Job> m_jobs;
    std::set<QueueKey> m_queue; ///< Keys of the jobs with ready tasks.
    std::vector<AgentView> m_agents; ///< By position; positions are never reused.
    std::unordered_map<std::string, size_t> m_agentByName;
    std::map<LinkId, size_t> m_agentByLink;

    /** Highest run number of an ended job; a later job of the same id continues above it. */
    struct EndedJob {
        RunNumber highestRun {};
        TimePoint expires {};
    };
    std::unordered_map<WorkId, EndedJob> m_endedJobs;
    struct OrphanedRun {
        TimePoint lapse {}; ///< As in ForeignRun.
        TimePoint expires {};
        bool isOver = false; ///< Its agent has told so; messages that arrive later are ignored.

        /** Whether a job that has its task waits for it. */
        bool isOpen(TimePoint now) const { return expires > now && !isOver; }
    };
    /** Entries number runs independently, so that incarnations of an agent may have runs of the same id. */
    struct OrphanKey {
        RunId id;
        size_t agent = 0;
        Incarnation incarnation {}; ///< Of the agent that has the run.
        auto operator<=>(const OrphanKey&) const = default;
    };
    std::map<OrphanKey, OrphanedRun> m_orphanedRuns;
    TimePoint m_nextSummary {};
    TimePoint m_lastTick {};
    TimePoint m_nextCatchUp {}; ///< Earliest time of the next one.
    TimePoint m_catchUpUntil {}; ///< Until then messages that arrived during a suspension may wait.
    TimePoint m_settledAt {}; ///< When the discovery of agents counts as complete.
    size_t m_entryCount = 1;
    size_t m_entryPosition = 0; ///< Position of this entry in the order of all entries.
    bool m_isPreferenceStale = false; ///< Agents or entries have changed since the preferred agents were chosen.
    bool m_isStopping = false;
    std::set<WorkId> m_abandonedJobs; ///< Jobs whose callers were found to have left in this pass over the queue.
    uint64_t m_salt = 0; ///< Breaks ties between servers differently in each entry and request.
};

} // namespace sequoia
