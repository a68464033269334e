/** @file StandinBackend.cpp sequoia-standin-backend: a backend server for tests, which sleeps for the run time of a
 * task and records all starts. */
#include "HttpCommon.h"

#include <sequoia/CommandLine.h>
#include <sequoia/Ids.h>

#include <boost/program_options.hpp>
#include <condition_variable>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace sequoia {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds announcePeriod { 1000 };
    constexpr Milliseconds agentTimeout { 1000 };
    constexpr int statusFailed = 500;

    /** How the backend server treats tasks. */
    enum class Mode : uint8_t {
        Good,
        Fail, ///< Fails every task at once.
        Stall ///< Accepts tasks, but does not answer them until the mode changes.
    };

    struct BackendOptions {
        std::string listen;
        std::string agent;
        unsigned slots = 0;
        unsigned connections = 0;
        double slowness = 1.0;
    };

    /** The HTTP server, and the thread that announces it to its agent. */
    class BackendServer {
    public:
        BackendServer(Log& log, BackendOptions options)
            : m_options(std::move(options))
            , m_http({})
        {
            auto& server = m_http.server();
            addCommonHandlers(server, log, "");
            server.Post("/run", [this](const auto& request, auto& response) { runTask(request, response); });
            server.Post("/standin/mode", [this](const auto& request, auto& response) { setMode(request, response); });
            server.Get("/standin/starts",
                [this](const auto& request, auto& response) { response.set_content(starts(request), jsonType); });
            m_address = m_http.start(m_options.listen);
            m_announcer = std::thread([this] { runAnnouncements(); });
            log.event(LogLevel::Info, "listening", { { "http", m_address } });
        }

        ~BackendServer()
        {
            {
                const std::lock_guard lock(m_mutex);
                m_isStopped = true;
            }
            m_changed.notify_all();
            m_announcer.join();
            postToAgent("/v1/backend/leave");
            m_http.stop();
        }
        BackendServer(const BackendServer&) = delete;
        BackendServer& operator=(const BackendServer&) = delete;

    private:
        void runTask(const httplib::Request& request, httplib::Response& response)
        {
            const auto task = request.get_header_value("X-Sequoia-Task");
            const auto json = Json::parse(request.body, nullptr, false);
            const auto run = json.is_object() ? json.value("runMs", 0) : 0;
            std::unique_lock lock(m_mutex);
            m_starts.push_back(task);
            m_lastStart = Clock::now();
            m_changed.wait(lock, [&] { return m_running < m_options.slots || m_isStopped; });
            ++m_running;
            const auto until
                = Clock::now() + toMicroseconds(std::chrono::duration<double, std::milli>(run * m_options.slowness));
            const bool hasFailed = m_mode == Mode::Fail;
            if (!hasFailed)
                m_changed.wait_until(lock, until, [&] { return m_isStopped; });
            m_changed.wait(lock, [&] { return m_mode != Mode::Stall || m_isStopped; });
            --m_running;
            m_changed.notify_all();
            if (hasFailed) {
                response.status = statusFailed;
                response.set_content("the backend server is set to fail every task", "text/plain");
                return;
            }
            response.set_content(json.is_object() ? json.value("token", "") : "", "text/plain");
        }

        void setMode(const httplib::Request& request, httplib::Response& response)
        {
            const auto mode = Json::parse(request.body, nullptr, false).value("mode", "");
            {
                const std::lock_guard lock(m_mutex);
                if (mode == "fail")
                    m_mode = Mode::Fail;
                else if (mode == "stall")
                    m_mode = Mode::Stall;
                else
                    m_mode = Mode::Good;
                m_isAnnounced = mode != "leave";
            }
            m_changed.notify_all();
            if (mode == "leave")
                postToAgent("/v1/backend/leave");
            response.set_content("{}", jsonType);
        }

        /** Lists the task ids of all starts from position `from` on, in order. */
        std::string starts(const httplib::Request& request)
        {
            const auto from = std::strtoull(request.get_param_value("from").c_str(), nullptr, 10);
            const std::lock_guard lock(m_mutex);
            auto list = Json::array();
            for (size_t i = from; i < m_starts.size(); ++i)
                list.push_back(m_starts[i]);
            const auto idle = toMilliseconds(Clock::now() - m_lastStart);
            return Json {
                { "life", m_incarnation }, { "starts", std::move(list) }, { "sinceLastStartMs", idle.count() }
            }.dump();
        }

        void postToAgent(const char* path) const
        {
            auto client = makeHttpClient(m_options.agent, agentTimeout);
            const Json body { { "address", m_address }, { "slots", m_options.slots },
                { "connections", m_options.connections } };
            client.Post(path, body.dump(), jsonType);
        }

        void runAnnouncements()
        {
            std::unique_lock lock(m_mutex);
            while (!m_isStopped) {
                if (m_isAnnounced) {
                    lock.unlock();
                    postToAgent("/v1/backend/announce");
                    lock.lock();
                }
                m_announceCondition.wait_for(lock, announcePeriod, [&] { return m_isStopped; });
            }
        }

        BackendOptions m_options;
        HttpService m_http;
        std::string m_address;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::condition_variable m_announceCondition;
        std::vector<std::string> m_starts; ///< Task ids in the order of the starts.
        std::string m_incarnation = fmt::format("{:016x}", raw(drawIncarnation())); ///< New in each process.
        TimePoint m_lastStart {};
        unsigned m_running = 0;
        Mode m_mode = Mode::Good;
        bool m_isAnnounced = true;
        bool m_isStopped = false;
        std::thread m_announcer;
    };

    int run(int argc, char** argv)
    {
        namespace options = boost::program_options;
        BackendOptions parsed;
        options::options_description all("sequoia-standin-backend: a backend server for tests\n\nOptions");
        // clang-format off
    all.add_options()
        ("help,h", "show this text")
        ("listen", options::value(&parsed.listen)->default_value("127.0.0.1:0"), "address; port 0 picks a free one")
        ("agent", options::value(&parsed.agent)->required(), "HTTP address of its agent")
        ("slots", options::value(&parsed.slots)->default_value(8), "tasks that run at the same time")
        ("connections", options::value(&parsed.connections)->default_value(64), "connections that it accepts")
        ("slowness", options::value(&parsed.slowness)->default_value(1.0), "factor on the run time of each task");
        // clang-format on
        options::variables_map values;
        try {
            options::store(options::parse_command_line(argc, argv, all), values);
            if (values.contains("help")) {
                std::cout << all;
                return toInt(ExitCode::Ok);
            }
            options::notify(values);
        } catch (const options::error& error) {
            fmt::print(stderr, "{}: {}; see --help\n", argv[0], error.what());
            return toInt(ExitCode::Usage);
        }
        blockStopSignals();
        constexpr size_t ringSize = 1000;
        Log log("backend", LogLevel::Info, ringSize);
        BackendServer server(log, parsed);
        waitForStopSignal();
        return toInt(ExitCode::Ok);
    }

} // namespace

} // namespace sequoia

int main(int argc, char** argv) { return sequoia::run(argc, argv); }
