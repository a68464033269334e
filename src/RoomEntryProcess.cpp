/** @file PlatformEntryProcess.cpp Connects the dispatcher of an entry with its links, HTTP servers and store. */
#include <sequoia/RoomEntryProcess.h>

#include "ProcessMetrics.h"

#include <fmt/format.h>
#include <unistd.h>

namespace sequoia {

namespace {

    constexpr Milliseconds tickPeriod { 20 };
    constexpr Milliseconds stopPoll { 20 };
    constexpr Milliseconds flushGrace { 60 }; // Time to send the answers that are still in the connections' buffers.
    constexpr Milliseconds peerPeriod { 500 }; // Between requests to other entries while the store is unavailable.
    constexpr Milliseconds peerTimeout { 300 };
    constexpr int ticksPerCollect = 50;
    constexpr std::string_view configurationPath = "/v1/configuration";

    DispatcherLimits dispatcherLimits(const RoomEntrySettings& settings)
    {
        constexpr double percent = 100;
        DispatcherLimits limits;
        limits.linkSilence = Milliseconds(settings.link_silence_ms);
        limits.runLapse = Milliseconds(settings.run_lapse_ms);
        limits.resubmission.minResendDelay = Milliseconds(settings.caller_resend_ms);
        limits.maxOpenJobs = static_cast<size_t>(settings.max_open_jobs);
        limits.maxQueuedTasks = static_cast<size_t>(settings.max_queued_tasks);
        limits.stragglerFactor = static_cast<double>(settings.straggler_percent) / percent;
        return limits;
    }

    TaskPlacementLimits policyLimits(const RoomEntrySettings& settings)
    {
        TaskPlacementLimits limits;
        limits.farFactor = std::strtod(settings.far_factor.c_str(), nullptr);
        return limits;
    }

    StoreWatcherLimits entriesLimits()
    {
        StoreWatcherLimits limits;
        limits.watchWait = Milliseconds(10000); // Long, since agents learn of most entries without it.
        return limits;
    }

} // namespace

RoomEntryProcess::RoomEntryProcess(
    caf::actor_system& system, const RoomEntrySettings& settings, const RoomEntryPorts& ports)
    : m_settings(settings)
    , m_output(STDOUT_FILENO)
    , m_log(settings.name, parseLogLevel(settings.log_level), 0,
          [this](const std::string& line, LogLevel level) { m_output.write(line, level < LogLevel::Warning); })
    , m_self(drawIncarnation())
    , m_policy(policyLimits(settings))
    , m_core(dispatcherLimits(settings), m_policy, coreHooks())
    , m_links(linkHooks(), {}, m_log.clock())
    , m_effects(m_links, m_log)
    , m_routes(ports.readConfiguration, m_log)
    , m_callers(m_loop, callerLimits(), ports.callersFront(m_log, jobPort()))
    , m_readiness(
          m_loop, {}, [this](const HttpServerRequest&, const HttpExchangePtr& exchange) { readiness(exchange); })
    , m_peers(
          m_loop, {}, [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) { peer(call, exchange); })
    , m_metrics(m_loop, {}, [this](const HttpServerRequest&, const HttpExchangePtr& exchange) { metrics(exchange); })
    , m_store(ports.connectStore(m_loop, settings.store_address, m_log, [this](auto work) { post(std::move(work)); }))
    , m_configuration(ports.configurationKey, m_store, m_log, {},
          { [this, key = ports.configurationKey](const auto& items) {
               if (const auto it = items.find(key); it != items.end())
                   m_routes.update(it->second, "store");
           },
              suspendAwareNow })
    , m_entries(std::string(entryItemsPrefix), m_store, m_log, entriesLimits(),
          { [this](const auto& items) { entriesListed(items); }, suspendAwareNow })
    , m_registration(std::string(entryItemsPrefix) + settings.name,
          toText(EntryItem { settings.link_address, settings.peers_address, settings.failure_domain }), m_store, m_log,
          {}, suspendAwareNow)
    , m_learned(settings.name, m_store, m_log, {}, learnedHooks())
    , m_control(system, tickPeriod, { [this] { tick(); }, [this] { perform(); } }, m_failures)
{
}

RoomEntryProcess::~RoomEntryProcess()
{
    m_control.stop();
    m_links.shutdown();
    m_loop.stop();
}

void RoomEntryProcess::start()
{
    m_links.listen(m_settings.link_address);
    m_callers.listen(m_settings.callers_address);
    m_readiness.listen(m_settings.readiness_address);
    m_peers.listen(m_settings.peers_address);
    if (!m_settings.metrics_address.empty())
        m_metrics.listen(m_settings.metrics_address);
    m_loop.start();
    m_log.event(LogLevel::Info, "started",
        { { "callers", m_settings.callers_address }, { "link", m_settings.link_address },
            { "incarnation", fmt::format("{:016x}", raw(m_self)) }, { "domain", m_settings.failure_domain } });
}

void RoomEntryProcess::stop()
{
    m_log.event(LogLevel::Info, "stopping", { { "open_requests", static_cast<int64_t>(m_callers.openExchanges()) } });
    m_isStopping = true;
    const auto until = Clock::now() + Milliseconds(m_settings.stop_timeout_ms);
    std::this_thread::sleep_for(Milliseconds(m_settings.rotation_ms));
    m_control.inspect([this] { m_core.stop(); });
    m_callers.closeIdle();
    while (m_callers.openExchanges() > 0 && Clock::now() < until)
        std::this_thread::sleep_for(stopPoll);
    m_callers.stopListening();
    m_control.inspect([this] {
        m_core.answerAllJobs(suspendAwareNow());
        m_registration.unregister();
    });
    m_log.event(LogLevel::Info, "stopped", { { "open_requests", static_cast<int64_t>(m_callers.openExchanges()) } });
    std::this_thread::sleep_for(flushGrace);
}

void RoomEntryProcess::applySettings(const RoomEntrySettings& settings)
{
    m_log.setLevel(parseLogLevel(settings.log_level));
    post([this, seeds = settings.seeds] { m_seeds = seeds; });
}

AsyncHttpLimits RoomEntryProcess::callerLimits() const
{
    AsyncHttpLimits limits;
    limits.maxConnections = static_cast<size_t>(m_settings.max_connections);
    limits.maxBodyBytes = static_cast<size_t>(m_settings.max_body_bytes);
    return limits;
}

DispatcherHooks RoomEntryProcess::coreHooks()
{
    return { [this](const auto& candidates, const auto& request) {
                return choosePlacement(candidates, request, m_policy);
            },
        [this](const auto& work, const auto& load) { return admit(work, load, m_policy); } };
}

LinkHooks RoomEntryProcess::linkHooks()
{
    return { [](LinkId) {},
        [this](
            LinkId link, FramePtr frame) { post([this, link, frame = std::move(frame)] { received(link, *frame); }); },
        [this](
            LinkId link, const std::string&) { post([this, link] { m_core.linkClosed(link, suspendAwareNow()); }); } };
}

LearnedPublisherHooks RoomEntryProcess::learnedHooks()
{
    return { [this] { return m_core.counters().jobs > 0 ? std::optional(m_core.learned()) : std::nullopt; },
        [this](const Learned& learned) { m_core.restore(learned); }, suspendAwareNow };
}

JobInterface RoomEntryProcess::jobPort()
{
    JobInterface port;
    port.routes = [this] { return m_routes.current(); };
    port.submit = [this](WorkSpec job, RoutePolicy route, Milliseconds budget, JobAnswerCallback answered) {
        const auto id = job.id;
        const auto waiter = WaiterId(++m_lastWaiter);
        post([this, job = std::move(job), route = std::move(route), budget, waiter,
                 answered = std::move(answered)]() mutable {
            submit(std::move(job), std::move(route), budget, waiter, std::move(answered));
        });
        return [this, id, waiter] {
            post([this, id, waiter] {
                m_core.callerGone(id, waiter, suspendAwareNow());
                m_waiting.erase(waiter);
            });
        };
    };
    port.isOpen = [this](WorkId id, auto done) { post([this, id, done] { done(m_core.isOpen(id)); }); };
    port.cancel
        = [this](WorkId id, auto done) { post([this, id, done] { done(m_core.cancel(id, suspendAwareNow())); }); };
    port.waitingJobs = [this](const std::string& route, auto done) {
        post([this, route, done] { done(m_core.waitingJobs(route)); });
    };
    return port;
}

void RoomEntryProcess::submit(
    WorkSpec job, RoutePolicy route, Milliseconds budget, WaiterId waiter, JobAnswerCallback answered)
{
    const auto now = suspendAwareNow();
    m_waiting[waiter] = { std::move(answered), route.name, now };
    m_core.submit(std::move(job), std::move(route), budget, waiter, now);
}

void RoomEntryProcess::received(LinkId link, const Frame& frame)
{
    if (frame.body.type == wire::Body::Hello)
        agentGreets(link, *frame.body.AsHello());
    else
        m_core.receive(link, frame.body, suspendAwareNow());
}

void RoomEntryProcess::agentGreets(LinkId link, const wire::HelloT& hello)
{
    if (hello.agent.empty() || hello.incarnation == 0) {
        m_log.event(LogLevel::Warning, "agent-refused", { { "reason", "the hello names no agent or no incarnation" } });
        m_links.close(link);
        return;
    }
    const auto speed = m_core.speedOf(hello.agent);
    wire::WelcomeT welcome;
    welcome.entry = m_settings.name;
    welcome.incarnation = raw(m_self);
    welcome.peers = m_directory.linkAddresses;
    welcome.server_life = speed.life;
    welcome.slowness = static_cast<float>(speed.slowness);
    welcome.samples = speed.samples;
    Frame reply;
    reply.body.Set(std::move(welcome));
    m_links.send(link, std::move(reply));
    m_core.agentLinked(link, hello, suspendAwareNow());
}

void RoomEntryProcess::tick()
{
    m_core.tick(suspendAwareNow());
    m_configuration.tick();
    m_entries.tick();
    m_registration.tick();
    m_learned.tick();
    askPeers();
    m_hasAgents = m_core.linkedAgents() > 0;
    if (++m_ticks % ticksPerCollect == 0)
        m_links.freeClosedLinks();
}

void RoomEntryProcess::perform()
{
    for (auto& effect : m_core.takeEffects())
        std::visit([this](auto& action) { apply(action); }, effect);
}

void RoomEntryProcess::apply(AnswerCaller& action)
{
    const auto it = m_waiting.find(action.waiter);
    if (it == m_waiting.end())
        return;
    const auto& waiting = it->second;
    m_responseSeconds.add({ { "route", waiting.route }, { "outcome", std::string(toString(action.answer.status)) } },
        suspendAwareNow() - waiting.since);
    waiting.answered(action.answer);
    m_waiting.erase(it);
}

void RoomEntryProcess::entriesListed(const std::map<std::string, std::string>& items)
{
    auto directory = EntryDirectory::fromItems(items);
    for (const auto& key : directory.malformed)
        m_log.event(LogLevel::Warning, "entry-malformed", { { "key", key } });
    if (!items.contains(std::string(entryItemsPrefix) + m_settings.name))
        m_registration.onMissing();
    m_log.event(LogLevel::Info, "entries", { { "known", static_cast<int64_t>(directory.linkAddresses.size()) } });
    m_core.setEntries(directory.linkAddresses.size(), directory.positionOf(m_settings.link_address));
    const bool isChanged = directory.linkAddresses != m_directory.linkAddresses;
    m_directory = std::move(directory);
    if (!isChanged)
        return;
    for (const auto& agent : m_core.agents()) {
        if (!agent.isLinked)
            continue;
        wire::PeersT message;
        message.entries = m_directory.linkAddresses;
        Frame frame;
        frame.body.Set(std::move(message));
        m_links.send(agent.link, std::move(frame));
    }
}

void RoomEntryProcess::askPeers()
{
    const auto now = suspendAwareNow();
    if (m_configuration.isConnected() || now < m_nextPeer)
        return;
    m_nextPeer = now + peerPeriod;
    auto addresses = m_directory.peerAddresses;
    addresses.insert(addresses.end(), m_seeds.begin(), m_seeds.end());
    std::erase(addresses, m_settings.peers_address);
    if (addresses.empty())
        return;
    const auto address = addresses[m_peerTurn++ % addresses.size()];
    std::shared_ptr<AsyncHttpClient> client;
    try {
        client = std::make_shared<AsyncHttpClient>(m_loop, address, 1);
    } catch (AsyncHttpError) {
        m_log.event(LogLevel::Warning, "peer-malformed", { { "address", address } });
        return;
    }
    client->call(
        { "GET", std::string(configurationPath), "", {} }, peerTimeout, [this, client](const HttpResult& result) {
            const auto* reply = std::get_if<HttpReply>(&result);
            if (reply != nullptr && reply->status == 200)
                m_routes.update(reply->body, "peer");
        });
}

void RoomEntryProcess::readiness(const HttpExchangePtr& exchange)
{
    const bool isReady = !m_isStopping && m_hasAgents && m_routes.current() != nullptr;
    exchange->reply({ isReady ? 200 : 503, "{}", "application/json", {} });
}

void RoomEntryProcess::peer(const HttpServerRequest& call, const HttpExchangePtr& exchange)
{
    const auto text = m_routes.text();
    const bool isKnown = call.method == "GET" && call.target == configurationPath && !text.empty();
    exchange->reply({ isKnown ? 200 : 404, isKnown ? text : "{}", "application/json", {} });
}

void RoomEntryProcess::metrics(const HttpExchangePtr& exchange)
{
    post([this, exchange] { exchange->reply({ 200, metricsText(), std::string(metricsContentType), {} }); });
}

std::string RoomEntryProcess::metricsText() const
{
    const auto& n = m_core.counters();
    const auto calls = m_store.calls();
    PrometheusText out("sequoia_");
    out.histograms("response_seconds", "Time from a submission to its answer.", m_responseSeconds);
    out.counter("jobs_total", "Jobs submitted by callers.", n.jobs);
    for (const auto& [reason, count] : n.answers)
        out.counter("answers_total", "Jobs answered, by outcome and reason.", count,
            { { "outcome", std::string(toString(reason.first)) }, { "reason", std::string(reason.second) } });
    out.counter("callers_gone_total", "Jobs whose caller disconnected.", n.callersGone);
    out.counter("repeated_requests_total", "Jobs that were taken for resubmissions.", n.resubmittedJobs);
    out.counter("run_orders_total", "Runs ordered from agents.", n.orders);
    for (const auto& [refusal, count] : n.refusals)
        out.counter("run_orders_refused_total", "Orders that an agent refused, by reason.", count,
            { { "reason", wire::EnumNameRefusal(refusal) } });
    out.counter("runs_failed_total", "Runs that failed.", n.failedRuns);
    out.counter("runs_lost_total", "Runs whose end was not seen.", n.lostRuns);
    out.counter("runs_stuck_total", "Runs stopped because they took too long.", n.stragglers);
    out.counter("demand_messages_total", "Demand messages sent to agents.", n.demands);
    out.counter("room_updates_total", "Updates of free resources from agents.", n.resourceUpdates);
    out.counter("messages_sent_total", "Messages sent to agents.", n.messagesSent);
    out.counter("messages_received_total", "Messages received from agents.", n.messagesReceived);
    addProcessCounters(out, m_links, m_output, m_failures, "agents");
    out.counter("store_lists_total", "Listings of the store.", calls.lists);
    out.counter("store_watches_total", "Watches of the store.", calls.watches);
    out.counter("store_keeps_total", "Renewals of leases.", calls.renewals);
    out.counter("store_writes_total", "Writes to the store.", calls.writes);
    out.counter("store_failures_total", "Store calls without a reply of status 200.", calls.failures);
    out.gauge("open_jobs", "Jobs without an answer.", static_cast<double>(m_core.openJobs()));
    out.gauge("queued_tasks", "Tasks that wait for free resources.", static_cast<double>(m_core.queuedTasks()));
    out.gauge("linked_agents", "Agents that are linked.", static_cast<double>(m_core.linkedAgents()));
    for (const auto& agent : m_core.agents()) {
        const bool isUsable = agent.isLinked && agent.state != wire::GateState::Closed;
        out.gauge("agent_open", "1 if the agent accepts runs.", isUsable ? 1 : 0, { { "agent", agent.name } });
        out.gauge(
            "agent_slowness", "Ratio of run time to expected run time.", agent.slowness, { { "agent", agent.name } });
    }
    const auto table = m_routes.current();
    out.gauge("configuration_version", "Version of the active configuration.",
        table ? static_cast<double>(table->version) : 0);
    out.gauge("store_connected", "1 if the last call for the configuration was answered.",
        m_configuration.isConnected() ? 1 : 0);
    return out.text();
}

} // namespace sequoia
