/** @file PlumbingTest.cpp Tests of HTTP, control thread, error handling, log output, dialer and settings files. */
#include "ServerLimits.h"

#include <sequoia/AsyncHttp.h>
#include <sequoia/ControlThread.h>
#include <sequoia/Dialer.h>
#include <sequoia/HttpService.h>
#include <sequoia/LineWriter.h>
#include <sequoia/Link.h>
#include <sequoia/Registration.h>
#include <sequoia/RouteTable.h>
#include <sequoia/SettingsFile.h>
#include <sequoia/StoreWatcher.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <sys/socket.h>
#include <unistd.h>

using namespace sequoia;

namespace {

/** TCP connection for requests that no HTTP library would send. */
class RawConnection {
public:
    explicit RawConnection(const std::string& address)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto parts = splitAddress(address);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<uint16_t>(parts->second));
        inet_pton(AF_INET, parts->first.c_str(), &to.sin_addr);
        cr_assert_eq(connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
        timeval timeout { 5, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }
    ~RawConnection() { close(m_socket); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    void send(const std::string& text) const { ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }
    void closeWriting() const { shutdown(m_socket, SHUT_WR); }
    /** Reads what comes next; empty if the server closes the connection. */
    std::string readSome() const
    {
        char buf[4096];
        const auto n = recv(m_socket, buf, sizeof(buf), 0);
        return { buf, static_cast<size_t>(std::max<ssize_t>(n, 0)) };
    }
    /** Reads until the server closes the connection. */
    std::string readAll() const
    {
        std::string out;
        char buf[4096];
        for (ssize_t n = 0; (n = recv(m_socket, buf, sizeof(buf), 0)) > 0;)
            out.append(buf, static_cast<size_t>(n));
        return out;
    }

private:
    int m_socket;
};

AsyncHttpLimits smallLimits()
{
    AsyncHttpLimits limits;
    limits.maxHeaderBytes = 1024;
    limits.maxBodyBytes = 100;
    limits.idleTimeout = Milliseconds(2000);
    limits.readTimeout = Milliseconds(300);
    limits.arrivalPeriod = Milliseconds(1000); // Longer than any pause of a busy machine.
    return limits;
}

/** FailureGuard that records the places of the errors it has caught. */
class FailureRecorder {
public:
    FailureGuard& guard() { return m_guard; }
    std::vector<std::string> places() const
    {
        const std::lock_guard lock(m_mutex);
        return m_places;
    }
    std::atomic<int> givenUp { 0 };
    TimePoint now {};

private:
    void record(std::string_view place)
    {
        const std::lock_guard lock(m_mutex);
        m_places.emplace_back(place);
    }

    mutable std::mutex m_mutex;
    std::vector<std::string> m_places;
    FailureGuard m_guard { { 3, Milliseconds(1000) },
        { [this](std::string_view place, const std::string&) { record(place); }, [this] { ++givenUp; },
            [this] { return now; } } };
};

/** Server that returns the request, never replies on its own to /wait, and throws at /throw. */
class EchoServer {
public:
    EchoServer()
        : m_server(loop, smallLimits(), [this](const HttpServerRequest& call, const HttpExchangePtr& exchange) {
            if (call.target == "/wait") {
                exchange->onDisconnect([this] { disconnected.set_value(); });
                pendingExchange = exchange;
                arrived.set_value();
                return;
            }
            lastArrival = call.arrival;
            if (call.target == "/throw")
                throw std::runtime_error("a handler's error");
            exchange->reply({ 200, call.method + " " + call.target + " " + call.body, "text/plain", {} });
        })
    {
        address = m_server.listen("127.0.0.1:0");
        loop.start();
    }
    ~EchoServer() { loop.stop(); }
    EchoServer(const EchoServer&) = delete;
    EchoServer& operator=(const EchoServer&) = delete;

    FailureRecorder failures;
    HttpLoop loop { failures.guard() };
    std::string address;
    std::promise<void> disconnected;
    std::promise<void> arrived;
    HttpExchangePtr pendingExchange;
    TimePoint lastArrival {}; ///< Of the last request but /wait; set on the loop's thread, before the reply.
    AsyncHttpServer& server() { return m_server; }

private:
    AsyncHttpServer m_server;
};

HttpResult callAndWait(AsyncHttpClient& client, HttpRequest request, Milliseconds timeout)
{
    std::promise<HttpResult> done;
    client.call(std::move(request), timeout, [&](HttpResult result) { done.set_value(std::move(result)); });
    return done.get_future().get();
}

} // namespace

struct BadRequestRow {
    char name[24];
    char text[64];
    int fill; ///< Bytes of 'a' inserted at `%`.
    char status[8]; ///< Expected status; empty if the connection must be closed without a reply.
};

ParameterizedTestParameters(AsyncHttp, answersBadRequests)
{
    static BadRequestRow rows[] = {
        { "malformed request", "nonsense\r\n\r\n", 0, "400" },
        { "long header", "GET / HTTP/1.1\r\nX: %\r\n\r\n", 4000, "431" },
        { "long body", "POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n%", 4000, "413" },
        { "unfinished", "GET / HTT", 0, "" },
        { "incomplete body", "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nx", 0, "" },
        { "nothing", "", 0, "" },
    };
    return cr_make_param_array(BadRequestRow, rows, sizeof(rows) / sizeof(BadRequestRow));
}

ParameterizedTest(BadRequestRow* row, AsyncHttp, answersBadRequests, .timeout = 20)
{
    EchoServer echo;
    RawConnection connection(echo.address);
    std::string text = row->text;
    if (const auto at = text.find('%'); at != std::string::npos)
        text.replace(at, 1, std::string(static_cast<size_t>(row->fill), 'a'));
    connection.send(text);
    const auto reply = connection.readAll();
    if (std::string(row->status).empty())
        cr_expect(reply.empty(), "%s: %s", row->name, reply.c_str());
    else
        cr_expect(reply.starts_with(std::string("HTTP/1.1 ") + row->status), "%s: %s", row->name, reply.c_str());
}

/** What is added to a chunked body of "xy" in two chunks. */
struct ChunkedBodyRow {
    char name[24];
    int extensionBytes;
    int trailerBytes;
    char status[4];
    bool isServedByService; ///< HttpService limits single extensions.
};

ParameterizedTestParameters(AsyncHttp, limitsWhatIsBetweenChunks)
{
    static ChunkedBodyRow rows[] = {
        { "plain", 0, 0, "200", true },
        { "within the limit", 2000, 2000, "200", true },
        { "long trailers", 0, 9000, "431", true },
        { "long extension", 9000, 0, "431", false },
        { "long together", 3000, 3000, "431", true },
    };
    return cr_make_param_array(ChunkedBodyRow, rows, sizeof(rows) / sizeof(ChunkedBodyRow));
}

/** Trailers and chunk extensions within the limit must not change how a request is served. */
ParameterizedTest(ChunkedBodyRow* row, AsyncHttp, limitsWhatIsBetweenChunks, .timeout = 20)
{
    const auto extension = ";a=1" + std::string(static_cast<size_t>(row->extensionBytes), 'a');
    const auto request = "POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1"
        + extension + "\r\nx\r\n1" + extension + "\r\ny\r\n0\r\n";
    const auto trailer = "T: " + std::string(static_cast<size_t>(row->trailerBytes), 'a') + "\r\n";
    EchoServer echo;
    RawConnection connection(echo.address);
    connection.send(request + trailer + "\r\n");
    const auto reply = connection.readAll();
    cr_expect(reply.starts_with(std::string("HTTP/1.1 ") + row->status), "%s: %s", row->name, reply.c_str());
    const bool isServed = reply.ends_with("POST /x xy");
    cr_expect_eq(isServed, std::string(row->status) == "200", "%s: %s", row->name, reply.c_str());

    HttpService service(HttpLimits {});
    service.server().Post("/x", [](const auto& call, auto& answer) { answer.set_content(call.body, "text/plain"); });
    RawConnection other(service.start("127.0.0.1:0"));
    other.send(request + "\r\n"); // The library refuses any trailers with 400.
    const auto answer = other.readAll();
    cr_expect_eq(answer.ends_with("\r\n\r\nxy"), row->isServedByService, "%s: %s", row->name, answer.c_str());
}

Test(AsyncHttp, servesSeveralRequestsOnOneConnection, .timeout = 20)
{
    EchoServer echo;
    RawConnection connection(echo.address);
    connection.send("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx");
    const auto reply = connection.readAll();
    cr_expect(reply.find("GET /a ") != std::string::npos, "%s", reply.c_str());
    cr_expect(reply.find("POST /b x") != std::string::npos, "%s", reply.c_str());
}

Test(AsyncHttp, reportsThatACallerDisconnected, .timeout = 20)
{
    EchoServer echo;
    {
        RawConnection connection(echo.address);
        connection.send("GET /wait HTTP/1.1\r\n\r\n");
        echo.arrived.get_future().get();
    }
    cr_expect(echo.disconnected.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
}

/** A loop that is busy, or whose process is suspended, doesn't notice that a caller has gone. */
Test(AsyncHttp, endOfACallersConnectionIsKnownBeforeTheLoopNoticesIt, .timeout = 20)
{
    EchoServer echo;
    auto connection = std::make_unique<RawConnection>(echo.address);
    connection->send("GET /wait HTTP/1.1\r\n\r\n");
    echo.arrived.get_future().get();
    cr_expect(echo.pendingExchange->isConnected());
    std::promise<void> held;
    std::promise<void> released;
    echo.loop.post([&] {
        held.set_value();
        released.get_future().get();
    });
    held.get_future().get();
    connection.reset();
    while (echo.pendingExchange->isConnected())
        std::this_thread::yield(); // If it stays so, the test fails by its timeout.
    auto disconnected = echo.disconnected.get_future();
    cr_expect(disconnected.wait_for(Milliseconds(0)) == std::future_status::timeout);
    released.set_value();
    disconnected.get();
    cr_expect_not(echo.pendingExchange->isConnected());
}

struct ArrivalRow {
    char name[40];
    bool isConnected; ///< The connection is open, and has served a request, before the loop is held up.
    bool isHeld;
};

ParameterizedTestParameters(AsyncHttp, ageOfARequestCountsFromItsArrival)
{
    static ArrivalRow rows[] = {
        { "read at once, new connection", false, false },
        { "read at once, open connection", true, false },
        { "read late, new connection", false, true },
        { "read late, open connection", true, true },
    };
    return cr_make_param_array(ArrivalRow, rows, sizeof(rows) / sizeof(ArrivalRow));
}

/** A server that reads a request late must not take it for a new one. */
ParameterizedTest(ArrivalRow* row, AsyncHttp, ageOfARequestCountsFromItsArrival, .timeout = 20)
{
    EchoServer echo;
    std::unique_ptr<RawConnection> connection;
    if (row->isConnected) {
        connection = std::make_unique<RawConnection>(echo.address);
        connection->send("GET /a HTTP/1.1\r\n\r\n");
        cr_assert(connection->readSome().starts_with("HTTP/1.1 200"), "%s", row->name);
    }
    std::promise<void> held;
    std::promise<void> released;
    if (row->isHeld) {
        echo.loop.post([&] {
            held.set_value();
            released.get_future().get();
        });
        held.get_future().get();
    }
    if (!connection)
        connection = std::make_unique<RawConnection>(echo.address);
    const auto sent = suspendAwareNow();
    connection->send("GET /b HTTP/1.1\r\n\r\n");
    if (row->isHeld) {
        std::this_thread::sleep_for(Milliseconds(2500)); // More than two periods.
        released.set_value();
    }
    cr_assert(connection->readSome().starts_with("HTTP/1.1 200"), "%s", row->name);
    if (row->isHeld)
        cr_expect_leq(echo.lastArrival.time_since_epoch().count(), sent.time_since_epoch().count(), "%s", row->name);
    else
        cr_expect_geq(echo.lastArrival.time_since_epoch().count(), sent.time_since_epoch().count(), "%s", row->name);
}

Test(AsyncHttp, stopClosesIdleConnectionsAndAnswersPendingCalls, .timeout = 20)
{
    EchoServer echo;
    RawConnection idle(echo.address);
    idle.send("GET /a HTTP/1.1\r\n\r\n");
    RawConnection busy(echo.address);
    busy.send("GET /wait HTTP/1.1\r\n\r\n");
    echo.arrived.get_future().get();
    echo.server().closeIdle();
    const auto first = idle.readAll();
    cr_expect(first.find("GET /a") != std::string::npos, "%s", first.c_str());
    echo.pendingExchange->reply({ 200, "late", "text/plain", {} });
    const auto reply = busy.readAll();
    cr_expect(reply.find("Connection: close") != std::string::npos && reply.ends_with("late"), "%s", reply.c_str());
}

Test(AsyncHttp, exceptionsOfHandlersFailOnlyTheirRequest, .timeout = 20)
{
    EchoServer echo;
    AsyncHttpClient client(echo.loop, echo.address, 1);
    const auto failed = callAndWait(client, { "GET", "/throw", "", {} }, Milliseconds(2000));
    cr_assert(std::holds_alternative<HttpReply>(failed));
    cr_expect_eq(std::get<HttpReply>(failed).status, 500);
    // A callback that throws must not leak the client's only connection.
    client.call({ "GET", "/x", "", {} }, Milliseconds(2000), [](const HttpResult&) { throw HttpError::BadAddress; });
    echo.loop.post([] { throw std::runtime_error("an error of posted work"); });
    const auto next = callAndWait(client, { "GET", "/y", "", {} }, Milliseconds(2000));
    cr_assert(std::holds_alternative<HttpReply>(next));
    cr_expect_eq(std::get<HttpReply>(next).body, "GET /y ");
    cr_expect_eq(echo.server().openExchanges(), 0);
    const auto places = echo.failures.places();
    cr_expect_eq(places.size(), 3);
    for (const auto* place : { "http-handler", "http-loop", "http-reply" })
        cr_expect(std::find(places.begin(), places.end(), place) != places.end(), "%s", place);
}

Test(ControlThread, continuesAfterAnException, .timeout = 20)
{
    FailureRecorder failures;
    caf::actor_system_config config;
    caf::actor_system system(config);
    std::atomic<int> ticks { 0 };
    {
        ControlThread control(system, Milliseconds(5),
            { [&] {
                 if (++ticks == 1)
                     throw std::runtime_error("a tick's error");
             },
                [] {} },
            failures.guard());
        bool hasRun = false;
        control.inspect([] { throw HttpError::BadAddress; });
        control.inspect([&] { hasRun = true; });
        cr_expect(hasRun);
        while (ticks < 2)
            std::this_thread::yield(); // If the ticks have stopped, the test fails by its timeout.
    }
    cr_expect_eq(failures.places().size(), 2);
}

struct GuardRow {
    char name[32];
    int gapMs; ///< Time between two errors, ms.
    int errors;
    int givenUp;
};

ParameterizedTestParameters(FailureGuard, givesUpAfterTooManyErrors)
{
    static GuardRow rows[] = {
        { "few", 0, 2, 0 },
        { "limit reached", 0, 3, 1 },
        { "gives up only once", 0, 9, 1 },
        { "errors spread out over time", 600, 9, 0 },
    };
    return cr_make_param_array(GuardRow, rows, sizeof(rows) / sizeof(GuardRow));
}

ParameterizedTest(GuardRow* row, FailureGuard, givesUpAfterTooManyErrors)
{
    FailureRecorder failures;
    for (int i = 0; i < row->errors; ++i) {
        failures.now += Milliseconds(row->gapMs);
        cr_expect_not(failures.guard().run("test", [] { throw std::runtime_error("an error"); }));
    }
    cr_expect(failures.guard().run("test", [] {}));
    cr_expect_eq(failures.givenUp, row->givenUp, "%s", row->name);
    cr_expect_eq(failures.guard().errors(), static_cast<uint64_t>(row->errors), "%s", row->name);
}

Test(AsyncHttp, clientDistinguishesRefusedFromUnanswered, .timeout = 20)
{
    EchoServer echo;
    AsyncHttpClient client(echo.loop, echo.address, 2);
    const auto good = callAndWait(client, { "PUT", "/x", "y", {} }, Milliseconds(2000));
    cr_assert(std::holds_alternative<HttpReply>(good));
    cr_expect_eq(std::get<HttpReply>(good).body, "PUT /x y");
    const auto unanswered = callAndWait(client, { "GET", "/wait", "", {} }, Milliseconds(200));
    cr_assert(std::holds_alternative<HttpFault>(unanswered));
    cr_expect(std::get<HttpFault>(unanswered) == HttpFault::NoAnswer);

    std::string unusedAddress;
    {
        HttpLoop other(echo.failures.guard());
        AsyncHttpServer server(other, {}, [](const HttpServerRequest&, const HttpExchangePtr&) {});
        unusedAddress = server.listen("127.0.0.1:0");
        other.start();
        server.stopListening();
        other.stop();
    }
    AsyncHttpClient refusedClient(echo.loop, unusedAddress, 1);
    const auto refused = callAndWait(refusedClient, { "GET", "/", "", {} }, Milliseconds(1000));
    cr_assert(std::holds_alternative<HttpFault>(refused));
    cr_expect(std::get<HttpFault>(refused) == HttpFault::Refused);
}

Test(AsyncHttp, connectionsClosedByTheServerAreNotReused, .timeout = 20)
{
    EchoServer echo;
    AsyncHttpClient client(echo.loop, echo.address, 2);
    for (int i = 0; i < 3; ++i) {
        const auto reply = callAndWait(client, { "GET", "/x", "", {} }, Milliseconds(2000));
        cr_assert(std::holds_alternative<HttpReply>(reply), "call %d", i);
        echo.server().closeIdle(); // From now on, the server closes each connection after its reply.
    }
}

struct RefusalRow {
    char name[32];
    bool keepsConnection; ///< A call still waits on a connection of before.
    HttpFault expected;
};

ParameterizedTestParameters(AsyncHttp, refusalBesideAnOpenConnectionIsNoEndOfTheProcess)
{
    static RefusalRow rows[] = {
        { "nothing is left open", false, HttpFault::Refused },
        { "a call is waiting", true, HttpFault::NotSent },
    };
    return cr_make_param_array(RefusalRow, rows, sizeof(rows) / sizeof(RefusalRow));
}

ParameterizedTest(RefusalRow* row, AsyncHttp, refusalBesideAnOpenConnectionIsNoEndOfTheProcess, .timeout = 20)
{
    EchoServer echo;
    AsyncHttpClient client(echo.loop, echo.address, 2);
    std::promise<HttpResult> waiting;
    if (row->keepsConnection) {
        client.call({ "GET", "/wait", "", {} }, Milliseconds(10000),
            [&](HttpResult result) { waiting.set_value(std::move(result)); });
        echo.arrived.get_future().wait();
    }
    echo.server().stopListening();
    const auto result = callAndWait(client, { "GET", "/x", "", {} }, Milliseconds(2000));
    cr_assert(std::holds_alternative<HttpFault>(result), "%s", row->name);
    cr_expect(std::get<HttpFault>(result) == row->expected, "%s", row->name);
    if (!row->keepsConnection)
        return;
    echo.pendingExchange->reply({ 200, "", "text/plain", {} });
    cr_expect(std::holds_alternative<HttpReply>(waiting.get_future().get()), "the process was alive");
}

/** The library's client was larger than the caller took it for, so that its constructor wrote beyond the object. */
Test(HttpService, clientsHaveTheSizeThatTheLibraryExpects)
{
    constexpr size_t guardBytes = 64;
    constexpr unsigned char guard = 0xAB;
    alignas(httplib::Client) std::array<unsigned char, sizeof(httplib::Client) + guardBytes> buf {};
    buf.fill(guard);
    auto* client = new (buf.data()) httplib::Client("127.0.0.1", 1);
    const auto changed = std::count_if(
        buf.begin() + sizeof(httplib::Client), buf.end(), [](unsigned char byte) { return byte != guard; });
    client->~Client();
    cr_expect_eq(changed, 0, "%td bytes behind the client were written", changed);
}

Test(LineWriter, blockedReaderDropsLinesWithoutBlockingTheWriter, .timeout = 30)
{
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    LineWriterLimits limits;
    limits.maxBufferedBytes = 64U << 10U;
    const auto begin = Clock::now();
    {
        LineWriter writer(ends[1], limits);
        const std::string line(200, 'x');
        for (int i = 0; i < 20000; ++i)
            writer.write(line + "\n");
        cr_expect_gt(writer.dropped(), 0U);
        // 4 MB of lines to a pipe that nobody reads: the writes must not block.
        cr_expect_lt(toMilliseconds(Clock::now() - begin).count(), 2000);
    }
    cr_expect_lt(
        toMilliseconds(Clock::now() - begin).count(), 5000, "the destructor must wait for a limited time only");
    close(ends[0]);
    close(ends[1]);
}

Test(LineWriter, writesAllLinesToAReader, .timeout = 30)
{
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    auto read = std::async(std::launch::async, [&] {
        size_t lines = 0;
        char buf[4096];
        for (ssize_t n = 0; (n = ::read(ends[0], buf, sizeof(buf))) > 0;)
            lines += static_cast<size_t>(std::count(buf, buf + n, '\n'));
        return lines;
    });
    {
        LineWriter writer(ends[1]);
        for (int i = 0; i < 1000; ++i)
            writer.write("line\n");
    }
    close(ends[1]);
    cr_expect_eq(read.get(), 1000U);
    close(ends[0]);
}

Test(Dialer, redialsAndForgetsUnusedAddresses)
{
    uint32_t dialled = 0;
    std::vector<LinkId> closed;
    DialerLimits limits;
    Dialer dialer(
        limits, [&](const std::string&) { return LinkId(++dialled); }, [&](LinkId link) { closed.push_back(link); });
    TimePoint now { std::chrono::seconds(100) };
    dialer.addAddresses({ "a:1" }, now);
    dialer.tick(now);
    cr_assert_eq(dialled, 1U);
    cr_expect_not(dialer.welcomed(LinkId(9)));
    now += limits.maxWelcomeTimeout + Milliseconds(1);
    dialer.tick(now);
    cr_expect_eq(closed.size(), 1U, "a link without a Welcome must be closed");
    dialer.closed(LinkId(1), now);
    dialer.tick(now);
    cr_expect_eq(dialled, 1U, "the address must not be dialled again before its backoff has passed");
    now += Milliseconds(200);
    dialer.tick(now);
    cr_expect_eq(dialled, 2U);
    cr_expect(dialer.welcomed(LinkId(2)));
    now += 2 * limits.addressTtl;
    dialer.tick(now);
    cr_expect_eq(dialer.addresses().size(), 1U, "an address with a link must be kept");
    dialer.closed(LinkId(2), now);
    now += limits.addressTtl + Milliseconds(1);
    dialer.tick(now);
    cr_expect(dialer.addresses().empty());
}

struct SpellingRow {
    char seed[24];
    char listed[24];
    uint32_t links;
};

ParameterizedTestParameters(Dialer, dialsAnEntryOnceInAnySpelling)
{
    static SpellingRow rows[] = { { "Entry-a:7720", "entry-a:7720", 1 }, { "entry-a:7720", "Entry-A:7720", 1 },
        { "[FE80::1]:7720", "[fe80::1]:7720", 1 }, { "entry-a:7720", "entry-b:7720", 2 },
        { "entry-a:7720", "entry-a:7721", 2 } };
    return cr_make_param_array(SpellingRow, rows, sizeof(rows) / sizeof(SpellingRow));
}

// Guards against two links to one entry that replace each other for good.
ParameterizedTest(SpellingRow* row, Dialer, dialsAnEntryOnceInAnySpelling)
{
    uint32_t dialled = 0;
    Dialer dialer(
        {}, [&](const std::string&) { return LinkId(++dialled); }, [](LinkId) {});
    const TimePoint now { std::chrono::seconds(100) };
    dialer.addAddresses({ row->seed }, now);
    dialer.tick(now);
    dialer.addAddresses({ row->listed }, now);
    dialer.tick(now);
    dialer.setAddresses({ row->seed, row->listed }, now);
    dialer.tick(now);
    cr_expect_eq(dialled, row->links, "%s and %s", row->seed, row->listed);
}

Test(Dialer, redialsAtOnceAfterALinkThatHadLasted)
{
    uint32_t dialled = 0;
    DialerLimits limits;
    Dialer dialer(
        limits, [&](const std::string&) { return LinkId(++dialled); }, [](LinkId) {});
    TimePoint now { std::chrono::seconds(100) };
    dialer.addAddresses({ "a:1" }, now);
    dialer.tick(now);
    cr_assert(dialer.welcomed(LinkId(1)));
    now += limits.lastingLink;
    dialer.closed(LinkId(1), now);
    dialer.tick(now);
    cr_assert_eq(dialled, 2U);
    dialer.closed(LinkId(2), now);
    dialer.tick(now);
    cr_expect_eq(dialled, 2U, "an attempt without a Welcome is followed by a backoff");
    now += limits.initialBackoff;
    dialer.tick(now);
    cr_assert_eq(dialled, 3U, "the first backoff is the initial one");
    cr_assert(dialer.welcomed(LinkId(3)));
    now += limits.lastingLink - Milliseconds(1);
    dialer.closed(LinkId(3), now);
    dialer.tick(now);
    cr_expect_eq(dialled, 3U, "an entry that closes its links soon isn't dialled without end");
}

Test(SettingsFile, appliesValidChangesAndKeepsOldValuesOtherwise)
{
    std::string path = "/tmp/sequoia-settings-XXXXXX";
    close(mkstemp(path.data()));
    const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
    write("name = \"e\"\nlog_level = \"info\"\n");
    const auto& rows = roomEntrySettingRows();
    DaemonOptions options;
    options.settingsFile = path;
    const auto first = loadOrReport(rows, options);
    cr_assert(first.has_value());
    std::vector<std::string> lines;
    Log log("test", LogLevel::Info, 0, [&](const std::string& line, LogLevel) { lines.push_back(line); });
    SettingsFile<RoomEntrySettings> file(rows, options, *first, { "log_level" });
    cr_expect_not(file.reload(log, "file").has_value(), "an unchanged file must not be reloaded");
    write("name = \"e\"\nlog_level = \"loud\"\n");
    cr_expect_not(file.reload(log, "file").has_value());
    cr_assert_eq(lines.size(), 1U);
    cr_expect(lines[0].find(path + ":2: log_level") != std::string::npos, "%s", lines[0].c_str());
    write("name = \"e\"\nlog_level = \"debug\"\nmax_open_jobs = 7\n");
    const auto changed = file.reload(log, "signal");
    cr_assert(changed.has_value());
    cr_expect_eq(changed->log_level, "debug");
    cr_expect(
        lines[1].find("taken=log_level after_restart=max_open_jobs") != std::string::npos, "%s", lines[1].c_str());
    unlink(path.c_str());
}

Test(LinkHub, messagesOfLaterReleasesAreIgnored, .timeout = 20)
{
    using Callback = std::function<void(LinkId, FramePtr)>;
    std::promise<wire::Body> delivered;
    std::promise<LinkId> opened;
    std::atomic<int> ignored { 0 };
    std::atomic<int> lastType { 0 };
    HybridClock clock;
    LinkHub receiver(
        { [](LinkId) {}, Callback([&](LinkId, const FramePtr& frame) { delivered.set_value(frame->body.type); }),
            [](LinkId, const std::string&) {},
            [&](LinkId, int type) {
                ++ignored;
                lastType = type;
            } },
        {}, clock);
    const auto port = receiver.listen("127.0.0.1:0");
    LinkHub sender({ [&](LinkId link) { opened.set_value(link); }, Callback([](LinkId, const FramePtr&) {}),
                       [](LinkId, const std::string&) {} },
        {}, clock);
    sender.dial("127.0.0.1:" + std::to_string(port));
    const auto link = opened.get_future().get();
    constexpr int laterType = 200;
    for (int n = 0; n < 2; ++n) {
        Frame later;
        later.body.type = wire::Body(laterType);
        sender.send(link, std::move(later));
    }
    Frame known;
    known.body.Set(wire::BeatT());
    sender.send(link, std::move(known));
    cr_expect(delivered.get_future().get() == wire::Body::Beat, "the link goes on");
    cr_expect_eq(ignored.load(), 1, "told of once");
    cr_expect_eq(lastType.load(), laterType);
    sender.shutdown();
    receiver.shutdown();
}

struct CallerConnectionsRow {
    char name[40];
    size_t maxConnections;
    size_t maxDescriptors;
    size_t expected;
};

ParameterizedTestParameters(ServerLimits, callersLeaveDescriptorsForLinksAndCalls)
{
    static CallerConnectionsRow rows[] = {
        { "descriptors unknown", 3000, 0, 3000 },
        { "smallest VM", 3000, 3075, 2375 },
        { "enough descriptors", 3000, 4100, 3000 },
        { "fewer connections set", 40, 3075, 40 },
        { "very few descriptors", 3000, 500, 64 },
    };
    return cr_make_param_array(CallerConnectionsRow, rows, sizeof(rows) / sizeof(CallerConnectionsRow));
}

// Idle connections of callers must not take the descriptors that an entry needs for agents and the store.
ParameterizedTest(CallerConnectionsRow* row, ServerLimits, callersLeaveDescriptorsForLinksAndCalls)
{
    cr_expect_eq(callerConnections(row->maxConnections, row->maxDescriptors), row->expected, "%s", row->name);
}
