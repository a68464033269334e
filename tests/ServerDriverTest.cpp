/** @file ServerDriverTest.cpp Calls of the platform's server driver to a backend server on another thread. */
#include <ServerDriver.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

using namespace sequoia;
using namespace sequoia::platform;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds callTimeout { 5000 };

/** A server that notes the end of the last lease that it was given, and a driver for it. */
class Fixture {
public:
    Fixture()
    {
        address = server.listen("127.0.0.1:0");
        serverLoop.start();
        agentLoop.start();
        driver = std::make_unique<ServerDriver>(agentLoop, address, 4, log,
            ServerResultHooks { [this](RunId, StartOutcome outcome) { started.set_value(outcome); }, {},
                [this](uint64_t, PollOutcome outcome, Listing) { std::exchange(polled, {}).set_value(outcome); },
                suspendAwareNow });
        poll(std::nullopt); // Its answer has the server's clock.
    }
    ~Fixture()
    {
        agentLoop.stop();
        serverLoop.stop();
    }
    Fixture(const Fixture&) = delete;
    Fixture& operator=(const Fixture&) = delete;

    /** The agent's HTTP thread sends nothing for this time. */
    void holdCalls(Milliseconds duration)
    {
        std::promise<void> isHeld;
        agentLoop.post([&] {
            isHeld.set_value();
            std::this_thread::sleep_for(duration);
        });
        isHeld.get_future().wait();
    }

    PollOutcome poll(std::optional<TimePoint> leaseEnd, const std::string& instance = "")
    {
        auto answered = polled.get_future();
        driver->poll({ 1, 0, leaseEnd, Milliseconds(0), callTimeout, 0, instance });
        return answered.get();
    }

    StartOutcome start(TimePoint leaseEnd)
    {
        auto answered = started.get_future();
        driver->start(
            { { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(1) }, "", "", 1, 0, leaseEnd, callTimeout });
        return answered.get();
    }

    Milliseconds serverClock() const { return toMilliseconds(suspendAwareNow() - serverStart); }

    /** End of the lease in the last call, by the server's clock; zero if it had none. */
    std::atomic<int64_t> until { 0 };

private:
    void serve(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        const auto expected = call.header("expect-instance");
        if (!expected.empty() && expected != "i-1")
            return exchange->reply({ 421, R"({"clock_ms":1000,"born":1})", "application/json", {} });
        until = Json::parse(call.body).value("until_ms", int64_t(0));
        const Json reply { { "clock_ms", serverClock().count() }, { "born", 1 }, { "running", Json::array() },
            { "ended", Json::array() } };
        exchange->reply({ 200, reply.dump(), "application/json", {} });
    }

    const TimePoint serverStart = suspendAwareNow() - Milliseconds(1000);
    FailureGuard failures { {}, { [](std::string_view, const std::string&) {}, [] {}, Clock::now } };
    Log log { "test", LogLevel::Error, 0 };
    HttpLoop serverLoop { failures };
    HttpLoop agentLoop { failures };
    std::string address;
    AsyncHttpServer server { serverLoop, {},
        [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) { serve(call, exchange); } };
    std::promise<StartOutcome> started;
    std::promise<PollOutcome> polled;
    std::unique_ptr<ServerDriver> driver;
};

struct HeldCallRow {
    char name[40];
    bool isStart; ///< Otherwise a poll.
    int heldMs;
    int leaseMs;
    bool hasLease; ///< The call reaches the server with a lease.
};

} // namespace

ParameterizedTestParameters(ServerDriver, callsThatAreSentLateGrantShorterLeases)
{
    static HeldCallRow rows[] = {
        { "start, sent at once", true, 0, 5000, true },
        { "start, held up", true, 300, 5000, true },
        { "start, held up beyond its lease", true, 300, 100, false },
        { "poll, sent at once", false, 0, 5000, true },
        { "poll, held up", false, 300, 5000, true },
        { "poll, held up beyond its lease", false, 300, 100, false },
    };
    return cr_make_param_array(HeldCallRow, rows, sizeof(rows) / sizeof(HeldCallRow));
}

ParameterizedTest(HeldCallRow* row, ServerDriver, callsThatAreSentLateGrantShorterLeases, .timeout = 30)
{
    Fixture fixture;
    fixture.holdCalls(Milliseconds(row->heldMs));
    const Milliseconds lease { row->leaseMs };
    const auto leaseEnd = suspendAwareNow() + lease;
    const auto endByServer = fixture.serverClock() + lease;
    if (row->isStart)
        cr_expect_eq(fixture.start(leaseEnd) == StartOutcome::Started, row->hasLease, "%s", row->name);
    else
        fixture.poll(leaseEnd);
    cr_expect_eq(fixture.until > 0, row->hasLease, "%s", row->name);
    cr_expect_leq(fixture.until.load(), endByServer.count(), "%s: no later than the agent reckons with", row->name);
}

namespace {

/** A process of a backend server. Its connections are closed when it ends. */
class ServerProcess {
public:
    ServerProcess(const std::string& listenAddress, int64_t startedMs)
        : m_startedMs(startedMs)
        , address(m_server.listen(listenAddress))
    {
        m_loop.start();
    }
    ~ServerProcess() { m_loop.stop(); }
    ServerProcess(const ServerProcess&) = delete;
    ServerProcess& operator=(const ServerProcess&) = delete;

    std::atomic<int> starts { 0 };

private:
    void serve(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        const auto body = Json::parse(call.body);
        starts += body.contains("task") ? 1 : 0;
        const Json reply { { "clock_ms", 1000 }, { "born", m_startedMs }, { "running", Json::array() },
            { "ended", Json::array() } };
        if (body.value("wait_ms", 0) == 0)
            exchange->reply({ 200, reply.dump(), "application/json", {} });
        else
            m_waiting.push_back(exchange);
    }

    int64_t m_startedMs;
    FailureGuard m_failures { {}, { [](std::string_view, const std::string&) {}, [] {}, Clock::now } };
    HttpLoop m_loop { m_failures };
    std::vector<HttpExchangePtr> m_waiting;
    AsyncHttpServer m_server { m_loop, {},
        [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) { serve(call, exchange); } };

public:
    std::string address;
};

struct NextProcessRow {
    char name[64];
    bool isReplaced; ///< Another process of the server, started at 2 ms, takes the place of the first one, of 1 ms.
    bool isPolled; ///< The present process has answered a poll.
    bool isPollWaiting; ///< A poll holds the only connection.
    int64_t startedMs; ///< Process that the start is meant for.
    bool isSent;
};

} // namespace

ParameterizedTestParameters(ServerDriver, startsReachNoOtherProcessOfTheServer)
{
    static NextProcessRow rows[] = {
        { "same process, idle connection", false, true, false, 1, true },
        { "same process, new connection", false, true, true, 1, true },
        { "next process, not polled yet", true, false, false, 1, false },
        { "next process, polled, start for the one before", true, true, false, 1, false },
        { "next process, polled, start for it", true, true, false, 2, true },
        { "next process, polled, start for it, new connection", true, true, true, 2, true },
    };
    return cr_make_param_array(NextProcessRow, rows, sizeof(rows) / sizeof(NextProcessRow));
}

// A server that is replaced under the same id and address may have other labels, and knows no fence: a start that was
// ordered by what is known of the process before must not reach it.
ParameterizedTest(NextProcessRow* row, ServerDriver, startsReachNoOtherProcessOfTheServer, .timeout = 30)
{
    FailureGuard failures { {}, { [](std::string_view, const std::string&) {}, [] {}, Clock::now } };
    Log log { "test", LogLevel::Error, 0 };
    HttpLoop loop { failures };
    loop.start();
    auto process = std::make_unique<ServerProcess>("127.0.0.1:0", 1);
    const auto address = process->address;
    std::promise<StartOutcome> started;
    std::promise<PollOutcome> polled;
    ServerDriver driver(loop, address, 4, log,
        ServerResultHooks { [&](RunId, StartOutcome outcome) { started.set_value(outcome); }, {},
            [&](uint64_t, PollOutcome outcome, Listing) { std::exchange(polled, {}).set_value(outcome); },
            suspendAwareNow });
    const auto poll = [&] {
        auto answered = polled.get_future();
        driver.poll({ 1, 0, std::nullopt, Milliseconds(0), callTimeout, 0, "" });
        cr_assert(answered.get() == PollOutcome::Listed, "%s", row->name);
    };
    poll();
    if (row->isReplaced) {
        process.reset();
        process = std::make_unique<ServerProcess>(address, 2);
    }
    if (row->isPolled)
        poll();
    if (row->isPollWaiting)
        driver.poll({ 2, 0, std::nullopt, Milliseconds(1000), callTimeout, 0, "" });
    auto answered = started.get_future();
    driver.start({ { { WorkId(1), StepIndex(0), TaskIndex(0) }, RunNumber(1) }, "", "i-1", row->startedMs, 0,
        suspendAwareNow() + callTimeout, callTimeout });
    const auto outcome = answered.get();
    cr_expect_eq(outcome == StartOutcome::Started, row->isSent, "%s", row->name);
    cr_expect(row->isSent || outcome == StartOutcome::Unreachable, "%s: certain that it has not run", row->name);
    cr_expect_eq(process->starts.load(), row->isSent ? 1 : 0, "%s", row->name);
    loop.stop();
}

Test(ServerDriver, pollTellsWhetherTheServerHasTheExpectedId, .timeout = 30)
{
    Fixture fixture;
    cr_expect(fixture.poll(std::nullopt) == PollOutcome::Listed);
    cr_expect(fixture.poll(std::nullopt, "i-1") == PollOutcome::Listed);
    cr_expect(fixture.poll(std::nullopt, "i-odd") == PollOutcome::OtherInstance);
}
