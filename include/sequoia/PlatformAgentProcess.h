/** @file PlatformAgentProcess.h The process sequoia-platform-agent: a run gate beside a backend server. The platform's
 * protocols are passed in as adapters. */
#pragma once

#include <sequoia/ControlThread.h>
#include <sequoia/Daemon.h>
#include <sequoia/Dialer.h>
#include <sequoia/EntryDirectory.h>
#include <sequoia/LineWriter.h>
#include <sequoia/LinkEffectExecutor.h>
#include <sequoia/Metrics.h>
#include <sequoia/ServerClient.h>
#include <sequoia/SharedStore.h>

namespace sequoia {

/** Adapters to the platform: functions that make the clients and the handler that speak its protocols. */
struct PlatformAgentAdapters {
    std::function<SharedStore(HttpLoop&, const std::string& address, Log&, PostHook)> connectStore;
    std::function<ServerClient(HttpLoop&, const std::string& address, size_t maxConnections, Log&, ServerResultHooks)>
        connectServer;
    /** Handler of the backend server's reports. */
    std::function<AsyncHttpServer::Handler(Log&, ServerReportHooks)> makeReportHandler;
};

/** One agent. Members are declared in the order in which they depend on each other. */
class PlatformAgentProcess : public DaemonProcess<RoomAgentSettings> {
public:
    PlatformAgentProcess(
        caf::actor_system& system, const RoomAgentSettings& settings, const PlatformAgentAdapters& ports);
    ~PlatformAgentProcess() override;
    PlatformAgentProcess(const PlatformAgentProcess&) = delete;
    PlatformAgentProcess& operator=(const PlatformAgentProcess&) = delete;

    void start() override;
    /** Accepts no more runs and waits, up to the stop time-out, for the current ones to end. */
    void stop() override;
    void applySettings(const RoomAgentSettings& settings) override;
    Log& log() override { return m_log; }

private:
    void post(std::function<void()> work) { m_control.post(std::move(work)); }
    LinkHooks linkHooks();
    ServerResultHooks serverResultHooks();
    ServerReportHooks serverReportHooks();
    void sendHello(LinkId link);
    void received(LinkId link, const Frame& frame);
    void tick();
    /** Seeds are addresses of entries' peer servers. Their link addresses are the same hosts with the link port. */
    void setSeeds(const std::vector<std::string>& seeds);
    /** Reads the list of entries from the store while no entry is linked, because all seeds may be outdated. */
    void findEntriesInStore(TimePoint now);

    void applyEffects();
    void apply(StartRun& action) { m_server.start(action); }
    void apply(StopRun& action) { m_server.stop(action); }
    void apply(PollServer& action) { m_server.poll(action); }
    template <typename Action> void apply(Action& action) { m_effects.apply(action); }

    AsyncHttpLimits serverLimits();
    void serveMetrics(const HttpExchangePtr& exchange);
    std::string metricsText() const;

    const RoomAgentSettings& m_settings;
    std::vector<std::string> m_seedLinkAddresses;
    LineWriter m_output;
    Log m_log;
    Incarnation m_incarnation;
    RunGate m_core;
    FailureGuard m_failures { {}, terminatingHooks(m_log) };
    HttpLoop m_loop { m_failures };
    LinkHub m_links;
    LinkEffectExecutor m_effects;
    Dialer m_dialer;
    AsyncHttpServer m_reportServer;
    AsyncHttpServer m_metricsServer;
    ServerClient m_server;
    SharedStore m_store;
    TimePoint m_nextStoreQuery {};
    bool m_isStoreQueryPending = false;
    int m_ticks = 0;
    ControlThread m_control; ///< Declared last: destroyed before the members that its work uses.
};

} // namespace sequoia
