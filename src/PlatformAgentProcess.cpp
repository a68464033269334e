/** @file PlatformAgentProcess.cpp Connects the run gate of an agent with its links, HTTP servers and clients. */
#include <sequoia/PlatformAgentProcess.h>

#include "ProcessMetrics.h"
#include "ServerLimits.h"

#include <sequoia/Address.h>

#include <fmt/format.h>
#include <unistd.h>

namespace sequoia {

namespace {

    constexpr uint16_t protocolVersion = 1;
    constexpr Milliseconds tickPeriod { 20 };
    constexpr Milliseconds stopPoll { 20 };
    constexpr Milliseconds flushGrace { 100 }; // Time to send the results that are still in the links' send buffers.
    constexpr Milliseconds storeQueryPeriod { 1000 }; // Between queries of the store while no entry is linked.
    constexpr int ticksPerLinkCleanup = 50;

    RunGateLimits gateLimits(const RoomAgentSettings& settings)
    {
        constexpr double percent = 100;
        RunGateLimits limits;
        limits.shares.maxUrgentShare = static_cast<double>(settings.urgent_share_percent) / percent;
        limits.shares.floorShare = static_cast<double>(settings.floor_share_percent) / percent;
        limits.sharesMinEntries = static_cast<size_t>(settings.share_min_entries);
        limits.lease = Milliseconds(settings.lease_ms);
        limits.maxLease = Milliseconds(settings.longest_lease_ms);
        limits.ownerTimeout = Milliseconds(settings.owner_silence_ms);
        limits.startTimeout = Milliseconds(settings.start_timeout_ms);
        limits.health.quarantineFailures = static_cast<uint32_t>(settings.quarantine_failures);
        limits.health.quarantinePause = Milliseconds(settings.quarantine_pause_ms);
        limits.health.quarantinePauseMax = Milliseconds(settings.quarantine_pause_max_ms);
        return limits;
    }

    DialerLimits dialerLimits()
    {
        DialerLimits limits;
        limits.initialBackoff = Milliseconds(20);
        limits.maxBackoff = Milliseconds(150); // Short, so that a restarted entry is linked soon.
        limits.backoffFactor = 1.3; // Small, since VMs that start together may become ready half a second apart.
        // A connection to a VM that is still starting may hang, while a new one would be accepted.
        limits.initialWelcomeTimeout = Milliseconds(100);
        limits.maxWelcomeTimeout = Milliseconds(600);
        return limits;
    }

    LinkLimits linkLimits()
    {
        LinkLimits limits;
        limits.dialTimeout = Milliseconds(250); // Well above the round-trip time between regions.
        return limits;
    }

} // namespace

PlatformAgentProcess::PlatformAgentProcess(
    caf::actor_system& system, const RoomAgentSettings& settings, const PlatformAgentAdapters& ports)
    : m_settings(settings)
    , m_output(STDOUT_FILENO)
    , m_log(settings.name, parseLogLevel(settings.log_level), 0,
          [this](const std::string& line, LogLevel level) { m_output.write(line, level < LogLevel::Warning); })
    , m_incarnation(drawIncarnation())
    , m_core(m_incarnation, gateLimits(settings), std::chrono::system_clock::now(), settings.failure_domain)
    , m_links(linkHooks(), linkLimits(), m_log.clock())
    , m_effects(m_links, m_log)
    , m_dialer(
          dialerLimits(), [this](const std::string& address) { return m_links.dial(address); },
          [this](LinkId link) { m_links.close(link); })
    , m_reportServer(m_loop, serverLimits(), ports.makeReportHandler(m_log, serverReportHooks()))
    , m_metricsServer(m_loop, serverLimits(),
          [this](const HttpServerRequest&, const HttpExchangePtr& exchange) { serveMetrics(exchange); })
    , m_server(ports.connectServer(m_loop, settings.server_address, static_cast<size_t>(settings.server_connections),
          m_log, serverResultHooks()))
    , m_store(ports.connectStore(m_loop, settings.store_address, m_log, [this](auto work) { post(std::move(work)); }))
    , m_control(system, tickPeriod, { [this] { tick(); }, [this] { applyEffects(); } }, m_failures)
{
    post([this, seeds = settings.seeds] { setSeeds(seeds); });
}

PlatformAgentProcess::~PlatformAgentProcess()
{
    m_control.stop();
    m_links.shutdown();
    m_loop.stop();
}

void PlatformAgentProcess::start()
{
    m_reportServer.listen(m_settings.pings_address);
    if (!m_settings.metrics_address.empty())
        m_metricsServer.listen(m_settings.metrics_address);
    m_loop.start();
    m_log.event(LogLevel::Info, "started",
        { { "server", m_settings.server_address }, { "incarnation", fmt::format("{:016x}", raw(m_incarnation)) },
            { "domain", m_settings.failure_domain } });
}

void PlatformAgentProcess::stop()
{
    m_log.event(LogLevel::Info, "stopping", {});
    const auto until = Clock::now() + Milliseconds(m_settings.stop_timeout_ms);
    m_control.inspect([this] { m_core.drain(suspendAwareNow()); });
    size_t runs = 1;
    while (runs > 0 && Clock::now() < until) {
        std::this_thread::sleep_for(stopPoll);
        m_control.inspect([&] { runs = m_core.runs(); });
    }
    std::this_thread::sleep_for(flushGrace);
    m_log.event(LogLevel::Info, "stopped", { { "runs", static_cast<int64_t>(runs) } });
}

void PlatformAgentProcess::applySettings(const RoomAgentSettings& settings)
{
    m_log.setLevel(parseLogLevel(settings.log_level));
    post([this, seeds = settings.seeds] { setSeeds(seeds); });
}

void PlatformAgentProcess::setSeeds(const std::vector<std::string>& seeds)
{
    m_seedLinkAddresses.clear();
    for (const auto& seed : seeds) {
        if (const auto parts = splitAddress(seed))
            m_seedLinkAddresses.push_back(fmt::format("{}:{}", parts->first, m_settings.link_port));
        else
            m_log.event(LogLevel::Warning, "seed-malformed", { { "seed", seed } });
    }
}

LinkHooks PlatformAgentProcess::linkHooks()
{
    return { [this](LinkId link) { post([this, link] { sendHello(link); }); },
        [this](
            LinkId link, FramePtr frame) { post([this, link, frame = std::move(frame)] { received(link, *frame); }); },
        [this](LinkId link, const std::string&) {
            post([this, link] {
                const auto now = suspendAwareNow();
                m_core.linkClosed(link, now);
                m_dialer.closed(link, now);
                // The entry's orphaned runs are told on the new link, before their callers send their jobs again.
                m_dialer.tick(now);
            });
        },
        [this](LinkId link, int type) {
            m_log.event(LogLevel::Warning, "unknown-message",
                { { "link", static_cast<int64_t>(raw(link)) }, { "type", type } });
        } };
}

ServerResultHooks PlatformAgentProcess::serverResultHooks()
{
    ServerResultHooks results;
    results.startAnswered = [this](RunId id, StartOutcome outcome) {
        post([this, id, outcome] { m_core.startAnswered(id, outcome, suspendAwareNow()); });
    };
    results.stopAnswered = [this](RunId id, bool isAnswered) {
        post([this, id, isAnswered] { m_core.stopAnswered(id, isAnswered, suspendAwareNow()); });
    };
    results.pollAnswered = [this](uint64_t number, PollOutcome outcome, Listing listing) {
        post([this, number, outcome, listing = std::move(listing)] {
            m_core.pollAnswered(number, outcome, listing, suspendAwareNow());
        });
    };
    results.now = suspendAwareNow;
    return results;
}

ServerReportHooks PlatformAgentProcess::serverReportHooks()
{
    ServerReportHooks reports;
    reports.announced = [this](ServerReport report, std::function<void()> acknowledge) {
        post([this, report = std::move(report), acknowledge = std::move(acknowledge)] {
            m_core.serverAnnounced(report, suspendAwareNow());
            acknowledge();
        });
    };
    reports.left = [this](std::string instance, std::function<void()> acknowledge) {
        post([this, instance = std::move(instance), acknowledge = std::move(acknowledge)] {
            m_core.serverLeft(instance, suspendAwareNow());
            acknowledge();
        });
    };
    return reports;
}

void PlatformAgentProcess::sendHello(LinkId link)
{
    wire::HelloT hello;
    hello.version = protocolVersion;
    hello.agent = m_settings.name;
    hello.incarnation = raw(m_incarnation);
    hello.failure_domain = m_settings.failure_domain;
    hello.relays = true;
    hello.evacuations = true;
    hello.upper_case = true;
    Frame frame;
    frame.body.Set(std::move(hello));
    setAgentTime(frame, suspendAwareNow());
    m_links.send(link, std::move(frame));
}

void PlatformAgentProcess::received(LinkId link, const Frame& frame)
{
    const auto now = suspendAwareNow();
    switch (frame.body.type) {
    case wire::Body::Welcome:
        if (!m_dialer.welcomed(link))
            return;
        m_dialer.addAddresses(frame.body.AsWelcome()->peers, now);
        m_core.entryLinked(link, *frame.body.AsWelcome(), agentTimeOf(frame), now);
        return;
    case wire::Body::Peers:
        m_dialer.addAddresses(frame.body.AsPeers()->entries, now);
        return;
    default:
        m_core.receive(link, frame.body, agentTimeOf(frame), now);
    }
}

void PlatformAgentProcess::tick()
{
    const auto now = suspendAwareNow();
    m_core.tick(now);
    // Links are opened only after recovery: entries take a new incarnation of an agent as proof that all runs of the
    // one before have ended.
    if (m_core.isRecovered()) {
        m_dialer.addAddresses(m_seedLinkAddresses, now);
        m_dialer.tick(now);
        findEntriesInStore(now);
    }
    if (++m_ticks % ticksPerLinkCleanup == 0)
        m_links.freeClosedLinks();
}

void PlatformAgentProcess::findEntriesInStore(TimePoint now)
{
    if (m_nextStoreQuery == TimePoint())
        m_nextStoreQuery = now + storeQueryPeriod;
    if (m_dialer.welcomedLinks() > 0 || now < m_nextStoreQuery || m_isStoreQueryPending)
        return;
    m_isStoreQueryPending = true;
    m_store.list(std::string(entryItemsPrefix), [this](const StoreReply<SharedItems>& reply) {
        m_isStoreQueryPending = false;
        m_nextStoreQuery = suspendAwareNow() + storeQueryPeriod;
        const auto* found = std::get_if<SharedItems>(&reply);
        if (found == nullptr) {
            m_log.event(LogLevel::Warning, "entries-unknown", { { "error", "the store did not answer" } });
            return;
        }
        std::map<std::string, std::string> items;
        for (const auto& item : found->items)
            items[item.key] = item.value;
        const auto directory = EntryDirectory::fromItems(items);
        m_log.event(LogLevel::Info, "entries-from-store",
            { { "known", static_cast<int64_t>(directory.linkAddresses.size()) } });
        m_dialer.addAddresses(directory.linkAddresses, suspendAwareNow());
    });
}

void PlatformAgentProcess::applyEffects()
{
    for (auto& effect : m_core.takeEffects())
        std::visit([this](auto& action) { apply(action); }, effect);
}

AsyncHttpLimits PlatformAgentProcess::serverLimits()
{
    return peerServerLimits(static_cast<size_t>(m_settings.max_trailer_bytes), m_log);
}

void PlatformAgentProcess::serveMetrics(const HttpExchangePtr& exchange)
{
    post([this, exchange] { exchange->reply({ 200, metricsText(), std::string(metricsContentType), {} }); });
}

std::string PlatformAgentProcess::metricsText() const
{
    const auto now = suspendAwareNow();
    const auto& n = m_core.counters();
    PrometheusText out("sequoia_agent_");
    out.histograms("run_seconds", "Time from the order of a run to its end, by outcome.", m_core.runSeconds());
    out.histograms("start_seconds", "Time from the order of a run to the server's reply.", m_core.startSeconds());
    out.counter("orders_total", "Runs ordered by entries.", n.orders);
    for (const auto& [refusal, count] : n.refusals)
        out.counter("orders_refused_total", "Orders refused at the gate, by reason.", count,
            { { "reason", wire::EnumNameRefusal(refusal) } });
    for (const auto& [priority, count] : n.refusalsForKept)
        out.counter("orders_refused_for_kept_total",
            "Orders refused that would have fitted without what is kept for other priorities, by priority.", count,
            { { "priority", std::to_string(priority) } });
    out.counter("runs_done_total", "Runs that succeeded.", n.done);
    out.counter("runs_failed_total", "Runs that failed.", n.failed);
    out.counter("runs_stopped_total", "Runs that were stopped.", n.stopped);
    out.counter("runs_lost_total", "Runs whose end was not seen.", n.lost);
    for (const auto& [reason, count] : n.stuckRuns)
        out.counter("runs_stuck_total", "Runs held against the server as stuck or slow, by reason.", count,
            { { "reason", reason } });
    out.counter("runs_long_total", "Runs that took long because of their task.", n.longRuns);
    out.counter("progress_reports_total", "Runs that take long, as entries were told.", n.progressReports);
    out.counter("starts_repeated_total", "Start calls that were sent again.", n.repeatedStarts);
    out.counter("starts_unanswered_total", "Starts without an answer.", n.unansweredStarts);
    out.counter("looks_total", "Looks at the backend server.", n.polls);
    out.counter("server_lives_total", "Lives of the backend server.", n.incarnations);
    out.counter("server_crashes_total", "Crashes of the server with runs on it.", n.crashes);
    out.counter("evacuations_total", "Evacuations of the agent's failure domain.", n.evacuations);
    out.gauge("domains_evacuated", "Failure domains in which no task may start.",
        static_cast<double>(m_core.evacuations().domains().size()));
    out.counter("server_ends_refuted_total", "Ends of the server's process that its later listing refuted.",
        n.refutedServerEnds);
    for (const auto& [reason, count] : n.outlivedRuns)
        out.counter("runs_outlived_total", "Runs listed after the agent had taken them for over, by the reason.", count,
            { { "reason", reason } });
    out.counter("messages_sent_total", "Messages to entries.", n.messagesSent);
    addProcessCounters(out, m_links, m_output, m_failures, "entries");
    out.counter("store_failures_total", "Calls of the store without a good reply.", m_store.calls().failures);
    out.gauge("cpu_total", "Processors of the backend server, thousandths.", static_cast<double>(m_core.total().cpu));
    out.gauge("cpu_used", "Processors taken by runs, thousandths.", static_cast<double>(m_core.used().cpu));
    for (const auto& it : m_core.kept(now))
        out.gauge("cpu_kept", "Processors kept from runs of a priority for those of others, thousandths.",
            static_cast<double>(it.cpu), { { "priority", std::to_string(it.priority) } });
    out.gauge("runs", "Runs on the backend server.", static_cast<double>(m_core.runs()));
    out.gauge("slowness", "Run time over the expected time.", m_core.slowness(now));
    out.gauge("open", "1 if runs are taken.", m_core.state(now) == wire::GateState::Open ? 1 : 0);
    return out.text();
}

} // namespace sequoia
