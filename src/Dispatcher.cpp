/** @file Dispatcher.cpp Jobs of a dispatcher: submission, queue, placement and answers. */
#include <sequoia/Dispatcher.h>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace sequoia {

namespace {

    /** Bands of the queue, the first one first. */
    enum Band : uint8_t {
        HasRuns,
        MeetsObjective,
        Late,
        Stale ///< Can't end within the late limit (see slackToLateLimit), but its caller still waits.
    };

    constexpr uint32_t runNumberJump = 16; // Added when a server refuses a run number as too low.
    constexpr double percent = 100;
    constexpr std::string_view callerGoneReason = "caller-gone";
    constexpr std::string_view takenOverReason = "taken-over"; // Its caller has submitted the job to another entry.
    constexpr Milliseconds unavailableRetryDelay { 1000 }; // Retry-After where the wait can't be predicted.

    using FloatMs = std::chrono::duration<double, std::milli>;

    int64_t msOf(Clock::duration d) { return toMilliseconds(d).count(); }

} // namespace

uint64_t DispatcherCounters::answered(WorkStatus status) const
{
    uint64_t sum = 0;
    for (const auto& [key, count] : answers)
        sum += key.first == status ? count : 0;
    return sum;
}

uint64_t DispatcherCounters::refusedOrders() const
{
    uint64_t sum = 0;
    for (const auto& [reason, count] : refusals)
        sum += count;
    return sum;
}

Dispatcher::Dispatcher(DispatcherLimits limits, TaskPlacementLimits policy, DispatcherHooks hooks)
    : m_limits(limits)
    , m_placementLimits(policy)
    , m_hooks(std::move(hooks))
    , m_resubmissions(limits.resubmission)
    , m_crashes(limits.crashes)
{
}

std::vector<DispatchEffect> Dispatcher::takeEffects() { return m_effects.take(); }

Dispatcher::Job* Dispatcher::findJob(WorkId id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

Dispatcher::Task* Dispatcher::findTask(const TaskId& id)
{
    auto* job = findJob(id.job);
    const bool isKnown
        = job != nullptr && raw(id.step) < job->steps.size() && raw(id.index) < job->steps[raw(id.step)].tasks.size();
    return isKnown ? &job->steps[raw(id.step)].tasks[raw(id.index)] : nullptr;
}

void Dispatcher::submit(WorkSpec spec, RoutePolicy route, const Caller& caller, TimePoint now)
{
    detectSuspension(now);
    const auto id = spec.id;
    if (auto* openJob = findJob(id)) {
        openJob->waiters.push_back(caller.waiter);
        openJob->trace.add({ "job-joined", now, {}, false, "", {} });
        m_effects.record(LogLevel::Info, "job-joined", { { "job", id }, { "route", route.name } });
        return;
    }
    ++m_counters.jobs;
    m_lastArrivals[{ route.service, route.name }] = now;
    auto& job = m_jobs[id];
    job.waiters.push_back(caller.waiter);
    initializeJob(job, std::move(spec), std::move(route), caller, now);
    if (job.deadline <= now) // Nothing has run. A caller that still waits can send the job again at once.
        return finish(id, { WorkStatus::NotRun, "read-too-late", {} }, now);
    if (!hasCaller(job))
        return callersLeft(id, now);
    adoptRuns(job, now); // Stops runs of other entries, whose callers may still wait unless they have come here.
    if (m_crashes.hasTaskGivenUp(id))
        return giveUpCrashing(id, now);
    if (const auto refusal = rejectionReason(job, now); !refusal.empty())
        return finish(id, { WorkStatus::NotRun, refusal, unavailableRetryDelay }, now);
    m_load.recordArrival(job.route.priority, waitingWork(job), now);
    const auto queued = queuedJob(job, now);
    const auto load = loadBefore(keyOf(job, now), now);
    const auto admission = admissionOf(job, load, now);
    job.isLate = admission.decision == AdmissionDecision::Late;
    job.trace.add({ admission.decision == AdmissionDecision::Reject ? "job-refused" : "job-queued", now, {}, false, "",
        { { "late", job.isLate ? "true" : "false" }, { "predicted_wait_ms", admission.predictedWait.count() },
            { "slack_ms", slackToObjective(queued, m_placementLimits).count() },
            { "leave_slack_ms", slackToDeadline(queued, m_placementLimits).count() },
            { "chain_ms", queued.criticalPath.count() }, { "ahead", static_cast<int64_t>(load.workAhead) },
            { "queued", static_cast<int64_t>(load.queuedWork) },
            { "capacity_per_ms", static_cast<int64_t>(load.capacity) },
            { "arriving_per_ms", static_cast<int64_t>(load.arrivalRate) },
            { "view_complete", load.isComplete ? "true" : "false" } } });
    if (admission.decision == AdmissionDecision::Reject)
        return finish(id,
            { WorkStatus::NotRun, isIsolated(job, now) ? "route-isolated" : "overloaded", admission.retryAfter }, now);
    requeue(job, now);
    dispatchQueued(now);
}

void Dispatcher::initializeJob(Job& job, WorkSpec spec, RoutePolicy route, const Caller& caller, TimePoint now)
{
    job.route = std::move(route);
    job.waitedBefore = m_resubmissions.waitedBefore(job.route.name, caller.budget);
    m_counters.resubmittedJobs += job.waitedBefore.count() > 0 ? 1 : 0;
    job.arrival = caller.arrival - job.waitedBefore;
    job.deadline = caller.deadline();
    job.spec = std::move(spec);
    if (const auto ended = m_endedJobs.find(job.spec.id); ended != m_endedJobs.end())
        job.firstRun = RunNumber(raw(ended->second.highestRun) + 1);
    const auto n = job.spec.steps.size();
    job.steps.resize(n);
    job.criticalPaths.assign(n, Milliseconds(0));
    for (size_t i = n; i-- > 0;) {
        const auto& step = job.spec.steps[i];
        job.steps[i].tasks.resize(step.count);
        job.steps[i].expected = m_estimates.expected(job.route.name, step.estimate);
        job.tasksLeft += step.count;
        job.criticalPaths[i] += job.steps[i].expected;
        for (const auto before : step.dependsOn)
            job.criticalPaths[before] = std::max(job.criticalPaths[before], job.criticalPaths[i]);
    }
    for (size_t i = 0; i < n; ++i) {
        if (job.spec.steps[i].dependsOn.empty())
            makeReady(job, i);
    }
}

bool Dispatcher::couldRun(const Job& job, size_t step, const AgentView& agent) const
{
    const auto& spec = job.spec.steps[step];
    return agent.service == job.route.service && spec.resources.fitsIn(agent.total)
        && agent.hasLabel(spec.requiredLabel);
}

std::string_view Dispatcher::rejectionReason(const Job& job, TimePoint now) const
{
    if (m_isStopping)
        return "stopping";
    if (m_jobs.size() > m_limits.maxOpenJobs || queuedTasks() + job.tasksLeft > m_limits.maxQueuedTasks)
        return "queue-full";
    if (m_settledAt == TimePoint() || m_lastTick < m_settledAt)
        return ""; // Agents are still being discovered.
    for (size_t i = 0; i < job.steps.size(); ++i) {
        const bool isPossible = std::any_of(m_agents.begin(), m_agents.end(),
            [&](const AgentView& agent) { return agent.isLinked && !agent.isEvacuated() && couldRun(job, i, agent); });
        if (!isPossible)
            return "no-server-fits";
    }
    const bool isOpen = std::any_of(m_agents.begin(), m_agents.end(), [&](const AgentView& agent) {
        return agent.acceptsRunsOf(job.route.service) && isOpenToRoute(job, 0, agent, now);
    });
    if (isIsolated(job, now) && !isOpen)
        return "route-isolated";
    return "";
}

bool Dispatcher::mayFitLater(const Job& job) const
{
    for (size_t i = 0; i < job.steps.size(); ++i) {
        const bool isPossible = std::any_of(m_agents.begin(), m_agents.end(), [&](const AgentView& agent) {
            return !agent.isEvacuated() && (agent.service.empty() || couldRun(job, i, agent));
        });
        if (!isPossible)
            return false;
    }
    return true;
}

void Dispatcher::refuseWhatFitsNoServer(TimePoint now)
{
    std::vector<WorkId> refused;
    for (const auto& key : m_queue) {
        const auto& job = m_jobs.at(key.job);
        if (job.orders == 0 && !mayFitLater(job))
            refused.push_back(key.job);
    }
    for (const auto id : refused)
        finish(id, { WorkStatus::NotRun, "no-server-fits", unavailableRetryDelay }, now);
}

void Dispatcher::callerGone(WorkId id, WaiterId waiter, TimePoint now)
{
    auto* job = findJob(id);
    if (job == nullptr)
        return;
    std::erase(job->waiters, waiter);
    if (job->waiters.empty())
        callersLeft(id, now);
}

void Dispatcher::callersLeft(WorkId id, TimePoint now)
{
    ++m_counters.callersGone;
    finish(id, { m_jobs.at(id).orders > 0 ? WorkStatus::GivenUp : WorkStatus::NotRun, callerGoneReason, {} }, now);
}

bool Dispatcher::cancel(WorkId id, TimePoint now)
{
    const auto* job = findJob(id);
    if (job == nullptr)
        return false;
    finish(id, { job->orders > 0 ? WorkStatus::GivenUp : WorkStatus::NotRun, "cancelled", {} }, now);
    return true;
}

void Dispatcher::answerAllJobs(TimePoint now)
{
    while (!m_jobs.empty()) {
        const auto& [id, job] = *m_jobs.begin();
        finish(
            id, { job.orders > 0 ? WorkStatus::GivenUp : WorkStatus::NotRun, "stopping", unavailableRetryDelay }, now);
    }
}

size_t Dispatcher::waitingJobs(const std::string& route) const
{
    return static_cast<size_t>(std::count_if(m_jobs.begin(), m_jobs.end(),
        [&](const auto& job) { return job.second.orders == 0 && job.second.route.name == route; }));
}

QueuedJob Dispatcher::queuedJob(const Job& job, TimePoint now) const
{
    Milliseconds criticalPath {};
    for (size_t i = 0; i < job.steps.size(); ++i) {
        if (job.steps[i].done < job.steps[i].tasks.size())
            criticalPath = std::max(criticalPath, job.criticalPaths[i]);
    }
    return { criticalPath, job.route.stretch, job.route.objective, toMilliseconds(now - job.arrival),
        toMilliseconds(job.deadline - now), m_meanSlowness };
}

Dispatcher::QueueKey Dispatcher::keyOf(const Job& job, TimePoint now) const
{
    const auto queued = queuedJob(job, now);
    const auto slack = slackToObjective(queued, m_placementLimits);
    const QueueKey key { HasRuns, 0, now + slack, job.spec.id };
    if (job.orders > 0 && !job.isLate)
        return key;
    if (!job.isLate && slack.count() >= 0)
        return { MeetsObjective, job.route.priority, key.latestStart, key.job };
    if (job.orders > 0)
        return { Late, 0, TimePoint(), key.job };
    return { slackToLateLimit(queued, m_placementLimits).count() >= 0 ? Late : Stale, 0, key.latestStart, key.job };
}

double Dispatcher::waitingWork(const Job& job)
{
    double work = 0;
    for (size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.steps[i];
        work += static_cast<double>(step.ready.size()) * static_cast<double>(job.spec.steps[i].resources.cpu)
            * static_cast<double>(step.expected.count());
    }
    return work;
}

double Dispatcher::usableCapacity() const
{
    double totalCapacity = 0;
    for (const auto& agent : m_agents) {
        const bool isIsolated = m_hasIsolation && agent.isForIsolatedRoutes;
        if (agent.isUsable() && !isIsolated)
            totalCapacity += static_cast<double>(agent.total.cpu) / agent.slowness;
    }
    return totalCapacity;
}

LoadView Dispatcher::loadView(TimePoint now) const
{
    LoadView load;
    load.isComplete = isSettled(now);
    load.capacity = m_load.capacity(usableCapacity() / static_cast<double>(m_entryCount), now);
    load.arrivalRate = m_load.arrivalRate(now);
    return load;
}

LoadView Dispatcher::loadBefore(const QueueKey& key, TimePoint now) const
{
    auto load = loadView(now);
    load.overtakingRate = m_load.arrivalRateBefore(key.priority, now);
    for (const auto& other : m_queue) {
        const auto& job = m_jobs.at(other.job);
        const auto work = isIsolated(job, now) ? 0 : waitingWork(job);
        load.queuedWork += work;
        load.workAhead += other < key ? work : 0;
    }
    return load;
}

void Dispatcher::makeReady(Job& job, size_t index)
{
    auto& step = job.steps[index];
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        if (step.tasks[i].state != TaskState::Blocked)
            continue; // An earlier run of it was adopted.
        step.tasks[i].state = TaskState::Ready;
        step.ready.push_back(i);
    }
}

void Dispatcher::removeFromQueue(Job& job)
{
    if (!job.queueKey)
        return;
    m_queue.erase(*job.queueKey);
    job.queueKey.reset();
}

void Dispatcher::requeue(Job& job, TimePoint now)
{
    removeFromQueue(job);
    const bool hasReadyTasks
        = std::any_of(job.steps.begin(), job.steps.end(), [](const Step& step) { return !step.ready.empty(); });
    if (!hasReadyTasks)
        return;
    job.queueKey = keyOf(job, now);
    m_queue.insert(*job.queueKey);
}

void Dispatcher::dispatchQueued(TimePoint now)
{
    const bool hasFreeAgent = std::any_of(
        m_agents.begin(), m_agents.end(), [](const AgentView& agent) { return agent.isLinked && agent.free.cpu > 0; });
    const bool isRelinkingAgents = hasFreeAgent && !m_queue.empty() && isRelinking(now);
    size_t misses = 0;
    for (auto it = m_queue.begin(); hasFreeAgent && it != m_queue.end() && misses < m_limits.backfillDepth;) {
        auto& job = m_jobs.at((it++)->job);
        if (m_crashes.hasTaskGivenUp(job.spec.id)) {
            giveUpCrashing(job.spec.id, now);
            continue;
        }
        if (isRelinkingAgents && !job.isStarted)
            continue;
        if (!placeJob(job, now) && !isIsolated(job, now))
            ++misses;
    }
    for (const auto id : std::exchange(m_abandonedJobs, {}))
        callersLeft(id, now);
    m_load.setBacklogged(!m_queue.empty(), now);
    if (!m_queue.empty())
        sendDemands(now);
}

bool Dispatcher::hasCaller(const Job& job) const
{
    return std::any_of(
        job.waiters.begin(), job.waiters.end(), [&](WaiterId waiter) { return m_hooks.isConnected(waiter); });
}

size_t Dispatcher::queuedTasks() const
{
    size_t tasks = 0;
    for (const auto& key : m_queue) {
        for (const auto& step : m_jobs.at(key.job).steps)
            tasks += step.ready.size();
    }
    return tasks;
}

bool Dispatcher::placeJob(Job& job, TimePoint now)
{
    bool isPlaced = true;
    const auto ordersBefore = job.orders;
    for (size_t i = 0; i < job.steps.size(); ++i) {
        while (!job.steps[i].ready.empty()) {
            if (!placeStep(job, i, now)) {
                isPlaced = false;
                break;
            }
        }
    }
    if (job.orders != ordersBefore)
        requeue(job, now);
    return isPlaced;
}

bool Dispatcher::hasRoomFor(const Job& job, size_t step, TimePoint now) const
{
    const auto& resources = job.spec.steps[step].resources;
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const AgentView& agent) {
        return resources.fitsIn(agent.freeFor(job.route.priority)) && agent.acceptsRunsOf(job.route.service)
            && isOpenToRoute(job, step, agent, now) && !agent.isBlockedFor(job.spec.id, now);
    });
}

int64_t Dispatcher::maxTasksAt(const Job& job, size_t step, size_t agent)
{
    const auto limit = job.spec.steps[step].maxPerServer;
    if (limit == 0)
        return INT64_MAX;
    const auto& tasks = job.steps[step].tasks;
    const auto running = std::count_if(tasks.begin(), tasks.end(),
        [&](const Task& task) { return task.state == TaskState::Ordered && task.agent == agent; });
    return std::max<int64_t>(limit - running, 0);
}

std::vector<size_t> Dispatcher::eligibleAgents(const Job& job, size_t step, TimePoint now) const
{
    const auto& spec = job.spec.steps[step];
    std::vector<size_t> eligible;
    std::vector<size_t> notAvoided;
    const auto& avoided = job.steps[step].tasks[job.steps[step].ready.back()].avoidedAgents;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        const auto& agent = m_agents[i];
        const bool knowsId = agent.takesUpperCase || job.spec.id.upperCase == 0;
        if (!knowsId || !agent.acceptsRunsOf(job.route.service) || !agent.hasLabel(spec.requiredLabel)
            || !isOpenToRoute(job, step, agent, now) || agent.isBlockedFor(job.spec.id, now))
            continue;
        eligible.push_back(i);
        if (std::find(avoided.begin(), avoided.end(), i) == avoided.end())
            notAvoided.push_back(i);
    }
    return notAvoided.empty() ? eligible : notAvoided;
}

bool Dispatcher::placeStep(Job& job, size_t index, TimePoint now)
{
    if (!hasRoomFor(job, index, now))
        return false;
    const auto& spec = job.spec.steps[index];
    auto& step = job.steps[index];
    const auto eligible = eligibleAgents(job, index, now);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(eligible.size());
    for (const auto i : eligible) {
        const auto& agent = m_agents[i];
        const bool isNear = agent.hasLabel(spec.preferredLabel);
        const bool isTrial = agent.state == wire::GateState::Trial;
        const int64_t maxTrials = agent.runs.empty() ? 1 : 0;
        candidates.push_back({ agent.freeFor(job.route.priority), agent.slowness, agent.slownessSpread, isNear,
            isTrial ? maxTrials : maxTasksAt(job, index, i), isTrial, agent.total, agent.isPreferred });
    }
    PlacementRequest request;
    request.resources = spec.resources;
    // A task that avoids servers is placed alone, as the other tasks of the step may use these.
    const bool isAlone = !step.tasks[step.ready.back()].avoidedAgents.empty() && !isIsolated(job, now);
    request.count = isAlone ? 1 : static_cast<int64_t>(step.ready.size());
    request.estimate = job.criticalPaths[index];
    request.spread = m_estimates.spread(job.route.name);
    request.waited = toMilliseconds(now - job.arrival);
    request.stretch = job.route.stretch;
    request.objective = job.route.objective;
    request.remaining = toMilliseconds(job.deadline - now);
    request.salt = m_salt += 0x9E3779B97F4A7C15U;
    const auto choice = m_hooks.place(candidates, request);
    if (!choice || now >= job.deadline)
        return false;
    if (!hasCaller(job)) {
        m_abandonedJobs.insert(job.spec.id);
        return false;
    }
    for (int64_t n = 0; n < choice->count; ++n) {
        const auto task = step.ready.back();
        step.ready.pop_back();
        sendRunOrder(job, index, task, eligible[choice->candidate], now);
    }
    return true;
}

void Dispatcher::sendRunOrder(Job& job, size_t index, uint32_t position, size_t agentIndex, TimePoint now)
{
    auto& agent = m_agents[agentIndex];
    auto& task = job.steps[index].tasks[position];
    const auto& spec = job.spec.steps[index];
    const auto& step = job.steps[index];
    task.state = TaskState::Ordered;
    task.run = std::max(RunNumber(raw(task.run) + 1), job.firstRun);
    task.agent = agentIndex;
    task.orderedAt = now;
    task.isStopping = false;
    task.progress.reset();
    const RunId id { { job.spec.id, StepIndex(index), TaskIndex(position) }, task.run };
    if (job.orders == 0)
        job.firstOrderAt = now;
    job.isStarted = true;
    ++job.orders;
    ++m_counters.orders;

    wire::RunOrderT message;
    message.id = std::make_unique<wire::RunId>(toWire(id));
    message.upper_case = id.task.job.upperCase;
    message.agent_incarnation = raw(agent.incarnation);
    message.room = std::make_unique<wire::Room>(toWire(spec.resources));
    message.payload = job.spec.payload;
    message.estimate_ms = static_cast<uint32_t>(step.expected.count());
    message.remaining_ms = static_cast<uint32_t>(std::max<int64_t>(msOf(job.deadline - now), 0));
    message.max_per_server = spec.maxPerServer;
    message.route = job.route.name;
    message.service = job.route.service;
    message.required_label = spec.requiredLabel;
    message.priority = job.route.priority;
    const auto suspicion = suspicionTime(job, id.task, now);
    message.suspect_ms = static_cast<uint32_t>(suspicion.count());
    if (suspicion.count() > 0)
        agent.suspects[id] = now + suspicion;
    agent.free -= spec.resources;
    agent.unacknowledgedOrders.emplace_back(++agent.ordersSent, spec.resources);
    if (agent.runs.empty())
        agent.lastHeard = now; // The shorter silence limit of links with runs counts from here.
    agent.runs.insert(id);
    job.trace.add({ "run-ordered", now, id, true, agent.name,
        { { "free", toString(agent.free) }, { "view_age_ms", msOf(now - agent.freeReportedAt) },
            { "slowness_percent", static_cast<int64_t>(agent.slowness * percent) },
            { "expected_ms", step.expected.count() } } });
    send(agent, std::move(message), now);
}

void Dispatcher::sendDemands(TimePoint now)
{
    // Servers reserve nothing for isolated routes, most of them being closed to these.
    const auto key = std::find_if(
        m_queue.begin(), m_queue.end(), [&](const QueueKey& key) { return !isIsolated(m_jobs.at(key.job), now); });
    if (key == m_queue.end())
        return;
    const auto& first = m_jobs.at(key->job);
    std::optional<Resources> smallest;
    for (size_t i = 0; i < first.steps.size(); ++i) {
        if (!first.steps[i].ready.empty())
            smallest
                = smallest ? componentwiseMin(*smallest, first.spec.steps[i].resources) : first.spec.steps[i].resources;
    }
    // The period grows with the number of agents, so that an entry doesn't send more demands to a larger cluster.
    constexpr size_t agentsAtBasePeriod = 16;
    const auto period = m_limits.demandPeriod
        * std::max<int64_t>(1, static_cast<int64_t>((m_agents.size() + agentsAtBasePeriod - 1) / agentsAtBasePeriod));
    for (auto& agent : m_agents) {
        if (!agent.acceptsRunsOf(first.route.service) || now < agent.nextDemand)
            continue;
        agent.nextDemand = now + period;
        wire::DemandT message;
        size_t tasks = 0;
        for (const auto& step : first.steps)
            tasks += step.ready.size();
        message.tasks = static_cast<uint32_t>(tasks);
        message.smallest = std::make_unique<wire::Room>(toWire(smallest.value_or(Resources())));
        message.band = key->band;
        message.priority = key->priority;
        message.route_priority = first.route.priority;
        message.slack_ms = static_cast<int32_t>(msOf(key->latestStart - now));
        message.valid_ms = static_cast<uint32_t>(2 * period.count());
        ++m_counters.demands;
        send(agent, std::move(message), now);
    }
}

Microseconds Dispatcher::objectiveOf(const Job& job)
{
    // Uses the measured run times where tasks are done, as estimates may be wrong.
    std::vector<Microseconds> paths(job.steps.size());
    Microseconds criticalPath {};
    for (size_t i = job.steps.size(); i-- > 0;) {
        const auto& step = job.steps[i];
        paths[i] += step.done > 0 ? step.maxRunTime : Microseconds(step.expected);
        criticalPath = std::max(criticalPath, paths[i]);
        for (const auto before : job.spec.steps[i].dependsOn)
            paths[before] = std::max(paths[before], paths[i]);
    }
    return toMicroseconds(criticalPath * job.route.stretch) + job.route.objective;
}

void Dispatcher::finish(WorkId id, WorkAnswer answer, TimePoint now)
{
    auto& job = m_jobs.at(id);
    removeFromQueue(job);
    for (auto& step : job.steps) {
        step.ready.clear();
    }
    ++m_counters.answers[{ answer.status, answer.reason }];
    const bool isSucceeded = answer.status == WorkStatus::Succeeded;
    const bool isInTime = isSucceeded && now - job.arrival <= objectiveOf(job);
    if (!isInTime || m_counters.jobs % m_limits.traceSampleInterval == 0)
        job.trace.record(m_effects, isInTime ? LogLevel::Info : LogLevel::Warning, id, now);
    m_effects.record(isSucceeded ? LogLevel::Info : LogLevel::Warning, "job-answered",
        { { "job", id }, { "route", job.route.name }, { "status", std::string(toString(answer.status)) },
            { "reason", std::string(answer.reason) }, { "in_time", isInTime ? "true" : "false" },
            { "age_ms", msOf(now - job.arrival) }, { "waited_before_ms", job.waitedBefore.count() },
            { "budget_ms", msOf(job.deadline - job.arrival - job.waitedBefore) },
            { "queued_ms", job.orders > 0 ? msOf(job.firstOrderAt - job.arrival) : msOf(now - job.arrival) },
            { "tasks_left", static_cast<int64_t>(job.tasksLeft) }, { "orders", job.orders },
            { "refused", job.refusals }, { "failed_runs", job.failures },
            { "retry_after_ms", answer.retryAfter.count() }, { "queued_tasks", static_cast<int64_t>(queuedTasks()) },
            { "unfinished", unfinishedText(job, now) } });
    for (const auto waiter : job.waiters)
        m_effects.add(AnswerCaller { waiter, id, answer });
    if (job.orders > 0)
        stopRuns(job, answer.reason == callerGoneReason || answer.reason == takenOverReason, now);
    learnRunTimes(job);
    m_jobs.erase(id);
}

std::string Dispatcher::unfinishedText(const Job& job, TimePoint now) const
{
    constexpr size_t maxRuns = 4; // Enough to see which servers delayed the job.
    std::string out;
    size_t n = 0;
    for (size_t i = 0; i < job.steps.size(); ++i) {
        for (size_t k = 0; k < job.steps[i].tasks.size() && n < maxRuns; ++k) {
            const auto& task = job.steps[i].tasks[k];
            if (task.state != TaskState::Ordered)
                continue;
            ++n;
            out += fmt::format("{}{}.{}@{}:{}ms/{}ms", out.empty() ? "" : ",", i, k, m_agents[task.agent].name,
                msOf(now - task.orderedAt), job.steps[i].expected.count());
        }
    }
    return out;
}

void Dispatcher::stopRuns(Job& job, bool isCallerGone, TimePoint now)
{
    std::map<size_t, std::vector<RunId>> byAgent;
    for (size_t i = 0; i < job.steps.size(); ++i) {
        for (size_t n = 0; n < job.steps[i].tasks.size(); ++n) {
            const auto& task = job.steps[i].tasks[n];
            auto& ended = m_endedJobs[job.spec.id];
            ended = { std::max(ended.highestRun, task.run), now + m_limits.runNumberRetention };
            if (task.state == TaskState::Ordered)
                byAgent[task.agent].push_back(
                    { { job.spec.id, StepIndex(i), TaskIndex(static_cast<uint16_t>(n)) }, task.run });
        }
    }
    for (const auto& [agent, ids] : byAgent)
        sendStop(agent, ids, isCallerGone, now);
    if (!isCallerGone)
        return;
    const auto relays = relayOrphans(byAgent, now);
    for (const auto& [agent, ids] : byAgent)
        m_agents[agent].relays = std::min(m_agents[agent].relays, relays);
}

void Dispatcher::sendStop(size_t agentIndex, const std::vector<RunId>& ids, bool isCallerGone, TimePoint now)
{
    auto& agent = m_agents[agentIndex];
    if (!agent.isLinked)
        return; // The agent stops the runs itself, or is asked about them when it links again.
    wire::RunStopT message;
    for (const auto& id : ids)
        addRun(id, message.ids, message.upper_case);
    message.caller_gone = isCallerGone;
    send(agent, std::move(message), now);
}

void Dispatcher::tick(TimePoint now)
{
    detectSuspension(now);
    m_lastTick = now;
    if (m_settledAt == TimePoint())
        m_settledAt = now + m_limits.settleTime;
    tickLinks(now);
    if (m_isPreferenceStale)
        updatePreferredAgents();
    updateIsolation(now);
    tickStragglers(now);
    tickQueue(now);
    std::erase_if(m_endedJobs, [&](const auto& ended) { return ended.second.expires <= now; });
    std::erase_if(m_orphanedRuns, [&](const auto& orphan) { return orphan.second.expires <= now; });
    std::erase_if(
        m_lastArrivals, [&](const auto& arrival) { return now - arrival.second > m_limits.crashes.retention; });
    dispatchQueued(now);
    recordSummary(now);
}

void Dispatcher::recordSummary(TimePoint now)
{
    if (now < m_nextSummary)
        return;
    m_nextSummary = now + m_limits.summaryPeriod;
    const auto n = [](uint64_t count) { return static_cast<int64_t>(count); };
    m_effects.record(LogLevel::Info, "entry-summary",
        { { "open_jobs", n(m_jobs.size()) }, { "queued_tasks", n(queuedTasks()) }, { "agents", n(linkedAgents()) },
            { "entries", n(m_entryCount) }, { "jobs", n(m_counters.jobs) },
            { "not_run", n(m_counters.answered(WorkStatus::NotRun)) },
            { "given_up", n(m_counters.answered(WorkStatus::GivenUp)) }, { "orders", n(m_counters.orders) },
            { "refused", n(m_counters.refusedOrders()) }, { "demands", n(m_counters.demands) },
            { "updates", n(m_counters.resourceUpdates) } });
}

double Dispatcher::meanSlowness() const
{
    double cpu = 0;
    double sum = 0;
    for (const auto& agent : m_agents) {
        if (!agent.isUsable())
            continue;
        cpu += static_cast<double>(agent.total.cpu);
        sum += static_cast<double>(agent.total.cpu) * agent.slowness;
    }
    return cpu > 0 ? sum / cpu : 1;
}

void Dispatcher::reviewQueue(TimePoint now)
{
    std::vector<std::pair<WorkId, Admission>> changed;
    auto load = loadView(now);
    for (const auto& key : m_queue) {
        const auto& job = m_jobs.at(key.job);
        load.queuedWork += isIsolated(job, now) ? 0 : waitingWork(job);
    }
    for (const auto& key : m_queue) {
        const auto& job = m_jobs.at(key.job);
        // A job with runs continues until its deadline: it may still be in time if its estimates are too long.
        if (job.orders == 0) {
            load.overtakingRate
                = key.band > MeetsObjective ? load.arrivalRate : m_load.arrivalRateBefore(key.priority, now);
            const auto admission = admissionOf(job, load, now);
            const bool isMoved = (admission.decision == AdmissionDecision::Late) != job.isLate;
            if (admission.decision == AdmissionDecision::Reject || isMoved || keyOf(job, now).band != key.band)
                changed.emplace_back(key.job, admission);
        }
        load.workAhead += isIsolated(job, now) ? 0 : waitingWork(job);
    }
    const bool hasAgents = linkedAgents() > 0;
    for (const auto& [id, admission] : changed) {
        auto& job = m_jobs.at(id);
        job.trace.add({ "job-reviewed", now, {}, false, "",
            { { "late", admission.decision == AdmissionDecision::Late ? "true" : "false" },
                { "predicted_wait_ms", admission.predictedWait.count() },
                { "capacity_per_ms", static_cast<int64_t>(load.capacity) },
                { "arriving_per_ms", static_cast<int64_t>(load.arrivalRate) },
                { "view_complete", load.isComplete ? "true" : "false" } } });
        if (admission.decision != AdmissionDecision::Reject) {
            job.isLate = admission.decision == AdmissionDecision::Late;
            requeue(job, now);
            continue;
        }
        const auto reason = isIsolated(job, now) ? "route-isolated" : "waited-too-long";
        finish(id, { WorkStatus::NotRun, hasAgents ? reason : "no-backend-server", admission.retryAfter }, now);
    }
}

void Dispatcher::tickQueue(TimePoint now)
{
    m_meanSlowness = meanSlowness();
    reviewQueue(now);
    std::vector<WorkId> expired;
    for (const auto& [id, job] : m_jobs) {
        if (job.deadline <= now)
            expired.push_back(id);
    }
    for (const auto id : expired)
        finish(id, { m_jobs.at(id).orders > 0 ? WorkStatus::GivenUp : WorkStatus::NotRun, "deadline", {} }, now);
}

Microseconds Dispatcher::observedRunTime(const Job& job, size_t index, const Task& task, TimePoint now) const
{
    // Tasks of a step take about equally long: if they take long on several servers, the estimate is too short.
    const auto& step = job.steps[index];
    auto longest = step.maxRunTime;
    for (const auto& other : step.tasks) {
        if (other.state != TaskState::Ordered || other.agent == task.agent)
            continue;
        const auto& agent = m_agents[other.agent];
        if (agent.lastSuccess <= other.orderedAt)
            continue; // No run has succeeded there since: that server may hang as well.
        longest = std::max(longest, toMicroseconds((now - other.orderedAt) / std::max(agent.slowness, 1.0)));
    }
    return longest;
}

bool Dispatcher::isKept(const Job& job, size_t index, Task& task, TimePoint now)
{
    if (!task.progress)
        return false;
    const auto& spec = job.spec.steps[index];
    std::optional<double> elsewhere;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        const auto& agent = m_agents[i];
        const bool isAvoided
            = std::find(task.avoidedAgents.begin(), task.avoidedAgents.end(), i) != task.avoidedAgents.end();
        if (i == task.agent || isAvoided || !agent.acceptsRunsOf(job.route.service)
            || !agent.hasLabel(spec.requiredLabel) || !spec.resources.fitsIn(agent.free))
            continue;
        const auto slowness = agent.slowness * std::exp(agent.slownessSpread); // As far as it is known.
        elsewhere = std::min(elsewhere.value_or(slowness), slowness);
    }
    auto report = task.progress->report;
    report.age = toMilliseconds(now - task.progress->reportedAt);
    // A stop takes about as long as the margin until it is known that the run is over.
    const auto handover = m_placementLimits.overhead + m_limits.stragglerMargin;
    if (!isBetterLeft(report, elsewhere, handover, m_limits.progress))
        return false;
    if (!std::exchange(task.progress->isKept, true)) {
        ++m_counters.keptStragglers;
        m_effects.record(LogLevel::Debug, "straggler-kept",
            { { "job", job.spec.id }, { "agent", m_agents[task.agent].name }, { "ms", msOf(now - task.orderedAt) },
                { "expected_ms", job.steps[index].expected.count() },
                { "remaining_ms", (report.remaining - report.age).count() }, { "work_ms", report.work.count() },
                { "elsewhere_percent", static_cast<int64_t>(elsewhere.value_or(0) * percent) } });
    }
    return true;
}

bool Dispatcher::isStraggler(const Job& job, size_t step, Task& task, TimePoint now)
{
    if (task.state != TaskState::Ordered || task.isStopping || job.steps[step].expected.count() == 0)
        return false;
    const auto estimate = std::max(Microseconds(job.steps[step].expected), observedRunTime(job, step, task, now));
    const auto& agent = m_agents[task.agent];
    // Estimates may be far too short: each stop doubles the time allowed, so that every task can end.
    constexpr uint32_t maxDoublings = 8;
    const double factor = m_limits.stragglerFactor * (1U << std::min(task.stragglerStops, maxDoublings));
    const auto allowed = estimate * std::max(agent.slowness, 1.0) * factor + m_limits.stragglerMargin;
    if (now - task.orderedAt < allowed || !agent.isLinked || now + estimate + m_placementLimits.overhead >= job.deadline
        || isKept(job, step, task, now))
        return false;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        const bool isAvoided
            = std::find(task.avoidedAgents.begin(), task.avoidedAgents.end(), i) != task.avoidedAgents.end();
        if (i != task.agent && !isAvoided && m_agents[i].acceptsRunsOf(job.route.service))
            return true;
    }
    return false;
}

void Dispatcher::tickStragglers(TimePoint now)
{
    for (auto& [id, job] : m_jobs) {
        for (size_t i = 0; i < job.steps.size(); ++i) {
            for (size_t n = 0; n < job.steps[i].tasks.size(); ++n) {
                auto& task = job.steps[i].tasks[n];
                if (!isStraggler(job, i, task, now))
                    continue;
                task.isStopping = true;
                ++task.stragglerStops;
                task.avoidedAgents.push_back(task.agent);
                ++m_counters.stragglers;
                const RunId run { { id, StepIndex(i), TaskIndex(static_cast<uint16_t>(n)) }, task.run };
                traceRun("run-stuck", job, run, m_agents[task.agent], "", now);
                sendStop(task.agent, { run }, false, now);
            }
        }
    }
}

void Dispatcher::learnRunTimes(const Job& job)
{
    for (size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.steps[i];
        if (step.done > 0)
            m_estimates.learn(job.route.name, job.spec.steps[i].estimate, step.totalRunTime / step.done);
    }
}

void Dispatcher::taskDone(Job& job, size_t index, Task& task, Microseconds ran, TimePoint now)
{
    task.state = TaskState::Done;
    auto& step = job.steps[index];
    ++step.done;
    ran = toMicroseconds(ran / m_agents[task.agent].slowness);
    const auto work = static_cast<double>(job.spec.steps[index].resources.cpu) * FloatMs(ran).count();
    if (!m_agents[task.agent].isEvacuated()) // Its server does nothing of what waits.
        m_load.recordCompletion(work, now);
    step.totalRunTime += ran;
    step.maxRunTime = std::max(step.maxRunTime, ran);
    if (--job.tasksLeft == 0) {
        m_crashes.recordSuccess(job.route.name, job.firstOrderAt, now);
        finish(job.spec.id, { WorkStatus::Succeeded, "done", {} }, now);
        return;
    }
    if (step.done < step.tasks.size())
        return;
    for (size_t i = 0; i < job.steps.size(); ++i) {
        const auto& dependencies = job.spec.steps[i].dependsOn;
        const bool isNext = std::find(dependencies.begin(), dependencies.end(), index) != dependencies.end();
        if (isNext && isUnblocked(job, i))
            makeReady(job, i);
    }
    requeue(job, now);
}

bool Dispatcher::isUnblocked(const Job& job, size_t step)
{
    const auto& dependencies = job.spec.steps[step].dependsOn;
    return std::all_of(dependencies.begin(), dependencies.end(),
        [&](uint32_t dependency) { return job.steps[dependency].done == job.steps[dependency].tasks.size(); });
}

void Dispatcher::retryTask(Job& job, const RunId& id, Task& task, TimePoint now)
{
    if (!isUnblocked(job, raw(id.task.step))) {
        task.state = TaskState::Blocked; // Its run was adopted.
    } else {
        task.state = TaskState::Ready;
        job.steps[raw(id.task.step)].ready.push_back(raw(id.task.index));
    }
    adoptOrphan(job, id.task, now);
    requeue(job, now);
}

void Dispatcher::traceRun(
    std::string_view kind, Job& job, const RunId& id, const AgentView& agent, std::string reason, TimePoint now)
{
    const auto& task = job.steps[raw(id.task.step)].tasks[raw(id.task.index)];
    job.trace.add({ kind, now, id, true, agent.name,
        { { "reason", std::move(reason) }, { "ms", msOf(now - task.orderedAt) },
            { "heard_ms_ago", msOf(now - agent.lastHeard) } } });
}

void Dispatcher::runEnded(Job& job, const RunId& id, size_t agentIndex, const wire::RunResultT& result, TimePoint now)
{
    auto& task = job.steps[raw(id.task.step)].tasks[raw(id.task.index)];
    if (task.state != TaskState::Ordered || task.run != id.run)
        return;
    const auto& agent = m_agents[agentIndex];
    if (result.refusal == wire::Refusal::TakenOver && !task.isStopping) {
        const auto jobId = job.spec.id;
        traceRun("run-taken-over", job, id, agent, wire::EnumNameRunOutcome(result.outcome), now);
        if (result.outcome == wire::RunOutcome::Done)
            taskDone(job, raw(id.task.step), task, Microseconds(result.run_us), now);
        if (findJob(jobId) != nullptr)
            finish(jobId, { WorkStatus::GivenUp, takenOverReason, {} }, now);
        return;
    }
    switch (result.outcome) {
    case wire::RunOutcome::Done:
        m_agents[agentIndex].lastSuccess = now;
        traceRun("run-done", job, id, agent, "", now);
        taskDone(job, raw(id.task.step), task, Microseconds(result.run_us), now);
        return;
    case wire::RunOutcome::Failed:
        ++job.failures;
        ++m_counters.failedRuns;
        traceRun("run-failed", job, id, agent, result.reason, now);
        if (++task.failures >= job.route.maxFailures) {
            finish(job.spec.id, { WorkStatus::Failed, "attempts-exhausted", {} }, now);
            return;
        }
        task.avoidedAgents.push_back(agentIndex);
        break;
    case wire::RunOutcome::NotStarted:
        ++job.refusals;
        ++m_counters.refusals[result.refusal];
        traceRun("run-refused", job, id, agent, wire::EnumNameRefusal(result.refusal), now);
        if (result.refusal == wire::Refusal::Occupied && result.active_run > 0) {
            const RunId active { id.task, RunNumber(result.active_run) };
            m_orphanedRuns[{ active, agentIndex, agent.incarnation }] = { {}, now + m_limits.orphanRetention, false };
            return retryTask(job, id, task, now);
        }
        if (result.refusal == wire::Refusal::RunTooLow)
            task.run = RunNumber(raw(task.run) + runNumberJump);
        // An evacuated server is as good as before once the operators withdraw the request.
        if (result.refusal != wire::Refusal::NoRoom && !agent.isEvacuated() && result.reason != evacuatedReason)
            task.avoidedAgents.push_back(agentIndex);
        break;
    case wire::RunOutcome::Stopped:
    case wire::RunOutcome::Lost:
        ++m_counters.lostRuns;
        traceRun("run-lost", job, id, agent, result.reason, now);
        if (!task.isStopping)
            task.avoidedAgents.push_back(agentIndex);
        if (m_crashes.isGivenUp(id.task))
            return giveUpCrashing(job.spec.id, now);
        break;
    case wire::RunOutcome::Running:
        break;
    }
    retryTask(job, id, task, now);
}

} // namespace sequoia
