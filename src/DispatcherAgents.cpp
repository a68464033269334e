/** @file DispatcherAgents.cpp Agents of a dispatcher: links, messages, and what was learned of them. */
#include <sequoia/AgentShares.h>
#include <sequoia/Dispatcher.h>

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace sequoia {

std::optional<size_t> Dispatcher::agentOf(LinkId link) const
{
    const auto it = m_agentByLink.find(link);
    return it == m_agentByLink.end() ? std::nullopt : std::optional(it->second);
}

size_t Dispatcher::linkedAgents() const
{
    return static_cast<size_t>(
        std::count_if(m_agents.begin(), m_agents.end(), [](const AgentView& agent) { return agent.isLinked; }));
}

void Dispatcher::setEntries(size_t entries, size_t position)
{
    m_entryCount = std::max<size_t>(entries, 1);
    m_entryPosition = std::min(position, m_entryCount - 1);
    constexpr uint64_t saltStep = 0xD1B54A32D192ED03U;
    m_salt = m_entryPosition * saltStep; // Entries break ties between servers differently.
    m_isPreferenceStale = true;
}

void Dispatcher::updatePreferredAgents()
{
    m_isPreferenceStale = false;
    std::vector<AgentView*> linked;
    for (auto& agent : m_agents) {
        if (agent.isLinked && !agent.isEvacuated())
            linked.push_back(&agent);
    }
    // Entries are sorted by failure domain too, so that most agents are preferred by entries of their own domain.
    std::sort(linked.begin(), linked.end(), [](const AgentView* a, const AgentView* b) {
        return std::tie(a->failureDomain, a->name) < std::tie(b->failureDomain, b->name);
    });
    for (size_t i = 0; i < linked.size(); ++i)
        linked[i]->isPreferred = isPreferredAgent(i, linked.size(), m_entryPosition, m_entryCount);
}

void Dispatcher::setEvacuations(
    const std::vector<std::string>& domains, StoreVersion version, std::string_view cause, TimePoint now)
{
    detectSuspension(now);
    const auto change = m_evacuations.update(domains, version);
    if (!change.isNews)
        return;
    m_counters.evacuations += change.begun.size();
    const auto capacityBefore = usableCapacity();
    for (auto& agent : m_agents) {
        agent.isInEvacuatedDomain = m_evacuations.contains(agent.failureDomain);
        sendEvacuations(agent, now);
    }
    for (const auto& [changed, isBegun] : { std::pair(&change.begun, true), std::pair(&change.ended, false) }) {
        for (const auto& domain : *changed) {
            const auto agents = std::count_if(m_agents.begin(), m_agents.end(),
                [&](const AgentView& agent) { return agent.isLinked && agent.failureDomain == domain; });
            m_effects.record(isBegun ? LogLevel::Warning : LogLevel::Info, "evacuation",
                { { "domain", domain }, { "state", isBegun ? "begun" : "ended" },
                    { "store_version", static_cast<int64_t>(version) }, { "cause", std::string(cause) },
                    { "agents", static_cast<int64_t>(agents) },
                    { "capacity_before", static_cast<int64_t>(capacityBefore) },
                    { "capacity", static_cast<int64_t>(usableCapacity()) } });
        }
    }
    if (!change.begun.empty() || !change.ended.empty())
        usableAgentsChanged(capacityBefore, now);
}

void Dispatcher::usableAgentsChanged(double capacityBefore, TimePoint now)
{
    updatePreferredAgents();
    updateIsolation(now);
    m_load.capacityChanged(capacityBefore, usableCapacity(), now);
    m_meanSlowness = meanSlowness();
    if (isSettled(now))
        refuseWhatFitsNoServer(now);
    reviewQueue(now);
    dispatchQueued(now);
}

void Dispatcher::sendEvacuations(AgentView& agent, TimePoint now)
{
    if (!agent.isLinked || !agent.takesEvacuations || !m_evacuations.version())
        return;
    wire::EvacuationsT message;
    message.version = static_cast<uint64_t>(*m_evacuations.version());
    message.domains.assign(m_evacuations.domains().begin(), m_evacuations.domains().end());
    send(agent, std::move(message), now);
}

LearnedSpeed Dispatcher::speedOf(const std::string& name) const
{
    if (const auto it = m_agentByName.find(name); it != m_agentByName.end()) {
        const auto& agent = m_agents[it->second];
        if (agent.slownessSamples > 0)
            return { agent.serverStartedMs, agent.slowness, agent.slownessSamples };
    }
    const auto it = m_restoredSpeeds.find(name);
    return it == m_restoredSpeeds.end() ? LearnedSpeed() : it->second;
}

Learned Dispatcher::learned() const
{
    Learned out;
    m_estimates.saveTo(out);
    m_resubmissions.saveTo(out);
    for (const auto& [task, suspicion] : m_crashes.suspicions())
        out.suspicions[toString(task)] = { suspicion.total, suspicion.crashes, suspicion.blamed,
            suspicion.hasCrashedAsSuspect, static_cast<uint32_t>(suspicion.age.count()) };
    for (const auto& agent : m_agents) {
        if (agent.slownessSamples > 0)
            out.speeds[agent.name] = { agent.serverStartedMs, agent.slowness, agent.slownessSamples };
    }
    return out;
}

void Dispatcher::restore(const Learned& learned)
{
    m_estimates.restore(learned);
    m_resubmissions.restore(learned);
    m_restoredSpeeds = learned.speeds;
    for (const auto& [text, known] : learned.suspicions) {
        if (const auto task = parseTaskId(text))
            m_crashes.restore(*task,
                { known.total, known.crashes, known.blamed, known.hasCrashedAsSuspect, Milliseconds(known.ageMs) },
                m_lastTick);
    }
    m_effects.record(LogLevel::Info, "learned-recalled",
        { { "routes", static_cast<int64_t>(learned.declared.size()) },
            { "agents", static_cast<int64_t>(learned.speeds.size()) } });
}

void Dispatcher::agentLinked(LinkId link, const wire::HelloT& hello, TimePoint agentTime, TimePoint now)
{
    const auto index = agentNamed(hello.agent);
    auto& agent = m_agents[index];
    if (agent.isLinked) {
        m_agentByLink.erase(agent.link);
        m_effects.add(CloseLink { agent.link, "replaced by a new link" });
    }
    agent.failureDomain = hello.failure_domain;
    m_isPreferenceStale = true;
    agent.link = link;
    agent.isLinked = true;
    agent.lastHeard = agent.lastReceived = now;
    agent.agentTime = agentTime;
    agent.takesRelays = hello.relays;
    agent.takesEvacuations = hello.evacuations;
    agent.takesUpperCase = hello.upper_case;
    agent.isInEvacuatedDomain = m_evacuations.contains(agent.failureDomain);
    agent.isGateEvacuated = false; // Until its first report.
    agent.lastSent = now;
    agent.state = wire::GateState::Closed; // Until its first report.
    agent.ordersSent = 0;
    agent.unacknowledgedOrders.clear();
    agent.nextDemand = now;
    m_agentByLink[link] = index;
    sendEvacuations(agent, now); // Before all orders on this link.
    const Incarnation incarnation { hello.incarnation };
    // A restarted agent links only after all runs of its previous incarnation are over.
    std::vector<RunId> ended;
    std::copy_if(agent.runs.begin(), agent.runs.end(), std::back_inserter(ended),
        [&](const RunId& id) { return agent.incarnationOf(id) != incarnation; });
    const bool isRestarted = std::exchange(agent.incarnation, incarnation) != incarnation;
    m_effects.record(LogLevel::Info, "agent-linked",
        { { "agent", agent.name }, { "new_life", isRestarted ? "true" : "false" },
            { "runs", static_cast<int64_t>(agent.runs.size()) } });
    std::erase_if(m_orphanedRuns, [&](const auto& orphan) {
        return orphan.first.agent == index && !orphan.second.isOver && orphan.first.incarnation != incarnation;
    });
    markRunsLost(index, ended, "agent-restarted", now);
    if (isRestarted)
        dispatchQueued(now);
    if (!agent.runs.empty()) {
        wire::RunQueryT query;
        for (const auto& id : agent.runs)
            addRun(id, query.ids, query.upper_case);
        send(agent, std::move(query), now);
    }
    // On the new link the agent goes on with its ownerless runs until it is told to stop them.
    auto ownerless = untoldOrphans();
    if (auto ids = ownerlessRuns(agent); !ids.empty())
        ownerless[index] = std::move(ids);
    const auto relays = relayOrphans(ownerless, now);
    for (const auto& [i, ids] : ownerless)
        m_agents[i].relays += relays;
}

void Dispatcher::linkClosed(LinkId link, TimePoint now)
{
    if (const auto index = agentOf(link))
        unlink(*index, now + m_limits.relinkWait, now);
}

void Dispatcher::unlink(size_t index, TimePoint relinkUntil, TimePoint now)
{
    auto& agent = m_agents[index];
    m_agentByLink.erase(agent.link);
    agent.isLinked = false;
    m_isPreferenceStale = true;
    agent.unlinkedAt = now;
    for (auto& other : m_agents)
        other.relays = 0; // What was sent on this link may be lost with it.
    agent.relinkUntil = relinkUntil;
    m_effects.record(LogLevel::Warning, "agent-unlinked",
        { { "agent", agent.name }, { "runs", static_cast<int64_t>(agent.runs.size()) },
            { "heard_ms_ago", toMilliseconds(now - agent.lastHeard).count() } });
}

size_t Dispatcher::agentNamed(const std::string& name)
{
    const auto [it, isNew] = m_agentByName.try_emplace(name, m_agents.size());
    if (isNew)
        m_agents.emplace_back().name = name;
    return it->second;
}

void Dispatcher::markRunsLost(size_t index, const std::vector<RunId>& ids, std::string_view cause, TimePoint now)
{
    for (const auto& id : ids) {
        auto& agent = m_agents[index];
        agent.runs.erase(id);
        agent.foreignRuns.erase(id);
        agent.suspects.erase(id);
        auto* job = findJob(id.task.job);
        if (job == nullptr)
            continue;
        wire::RunResultT lost;
        lost.outcome = wire::RunOutcome::Lost;
        lost.reason = cause;
        runEnded(*job, id, index, lost, now);
    }
}

Milliseconds Dispatcher::allowedSilence(const AgentView& agent) const
{
    return agent.runs.empty() ? m_limits.idleLinkTimeout : m_limits.linkSilence;
}

void Dispatcher::tickLinks(TimePoint now)
{
    std::vector<size_t> silent;
    for (size_t i = 0; i < m_agents.size(); ++i) {
        auto& agent = m_agents[i];
        if (!agent.isLinked) {
            std::vector<RunId> lost;
            std::copy_if(agent.runs.begin(), agent.runs.end(), std::back_inserter(lost),
                [&](const RunId& id) { return now > lapseOf(agent, id, now); });
            markRunsLost(i, lost, "agent-out-of-reach", now);
            continue;
        }
        const bool isBusy = !agent.runs.empty();
        if (now - agent.lastHeard > allowedSilence(agent)) {
            silent.push_back(i);
            continue;
        }
        if (now - agent.lastSent >= (isBusy ? m_limits.heartbeatInterval : m_limits.idleHeartbeatInterval))
            send(agent, wire::BeatT(), now);
    }
    for (const auto i : silent) {
        m_effects.add(CloseLink { m_agents[i].link, "silent" });
        unlink(i, {}, now); // The agent has been out of reach for longer than a new link takes.
    }
}

void Dispatcher::detectSuspension(TimePoint now)
{
    const auto pause = now - m_lastTick;
    if (m_lastTick == TimePoint() || pause <= m_limits.suspensionThreshold || now < m_nextCatchUp)
        return;
    m_effects.record(LogLevel::Warning, "suspended", { { "ms", toMilliseconds(pause).count() } });
    m_lastTick = now;
    m_catchUpUntil = now + m_limits.relinkWait;
    m_nextCatchUp = now + m_limits.catchUpInterval;
    for (auto& agent : m_agents)
        agent.lastHeard = std::max(agent.lastHeard, m_catchUpUntil - allowedSilence(agent));
}

bool Dispatcher::isRelinking(TimePoint now) const
{
    return m_catchUpUntil > now || std::any_of(m_agents.begin(), m_agents.end(), [&](const AgentView& agent) {
        return agent.relinkUntil > now;
    });
}

Resources AgentView::freeFor(uint32_t priority) const
{
    auto resources = free;
    const auto it = std::find_if(kept.begin(), kept.end(), [&](const auto& it) { return it.priority == priority; });
    if (it != kept.end())
        resources.cpu = lessKept(free.cpu, it->cpu);
    return resources;
}

template <typename Message> void Dispatcher::updateResources(AgentView& agent, const Message& message, TimePoint now)
{
    if (message.free == nullptr)
        return;
    while (!agent.unacknowledgedOrders.empty() && agent.unacknowledgedOrders.front().first <= message.orders_seen)
        agent.unacknowledgedOrders.pop_front();
    agent.free = fromWire(message.free.get());
    agent.kept.clear();
    for (const auto& it : message.kept)
        agent.kept.push_back({ it.priority(), it.cpu() });
    for (const auto& [number, resources] : agent.unacknowledgedOrders)
        agent.free -= resources;
    if (message.slowness > 0) {
        agent.slowness = message.slowness;
        agent.slownessSpread = message.slowness_spread;
    }
    agent.freeReportedAt = now;
}

void Dispatcher::receive(LinkId link, const wire::BodyUnion& body, TimePoint agentTime, TimePoint now)
{
    const auto index = agentOf(link);
    if (!index)
        return;
    ++m_counters.messagesReceived;
    detectSuspension(now);
    m_agents[*index].lastHeard = m_agents[*index].lastReceived = now;
    m_agents[*index].agentTime = agentTime;
    switch (body.type) {
    case wire::Body::RoomReport:
        onReport(*index, *body.AsRoomReport(), now);
        break;
    case wire::Body::RoomUpdate: {
        const auto& update = *body.AsRoomUpdate();
        ++m_counters.resourceUpdates;
        updateResources(m_agents[*index], update, now);
        onProgress(*index, update, now);
        break;
    }
    case wire::Body::ServerCrash:
        onCrash(*body.AsServerCrash(), now);
        break;
    case wire::Body::OrphanedRuns:
        return onOrphanedRuns(*index, *body.AsOrphanedRuns(), now);
    case wire::Body::RelayedOrphans:
        return onRelayedOrphans(*body.AsRelayedOrphans(), now);
    case wire::Body::RunResult:
        onResult(*index, *body.AsRunResult(), now);
        break;
    default:
        return; // Heartbeats only update `lastHeard`.
    }
    dispatchQueued(now);
}

void Dispatcher::onReport(size_t index, const wire::RoomReportT& report, TimePoint now)
{
    auto& agent = m_agents[index];
    const auto total = fromWire(report.total.get());
    const bool isGateEvacuated = report.state == wire::GateState::Closed && report.reason == evacuatedReason;
    const bool isEvacuationChanged = agent.isGateEvacuated != isGateEvacuated;
    const bool isChanged = agent.state != report.state || agent.total != total || isEvacuationChanged;
    const auto capacityBefore = isEvacuationChanged ? usableCapacity() : 0;
    const bool hasShrunk = !agent.total.fitsIn(total);
    agent.relinkUntil = {};
    agent.service = report.service;
    agent.labels = report.labels;
    agent.state = report.state;
    agent.total = total;
    agent.isGateEvacuated = isGateEvacuated;
    agent.serverStartedMs = report.server_life;
    agent.slownessSamples = report.samples;
    updateResources(agent, report, now);
    if (!isChanged)
        return;
    m_effects.record(LogLevel::Info, "agent-state",
        { { "agent", agent.name }, { "state", wire::EnumNameGateState(agent.state) }, { "reason", report.reason },
            { "total", toString(agent.total) }, { "free", toString(agent.free) },
            { "slowness_percent", static_cast<int64_t>(agent.slowness * 100) } });
    if (hasShrunk)
        refuseWhatFitsNoServer(now);
    // An entry that learned of the evacuation from the store has adapted to it before.
    if (isEvacuationChanged && !agent.isInEvacuatedDomain)
        usableAgentsChanged(capacityBefore, now);
}

void Dispatcher::onProgress(size_t index, const wire::RoomUpdateT& update, TimePoint now)
{
    for (size_t i = 0; i < update.progress.size(); ++i) {
        const auto& run = update.progress[i];
        const auto id = fromWire(run.id(), upperCaseAt(update.upper_case, i));
        auto* task = findTask(id.task);
        if (!isWanted(id) || task->agent != index)
            continue;
        ++m_counters.progressReports;
        const bool wasKept = task->progress && task->progress->isKept;
        task->progress = { now,
            { Milliseconds(0), Milliseconds(run.remaining_ms()), Milliseconds(run.work_ms()), run.stuck() }, wasKept };
    }
}

bool Dispatcher::isWanted(const RunId& id)
{
    const auto* task = findTask(id.task);
    return task != nullptr && task->state == TaskState::Ordered && task->run == id.run && !task->isStopping;
}

void Dispatcher::onResult(size_t index, const wire::RunResultT& result, TimePoint now)
{
    auto& agent = m_agents[index];
    updateResources(agent, result, now);
    if (result.id == nullptr)
        return;
    const auto id = fromWire(*result.id, result.upper_case);
    if (result.outcome == wire::RunOutcome::Running) {
        if (isWanted(id))
            return;
        // Its stop was lost with an earlier link, or couldn't be sent without one.
        ++m_counters.ownerlessRuns;
        m_effects.record(LogLevel::Warning, "run-ownerless",
            { { "job", id.task.job }, { "task", toString(id.task) }, { "run", static_cast<int64_t>(raw(id.run)) },
                { "agent", agent.name } });
        sendStop(index, { id }, findJob(id.task.job) == nullptr, now);
        return;
    }
    if (agent.runs.erase(id) == 0) {
        const auto orphan = m_orphanedRuns.find({ id, index, agent.incarnation });
        if (orphan != m_orphanedRuns.end() && result.refusal != wire::Refusal::Occupied)
            orphan->second.isOver = true;
        return;
    }
    if (const auto foreign = agent.foreignRuns.extract(id); foreign && result.refusal != wire::Refusal::Occupied)
        m_orphanedRuns[{ id, index, foreign.mapped().incarnation }]
            = { foreign.mapped().lapse, now + m_limits.orphanRetention, true };
    agent.suspects.erase(id);
    if (findTask(id.task) != nullptr)
        runEnded(*findJob(id.task.job), id, index, result, now);
}

} // namespace sequoia
