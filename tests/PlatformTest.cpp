/** @file PlatformTest.cpp Runs the platform's entry and agent as real processes, with stand-ins for the store and for a
 * backend server. */
#include "PlatformStandins.h"

#include <Codec.h>

#include <sequoia/HttpService.h>

#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <spawn.h>
#include <sys/wait.h>

using namespace sequoia;
using namespace sequoia::testing;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds callTimeout { 5000 };

/** A process that is killed at the end of the test. */
class Program {
public:
    Program(const std::string& name, const std::vector<std::string>& settings)
    {
        std::vector<std::string> words { std::string(SEQUOIA_BIN) + "/" + name };
        for (const auto& setting : settings) {
            words.emplace_back("--set");
            words.push_back(setting);
        }
        std::vector<char*> argv;
        for (auto& word : words)
            argv.push_back(word.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        cr_assert_eq(posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ), 0);
        posix_spawn_file_actions_destroy(&actions);
    }
    ~Program()
    {
        if (m_pid > 0)
            end(SIGKILL);
    }
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;

    void signal(int number) const { kill(m_pid, number); }
    /** Sends a signal, waits for the end of the process and returns its wait status. */
    int end(int number)
    {
        kill(m_pid, number);
        int status = 0;
        waitpid(std::exchange(m_pid, 0), &status, 0);
        return status;
    }

private:
    pid_t m_pid = 0;
};

/** Stand-ins for the store and a backend server, which speak the platform's published protocol. */
class Standins {
public:
    Standins()
        : m_store(
            loop, {}, [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) { store(call, exchange); })
        , m_server(loop, {},
              [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) { server(call, exchange); })
    {
        storeAddress = m_store.listen("127.0.0.1:0");
        serverAddress = m_server.listen("127.0.0.1:0");
        loop.start();
    }
    ~Standins() { loop.stop(); }
    Standins(const Standins&) = delete;
    Standins& operator=(const Standins&) = delete;

    FailureGuard failures { {}, { [](std::string_view, const std::string&) {}, [] {}, Clock::now } };
    HttpLoop loop { failures };
    std::string storeAddress;
    std::string serverAddress;
    std::atomic<int> runMs { 50 };
    std::atomic<int> unansweredStarts { 0 }; ///< How many of the next starts run, but get no reply.
    std::atomic<bool> isStoreDown { false };
    std::atomic<int> starts { 0 };
    std::atomic<int> duplicateStarts { 0 }; ///< Starts of a task that is already running.
    std::atomic<int> maxCpuInUse { 0 }; ///< Maximum of the processors in use, thousandths.

private:
    struct Run {
        int cpu = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    static void reply(const HttpExchangePtr& exchange, const Json& body, int status = 200)
    {
        exchange->reply({ status, body.dump(), "application/json", {} });
    }

    void runAfter(Milliseconds time, std::function<void()> what)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(loop.context(), time);
        timer->async_wait([timer, what = std::move(what)](const auto&) { what(); });
    }

    void store(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        if (isStoreDown)
            return reply(exchange, Json::object(), 503);
        if (call.target.starts_with("/sequoiafold/kv-range")) {
            auto items = Json::array();
            if (call.target.find("config") != std::string::npos) {
                const Json configuration { { "version", 3 },
                    { "routes",
                        Json::array({ { { "name", "r" }, { "host", "h.example" }, { "prefix", "/p/" }, { "slo_ms", 60 },
                            { "service", "s" }, { "max_attempts", 4 }, { "stretch", 1.6 } } }) } };
                // The codec encodes values as the store returns them.
                const auto put = Json::parse(platform::encodePut("op/config", configuration.dump(), StoreLease(0)));
                items.push_back({ { "key", "op/config" }, { "value", put["writes"][0]["value"] }, { "revision", 5 } });
            }
            if (call.target.find("entries") != std::string::npos) {
                // Malformed items of other writers: no JSON, a field of another type, unusable addresses.
                const auto deep = R"({"link":)" + std::string(100000, '[') + std::string(100000, ']') + "}";
                for (const std::string& value : { std::string("x"), std::string(R"({"link":7})"),
                         std::string(R"({"link":"nowhere:1","peers":"nowhere:1"})"),
                         std::string(R"({"link":"127.0.0.1:0","peers":"127.0.0.1:99999999999999999999"})"),
                         std::string(R"({"link":1e400})"), std::string("\xff\x00", 2), deep }) {
                    const auto key = fmt::format("sequoia/entries/stranger{}", items.size());
                    const auto put = Json::parse(platform::encodePut(key, value, StoreLease(0)));
                    items.push_back({ { "key", key }, { "value", put["writes"][0]["value"] }, { "revision", 5 } });
                }
            }
            // Rows that can't be read.
            items.push_back(7);
            items.push_back({ { "key", 7 }, { "value", "eA==" }, { "revision", 5 } });
            items.push_back({ { "key", "sequoia/odd" }, { "value", "*" }, { "revision", 5 } });
            items.push_back({ { "key", "sequoia/odd" }, { "value", "eA==" }, { "revision", -1 } });
            return reply(exchange, { { "items", items }, { "truncated", false }, { "current_rev", 5 } });
        }
        if (call.target.starts_with("/sequoiafold/kv-watch")) {
            runAfter(Milliseconds(300), [exchange] {
                reply(exchange, { { "events", Json::array() }, { "current_rev", 5 } });
            });
            return;
        }
        reply(exchange, { { "lease", 1 }, { "ttl_ms", 6000 }, { "revision", 6 } });
    }

    Json listing(uint64_t seen)
    {
        while (!m_ended.empty() && m_ended.front()[0].get<uint64_t>() <= seen)
            m_ended.erase(m_ended.begin());
        auto running = Json::array();
        for (const auto& [task, run] : m_runs)
            running.push_back({ task.first, task.second, "", 100 });
        return { { "clock_ms", toMilliseconds(Clock::now().time_since_epoch()).count() }, { "born", 1 },
            { "running", running }, { "ended", m_ended } };
    }

    void endRun(const std::pair<std::string, int>& id, const char* how)
    {
        if (m_runs.erase(id) == 0)
            return;
        m_endedRuns.insert(id);
        m_ended.push_back({ ++m_lastEnd, id.first, id.second, how, "" });
        for (const auto& poll : std::exchange(m_pendingPolls, {}))
            reply(poll, listing(m_pollSeenUpTo));
    }

    void server(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        const auto body = Json::parse(call.body);
        const auto fence = body.value("fence", int64_t(0));
        if (fence < m_highestFence) {
            const auto clock = toMilliseconds(Clock::now().time_since_epoch()).count();
            return reply(exchange, { { "clock_ms", clock }, { "reason", "fence" } }, 409);
        }
        m_highestFence = fence;
        if (call.target == "/sequoiafold/hold") {
            m_pollSeenUpTo = body.value("seen_upto", uint64_t(0));
            m_pendingPolls.insert(exchange);
            const auto answer = [this, exchange] {
                if (m_pendingPolls.erase(exchange) > 0)
                    reply(exchange, listing(m_pollSeenUpTo));
            };
            if (!m_ended.empty() && m_ended.back()[0].get<uint64_t>() > m_pollSeenUpTo)
                answer();
            else
                runAfter(Milliseconds(body.value("wait_ms", 0)), answer);
            return;
        }
        const std::pair id { body["task"].get<std::string>(), body["run"].get<int>() };
        if (call.target == "/sequoiafold/run-stop") {
            m_stoppedRuns.insert(id);
            runAfter(Milliseconds(20), [this, id] { endRun(id, "stopped"); });
            return reply(exchange, { { "clock_ms", 1 } });
        }
        if (m_runs.contains(id)) // A repeated call: the server answers as to the first one and starts nothing.
            return reply(exchange, { { "clock_ms", toMilliseconds(Clock::now().time_since_epoch()).count() } });
        if (m_stoppedRuns.contains(id) || m_endedRuns.contains(id))
            return reply(exchange, { { "clock_ms", 1 }, { "reason", "old" } }, 409);
        for (const auto& [other, run] : m_runs)
            duplicateStarts += other.first == id.first ? 1 : 0;
        ++starts;
        m_runs[id] = { 1000, nullptr };
        maxCpuInUse = std::max(maxCpuInUse.load(), static_cast<int>(m_runs.size()) * 1000);
        runAfter(Milliseconds(runMs), [this, id] { endRun(id, "done"); });
        if (unansweredStarts > 0) {
            --unansweredStarts;
            m_unansweredExchanges.push_back(exchange);
            return;
        }
        reply(exchange, { { "clock_ms", toMilliseconds(Clock::now().time_since_epoch()).count() } });
    }

    AsyncHttpServer m_store;
    AsyncHttpServer m_server;
    std::map<std::pair<std::string, int>, Run> m_runs;
    /** Higher than the agent's first fence, as after an earlier agent process whose clock was ahead. */
    int64_t m_highestFence = 2 * toMilliseconds(Clock::now().time_since_epoch()).count();
    std::set<std::pair<std::string, int>> m_stoppedRuns;
    std::set<std::pair<std::string, int>> m_endedRuns;
    std::vector<Json> m_ended;
    uint64_t m_lastEnd = 0;
    std::set<HttpExchangePtr> m_pendingPolls;
    uint64_t m_pollSeenUpTo = 0;
    std::vector<HttpExchangePtr> m_unansweredExchanges;
};

/** One entry and one agent with the stand-ins and a caller. */
class Deployment {
public:
    Deployment()
    {
        startAgent();
        startEntry();
        m_pings = std::thread([this] {
            AsyncHttpClient client(platform.loop, m_pingAddress.text, 2);
            for (uint64_t sequence = 1; !m_isDone; ++sequence) {
                const Json ping { { "service", "s" }, { "address", platform.serverAddress }, { "state", "ready" },
                    { "capacity", { { "cpu", 8000 }, { "mem_mb", 1000 }, { "gpu", 0 } } }, { "labels", { "a" } },
                    { "born", 1 }, { "seq", sequence } };
                client.call({ "PUT", "/sequoiafold/instances/i-1", ping.dump(), {} }, Milliseconds(200), [](auto) {});
                std::this_thread::sleep_for(Milliseconds(50));
            }
        });
        m_client.emplace(platform.loop, m_callersAddress.text, 64);
        waitReady();
    }
    ~Deployment()
    {
        m_isDone = true;
        m_pings.join();
        agent.reset();
        entry.reset();
    }
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    void startEntry()
    {
        entry.emplace("sequoia-platform-entry",
            std::vector<std::string> { "name=entry1", "callers_address=" + m_callersAddress.text,
                "readiness_address=" + m_readinessAddress.text, "peers_address=" + m_peersAddress.text,
                "link_address=" + m_linkAddress.text, "store_address=" + platform.storeAddress, "rotation_ms=200",
                "stop_timeout_ms=2500" });
    }
    void startAgent()
    {
        agent.emplace("sequoia-platform-agent",
            std::vector<std::string> { "name=agent1", "pings_address=" + m_pingAddress.text,
                "server_address=" + platform.serverAddress, "store_address=" + platform.storeAddress,
                "seeds=" + m_peersAddress.text, fmt::format("link_port={}", m_linkAddress.port) });
    }

    /** Waits until the entry reports that it is ready. */
    void waitReady()
    {
        AsyncHttpClient readiness(platform.loop, m_readinessAddress.text, 1);
        for (const auto until = Clock::now() + std::chrono::seconds(20); Clock::now() < until;) {
            std::promise<int> status;
            readiness.call({ "GET", "/ready", "", {} }, Milliseconds(500), [&](const HttpResult& result) {
                const auto* reply = std::get_if<HttpReply>(&result);
                status.set_value(reply == nullptr ? 0 : reply->status);
            });
            if (status.get_future().get() == 200)
                return;
            std::this_thread::sleep_for(Milliseconds(20));
        }
        cr_assert_fail("the entry must be ready within 20 s");
    }

    std::future<HttpResult> send(const std::string& method, const std::string& path, const std::string& body)
    {
        auto done = std::make_shared<std::promise<HttpResult>>();
        m_client->call({ method, path, body, { { "Host", "h.example" }, { "Deadline-Ms", "4000" } } }, callTimeout,
            [done](HttpResult result) { done->set_value(std::move(result)); });
        return done->get_future();
    }

    static std::string job(int tasks)
    {
        return fmt::format(
            R"({{"spec":"x","best_effort":true,"steps":[{{"count":{},"cpu":1000,"mem_mb":10,"estimate_ms":50}}]}})",
            tasks);
    }

    Standins platform;
    std::optional<Program> entry;
    std::optional<Program> agent;

private:
    ReservedAddress m_callersAddress;
    ReservedAddress m_readinessAddress;
    ReservedAddress m_peersAddress;
    ReservedAddress m_linkAddress;
    ReservedAddress m_pingAddress;
    std::optional<AsyncHttpClient> m_client;
    std::atomic<bool> m_isDone { false };
    std::thread m_pings;
};

} // namespace

Test(Platform, servesJobsWithinServerCapacity, .timeout = 60)
{
    Deployment deployment;
    std::vector<std::future<HttpResult>> answers;
    for (int i = 0; i < 20; ++i)
        answers.push_back(deployment.send("POST", fmt::format("/p/{:016x}", i), Deployment::job(3)));
    for (auto& answer : answers) {
        const auto result = answer.get();
        cr_expect_eq(statusOf(result), 200, "%s", bodyOf(result).c_str());
        cr_expect_eq(bodyOf(result), "{\"state\":\"succeeded\"}");
    }
    cr_expect_eq(deployment.platform.starts, 60);
    cr_expect_leq(deployment.platform.maxCpuInUse, 8000);
}

struct RequestRow {
    char name[32];
    char method[8];
    char path[32];
    char body[64];
    int status;
};

ParameterizedTestParameters(Platform, answersEachRequest)
{
    static RequestRow rows[] = {
        { "no such route", "POST", "/q/0000000000000001", "{}", 404 },
        { "no job id", "POST", "/p/1", "{}", 400 },
        { "malformed JSON", "POST", "/p/0000000000000001", "x", 400 },
        { "a job without best_effort", "POST", "/p/0000000000000001", "{\"steps\":[{}]}", 503 },
        { "an unknown job", "GET", "/p/0000000000000001", "", 410 },
        { "cancelling an unknown job", "DELETE", "/p/0000000000000001", "", 410 },
        { "waiting jobs", "GET", "/p/", "", 200 },
        { "another method", "PATCH", "/p/0000000000000001", "", 405 },
    };
    return cr_make_param_array(RequestRow, rows, sizeof(rows) / sizeof(RequestRow));
}

ParameterizedTest(RequestRow* row, Platform, answersEachRequest, .timeout = 60)
{
    Deployment deployment;
    const auto result = deployment.send(row->method, row->path, row->body).get();
    cr_expect_eq(statusOf(result), row->status, "%s: %d %s", row->name, statusOf(result), bodyOf(result).c_str());
}

/** Starts whose reply is lost do run: their tasks must neither be lost nor started again while they run. */
Test(Platform, unansweredStartsNeitherLoseNorDuplicateTasks, .timeout = 60)
{
    Deployment deployment;
    deployment.platform.unansweredStarts = 3;
    deployment.platform.runMs = 200;
    const auto result = deployment.send("POST", "/p/00000000000000aa", Deployment::job(4)).get();
    cr_expect_eq(statusOf(result), 200, "%s", bodyOf(result).c_str());
    cr_expect_eq(deployment.platform.duplicateStarts, 0);
}

/** An entry that is stopped must answer the jobs that it has accepted and that end within the stop time-out. */
Test(Platform, stoppingEntryAnswersAcceptedJobs, .timeout = 60)
{
    Deployment deployment;
    deployment.platform.runMs = 800;
    auto answer = deployment.send("POST", "/p/00000000000000ab", Deployment::job(2));
    while (deployment.platform.starts < 2)
        std::this_thread::sleep_for(Milliseconds(5));
    auto ended = std::async(std::launch::async, [&] { return deployment.entry->end(SIGTERM); });
    const auto result = answer.get();
    cr_expect_eq(statusOf(result), 200, "%s", bodyOf(result).c_str());
    cr_expect_eq(ended.get(), 0, "the entry must exit with code 0");
}

/** A stopping entry must refuse new jobs without running them, and answer 504 for a job that outlasts the time-out. */
Test(Platform, stoppingEntryRefusesNewJobsAndAnswersOpenOnes, .timeout = 60)
{
    Deployment deployment;
    deployment.platform.runMs = 30000;
    auto endless = deployment.send("POST", "/p/00000000000000ac", Deployment::job(1));
    while (deployment.platform.starts < 1)
        std::this_thread::sleep_for(Milliseconds(5));
    auto ended = std::async(std::launch::async, [&] { return deployment.entry->end(SIGTERM); });
    std::this_thread::sleep_for(Milliseconds(600)); // Longer than rotation_ms, which is 200 here.
    const auto late = deployment.send("POST", "/p/00000000000000ad", Deployment::job(1)).get();
    cr_expect_eq(statusOf(late), 503, "%d %s", statusOf(late), bodyOf(late).c_str());
    const auto result = endless.get();
    cr_expect_eq(statusOf(result), 504, "%d %s", statusOf(result), bodyOf(result).c_str());
    cr_expect_eq(ended.get(), 0);
    cr_expect_eq(deployment.platform.starts, 1, "the refused job must not run");
}

/** Malformed items of other writers under the store prefix of the entries must not stop an entry. */
Test(Platform, malformedStoreItemsDoNotStopAnEntry, .timeout = 60)
{
    Deployment deployment;
    // While the store is down, the entry asks other entries for the configuration. Their addresses came from the store;
    // some of them are bad.
    deployment.platform.isStoreDown = true;
    constexpr Milliseconds outage { 2500 };
    std::this_thread::sleep_for(outage);
    const auto result = deployment.send("POST", "/p/00000000000000aa", Deployment::job(2)).get();
    cr_expect_eq(statusOf(result), 200, "%s", bodyOf(result).c_str());
}

/** An agent that restarts while the store is down must be linked again, and no task may be started twice. */
Test(Platform, agentRestartsDuringAStoreOutage, .timeout = 90)
{
    Deployment deployment;
    deployment.platform.isStoreDown = true;
    deployment.agent->end(SIGKILL);
    deployment.startAgent();
    HttpResult result;
    // Jobs are refused, and not run, until the new agent is linked.
    for (int i = 0; i < 200 && statusOf(result) != 200; ++i) {
        result = deployment.send("POST", fmt::format("/p/{:016x}", 0x100 + i), Deployment::job(2)).get();
        cr_expect(
            statusOf(result) == 200 || statusOf(result) == 503, "%d %s", statusOf(result), bodyOf(result).c_str());
    }
    cr_expect_eq(statusOf(result), 200, "%s", bodyOf(result).c_str());
    cr_expect_eq(deployment.platform.duplicateStarts, 0);
}
