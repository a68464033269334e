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
struct RoomEntryPorts {
    std::string configurationKey; ///< Of the operators' configuration in the shared store.
    RouteTableReader readConfiguration;
    std::function<SharedStore(HttpLoop&, const std::string& address, Log&, PostHook)> connectStore;
    /** Handler of callers' requests. */
    std::function<AsyncHttpServer::Handler(Log&, JobInterface)> callersFront;
};

/** One entry with all its parts, in the order in which they depend on each other. */
class RoomEntryProcess : public DaemonProcess<RoomEntrySettings> {
public:
    RoomEntryProcess(caf::actor_system& system, const RoomEntrySettings& settings, const RoomEntryPorts& ports);
    ~RoomEntryProcess() override;
    RoomEntryProcess(const RoomEntryProcess&) = delete;
    RoomEntryProcess& operator=(const RoomEntryProcess&) = delete;

    void start() override;
    /** Leaves the balancer's rotation, serves what has come, then ends. */
    void stop() override;
    void applySettings(const RoomEntrySettings& settings) override;
    Log& log() override { return m_log; }

private:
    /** A caller's request that waits. */
    struct Waiting {
        JobAnswerCallback answered;
        std::string route;
        TimePoint since {};
    };

    void post(std::function<void()> work) { m_control.post(std::move(work)); }
    AsyncHttpLimits callerLimits() const;
    DispatcherHooks coreHooks();
    LinkHooks linkHooks();
    LearnedPublisherHooks learnedHooks();
    JobInterface jobPort();
    void submit(WorkSpec job, RoutePolicy route, Milliseconds budget, WaiterId waiter, JobAnswerCallback answered);

    void received(LinkId link, const Frame& frame);
    void agentGreets(LinkId link, const wire::HelloT& hello);
    void tick();
    void perform();
    void apply(AnswerCaller& action);
    template <typename Action> void apply(Action& action) { m_effects.apply(action); }

    void entriesListed(const std::map<std::string, std::string>& items);
    /** While the store is away, other entries may have a newer configuration. */
    void askPeers();

    void readiness(const HttpExchangePtr& exchange);
    void peer(const HttpServerRequest& call, const HttpExchangePtr& exchange);
    void metrics(const HttpExchangePtr& exchange);
    std::string metricsText() const;

    const RoomEntrySettings& m_settings;
    std::vector<std::string> m_seeds { m_settings.seeds }; ///< May change while the process runs.
    LineWriter m_output;
    Log m_log;
    Incarnation m_self;
    TaskPlacementLimits m_policy;
    Dispatcher m_core;
    FailureGuard m_failures { {}, terminatingHooks(m_log) };
    HttpLoop m_loop { m_failures };
    LinkHub m_links;
    LinkEffectExecutor m_effects;
    ActiveRoutes m_routes;
    AsyncHttpServer m_callers;
    AsyncHttpServer m_readiness;
    AsyncHttpServer m_peers;
    AsyncHttpServer m_metrics;
    SharedStore m_store;
    StoreWatcher m_configuration;
    StoreWatcher m_entries;
    Registration m_registration;
    LearnedPublisher m_learned;
    LabelledHistograms m_responseSeconds; ///< By route and outcome.
    std::unordered_map<WaiterId, Waiting> m_waiting;
    EntryDirectory m_directory;
    size_t m_peerTurn = 0;
    TimePoint m_nextPeer {};
    int m_ticks = 0;
    std::atomic<uint64_t> m_lastWaiter { 0 };
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_hasAgents { false };
    ControlThread m_control; ///< Last, so that nothing it uses ends before it.
};

} // namespace sequoia
