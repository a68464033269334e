/** @file EntryMain.cpp sequoia-entry: accepts callers' jobs over HTTP and dispatches their tasks to agents. */
#include "EntryApi.h"

#include <sequoia/Daemon.h>

#include <fmt/format.h>

namespace sequoia {

/** HTTP request that tells an agent to replace its link to this entry. */
struct RelinkRequest {
    std::string address;
    std::string token;
    std::string body;
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::RelinkRequest)

namespace sequoia {

namespace {

    constexpr uint16_t protocolVersion = 1;
    constexpr Milliseconds storeTimeout { 3000 };
    constexpr Milliseconds relinkTimeout { 500 };
    constexpr Milliseconds stopPoll { 20 };
    constexpr Milliseconds readinessGrace { 300 }; // Lets the load balancer see /readyz fail before jobs are refused.

    EntryLimits limitsOf(const EntrySettings& settings)
    {
        EntryLimits limits;
        limits.maxOpenJobs = static_cast<size_t>(settings.max_open_jobs);
        limits.maxQueuedTasks = static_cast<size_t>(settings.max_queued_tasks);
        limits.maxDeadline = Milliseconds(settings.max_deadline_ms);
        limits.retention = Milliseconds(settings.retention_ms);
        limits.linkSilence = Milliseconds(settings.link_silence_ms);
        limits.heartbeatInterval = Milliseconds(settings.beat_ms);
        limits.agentLostTimeout = Milliseconds(settings.agent_lost_ms);
        limits.retryAttempts = static_cast<uint32_t>(settings.retry_attempts);
        return limits;
    }

    /** One entry. Members are declared in the order in which they depend on each other. */
    class EntryProcess : public DaemonProcess<EntrySettings> {
    public:
        EntryProcess(caf::actor_system& system, const EntrySettings& settings)
            : m_settings(settings)
            , m_log(settings.name, parseLogLevel(settings.log_level), static_cast<size_t>(settings.timeline_events))
            , m_incarnation(drawIncarnation())
            , m_holder([this](const auto& active) { configChanged(active); })
            , m_core(m_incarnation, limitsOf(settings), hooks())
            , m_links(linkHooks(), {}, m_log.clock())
            , m_relinkCaller(system.spawn<caf::detached>(relinkCaller))
            , m_control(system,
                  { m_core, m_links, m_log, [this](const auto& hello) { return checkHello(hello); }, Clock::now,
                      [this](const auto& address) { requestRelink(address); }, [](const JobKey&, const JobAnswer&) {},
                      m_failures })
            , m_http({ static_cast<size_t>(settings.http_threads), static_cast<size_t>(settings.max_body_bytes),
                  Milliseconds(settings.http_read_timeout_ms), static_cast<size_t>(settings.max_trailer_bytes) })
        {
            if (!settings.store_address.empty())
                m_store.emplace(settings.store_address, storeTimeout);
        }

        ~EntryProcess() override
        {
            caf::anon_send_exit(m_relinkCaller, caf::exit_reason::user_shutdown);
            m_control.stop();
            m_links.shutdown();
        }
        EntryProcess(const EntryProcess&) = delete;
        EntryProcess& operator=(const EntryProcess&) = delete;

        void start() override
        {
            const auto linkPort = m_links.listen(m_settings.link_address);
            const auto linkHost = splitAddress(m_settings.link_address)->first;
            m_registration.name = m_settings.name;
            m_registration.incarnation = m_incarnation;
            m_registration.link = m_settings.advertise_link.empty() ? fmt::format("{}:{}", linkHost, linkPort)
                                                                    : m_settings.advertise_link;
            // Bound before the handlers are made, because they need the server's address.
            const auto bound = m_http.bind(m_settings.http_address);
            m_registration.http = m_settings.advertise_http.empty() ? bound : m_settings.advertise_http;
            m_config.emplace(
                ConfigSynchronizerOptions { m_registration, m_settings.cluster, m_settings.token, m_settings.peers,
                    std::chrono::seconds(m_settings.lease_ttl_s), m_holder, m_store ? &*m_store : nullptr, m_log });
            m_api.emplace(EntryApiParts { m_settings, m_registration, m_control, m_links, *m_config, m_holder,
                              m_store ? &*m_store : nullptr, m_log },
                m_http);
            m_http.serve();
            m_hasConfig = true;
            m_config->start();
            m_log.event(LogLevel::Info, "listening",
                { { "http", bound }, { "link", fmt::format("{}:{}", linkHost, linkPort) },
                    { "advertised", m_registration.http },
                    { "incarnation", fmt::format("{:016x}", raw(m_incarnation)) } });
        }

        /** Reports not ready, waits up to the stop time-out for open jobs to end, then closes connections. */
        void stop() override
        {
            m_log.event(LogLevel::Info, "stopping", {});
            m_api->beginStop();
            m_http.beginStop();
            std::this_thread::sleep_for(readinessGrace);
            m_control.inspect([](EntryCore& core, TimePoint) { core.stop(); });
            const auto until = Clock::now() + Milliseconds(m_settings.stop_timeout_ms);
            bool isIdle = false;
            while (!isIdle && Clock::now() < until) {
                std::this_thread::sleep_for(stopPoll);
                m_control.inspect([&](EntryCore& core, TimePoint) { isIdle = core.isIdle(); });
            }
            m_config->stop();
            m_http.stop();
            m_log.event(LogLevel::Info, "stopped", { { "idle", isIdle ? "true" : "false" } });
        }

        Log& log() override { return m_log; }

    private:
        /** Behaviour of the actor that sends relink requests, one after the other. */
        static caf::behavior relinkCaller(caf::event_based_actor*)
        {
            return { [](const RelinkRequest& request) {
                auto client = makeHttpClient(request.address, relinkTimeout);
                client.Post("/v1/relink", { { "X-Sequoia-Token", request.token } }, request.body, "text/plain");
            } };
        }

        void requestRelink(const std::string& address)
        {
            m_log.event(LogLevel::Info, "relink-asked", { { "agent", address } });
            caf::anon_send(m_relinkCaller,
                RelinkRequest { address, m_settings.token, fmt::format("{:016x}", raw(m_incarnation)) });
        }

        EntryHooks hooks()
        {
            EntryHooks out;
            out.place = *placementPolicy(m_settings.policy, m_settings.profile, static_cast<uint64_t>(m_settings.seed));
            out.revision = [this] { return m_holder.revision(); };
            out.checkVisit = [this](const JobSpec& job, const TaskSpec& task) -> std::optional<VisitRefusal> {
                if (job.day.empty() || task.visit.empty())
                    return std::nullopt;
                const auto active = m_holder.current();
                const auto refusal = active ? active->plan.refusalReason(task.visit, *parseDay(job.day)) : std::nullopt;
                return refusal ? std::optional(VisitRefusal { *refusal }) : std::nullopt;
            };
            return out;
        }

        LinkHooks linkHooks()
        {
            return { [](LinkId) {},
                [this](LinkId link, FramePtr frame) {
                    m_control.send(LinkFrameInput { link, std::move(frame) });
                },
                [this](LinkId link, const std::string&) { m_control.send(LinkClosedInput { link }); } };
        }

        std::variant<wire::WelcomeT, std::string> checkHello(const wire::HelloT& hello)
        {
            if (hello.version != protocolVersion)
                return fmt::format("protocol version {}, expected {}", hello.version, protocolVersion);
            if (hello.cluster != m_settings.cluster)
                return "agent of another cluster: " + hello.cluster;
            if (hello.token != m_settings.token)
                return std::string("wrong token");
            if (hello.agent.empty() || hello.incarnation == 0)
                return std::string("the hello names no agent or no incarnation");
            if (m_hasConfig)
                m_config->requireRevision(Revision(hello.newest_revision));
            wire::WelcomeT welcome;
            welcome.entry = m_settings.name;
            welcome.incarnation = raw(m_incarnation);
            return welcome;
        }

        void configChanged(const std::shared_ptr<const ActiveConfiguration>& active)
        {
            if (!m_hasConfig)
                return;
            const auto entries = std::max<size_t>(m_config->entries().size(), 1);
            m_control.send(InspectInput { [active, entries](EntryCore& core, TimePoint now) {
                for (const auto& team : active->configuration.teams) {
                    const auto share = static_cast<uint32_t>((team.quota + entries - 1) / entries);
                    core.setTeamPolicy(team.name, { team.weight, share });
                }
                core.dayPlanChanged(now);
            } });
        }

        const EntrySettings& m_settings;
        Log m_log;
        Incarnation m_incarnation;
        ConfigHolder m_holder;
        std::atomic<bool> m_hasConfig { false };
        EntryCore m_core;
        FailureGuard m_failures { {}, terminatingHooks(m_log) };
        LinkHub m_links;
        caf::actor m_relinkCaller; ///< Sends relink requests, so that they don't block the control thread.
        EntryControl m_control;
        std::optional<Store> m_store;
        EntryRegistration m_registration;
        std::optional<ConfigSynchronizer> m_config;
        HttpService m_http;
        std::optional<EntryApi> m_api;
    };

} // namespace

} // namespace sequoia

int main(int argc, char** argv)
{
    using namespace sequoia;
    const DaemonSpec<EntrySettings> spec { "sequoia-entry",
        "sequoia-entry: accepts callers' jobs over HTTP and dispatches their tasks to agents.", entrySettingRows(), {},
        "", { "link_address", "http_address" } };
    return runDaemon<EntrySettings>(argc, argv, spec, [](caf::actor_system& system, const EntrySettings& settings) {
        return std::make_unique<EntryProcess>(system, settings);
    });
}
