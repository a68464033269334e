/** @file AgentMain.cpp sequoia-agent: runs beside a backend server and starts tasks on it, each at most once. */
#include "BackendPool.h"
#include "HttpCommon.h"

#include <sequoia/AgentControl.h>
#include <sequoia/Daemon.h>
#include <sequoia/EntryControl.h>
#include <sequoia/JsonNesting.h>
#include <sequoia/Metrics.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace sequoia {

namespace {

    using Json = nlohmann::json;

    constexpr uint16_t protocolVersion = 1;
    constexpr Milliseconds discoveryPeriod { 2000 };
    constexpr Milliseconds discoveryTimeout { 1000 };
    constexpr Milliseconds stopPoll { 20 };
    constexpr Milliseconds flushGrace { 200 }; // Time to send the answers that are still in the links' send buffers.

    AgentLimits limitsOf(const AgentSettings& settings)
    {
        AgentLimits limits;
        limits.retention = Milliseconds(settings.retention_ms);
        limits.linkSilence = Milliseconds(settings.link_silence_ms);
        limits.heartbeatInterval = Milliseconds(settings.beat_ms);
        limits.revisionGrace = Milliseconds(settings.revision_grace_ms);
        limits.quarantineFailures = static_cast<uint32_t>(settings.quarantine_failures);
        limits.quarantinePause = Milliseconds(settings.quarantine_pause_ms);
        limits.quarantinePauseMax = Milliseconds(settings.quarantine_pause_max_ms);
        limits.stallFactor = static_cast<double>(settings.stall_factor);
        limits.stallMinimum = Milliseconds(settings.stall_minimum_ms);
        return limits;
    }

    std::string_view nameOf(Health health)
    {
        switch (health) {
        case Health::Good:
            return "good";
        case Health::Quarantined:
            return "quarantined";
        case Health::Trial:
            return "trial";
        }
        return "";
    }

    /** One agent: gate, links to entries, HTTP interface and calls to the backend server. */
    class AgentProcess : public DaemonProcess<AgentSettings> {
    public:
        AgentProcess(caf::actor_system& system, const AgentSettings& settings)
            : m_settings(settings)
            , m_log(settings.name, parseLogLevel(settings.log_level), static_cast<size_t>(settings.timeline_events))
            , m_incarnation(drawIncarnation())
            , m_http({ static_cast<size_t>(settings.http_threads), static_cast<size_t>(settings.max_body_bytes),
                  Milliseconds(settings.http_read_timeout_ms), static_cast<size_t>(settings.max_trailer_bytes) })
            , m_core(m_incarnation, limitsOf(settings))
            , m_pool(static_cast<size_t>(settings.max_connections), static_cast<size_t>(settings.max_body_bytes),
                  [this](const TaskKey& task, BackendResult result) {
                      m_control->send(BackendFinishedInput { task, std::move(result) });
                  })
            , m_links(linkHooks(), {}, m_log.clock())
            , m_system(system)
        {
        }

        ~AgentProcess() override
        {
            if (m_control)
                m_control->stop();
            m_links.shutdown();
        }
        AgentProcess(const AgentProcess&) = delete;
        AgentProcess& operator=(const AgentProcess&) = delete;

        void start() override
        {
            addHandlers();
            const auto bound = m_http.start(m_settings.http_address);
            m_control.emplace(m_system,
                AgentControlParts { m_core, m_links, m_log,
                    makeHello(m_settings.advertise_http.empty() ? bound : m_settings.advertise_http), Clock::now,
                    [this](CallBackend call) { m_pool.call(std::move(call)); }, m_failures });
            m_isUp = true;
            m_discovery = std::thread([this] { runDiscovery(); });
            m_log.event(LogLevel::Info, "listening",
                { { "http", bound }, { "incarnation", fmt::format("{:016x}", raw(m_incarnation)) } });
        }

        /** Accepts no more tasks, and waits up to the stop time-out for running ones to end and their answers to be
         * sent. */
        void stop() override
        {
            m_log.event(LogLevel::Info, "stopping", {});
            m_control->send(DrainInput { true });
            const auto until = Clock::now() + Milliseconds(m_settings.stop_timeout_ms);
            uint32_t running = 1;
            while (running > 0 && Clock::now() < until) {
                std::this_thread::sleep_for(stopPoll);
                m_control->inspect([&](AgentCore& core, TimePoint) { running = core.running(); });
            }
            std::this_thread::sleep_for(flushGrace);
            {
                const std::lock_guard lock(m_mutex);
                m_isStopped = true;
            }
            m_stopCondition.notify_all();
            m_discovery.join();
            m_http.stop();
            m_log.event(LogLevel::Info, "stopped", { { "running", fmt::to_string(running) } });
        }

        Log& log() override { return m_log; }

    private:
        LinkHooks linkHooks()
        {
            return { [this](LinkId link) { m_control->send(AgentLinkOpenedInput { link }); },
                [this](LinkId link, FramePtr frame) {
                    m_control->send(AgentLinkFrameInput { link, std::move(frame) });
                },
                [this](LinkId link, const std::string&) { m_control->send(AgentLinkClosedInput { link }); } };
        }

        wire::HelloT makeHello(const std::string& address) const
        {
            wire::HelloT hello;
            hello.version = protocolVersion;
            hello.cluster = m_settings.cluster;
            hello.token = m_settings.token;
            hello.agent = m_settings.name;
            hello.incarnation = raw(m_incarnation);
            hello.failure_domain = m_settings.failure_domain;
            hello.http_address = address;
            return hello;
        }

        void addHandlers()
        {
            auto& server = m_http.server();
            addCommonHandlers(server, m_log, m_settings.token);
            server.set_pre_routing_handler([this](const auto&, auto& response) {
                if (m_isUp)
                    return httplib::Server::HandlerResponse::Unhandled;
                response.status = 503;
                return httplib::Server::HandlerResponse::Handled;
            });
            server.Post("/v1/backend/announce",
                [this](const auto& request, auto& response) { handleAnnouncement(request, response); });
            server.Post("/v1/backend/leave", [this](const auto&, auto& response) {
                m_control->send(BackendLeftInput { "backend server left" });
                const std::lock_guard lock(m_mutex);
                m_announcementExpires = TimePoint();
                response.set_content("{}", jsonType);
            });
            server.Post(
                "/v1/drain", [this](const auto& request, auto& response) { setDraining(true, request, response); });
            server.Post(
                "/v1/resume", [this](const auto& request, auto& response) { setDraining(false, request, response); });
            server.Post("/v1/relink", [this](const auto& request, auto& response) {
                if (!hasToken(request, response, m_settings.token))
                    return;
                const auto entry = std::strtoull(request.body.c_str(), nullptr, 16);
                m_control->send(RelinkInput { Incarnation(entry) });
                response.set_content("{}", jsonType);
            });
            server.Get("/readyz", [this](const auto&, auto& response) {
                response.status = m_isUp ? 200 : 503;
                response.set_content(m_isUp ? "ready\n" : "not ready\n", "text/plain");
            });
            server.Get("/v1/status",
                [this](const auto&, auto& response) { response.set_content(statusJson().dump(), jsonType); });
            server.Get("/metrics", [this](const auto&, auto& response) {
                const auto json = statusJson();
                auto out = prometheusValue(
                    "sequoia_agent_slots", "gauge", "Slots announced by the backend server.", json["slots"]);
                out += prometheusValue("sequoia_agent_running", "gauge", "Tasks running.", json["running"]);
                out += prometheusValue("sequoia_agent_links", "gauge", "Links to entries.", json["links"]);
                out += prometheusValue(
                    "sequoia_agent_records", "gauge", "Jobs remembered by the start-once gate.", json["records"]);
                out += prometheusValue("sequoia_link_bytes_sent_total", "counter", "Bytes of frames sent to entries.",
                    static_cast<double>(m_links.bytesSent()));
                out += prometheusValue("sequoia_link_bytes_received_total", "counter",
                    "Bytes of frames received from entries.", static_cast<double>(m_links.bytesReceived()));
                response.set_content(out, metricsType);
            });
        }

        void handleAnnouncement(const httplib::Request& request, httplib::Response& response)
        {
            const auto json = parseUntrusted(request.body);
            const auto reject = [&](const std::string& message) {
                response.status = 400;
                response.set_content(
                    Json { { "error", { { "code", "bad-announcement" }, { "message", message } } } }.dump(), jsonType);
            };
            if (!json.is_object())
                return reject("expected a JSON object");
            const auto address = json.value("address", Json());
            const auto slots = json.value("slots", Json());
            if (!address.is_string() || !isDialable(address.get<std::string>()))
                return reject("address: expected host:port");
            if (!slots.is_number_unsigned() || slots.get<uint64_t>() < 1
                || slots.get<uint64_t>() > static_cast<uint64_t>(m_settings.max_slots))
                return reject(fmt::format("slots: expected an integer between 1 and {}", m_settings.max_slots));
            const auto connections = json.value("connections", Json(m_settings.max_connections));
            if (!connections.is_number_integer() || connections.get<int64_t>() < 1
                || connections.get<int64_t>() > m_settings.max_connections)
                return reject(
                    fmt::format("connections: expected an integer between 1 and {}", m_settings.max_connections));
            m_pool.setAddress(address.get<std::string>());
            {
                const std::lock_guard lock(m_mutex);
                m_announcementExpires = Clock::now() + Milliseconds(m_settings.announce_ttl_ms);
            }
            m_control->send(BackendAnnouncedInput {
                static_cast<uint32_t>(std::min(slots.get<int64_t>(), connections.get<int64_t>())) });
            response.set_content(Json { { "ttlMs", m_settings.announce_ttl_ms } }.dump(), jsonType);
        }

        void setDraining(bool isDraining, const httplib::Request& request, httplib::Response& response)
        {
            if (!hasToken(request, response, m_settings.token))
                return;
            m_log.event(LogLevel::Info, isDraining ? "drain" : "resume", {});
            m_control->send(DrainInput { isDraining });
            response.set_content("{}", jsonType);
        }

        Json statusJson() const
        {
            Json out;
            m_control->inspect([&](AgentCore& core, TimePoint now) {
                const auto& health = core.health();
                const auto trial = std::max(toMilliseconds(health.nextTrial() - now), Milliseconds(0));
                out = { { "name", m_settings.name }, { "slots", core.slots() }, { "running", core.running() },
                    { "links", core.links() }, { "records", core.records() }, { "draining", core.isDraining() },
                    { "health", nameOf(health.health()) }, { "reason", health.reason() },
                    { "nextTrialMs", health.health() == Health::Quarantined ? trial.count() : 0 } };
            });
            return out;
        }

        /** Fetches the list of entries from a random known entry at intervals, and expires the announcement. */
        void runDiscovery()
        {
            std::mt19937_64 random(raw(m_incarnation));
            std::set<std::string> known(m_settings.entries.begin(), m_settings.entries.end());
            std::unique_lock lock(m_mutex);
            TimePoint next {};
            while (!m_isStopped) {
                if (m_announcementExpires != TimePoint() && Clock::now() > m_announcementExpires) {
                    m_announcementExpires = TimePoint();
                    m_control->send(BackendLeftInput { "announcement expired" });
                }
                if (Clock::now() >= next && !known.empty()) {
                    lock.unlock();
                    discover(known, random);
                    lock.lock();
                    next = Clock::now() + discoveryPeriod;
                }
                m_stopCondition.wait_for(lock, Milliseconds(m_settings.announce_ttl_ms) / 10);
            }
        }

        void discover(std::set<std::string>& known, std::mt19937_64& random) const
        {
            auto it = known.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(random() % known.size()));
            auto client = makeHttpClient(*it, discoveryTimeout);
            const auto reply = client.Get("/v1/links");
            const auto json = reply ? parseUntrusted(reply->body) : Json();
            if (!json.is_object()) {
                known = { m_settings.entries.begin(), m_settings.entries.end() };
                return;
            }
            DiscoveredInput found;
            const auto textOf = [](const Json& entry, const char* name) {
                const auto field = entry.is_object() ? entry.find(name) : entry.end();
                return field != entry.end() && field->is_string() ? field->get<std::string>() : std::string();
            };
            if (const auto entries = json.find("entries"); entries != json.end()) {
                for (const auto& entry : *entries) {
                    auto link = textOf(entry, "link");
                    auto http = textOf(entry, "http");
                    if (!isDialable(link) || !isDialable(http))
                        continue;
                    found.links.push_back(std::move(link));
                    known.insert(std::move(http));
                }
            }
            m_control->send(std::move(found));
        }

        const AgentSettings& m_settings;
        Log m_log;
        Incarnation m_incarnation;
        HttpService m_http;
        AgentCore m_core;
        std::optional<AgentControl> m_control;
        BackendPool m_pool;
        FailureGuard m_failures { {}, terminatingHooks(m_log) };
        LinkHub m_links;
        caf::actor_system& m_system;
        std::atomic<bool> m_isUp { false };
        std::mutex m_mutex;
        std::condition_variable m_stopCondition;
        bool m_isStopped = false;
        TimePoint m_announcementExpires {}; ///< When the announcement expires; zero if there is none.
        std::thread m_discovery;
    };

} // namespace

} // namespace sequoia

int main(int argc, char** argv)
{
    using namespace sequoia;
    const DaemonSpec<AgentSettings> spec { "sequoia-agent",
        "sequoia-agent: runs beside a backend server and starts tasks on it, each at most once.", agentSettingRows(),
        {}, "", { "http_address" } };
    return runDaemon<AgentSettings>(argc, argv, spec, [](caf::actor_system& system, const AgentSettings& settings) {
        return std::make_unique<AgentProcess>(system, settings);
    });
}
