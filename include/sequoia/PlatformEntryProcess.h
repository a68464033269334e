/** @file PlatformEntryProcess.h The process sequoia-platform-entry: accepts jobs through a job interface and places
 * their tasks by free resources. The platform's protocols are passed in as adapters. */
#pragma once

#include <sequoia/ActiveRoutes.h>
#include <sequoia/ControlThread.h>
#include <sequoia/Daemon.h>
#include <sequoia/Dispatcher.h>
#include <sequoia/EntryDirectory.h>
#include <sequoia/JobInterface.h>
#include <sequoia/LearnedPublisher.h>
#include <sequoia/LineWriter.h>
#include <sequoia/LinkEffectExecutor.h>
#include <sequoia/Metrics.h>
#include <sequoia/StoreWatcher.h>

#include <atomic>
#include <unordered_map>

namespace sequoia {

/** Adapters to the platform: its configuration, and functions that make the clients and handlers of its protocols. */
struct PlatformEntryAdapters {
    std::string configurationKey; ///< Store key of the operators' configuration.
    std::string operatorPrefix; ///< Prefix of that key and of `evacuationPrefix`.
    std::string evacuationPrefix; ///< Prefix of the store keys that name failure domains to evacuate.
    RouteTableReader readConfiguration;
    std::function<SharedStore(HttpLoop&, const std::string& address, Log&, PostHook)> connectStore;
    /** Handler of callers' requests. */
    std::function<AsyncHttpServer::Handler(Log&, JobInterface)> makeCallerHandler;
};

/** One entry. Members are declared in the order in which they depend on each other. */
class PlatformEntryProcess : public DaemonProcess<RoomEntrySettings> {
public:
    PlatformEntryProcess(
        caf::actor_system& system, const RoomEntrySettings& settings, const PlatformEntryAdapters& ports);
    ~PlatformEntryProcess() override;
    PlatformEntryProcess(const PlatformEntryProcess&) = delete;
    PlatformEntryProcess& operator=(const PlatformEntryProcess&) = delete;

    void start() override;
    /** Reports not ready, so that the load balancer sends it no new requests, lets open jobs end until the stop
     * time-out, and answers those that are left. */
    void stop() override;
    void applySettings(const RoomEntrySettings& settings) override;
    Log& log() override { return m_log; }

private:
    /** A caller's request without an answer. */
    struct PendingRequest {
        JobRequest request;
        std::string route;
    };

    void post(std::function<void()> work) { m_control.post(std::move(work)); }
    AsyncHttpLimits serverLimits();
    AsyncHttpLimits callerLimits();
    DispatcherHooks dispatcherHooks();
    LinkHooks linkHooks();
    LearnedPublisherHooks learnedHooks();
    JobInterface jobInterface();
    void submit(WorkSpec job, RoutePolicy route, WaiterId waiter, JobRequest request);

    void received(LinkId link, const Frame& frame);
    void handleHello(LinkId link, const wire::HelloT& hello, TimePoint agentTime);
    void tick();
    void applyEffects();
    void apply(AnswerCaller& action);
    template <typename Action> void apply(Action& action) { m_effects.apply(action); }

    /** The operators have changed the configuration, or which failure domains are to be evacuated. */
    void updateOperatorItems(const std::map<std::string, std::string>& items);
    /** Another entry has told which failure domains are evacuated. */
    void updateEvacuationsFromPeer(const std::string& text);
    bool followsEvacuations() const { return m_settings.evacuation_bound_ms > 0; }
    void updateEntries(const std::map<std::string, std::string>& items);
    /** While the store is unavailable, fetches the configuration and the evacuations from another entry, which may have
     * newer ones. */
    void fetchConfigurationFromPeer();

    void serveReadiness(const HttpExchangePtr& exchange);
    void servePeer(const HttpServerRequest& call, const HttpExchangePtr& exchange);
    void serveMetrics(const HttpExchangePtr& exchange);
    std::string metricsText() const;

    const RoomEntrySettings& m_settings;
    std::vector<std::string> m_seeds { m_settings.seeds }; ///< Reloadable setting: may change while the process runs.
    LineWriter m_output;
    Log m_log;
    Incarnation m_incarnation;
    TaskPlacementLimits m_placementLimits;
    Dispatcher m_core;
    FailureGuard m_failures { {}, terminatingHooks(m_log) };
    HttpLoop m_loop { m_failures };
    LinkHub m_links;
    LinkEffectExecutor m_effects;
    ActiveRoutes m_routes;
    AsyncHttpServer m_callerServer;
    AsyncHttpServer m_readinessServer;
    AsyncHttpServer m_peerServer;
    AsyncHttpServer m_metricsServer;
    SharedStore m_store;
    std::string m_configurationKey;
    std::string m_evacuationPrefix;
    StoreWatcher m_configurationWatcher; ///< Of the evacuations as well, if they are followed.
    StoreWatcher m_entriesWatcher;
    Registration m_registration;
    LearnedPublisher m_learnedPublisher;
    LabelledHistograms m_responseSeconds; ///< By route and outcome.
    std::unordered_map<WaiterId, PendingRequest> m_pendingRequests;
    EntryDirectory m_directory;
    size_t m_nextPeerIndex = 0;
    TimePoint m_nextPeerQuery {};
    int m_ticks = 0;
    std::atomic<uint64_t> m_lastWaiter { 0 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_hasAgents { false };
    ControlThread m_control; ///< Declared last: destroyed before the members that its work uses.
};

} // namespace sequoia
