/** @file RoomEntryProcess.h sequoia-platform-entry without the platform: takes jobs from a front and places them by
 * room. */
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

/** What an entry needs of the place that it runs on. */
struct PlatformEntryAdapters {
    std::string configurationKey; ///< Of the operators' configuration in the shared store.
    RouteTableReader readConfiguration;
    std::function<SharedStore(HttpLoop&, const std::string& address, Log&, PostHook)> connectStore;
    /** Handler of callers' requests. */
    std::function<AsyncHttpServer::Handler(Log&, JobInterface)> makeCallerHandler;
};

/** One entry with all its parts, in the order in which they depend on each other. */
class PlatformEntryProcess : public DaemonProcess<RoomEntrySettings> {
public:
    PlatformEntryProcess(
        caf::actor_system& system, const RoomEntrySettings& settings, const PlatformEntryAdapters& ports);
    ~PlatformEntryProcess() override;
    PlatformEntryProcess(const PlatformEntryProcess&) = delete;
    PlatformEntryProcess& operator=(const PlatformEntryProcess&) = delete;

    void start() override;
    /** Leaves the balancer's rotation, serves what has come, then ends. */
    void stop() override;
    void applySettings(const RoomEntrySettings& settings) override;
    Log& log() override { return m_log; }

private:
    /** A caller's request that waits. */
    struct PendingRequest {
        JobAnswerCallback onAnswer;
        std::string route;
        TimePoint since {};
    };

    void post(std::function<void()> work) { m_control.post(std::move(work)); }
    AsyncHttpLimits callerLimits() const;
    DispatcherHooks dispatcherHooks();
    LinkHooks linkHooks();
    LearnedPublisherHooks learnedHooks();
    JobInterface jobInterface();
    void submit(WorkSpec job, RoutePolicy route, Milliseconds budget, WaiterId waiter, JobAnswerCallback answered);

    void received(LinkId link, const Frame& frame);
    void handleHello(LinkId link, const wire::HelloT& hello);
    void tick();
    void applyEffects();
    void apply(AnswerCaller& action);
    template <typename Action> void apply(Action& action) { m_effects.apply(action); }

    void updateEntries(const std::map<std::string, std::string>& items);
    /** While the store is away, other entries may have a newer configuration. */
    void fetchConfigurationFromPeer();

    void serveReadiness(const HttpExchangePtr& exchange);
    void servePeer(const HttpServerRequest& call, const HttpExchangePtr& exchange);
    void serveMetrics(const HttpExchangePtr& exchange);
    std::string metricsText() const;

    const RoomEntrySettings& m_settings;
    std::vector<std::string> m_seeds { m_settings.seeds }; ///< May change while the process runs.
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
    StoreWatcher m_configurationWatcher;
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
    ControlThread m_control; ///< Last, so that nothing it uses ends before it.
};

} // namespace sequoia
