/** @file RunGate.cpp Runs on a backend server: orders, start and stop calls, and ends. */
#include <sequoia/RunGate.h>

#include <algorithm>
#include <fmt/format.h>

namespace sequoia {

namespace {

    wire::Refusal refusalFor(StartOutcome outcome)
    {
        switch (outcome) {
        case StartOutcome::RunTooLow:
            return wire::Refusal::RunTooLow;
        case StartOutcome::Expired:
            return wire::Refusal::Expired;
        case StartOutcome::NoRoom:
            return wire::Refusal::NoRoom;
        case StartOutcome::Unhealthy:
            return wire::Refusal::Unhealthy;
        case StartOutcome::OtherIncarnation:
            return wire::Refusal::OtherLife;
        case StartOutcome::Invalid:
            return wire::Refusal::Invalid;
        case StartOutcome::Started:
        case StartOutcome::Unreachable:
        case StartOutcome::NoAnswer:
            break;
        }
        return wire::Refusal::Closed;
    }

} // namespace

RunGate::RunGate(
    Incarnation self, RunGateLimits limits, std::chrono::system_clock::time_point startedAt, std::string failureDomain)
    : m_self(self)
    , m_limits(limits)
    , m_failureDomain(std::move(failureDomain))
    , m_stopBound(limits.stopBound())
    , m_health(limits.health)
    , m_shares(limits.shares)
    , m_callTime({ .min = limits.startTimeout / 2, .max = limits.startTimeout })
    , m_firstFence(std::clamp<int64_t>(toMilliseconds(startedAt.time_since_epoch()).count(), 1, maxFence))
    , m_fence(m_firstFence)
{
}

JobKey RunGate::healthKey(const RunId& id)
{
    return { Incarnation(0), SessionNumber(id.task.job.number), JobSequence(id.task.job.upperCase) };
}

std::vector<GateEffect> RunGate::takeEffects() { return m_effects.take(); }

bool RunGate::isListingFresh(TimePoint now) const
{
    return m_lastListed != TimePoint() && now - m_lastListed <= m_limits.pollWait + m_limits.pollTimeout;
}

std::string RunGate::closedReason(TimePoint now) const
{
    if (isEvacuated())
        return std::string(evacuatedReason); // First, as entries don't count the server's capacity then.
    if (m_isDraining)
        return "agent-stopping";
    if (!m_server)
        return "no-server";
    if (m_isServerGone)
        return "server-gone";
    if (m_server->isDraining)
        return "server-draining";
    if (!isListingFresh(now))
        return "server-silent";
    if (m_serverStartedMs != m_server->startedMs)
        return "server-changing";
    if (!m_unknownRuns.empty())
        return "unknown-runs";
    if (hasUnreadableRuns())
        return "unreadable-runs";
    if (grantableLease(leaseLimit(), now) < m_limits.minLease())
        return "stops-unanswered";
    if (m_health.health() == Health::Quarantined)
        return "quarantined: " + m_health.reason();
    return "";
}

wire::GateState RunGate::state(TimePoint now) const
{
    if (!closedReason(now).empty())
        return wire::GateState::Closed;
    return m_health.health() == Health::Trial ? wire::GateState::Trial : wire::GateState::Open;
}

void RunGate::detectSuspension(TimePoint now)
{
    if (m_lastTick == TimePoint() || now - m_lastTick <= m_limits.suspensionThreshold)
        return;
    // Messages that were buffered meanwhile may be stale, as entries may have declared the runs of this agent lost. All
    // links are therefore closed.
    m_effects.record(LogLevel::Warning, "suspended", { { "ms", toMilliseconds(now - m_lastTick).count() } });
    m_lastTick = now;
    while (!m_links.empty()) {
        const auto id = m_links.begin()->first;
        m_effects.add(CloseLink { id, "suspended" });
        removeLink(id, now);
    }
    tick(now);
}

Resources RunGate::capacity() const { return componentwiseMin(total(), m_roomLimit.value_or(total())); }

Resources RunGate::usableResources() const
{
    auto usable = capacity();
    // Each failed job in a row, from the second one on, halves the usable processors, so that a failing server affects
    // few jobs. A trial isn't reduced, as it is a single run.
    constexpr size_t maxHalvings = 16;
    const auto failures = m_health.health() == Health::Trial ? 0 : m_health.failures();
    usable.cpu >>= static_cast<int64_t>(std::min(failures > 0 ? failures - 1 : 0, maxHalvings));
    return usable;
}

Resources RunGate::freeResources() const { return m_server ? usableResources() - m_used : Resources(); }

Resources RunGate::freeFor(const EntryLink& link, TimePoint now) const
{
    auto free = freeResources();
    for (const auto& [id, other] : m_links) {
        if (&other != &link && other.reservedUntil > now)
            free -= other.reserved;
    }
    // Nothing may start while any of the resources is overcommitted, which a message couldn't say with negative
    // amounts.
    return Resources().fitsIn(free) ? free : Resources();
}

Resources RunGate::freeFor(const EntryLink& link, uint32_t priority, TimePoint now) const
{
    auto free = freeFor(link, now);
    free.cpu = lessKept(free.cpu, keptFrom(priority, now));
    return free;
}

bool RunGate::areSharesKept() const
{
    return m_links.size() >= m_limits.sharesMinEntries && m_lostCallShare <= m_limits.maxLostCallShare;
}

int64_t RunGate::keptFrom(uint32_t priority, TimePoint now) const
{
    return areSharesKept() ? m_shares.kept(priority, usableResources().cpu, now) : 0;
}

std::vector<KeptCpu> RunGate::kept(TimePoint now) const
{
    return areSharesKept() ? m_shares.allKept(usableResources().cpu, now) : std::vector<KeptCpu>();
}

uint32_t RunGate::priorityOf(const flatbuffers::Optional<uint32_t>& priority) const
{
    return priority.value_or(m_shares.mostUrgent());
}

void RunGate::receive(LinkId link, const wire::BodyUnion& body, TimePoint agentTime, TimePoint now)
{
    detectSuspension(now);
    const auto it = m_links.find(link);
    if (it == m_links.end())
        return;
    if (isSilent(it->second, now)) // The message was held up; its entry may have given up what it asks for.
        return closeSilentLink(link, now);
    it->second.lastHeard = now;
    confirm(it->second, agentTime, now);
    switch (body.type) {
    case wire::Body::RunOrder:
        if (now - it->second.confirmed > it->second.ownerBound)
            return closeSilentLink(link, now);
        onOrder(link, *body.AsRunOrder(), now);
        break;
    case wire::Body::RunStop:
        onStops(link, *body.AsRunStop(), now);
        break;
    case wire::Body::RelayedOrphans:
        relayOrphans(link, *body.AsRelayedOrphans(), now);
        break;
    case wire::Body::RunQuery:
        onQuery(link, runsOf(body.AsRunQuery()->ids, body.AsRunQuery()->upper_case), now);
        break;
    case wire::Body::Evacuations:
        onEvacuations(link, *body.AsEvacuations(), now);
        break;
    case wire::Body::Demand: {
        const auto& demand = *body.AsDemand();
        auto& entry = it->second;
        entry.demandTasks = demand.tasks;
        entry.demandResources = fromWire(demand.smallest.get());
        entry.demandBand = demand.band;
        entry.demandPriority = demand.priority;
        entry.demandDue = now + Milliseconds(demand.slack_ms);
        entry.demandUntil = now + Milliseconds(demand.valid_ms);
        entry.demandRoutePriority = priorityOf(demand.route_priority);
        m_shares.want(entry.demandRoutePriority, now);
        reserveFreed(std::nullopt, now);
        break;
    }
    default:
        break; // Any message, such as a heartbeat, shows that the entry is alive.
    }
}

std::map<RunId, RunGate::Run>::const_iterator RunGate::activeRunOf(const TaskId& task) const
{
    const auto it = m_runs.lower_bound({ task, RunNumber(0) });
    return it != m_runs.end() && it->first.task == task ? it : m_runs.end();
}

bool RunGate::isSuitable(const wire::RunOrderT& order) const
{
    const auto& labels = m_server->labels;
    return (order.service.empty() || order.service == m_server->service)
        && (order.required_label.empty()
            || std::find(labels.begin(), labels.end(), order.required_label) != labels.end());
}

wire::Refusal RunGate::refusalOf(EntryLink& link, const RunId& id, const wire::RunOrderT& order, TimePoint now) const
{
    if (order.agent_incarnation != raw(m_self))
        return wire::Refusal::OtherLife;
    const auto gateState = state(now);
    if (gateState == wire::GateState::Closed)
        return m_health.health() == Health::Quarantined && !isEvacuated() ? wire::Refusal::Unhealthy
                                                                          : wire::Refusal::Closed;
    if (gateState == wire::GateState::Trial && !m_runs.empty())
        return wire::Refusal::Unhealthy;
    if (grantableLease(link.confirmed + link.ownerBound, now) < m_limits.minLease())
        return wire::Refusal::Closed;
    if (activeRunOf(id.task) != m_runs.end())
        return wire::Refusal::Occupied;
    if (!isSuitable(order))
        return wire::Refusal::Unsuitable;
    if (order.remaining_ms == 0)
        return wire::Refusal::Expired;
    if (order.max_per_server > 0) {
        const auto ofStep = std::count_if(m_runs.begin(), m_runs.end(),
            [&](const auto& run) { return run.first.task.job == id.task.job && run.first.task.step == id.task.step; });
        if (ofStep >= static_cast<std::ptrdiff_t>(order.max_per_server))
            return wire::Refusal::TooManyOfStep;
    }
    if (isBlockedBySuspects(id.task.job, order.suspect_ms > 0, now)
        || !fromWire(order.room.get()).fitsIn(freeFor(link, priorityOf(order.priority), now)))
        return wire::Refusal::NoRoom;
    return wire::Refusal::None;
}

void RunGate::onOrder(LinkId linkId, const wire::RunOrderT& order, TimePoint now)
{
    if (order.id == nullptr || order.room == nullptr)
        return;
    auto& link = m_links.at(linkId);
    ++link.ordersSeen;
    ++m_counters.orders;
    const auto id = fromWire(*order.id, order.upper_case);
    const auto resources = fromWire(order.room.get());
    const auto priority = priorityOf(order.priority);
    link.reserved = { std::max<int64_t>(link.reserved.cpu - resources.cpu, 0),
        std::max<int64_t>(link.reserved.memory - resources.memory, 0),
        std::max<int64_t>(link.reserved.accelerators - resources.accelerators, 0) };
    if (const auto ended = m_endedRuns.find(id); ended != m_endedRuns.end()) {
        // The order may be of an entry that got the job after those that the result was for.
        const auto refusal
            = ended->second.refusal == wire::Refusal::TakenOver ? wire::Refusal::None : ended->second.refusal;
        sendResult(linkId, id, ended->second.outcome, refusal, ended->second.reason, {}, now);
        return;
    }
    if (const auto known = m_runs.find(id); known != m_runs.end() && known->second.owner == link.entry)
        return; // A duplicate of an order that was accepted.
    if (const auto refusal = refusalOf(link, id, order, now); refusal != wire::Refusal::None) {
        ++m_counters.refusals[refusal];
        if (refusal == wire::Refusal::NoRoom && !resources.fitsIn(freeFor(link, priority, now))) {
            if (resources.fitsIn(freeFor(link, now)))
                ++m_counters.refusalsForKept[priority];
            m_shares.refuse(priority, now);
        }
        recordRefusal(link, id, refusal, priority, now);
        const auto active = activeRunOf(id.task);
        sendResult(linkId, id, wire::RunOutcome::NotStarted, refusal, closedReason(now), {}, now,
            active == m_runs.end() ? RunNumber() : active->first.run);
        return;
    }
    auto& run = m_runs[id];
    run.resources = resources;
    run.priority = priority;
    run.payload = order.payload;
    run.owner = link.entry;
    run.estimate = Milliseconds(order.estimate_ms);
    run.progress = RunProgress(m_limits.progress);
    run.ordered = now;
    run.serverStartedMs = m_serverStartedMs;
    // All calls for a run carry one id: a process with another one refuses them all. That it refuses a stop with an id
    // of an odd report would not show that it refuses the start, too.
    run.instance = m_server->instance;
    run.route = order.route;
    run.suspectUntil = now + Milliseconds(order.suspect_ms);
    run.startNumber = ++m_lastStartNumber;
    run.isSample = selectSample(id.task.job);
    m_used += resources;
    m_shares.use(priority, resources.cpu, now);
    if (++link.runs == 1)
        link.busySince = now;
    callStart(id, run, now);
}

void RunGate::recordRefusal(
    const EntryLink& link, const RunId& id, wire::Refusal refusal, uint32_t priority, TimePoint now)
{
    std::vector<LogField> fields { { "job", id.task.job }, { "task", toString(id.task) },
        { "run", static_cast<int64_t>(raw(id.run)) }, { "reason", wire::EnumNameRefusal(refusal) },
        { "detail", closedReason(now) }, { "free", toString(freeFor(link, now)) },
        { "priority", static_cast<int64_t>(priority) }, { "kept", keptFrom(priority, now) } };
    const bool isOccupied = refusal == wire::Refusal::Occupied;
    if (isOccupied) {
        const auto& [active, run] = *activeRunOf(id.task);
        fields.insert(fields.end(),
            { { "incarnation", fmt::format("{:016x}", raw(link.entry)) },
                { "owner", fmt::format("{:016x}", raw(run.owner)) },
                { "active_run", static_cast<int64_t>(raw(active.run)) },
                { "active_ms", toMilliseconds(now - run.ordered).count() } });
    }
    m_effects.record(isOccupied ? LogLevel::Info : LogLevel::Debug, "order-refused", std::move(fields));
}

void RunGate::callStart(const RunId& id, Run& run, TimePoint now)
{
    ++run.startCalls;
    run.startCalled = now;
    m_startFence = m_fence;
    m_effects.add(StartRun {
        id, run.payload, run.instance, run.serverStartedMs, m_fence, grantLease(now), m_callTime.timeout(now) });
}

void RunGate::startAnswered(const RunId& id, StartOutcome outcome, TimePoint now)
{
    detectSuspension(now);
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    auto& run = it->second;
    recordCall(outcome != StartOutcome::NoAnswer);
    if (outcome != StartOutcome::NoAnswer) {
        m_startSeconds.add({}, now - run.ordered);
        m_callTime.learn(toMicroseconds(now - run.startCalled), now);
        run.payload.clear();
    }
    switch (outcome) {
    case StartOutcome::Started:
        run.started = now;
        if (run.state == RunState::Starting) {
            run.state = RunState::Running;
            run.firstConclusivePoll = m_pollNumber + 1;
        }
        return;
    case StartOutcome::NoAnswer:
        ++m_counters.unansweredStarts;
        // The server may have shrunk since the call before, which may not have started the run.
        if (run.state == RunState::Starting && run.startCalls < m_limits.maxStartCalls
            && state(now) != wire::GateState::Closed && m_used.fitsIn(capacity())) {
            ++m_counters.repeatedStarts;
            recordRun(LogLevel::Debug, "start-repeated", id, run, "", now);
            callStart(id, run, now);
            return;
        }
        return fenceRun(id, run, now);
    case StartOutcome::Unhealthy:
        if (m_health.recordFailure(healthKey(id), "server refuses runs", now))
            sendReports(now);
        break;
    case StartOutcome::NoRoom:
        // The server has shrunk since its last report, so that it would refuse the next runs as well.
        m_roomLimit = componentwiseMin(capacity(), m_used - run.resources);
        break;
    default:
        break;
    }
    recordRun(LogLevel::Info, "start-refused", id, run, wire::EnumNameRefusal(refusalFor(outcome)), now);
    if (run.startCalls > 1)
        return fenceRun(id, run, now); // An earlier call may have started the run, or may still do so.
    endRun(id, wire::RunOutcome::NotStarted, refusalFor(outcome), "", now);
}

void RunGate::fenceRun(const RunId& id, Run& run, TimePoint now)
{
    recordRun(LogLevel::Info, "start-unanswered", id, run, "", now);
    if (run.state != RunState::Starting)
        return;
    run.state = RunState::Fencing;
    run.nextStop = now;
    tickStops(now);
}

void RunGate::stopRun(const RunId& id, Run& run, TimePoint now)
{
    if (run.state == RunState::Fencing || run.state == RunState::Stopping)
        return;
    run.state = run.state == RunState::Starting ? RunState::Fencing : RunState::Stopping;
    run.nextStop = now + m_limits.stopTimeout;
    m_effects.add(StopRun { id, run.instance, m_fence, m_limits.stopTimeout });
}

void RunGate::stopAnswered(const RunId& id, bool isAnswered, TimePoint now)
{
    detectSuspension(now);
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    auto& run = it->second;
    if (!isAnswered) {
        run.nextStop = m_isServerGone ? now + m_limits.stopTimeout : now;
        return;
    }
    // The stop took effect: the next listing shows the run as running or ended, or it never started.
    run.state = RunState::Stopping;
    run.nextStop = now + m_limits.stopTimeout;
    run.firstConclusivePoll = m_pollNumber + 1;
    poll(Milliseconds(0), now);
}

bool RunGate::selectSample(WorkId job)
{
    // The sampled run is selected when it is ordered; taking the first run that ends would favour short ones.
    if (std::find(m_sampledJobs.begin(), m_sampledJobs.end(), job) != m_sampledJobs.end())
        return false;
    m_sampledJobs.at(m_nextSampled++ % m_sampledJobs.size()) = job;
    return true;
}

void RunGate::updateSpeedEstimate(Run& run, TimePoint end, TimePoint now)
{
    if (!std::exchange(run.isSample, false))
        return;
    const auto begin = run.started == TimePoint() ? run.ordered : run.started;
    m_speed.learn(run.estimate, toMicroseconds(end - begin), now);
}

void RunGate::endRun(
    const RunId& id, wire::RunOutcome outcome, wire::Refusal refusal, const std::string& reason, TimePoint now)
{
    const auto it = m_runs.find(id);
    const Run run = it->second;
    m_runs.erase(it);
    m_used -= run.resources;
    m_shares.use(run.priority, -run.resources.cpu, now);
    switch (outcome) {
    case wire::RunOutcome::Done:
        ++m_counters.done;
        break;
    case wire::RunOutcome::Failed:
        ++m_counters.failed;
        break;
    case wire::RunOutcome::Stopped:
        ++m_counters.stopped;
        break;
    case wire::RunOutcome::Lost:
        ++m_counters.lost;
        break;
    default:
        break;
    }
    // A start that may still arrive could reach the server's next process, whose first poll has to outrank it.
    const bool isUnanswered
        = run.started == TimePoint() && (outcome == wire::RunOutcome::Lost || refusal == wire::Refusal::Unanswered);
    if ((run.startCalls > 1 || isUnanswered) && m_startFence >= m_fence)
        setFence(m_fence + 1);
    if (!run.successors.empty())
        refusal = wire::Refusal::TakenOver;
    m_endedRuns[id] = { outcome, refusal, reason, now + m_limits.resultRetention, m_pollNumber };
    m_runSeconds.add({ { "outcome", wire::EnumNameRunOutcome(outcome) } }, now - run.ordered);
    std::vector<LinkId> receivers;
    for (auto& [linkId, link] : m_links) {
        if (!concerns(run, link.entry))
            continue;
        --link.runs;
        receivers.push_back(linkId);
    }
    reserveFreed(linkOf(run.owner), now);
    const auto begin = run.started == TimePoint() ? run.ordered : run.started;
    for (const auto linkId : receivers)
        sendResult(linkId, id, outcome, refusal, reason, toMicroseconds(now - begin), now);
}

void RunGate::endAll(const std::string& reason, TimePoint now)
{
    while (!m_runs.empty()) {
        const auto id = m_runs.begin()->first;
        recordRun(LogLevel::Warning, "run-lost", id, m_runs.begin()->second, reason, now);
        endRun(id, wire::RunOutcome::Lost, wire::Refusal::None, reason, now);
    }
}

void RunGate::onStops(LinkId link, const wire::RunStopT& message, TimePoint now)
{
    std::vector<RunId> orphans;
    for (const auto& id : runsOf(message.ids, message.upper_case)) {
        const auto it = m_runs.find(id);
        if (it != m_runs.end()) {
            addSuccessor(it->second, m_links.at(link), now);
            if (message.caller_gone) {
                it->second.isOrphaned = true;
                orphans.push_back(id);
            }
            it->second.overBy = std::min(it->second.overBy, m_links.at(link).confirmed + m_stopBound);
            stopRun(id, it->second, now);
            continue;
        }
        const auto [ended, isNew] = m_endedRuns.try_emplace(id,
            EndedRun { wire::RunOutcome::Stopped, wire::Refusal::None, "stopped before it arrived",
                now + m_limits.resultRetention, m_pollNumber });
        sendResult(link, id, ended->second.outcome, ended->second.refusal, ended->second.reason, {}, now);
    }
    sendOrphansToOthers(orphans, link, now);
}

void RunGate::onQuery(LinkId link, const std::vector<RunId>& ids, TimePoint now)
{
    for (const auto& id : ids) {
        if (const auto it = m_runs.find(id); it != m_runs.end()) {
            // The run of another entry with this number kept the order from being started.
            const bool isOther = !concerns(it->second, m_links.at(link).entry);
            sendResult(link, id, isOther ? wire::RunOutcome::NotStarted : wire::RunOutcome::Running,
                isOther ? wire::Refusal::Occupied : wire::Refusal::None, "", {}, now, id.run);
            continue;
        }
        const auto [ended, isNew] = m_endedRuns.try_emplace(id,
            EndedRun { wire::RunOutcome::NotStarted, wire::Refusal::None, "never arrived",
                now + m_limits.resultRetention, m_pollNumber });
        sendResult(link, id, ended->second.outcome, isNew ? wire::Refusal::NeverArrived : ended->second.refusal,
            ended->second.reason, {}, now);
    }
}

void RunGate::recordRun(
    LogLevel level, std::string_view kind, const RunId& id, const Run& run, std::string reason, TimePoint now)
{
    std::vector<LogField> fields { { "job", id.task.job }, { "task", toString(id.task) },
        { "run", static_cast<int64_t>(raw(id.run)) }, { "reason", std::move(reason) },
        { "ms", toMilliseconds(now - run.ordered).count() } };
    if (const auto confirmed = confirmedOf(run); confirmed != TimePoint())
        fields.push_back({ "confirmed_ms_ago", toMilliseconds(now - confirmed).count() });
    if (const auto percent = run.progress.percent())
        fields.push_back({ "percent", static_cast<int64_t>(*percent) });
    m_effects.record(level, kind, std::move(fields));
}

} // namespace sequoia
