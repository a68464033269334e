/** @file PlatformEntryProcess.cpp Connects the dispatcher of an entry with its links, HTTP servers and store. */
#include <sequoia/PlatformEntryProcess.h>

#include "ProcessMetrics.h"
#include "ServerLimits.h"

#include <algorithm>
#include <fmt/format.h>
#include <unistd.h>

namespace sequoia {

namespace {

    constexpr Milliseconds tickPeriod { 20 };
    constexpr Milliseconds stopPoll { 20 };
    constexpr Milliseconds flushGrace { 60 }; // Time to send the answers that are still in the connections' buffers.
    constexpr Milliseconds peerQueryPeriod { 500 }; // Between requests to other entries while the store is unavailable.
    constexpr Milliseconds peerTimeout { 300 };
    constexpr Milliseconds arrivalPeriod { 50 };
    constexpr int ticksPerLinkCleanup = 50;
    constexpr std::string_view configurationPath = "/v1/configuration";
    constexpr std::string_view evacuationsPath = "/v1/evacuations";

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

    TaskPlacementLimits placementLimits(const RoomEntrySettings& settings)
    {
        TaskPlacementLimits limits;
        limits.farFactor = std::strtod(settings.far_factor.c_str(), nullptr);
        return limits;
    }

    StoreWatcherLimits entriesWatcherLimits()
    {
        StoreWatcherLimits limits;
        limits.watchWait = Milliseconds(10000); // Long, since agents learn of most entries without it.
        return limits;
    }

} // namespace

PlatformEntryProcess::PlatformEntryProcess(
    caf::actor_system& system, const RoomEntrySettings& settings, const PlatformEntryAdapters& ports)
    : m_settings(settings)
    , m_output(STDOUT_FILENO)
    , m_log(settings.name, parseLogLevel(settings.log_level), 0,
          [this](const std::string& line, LogLevel level) { m_output.write(line, level < LogLevel::Warning); })
    , m_incarnation(drawIncarnation())
    , m_placementLimits(placementLimits(settings))
    , m_core(dispatcherLimits(settings), m_placementLimits, dispatcherHooks())
    , m_links(linkHooks(), {}, m_log.clock())
    , m_effects(m_links, m_log)
    , m_routes(ports.readConfiguration, m_log)
    , m_callerServer(m_loop, callerLimits(), ports.makeCallerHandler(m_log, jobInterface()))
    , m_readinessServer(m_loop, serverLimits(),
          [this](const HttpServerRequest&, const HttpExchangePtr& exchange) { serveReadiness(exchange); })
    , m_peerServer(m_loop, serverLimits(),
          [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) { servePeer(call, exchange); })
    , m_metricsServer(m_loop, serverLimits(),
          [this](const HttpServerRequest&, const HttpExchangePtr& exchange) { serveMetrics(exchange); })
    , m_store(ports.connectStore(m_loop, settings.store_address, m_log, [this](auto work) { post(std::move(work)); }))
    , m_configurationKey(ports.configurationKey)
    , m_evacuationPrefix(ports.evacuationPrefix)
    , m_configurationWatcher(settings.evacuation_bound_ms > 0 ? ports.operatorPrefix : ports.configurationKey, m_store,
          m_log, {}, { [this](const auto& items) { updateOperatorItems(items); }, suspendAwareNow })
    , m_entriesWatcher(std::string(entryItemsPrefix), m_store, m_log, entriesWatcherLimits(),
          { [this](const auto& items) { updateEntries(items); }, suspendAwareNow })
    , m_registration(std::string(entryItemsPrefix) + settings.name,
          toText(EntryItem { settings.link_address, settings.peers_address, settings.failure_domain }), m_store, m_log,
          {}, suspendAwareNow)
    , m_learnedPublisher(settings.name, m_store, m_log, {}, learnedHooks())
    , m_control(system, tickPeriod, { [this] { tick(); }, [this] { applyEffects(); } }, m_failures)
{
}

PlatformEntryProcess::~PlatformEntryProcess()
{
    m_control.stop();
    m_links.shutdown();
    m_loop.stop();
}

void PlatformEntryProcess::start()
{
    m_links.listen(m_settings.link_address);
    m_callerServer.listen(m_settings.callers_address);
    m_readinessServer.listen(m_settings.readiness_address);
    m_peerServer.listen(m_settings.peers_address);
    if (!m_settings.metrics_address.empty())
        m_metricsServer.listen(m_settings.metrics_address);
    m_loop.start();
    m_log.event(LogLevel::Info, "started",
        { { "callers", m_settings.callers_address }, { "link", m_settings.link_address },
            { "incarnation", fmt::format("{:016x}", raw(m_incarnation)) }, { "domain", m_settings.failure_domain } });
}

void PlatformEntryProcess::stop()
{
    m_log.event(
        LogLevel::Info, "stopping", { { "open_requests", static_cast<int64_t>(m_callerServer.openExchanges()) } });
    m_isStopping = true;
    const auto until = Clock::now() + Milliseconds(m_settings.stop_timeout_ms);
    std::this_thread::sleep_for(Milliseconds(m_settings.rotation_ms));
    m_control.inspect([this] { m_core.stop(); });
    m_callerServer.closeIdle();
    while (m_callerServer.openExchanges() > 0 && Clock::now() < until)
        std::this_thread::sleep_for(stopPoll);
    m_callerServer.stopListening();
    m_control.inspect([this] {
        m_core.answerAllJobs(suspendAwareNow());
        m_registration.unregister();
    });
    m_log.event(
        LogLevel::Info, "stopped", { { "open_requests", static_cast<int64_t>(m_callerServer.openExchanges()) } });
    std::this_thread::sleep_for(flushGrace);
}

void PlatformEntryProcess::applySettings(const RoomEntrySettings& settings)
{
    m_log.setLevel(parseLogLevel(settings.log_level));
    post([this, seeds = settings.seeds] { m_seeds = seeds; });
}

AsyncHttpLimits PlatformEntryProcess::serverLimits()
{
    return peerServerLimits(static_cast<size_t>(m_settings.max_trailer_bytes), m_log);
}

AsyncHttpLimits PlatformEntryProcess::callerLimits()
{
    auto limits = serverLimits();
    limits.maxConnections = callerConnections(
        static_cast<size_t>(m_settings.max_connections), static_cast<size_t>(m_settings.max_descriptors));
    limits.maxBodyBytes = static_cast<size_t>(m_settings.max_body_bytes);
    limits.arrivalPeriod = arrivalPeriod;
    return limits;
}

DispatcherHooks PlatformEntryProcess::dispatcherHooks()
{
    return { [this](const auto& candidates, const auto& request) {
                return choosePlacement(candidates, request, m_placementLimits);
            },
        [this](const auto& work, const auto& load) { return admit(work, load, m_placementLimits); },
        [this](WaiterId waiter) {
            const auto it = m_pendingRequests.find(waiter);
            return it != m_pendingRequests.end() && it->second.request.isConnected();
        } };
}

LinkHooks PlatformEntryProcess::linkHooks()
{
    return { [](LinkId) {},
        [this](
            LinkId link, FramePtr frame) { post([this, link, frame = std::move(frame)] { received(link, *frame); }); },
        [this](LinkId link, const std::string&) { post([this, link] { m_core.linkClosed(link, suspendAwareNow()); }); },
        [this](LinkId link, int type) {
            m_log.event(LogLevel::Warning, "unknown-message",
                { { "link", static_cast<int64_t>(raw(link)) }, { "type", type } });
        } };
}

LearnedPublisherHooks PlatformEntryProcess::learnedHooks()
{
    return { [this] { return m_core.counters().jobs > 0 ? std::optional(m_core.learned()) : std::nullopt; },
        [this](const Learned& learned) { m_core.restore(learned); }, suspendAwareNow };
}

JobInterface PlatformEntryProcess::jobInterface()
{
    JobInterface port;
    port.routes = [this] { return m_routes.current(); };
    port.submit = [this](WorkSpec job, RoutePolicy route, JobRequest request) {
        const auto id = job.id;
        const auto waiter = WaiterId(++m_lastWaiter);
        post([this, job = std::move(job), route = std::move(route), waiter, request = std::move(request)]() mutable {
            submit(std::move(job), std::move(route), waiter, std::move(request));
        });
        return [this, id, waiter] {
            post([this, id, waiter] {
                m_core.callerGone(id, waiter, suspendAwareNow());
                m_pendingRequests.erase(waiter);
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

void PlatformEntryProcess::submit(WorkSpec job, RoutePolicy route, WaiterId waiter, JobRequest request)
{
    const Caller caller { waiter, request.arrival, request.budget };
    m_pendingRequests[waiter] = { std::move(request), route.name };
    m_core.submit(std::move(job), std::move(route), caller, suspendAwareNow());
}

void PlatformEntryProcess::received(LinkId link, const Frame& frame)
{
    if (frame.body.type == wire::Body::Hello)
        handleHello(link, *frame.body.AsHello(), agentTimeOf(frame));
    else
        m_core.receive(link, frame.body, agentTimeOf(frame), suspendAwareNow());
}

void PlatformEntryProcess::handleHello(LinkId link, const wire::HelloT& hello, TimePoint agentTime)
{
    if (hello.agent.empty() || hello.incarnation == 0) {
        m_log.event(LogLevel::Warning, "agent-refused", { { "reason", "the hello names no agent or no incarnation" } });
        m_links.close(link);
        return;
    }
    const auto speed = m_core.speedOf(hello.agent);
    wire::WelcomeT welcome;
    welcome.entry = m_settings.name;
    welcome.incarnation = raw(m_incarnation);
    welcome.peers = m_directory.linkAddresses;
    welcome.server_life = speed.life;
    welcome.slowness = static_cast<float>(speed.slowness);
    welcome.samples = speed.samples;
    welcome.run_lapse_ms = static_cast<uint32_t>(m_settings.run_lapse_ms);
    welcome.caller_resend_ms = static_cast<uint32_t>(m_settings.caller_resend_ms);
    welcome.relays = true;
    Frame reply;
    reply.body.Set(std::move(welcome));
    setAgentTime(reply, agentTime);
    m_links.send(link, std::move(reply));
    m_core.agentLinked(link, hello, agentTime, suspendAwareNow());
}

void PlatformEntryProcess::tick()
{
    m_core.tick(suspendAwareNow());
    m_configurationWatcher.tick();
    m_entriesWatcher.tick();
    m_registration.tick();
    m_learnedPublisher.tick();
    fetchConfigurationFromPeer();
    m_hasAgents = m_core.linkedAgents() > 0;
    if (++m_ticks % ticksPerLinkCleanup == 0)
        m_links.freeClosedLinks();
}

void PlatformEntryProcess::applyEffects()
{
    for (auto& effect : m_core.takeEffects())
        std::visit([this](auto& action) { apply(action); }, effect);
}

void PlatformEntryProcess::apply(AnswerCaller& action)
{
    const auto it = m_pendingRequests.find(action.waiter);
    if (it == m_pendingRequests.end())
        return;
    const auto& waiting = it->second;
    m_responseSeconds.add({ { "route", waiting.route }, { "outcome", std::string(toString(action.answer.status)) } },
        suspendAwareNow() - waiting.request.arrival);
    waiting.request.onAnswer(action.answer);
    m_pendingRequests.erase(it);
}

void PlatformEntryProcess::updateOperatorItems(const std::map<std::string, std::string>& items)
{
    // The evacuations come first: no job may be placed under a configuration that came with them before they hold.
    if (followsEvacuations())
        m_core.setEvacuations(
            evacuatedDomains(items, m_evacuationPrefix), m_configurationWatcher.version(), "store", suspendAwareNow());
    if (const auto it = items.find(m_configurationKey); it != items.end())
        m_routes.update(it->second, "store");
}

void PlatformEntryProcess::updateEntries(const std::map<std::string, std::string>& items)
{
    auto directory = EntryDirectory::fromItems(items);
    const auto& known = m_directory.malformed;
    for (const auto& key : directory.malformed) {
        if (std::find(known.begin(), known.end(), key) == known.end())
            m_log.event(LogLevel::Warning, "entry-malformed", { { "key", key } });
    }
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

void PlatformEntryProcess::fetchConfigurationFromPeer()
{
    const auto now = suspendAwareNow();
    if (m_configurationWatcher.isConnected() || now < m_nextPeerQuery)
        return;
    m_nextPeerQuery = now + peerQueryPeriod;
    auto addresses = m_directory.peerAddresses;
    addresses.insert(addresses.end(), m_seeds.begin(), m_seeds.end());
    std::erase(addresses, m_settings.peers_address);
    if (addresses.empty())
        return;
    const auto address = addresses[m_nextPeerIndex++ % addresses.size()];
    std::shared_ptr<AsyncHttpClient> client;
    try {
        client = std::make_shared<AsyncHttpClient>(m_loop, address, 1);
    } catch (AsyncHttpError) {
        m_log.event(LogLevel::Warning, "peer-malformed", { { "address", address } });
        return;
    }
    const auto fetchConfiguration = [this, client] {
        client->call(
            { "GET", std::string(configurationPath), "", {} }, peerTimeout, [this, client](const HttpResult& result) {
                const auto* reply = std::get_if<HttpReply>(&result);
                if (reply != nullptr && reply->status == 200)
                    post([this, text = reply->body] { m_routes.update(text, "peer"); });
            });
    };
    if (!followsEvacuations())
        return fetchConfiguration();
    // The evacuations come first, as a starting entry would otherwise place jobs without them.
    client->call({ "GET", std::string(evacuationsPath), "", {} }, peerTimeout,
        [this, fetchConfiguration](const HttpResult& result) {
            const auto* reply = std::get_if<HttpReply>(&result);
            if (reply == nullptr)
                return;
            if (reply->status == 200) // Peers of earlier releases don't know the path.
                post([this, text = reply->body] { updateEvacuationsFromPeer(text); });
            fetchConfiguration();
        });
}

void PlatformEntryProcess::updateEvacuationsFromPeer(const std::string& text)
{
    if (const auto state = parseEvacuations(text))
        m_core.setEvacuations(state->domains, state->version, "peer", suspendAwareNow());
    else
        m_log.event(LogLevel::Warning, "evacuations-malformed", { { "source", "peer" } });
}

void PlatformEntryProcess::serveReadiness(const HttpExchangePtr& exchange)
{
    const bool isReady = !m_isStopping && m_hasAgents && m_routes.current() != nullptr;
    exchange->reply({ isReady ? 200 : 503, "{}", "application/json", {} });
}

void PlatformEntryProcess::servePeer(const HttpServerRequest& call, const HttpExchangePtr& exchange)
{
    if (call.method == "GET" && call.target == evacuationsPath) {
        post([this, exchange] {
            const auto text = toText(m_core.evacuations());
            exchange->reply({ text.empty() ? 404 : 200, text.empty() ? "{}" : text, "application/json", {} });
        });
        return;
    }
    const auto text = m_routes.text();
    const bool isKnown = call.method == "GET" && call.target == configurationPath && !text.empty();
    exchange->reply({ isKnown ? 200 : 404, isKnown ? text : "{}", "application/json", {} });
}

void PlatformEntryProcess::serveMetrics(const HttpExchangePtr& exchange)
{
    post([this, exchange] { exchange->reply({ 200, metricsText(), std::string(metricsContentType), {} }); });
}

std::string PlatformEntryProcess::metricsText() const
{
    const auto& n = m_core.counters();
    const auto calls = m_store.calls();
    PrometheusText out("sequoia_");
    out.histograms("response_seconds", "Time from a submission to its answer.", m_responseSeconds);
    out.counter("jobs_total", "Jobs taken from callers.", n.jobs);
    for (const auto& [reason, count] : n.answers)
        out.counter("answers_total", "Jobs answered, by outcome and reason.", count,
            { { "outcome", std::string(toString(reason.first)) }, { "reason", std::string(reason.second) } });
    out.counter("callers_gone_total", "Jobs whose caller went away.", n.callersGone);
    out.counter("repeated_requests_total", "Jobs whose caller is taken to have waited before.", n.resubmittedJobs);
    out.counter("run_orders_total", "Runs ordered from agents.", n.orders);
    for (const auto& [refusal, count] : n.refusals)
        out.counter("run_orders_refused_total", "Orders that an agent refused, by reason.", count,
            { { "reason", wire::EnumNameRefusal(refusal) } });
    out.counter("runs_failed_total", "Runs that failed.", n.failedRuns);
    out.counter("runs_lost_total", "Runs whose end was not seen.", n.lostRuns);
    out.counter("runs_stuck_total", "Runs stopped because they took too long.", n.stragglers);
    out.counter("runs_kept_total", "Runs that took too long and were left running.", n.keptStragglers);
    out.counter("progress_reports_total", "Runs that take long, as agents told.", n.progressReports);
    out.counter("server_crashes_total", "Crashes of servers that agents reported.", n.serverCrashes);
    out.counter("route_isolations_total", "Isolations of routes whose tasks crash servers.", n.isolations);
    out.counter("evacuations_total", "Evacuations of failure domains that have begun.", n.evacuations);
    out.gauge("domains_evacuated", "Failure domains in which no task may start.",
        static_cast<double>(m_core.evacuations().domains().size()));
    out.gauge("routes_isolated", "1 while a route is isolated.", m_core.hasIsolatedRoutes() ? 1 : 0);
    out.counter("runs_ownerless_total", "Runs that went on although nobody wanted them.", n.ownerlessRuns);
    out.counter("runs_adopted_total", "Runs of other entries that jobs submitted here waited for.", n.adoptedRuns);
    out.counter("jobs_elsewhere_total", "Runs of other entries that became known after their task was ordered here.",
        n.jobsElsewhere);
    out.counter("demand_messages_total", "Waiting work told to agents.", n.demands);
    out.counter("room_updates_total", "Reports of room by agents.", n.resourceUpdates);
    out.counter("messages_sent_total", "Messages to agents.", n.messagesSent);
    out.counter("messages_received_total", "Messages of agents.", n.messagesReceived);
    addProcessCounters(out, m_links, m_output, m_failures, "agents");
    out.counter("store_lists_total", "Listings of the store.", calls.lists);
    out.counter("store_watches_total", "Watches of the store.", calls.watches);
    out.counter("store_keeps_total", "Renewals of leases.", calls.renewals);
    out.counter("store_writes_total", "Writes to the store.", calls.writes);
    out.counter("store_failures_total", "Calls of the store without a good reply.", calls.failures);
    out.gauge("open_jobs", "Jobs without an answer.", static_cast<double>(m_core.openJobs()));
    out.gauge("queued_tasks", "Tasks that wait for room.", static_cast<double>(m_core.queuedTasks()));
    out.gauge("linked_agents", "Agents that are linked.", static_cast<double>(m_core.linkedAgents()));
    for (const auto& agent : m_core.agents()) {
        out.gauge("agent_open", "1 if the agent takes runs.", agent.isUsable() ? 1 : 0, { { "agent", agent.name } });
        out.gauge("agent_slowness", "Run time over the expected time.", agent.slowness, { { "agent", agent.name } });
    }
    const auto table = m_routes.current();
    out.gauge("configuration_version", "Configuration in force.", table ? static_cast<double>(table->version) : 0);
    out.gauge("store_connected", "1 if the last call for the configuration was answered.",
        m_configurationWatcher.isConnected() ? 1 : 0);
    return out.text();
}

} // namespace sequoia
