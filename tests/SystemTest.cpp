/** @file SystemTest.cpp Tests the interfaces of real processes: callers' errors, foreign connections, drain, graceful
 * stops, quarantine, configuration, holidays and the time line. */
#include "TestCluster.h"

#include <sequoia/Configuration.h>
#include <sequoia/HttpService.h>
#include <sequoia/Ids.h>
#include <sequoia/Link.h>
#include <sequoia/Store.h>

#include <arpa/inet.h>
#include <boost/leaf/result.hpp>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sequoia;
using namespace sequoia::testing;

namespace {

constexpr Milliseconds maxConfigurationDelay { 11000 };
constexpr Milliseconds maxDrainDelay { 3000 };

/** A caller with one session at one entry. */
class Caller {
public:
    explicit Caller(const std::string& address)
        : m_client("http://" + address)
    {
        m_client.set_keep_alive(true);
        m_client.set_tcp_nodelay(true);
        m_client.set_read_timeout(std::chrono::seconds(20));
    }

    std::string openSession()
    {
        const auto reply = m_client.Post("/v1/sessions", "", "application/json");
        cr_assert(reply && reply->status == 201);
        return Json::parse(reply->body)["session"].get<std::string>();
    }

    httplib::Result send(const std::string& method, const std::string& path, const std::string& body = "")
    {
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        return m_client.send(request);
    }

    Json put(const std::string& job, const Json& body, int status = 200, const std::string& query = "")
    {
        const auto reply = send("PUT", "/v1/jobs/" + job + query, body.dump());
        cr_assert(static_cast<bool>(reply), "no reply for %s", job.c_str());
        cr_assert_eq(reply->status, status, "%s: %d %s", job.c_str(), reply->status, reply->body.c_str());
        return Json::parse(reply->body);
    }

private:
    httplib::Client m_client;
};

Json job(int tasks, int runMs, int deadlineMs = 10000)
{
    Json list = Json::array();
    for (int i = 0; i < tasks; ++i)
        list.push_back({ { "payload", Json { { "runMs", runMs }, { "token", std::to_string(i) } }.dump() },
            { "declaredMs", runMs } });
    return { { "team", "t" }, { "deadlineMs", deadlineMs }, { "tasks", list } };
}

int rawConnect(const std::string& address)
{
    const auto parts = splitAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(parts->second));
    inet_pton(AF_INET, parts->first.c_str(), &to.sin_addr);
    cr_assert_eq(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    return fd;
}

void writeFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

} // namespace

Test(Callers, lifeCycleOfJobsWithManyTasks, .timeout = 60)
{
    TestCluster fleet({ .entries = 2, .agents = 2 });
    Caller first(fleet.callerAddress(1));
    Caller second(fleet.callerAddress(2));
    const auto session = first.openSession();
    const auto id = session + "~1";
    const auto answer = first.put(id, job(770, 1));
    cr_expect_str_eq(answer["status"].get<std::string>().c_str(), "complete");
    cr_expect_eq(answer["answers"].size(), 770U);
    cr_expect_str_eq(answer["answers"][769].get<std::string>().c_str(), "769");
    // Another entry must return the same answer, to PUT and to GET.
    cr_expect(second.put(id, job(770, 1)) == answer);
    const auto asked = second.send("GET", "/v1/jobs/" + id + "?wait=1000");
    cr_expect(asked && Json::parse(asked->body) == answer);
    cr_expect_eq(fleet.startsAt(1) + fleet.startsAt(2), 770U);
    // The same id with other content, a job without an id, an unknown job, and an acknowledged one.
    first.put(id, job(1, 1), 409);
    cr_expect_eq(first.send("POST", "/v1/jobs", job(1, 1).dump())->status, 428);
    cr_expect_eq(first.send("GET", "/v1/jobs/" + session + "~99")->status, 404);
    cr_expect_eq(first.send("POST", "/v1/jobs/" + id + "/acknowledge")->status, 200);
    first.put(id, job(770, 1), 410);
    // A job whose answer is fetched by long poll, and one that is cancelled through another entry.
    cr_expect_str_eq(
        first.put(session + "~2", job(1, 300), 202, "?wait=10")["status"].get<std::string>().c_str(), "pending");
    cr_expect_eq(first.send("GET", "/v1/jobs/" + session + "~2?wait=5000")->status, 200);
    first.put(session + "~3", job(1, 2000), 202, "?wait=10");
    cr_expect_eq(second.send("DELETE", "/v1/jobs/" + session + "~3")->status, 200);
    const auto cancelled = Json::parse(first.send("GET", "/v1/jobs/" + session + "~3")->body);
    cr_expect_str_eq(cancelled["reason"].get<std::string>().c_str(), "cancelled");
    cr_expect_not(cancelled["notRun"].get<bool>(), "a job that was running must not count as not run");
}

struct BadRequestRow {
    char method[8];
    char path[60];
    char body[80];
    int status;
};

Test(Callers, badInputIsRejectedAndOtherCallersAreServed, .timeout = 60)
{
    const BadRequestRow rows[] = {
        { "PUT", "/v1/jobs/nonsense", "{}", 400 },
        { "PUT", "/v1/jobs/127.0.0.1:1~00~1~1", "not json", 400 },
        { "PUT", "/v1/jobs/127.0.0.1:1~00~1~1", "{\"team\":\"t\",\"deadlineMs\":5,\"tasks\":[{\"x\":1}]}", 400 },
        { "GET", "/v1/jobs/~~~", "", 400 },
        { "GET", "/v2/none", "", 404 },
        { "GET", "/v1/events", "", 403 },
        { "POST", "/v1/log-level", "debug", 403 },
        { "GET", "/v1/peer/config", "", 403 },
    };
    TestCluster fleet({ .entries = 1,
        .agents = 1,
        .entrySettings = { "token=secret", "max_body_bytes=100000", "http_read_timeout_ms=1000" },
        .agentSettings = { "token=secret" } });
    Caller caller(fleet.callerAddress(1));
    for (const auto& row : rows) {
        const auto reply = caller.send(row.method, row.path, row.body);
        cr_assert(static_cast<bool>(reply), "%s", row.path);
        cr_expect_eq(
            reply->status, row.status, "%s %s: %d %s", row.method, row.path, reply->status, reply->body.c_str());
    }
    const auto session = caller.openSession();
    const auto large = caller.send("PUT", "/v1/jobs/" + session + "~1", std::string(200000, 'x'));
    cr_expect(!large || large->status == 413);
    // Incomplete requests on 100 connections must not delay another caller's job.
    std::vector<int> sockets;
    for (int i = 0; i < 100; ++i) {
        sockets.push_back(rawConnect(fleet.http("entry1")));
        const std::string half = i % 2 == 0 ? "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: 1000\r\n\r\n{" : "GE";
        cr_expect_gt(send(sockets.back(), half.data(), half.size(), MSG_NOSIGNAL), 0);
    }
    Caller other(fleet.callerAddress(1));
    const auto begin = Clock::now();
    other.put(other.openSession() + "~1", job(1, 10));
    cr_expect_lt((Clock::now() - begin).count(), Clock::duration(std::chrono::seconds(2)).count());
    for (const int fd : sockets)
        close(fd);
}

Test(UntrustedPeers, randomBytesAndForeignAgentsAreRefused, .timeout = 90)
{
    TestCluster fleet(
        { .entries = 1, .agents = 1, .entrySettings = { "token=secret" }, .agentSettings = { "token=secret" } });
    const auto link = fleet.process("entry1").waitListening("link");
    std::mt19937 random(1);
    for (int i = 0; i < 300; ++i) {
        const int fd = rawConnect(i % 2 == 0 ? link : fleet.http("entry1"));
        std::string bytes(random() % 2000, '\0');
        for (auto& c : bytes)
            c = static_cast<char>(random());
        if (i % 3 == 0 && bytes.size() > 12) {
            // A valid frame header: the size of the rest and the file identifier.
            const auto size = static_cast<uint32_t>(bytes.size() - 4);
            std::memcpy(bytes.data(), &size, sizeof size);
            std::memcpy(bytes.data() + 8, "SQF1", 4);
        }
        if (!bytes.empty())
            send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        close(fd);
    }
    // Agents of another cluster or with a wrong token must be refused.
    for (const std::string setting : { "cluster=other", "token=wrong" }) {
        Process stranger("stranger", "sequoia-agent",
            { "--set", "name=stranger", "--set", "entries=" + fleet.callerAddress(1), "--set", "token=secret", "--set",
                setting });
        stranger.waitListening();
        cr_expect(TestCluster::waitUntil([&] {
            return fleet.process("entry1").log().find("event=agent-refused agent=stranger") != std::string::npos;
        }));
    }
    const auto status = fleet.get("entry1", "/v1/status");
    cr_assert(status.is_object(), "the entry must still answer");
    cr_expect_eq(status["agents"].size(), 1U);
    Caller caller(fleet.callerAddress(1));
    cr_expect_str_eq(
        caller.put(caller.openSession() + "~1", job(3, 5))["status"].get<std::string>().c_str(), "complete");
}

struct RegistrationRow {
    char name[32];
    char field[16]; ///< The field of a valid registration that is replaced.
    char value[40]; ///< JSON text of its value; several levels of arrays if empty.
};

ParameterizedTestParameters(UntrustedPeers, oddRegistrationEndsNoProcess)
{
    static RegistrationRow rows[] = {
        { "a port beyond any type", "http", "\"127.0.0.1:99999999999999999999\"" },
        { "a port beyond 16 bits", "http", "\"127.0.0.1:70000\"" },
        { "an address of another type", "link", "7" },
        { "an incarnation too large", "incarnation", "\"fffffffffffffffffffffffff\"" },
        { "arrays nested deeply", "name", "" },
    };
    return cr_make_param_array(RegistrationRow, rows, sizeof(rows) / sizeof(RegistrationRow));
}

/** An odd registration in the store ended the entries and the agents that read it. */
ParameterizedTest(RegistrationRow* row, UntrustedPeers, oddRegistrationEndsNoProcess, .timeout = 90)
{
    TestCluster cluster({ .entries = 2, .agents = 1 });
    const Store store(cluster.storeAddress(), Milliseconds(3000));
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    auto text = std::string(R"({"name":"odd","http":"127.0.0.1:1","link":"127.0.0.1:1","incarnation":"1")");
    text += fmt::format(",\"{}\":{}}}", row->field, *row->value == '\0' ? deep : row->value);
    const auto key = StoreKeys("sequoia").entry("odd");
    cr_assert(store.compareAndSwap(key, StoreRevision(), { { key, text, {} } }).value());
    // Entries read the registrations every 3 s and send a new configuration to all of them; agents fetch the list of
    // entries every 2 s.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const auto setProfile = [](Configuration configuration) -> boost::leaf::result<Configuration> {
        configuration.profile = "messages";
        return configuration;
    };
    cr_expect(ConfigEditor(store, "sequoia").edit("test", "test", setProfile).has_value());
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (const auto* name : { "entry1", "entry2", "agent1" })
        cr_expect(cluster.process(name).isRunning(), "%s, %s: ended", row->name, name);
    const auto links = cluster.get("entry1", "/v1/links");
    cr_assert(links.is_object());
    cr_expect_eq(links["entries"].size(), 2U, "%s: %s", row->name, links.dump().substr(0, 500).c_str());
}

/** A registration with a name of another type ended sequoiactl. */
Test(UntrustedPeers, oddRegistrationDoesNotEndTheOperatorsProgram, .timeout = 60)
{
    TestCluster cluster({ .entries = 1, .agents = 1 });
    const Store store(cluster.storeAddress(), Milliseconds(3000));
    const std::string text = R"({"name":7,"http":"127.0.0.1:1","link":"127.0.0.1:1","incarnation":"1"})";
    const auto key = StoreKeys("sequoia").entry("odd");
    cr_assert(store.compareAndSwap(key, StoreRevision(), { { key, text, {} } }).value());
    Process status("sequoiactl", "sequoiactl", { "status", "--store", cluster.storeAddress() });
    cr_expect_eq(status.wait(), 0);
    cr_expect(status.output().find("entry1") != std::string::npos);
}

/** The status of an entry with an agent whose name is no text was an error, as JSON can't hold the name. */
Test(UntrustedPeers, agentNameThatIsNoTextDoesNotHideTheStatus, .timeout = 60)
{
    TestCluster cluster({ .entries = 1, .agents = 1 });
    HybridClock clock;
    std::promise<void> welcomed;
    std::atomic<bool> isWelcomed { false };
    LinkHub* hub = nullptr;
    const auto sendHello = [&](LinkId link) {
        wire::HelloT hello;
        hello.version = 1;
        hello.agent = "\xff\xfe";
        hello.cluster = "sequoia";
        hello.incarnation = 1;
        hello.failure_domain = "\xc3";
        hello.http_address = "\x80";
        Frame frame;
        frame.body.Set(std::move(hello));
        hub->send(link, std::move(frame));
    };
    const auto received = [&](LinkId, const FramePtr&) {
        if (!isWelcomed.exchange(true))
            welcomed.set_value();
    };
    LinkHub links({ sendHello, received, [](LinkId, const std::string&) {} }, {}, clock);
    hub = &links;
    links.dial(cluster.process("entry1").waitListening("link"));
    cr_assert(welcomed.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready);
    const auto status = cluster.get("entry1", "/v1/status");
    cr_assert(status.is_object(), "%s", status.dump().c_str());
    cr_expect_eq(status["agents"].size(), 2U);
    links.shutdown();
    cr_expect(cluster.process("entry1").isRunning());
}

/** An entry whose own name is no text ended when it registered itself, without telling why. */
Test(UntrustedPeers, nameThatIsNoTextIsRefusedWithItsPlace, .timeout = 60)
{
    for (const std::string program : { "sequoia-entry", "sequoia-agent" }) {
        Process process("odd", program, { "--set", "name=odd\xff" });
        cr_expect_eq(process.wait(), 3, "%s: bad settings", program.c_str());
        cr_expect(process.log().find("name: expected text in UTF-8") != std::string::npos, "%s: %s", program.c_str(),
            process.log().c_str());
    }
}

/** An announcement that is nested deeply overflowed the stack of the agent, which ended. */
Test(UntrustedPeers, deepAnnouncementDoesNotEndAnAgent, .timeout = 60)
{
    TestCluster cluster({ .entries = 1, .agents = 1 });
    constexpr size_t depth = 400000;
    const auto body = R"({"address":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    const auto reply = makeHttpClient(cluster.http("agent1"), Milliseconds(5000))
                           .Post("/v1/backend/announce", body, "application/json");
    cr_expect(reply && reply->status == 400, "%d", reply ? reply->status : 0);
    cr_expect(cluster.process("agent1").isRunning());
}

/** A graceful stop of an entry and of an agent under load must fail no job and lose no outcome. */
Test(Stop, entryAndAgentStopUnderLoadWithoutFailedJobs, .timeout = 90)
{
    TestCluster fleet({ .entries = 2, .agents = 3 });
    const auto load = fleet.startLoad({ "seconds=8", "jobs_per_minute=1800", "tasks_max=4", "run_ms_max=400",
        "long_per_mille=0", "callers=64", "resubmitted_per_mille=0" });
    std::this_thread::sleep_for(Milliseconds(2500));
    cr_expect_eq(fleet.stop("agent1"), 0);
    cr_expect_eq(fleet.stop("entry1"), 0);
    int code = 0;
    const auto report = TestCluster::finishLoad(*load, &code);
    cr_expect_eq(code, 0, "%s", report.dump().c_str());
    cr_expect_eq(report["jobsFailed"].get<int>(), 0, "%s", report.dump().c_str());
    cr_expect_eq(report["jobsUnknown"].get<int>(), 0, "%s", report.dump().c_str());
}

/** A drained agent must start no task from 3 s after the command until it is resumed, and no job may fail. */
Test(Drain, noNewStartsAfterThreeSeconds, .timeout = 90)
{
    TestCluster fleet({ .entries = 2, .agents = 2 });
    const auto load
        = fleet.startLoad({ "seconds=9", "jobs_per_minute=1200", "tasks_max=4", "run_ms_max=300", "long_per_mille=0" });
    std::this_thread::sleep_for(Milliseconds(2000));
    cr_expect_gt(fleet.startsAt(1), 0U);
    cr_assert_eq(fleet.runCtl({ "agent", "drain", fleet.http("agent1") }), 0);
    std::this_thread::sleep_for(maxDrainDelay);
    const auto drained = fleet.startsAt(1);
    fleet.backendMode(2, "good");
    std::this_thread::sleep_for(Milliseconds(2000));
    cr_expect_eq(fleet.startsAt(1), drained);
    cr_expect_eq(fleet.runCtl({ "agent", "resume", fleet.http("agent1") }), 0);
    cr_expect(
        TestCluster::waitUntil([&] { return fleet.startsAt(1) > drained; }), "a resumed agent must start tasks again");
    const auto report = TestCluster::finishLoad(*load);
    cr_expect_eq(report["jobsFailed"].get<int>(), 0, "%s", report.dump().c_str());
}

/** A backend server that fails every task may fail only few jobs: it must be quarantined or in trial, and get tasks
 * again once it has recovered. */
Test(Quarantine, failingServerIsQuarantinedAndReturns, .timeout = 90)
{
    TestCluster fleet({ .entries = 2, .agents = 4 });
    fleet.backendMode(1, "fail");
    const auto load = fleet.startLoad(
        { "seconds=10", "jobs_per_minute=1800", "tasks_max=3", "run_ms_max=300", "long_per_mille=0" });
    const auto report = TestCluster::finishLoad(*load);
    // About 300 jobs, and a quarter of the slots fails everything: without quarantine most jobs would fail.
    cr_expect_leq(report["jobsFailed"].get<int>(), 15, "%s", report.dump().c_str());
    std::string status;
    cr_expect_eq(fleet.runCtl({ "status" }, &status), 0);
    cr_expect(status.find("quarantined") != std::string::npos || status.find("trial") != std::string::npos, "%s",
        status.c_str());
    fleet.backendMode(1, "good");
    const auto before = fleet.startsAt(1);
    const auto more
        = fleet.startLoad({ "seconds=12", "jobs_per_minute=1200", "tasks_max=2", "run_ms_max=200", "seed=2" });
    TestCluster::finishLoad(*more);
    cr_expect_gt(fleet.startsAt(1), before + 5, "the recovered server must get tasks again; %d starts before, log: %s",
        static_cast<int>(before), fleet.process("agent1").log().c_str());
}

/** An edit must be active on all entries within 11 s despite faults of the store; no entry may return to an older
 * revision. */
Test(Configuration, appliedOnEightEntriesAndNeverReverted, .timeout = 170)
{
    TestCluster fleet({ .entries = 8, .agents = 1 });
    std::atomic<bool> isDone { false };
    std::atomic<int> reversals { 0 };
    std::thread watching([&] {
        std::map<std::string, uint64_t> seen;
        while (!isDone) {
            for (size_t i = 1; i <= 8; ++i) {
                const auto name = fmt::format("entry{}", i);
                const auto status = fleet.get(name, "/v1/status");
                if (!status.is_object() || !status.value("ready", false))
                    continue;
                const auto revision = status.value("revision", uint64_t(0));
                if (revision < seen[name])
                    ++reversals;
                seen[name] = revision;
            }
        }
    });
    const auto edit = [&](int n) {
        const auto path = fmt::format("/tmp/sequoia-teams-{}-{}.json", getpid(), n);
        writeFile(path, fmt::format(R"([{{"name":"t{}","weight":{}}}])", n, n + 1));
        const int code = fleet.runCtl({ "config", "set", "teams", path });
        unlink(path.c_str());
        return code;
    };
    const auto everywhere = [&] {
        return fleet.runCtl({ "config", "status", "--wait", fmt::format("{}ms", maxConfigurationDelay.count()) });
    };
    cr_expect_eq(edit(1), 0);
    cr_expect_eq(everywhere(), 0, "plain");
    // The store applies the write, but its reply is lost: the edit must be made exactly once.
    fleet.storeFault({ { "loseReplies", 1 } });
    cr_expect_eq(edit(2), 0, "sequoiactl must find out by reading that its write took effect");
    cr_expect_eq(everywhere(), 0, "lost reply");
    // Existing connections to the store go silent, and with them the watches: entries must learn of the revision by
    // polling or from peers.
    fleet.route("store", { { "silenceExisting", true } });
    cr_expect_eq(edit(3), 0);
    cr_expect_eq(everywhere(), 0, "silent watches");
    // The store takes 800 ms for each reply.
    fleet.storeFault({ { "slowMs", 800 } });
    cr_expect_eq(edit(4), 0);
    cr_expect_eq(everywhere(), 0, "slow store");
    fleet.storeFault({ { "slowMs", 0 } });
    // During an outage of the store edits must fail, the active configuration must stay, and a restarted entry must get
    // it from a peer.
    const auto before = fleet.get("entry1", "/v1/status")["revision"].get<uint64_t>();
    fleet.storeFault({ { "downMs", 8000 } });
    cr_expect_neq(edit(5), 0);
    fleet.kill("entry2");
    fleet.restart("entry2");
    cr_expect(TestCluster::waitUntil([&] {
        return fleet.get("entry2", "/readyz").is_string() || fleet.get("entry2", "/v1/status").value("ready", false);
    }));
    cr_expect_eq(fleet.get("entry2", "/v1/status")["revision"].get<uint64_t>(), before);
    cr_expect(TestCluster::waitUntil([&] { return edit(6) == 0; }, Milliseconds(30000)));
    cr_expect_eq(everywhere(), 0, "after the outage");
    isDone = true;
    watching.join();
    cr_expect_eq(reversals, 0);
}

/** Of concurrent edits at least one must succeed, and all others must fail with a conflict and leave no revision. */
Test(Configuration, concurrentEditsSucceedOrReportAConflict, .timeout = 90)
{
    TestCluster fleet({ .entries = 1, .agents = 1 });
    constexpr int editors = 6;
    std::vector<int> codes(editors);
    std::vector<std::thread> threads;
    for (int i = 0; i < editors; ++i) {
        threads.emplace_back([&, i] {
            const auto path = fmt::format("/tmp/sequoia-race-{}-{}.json", getpid(), i);
            writeFile(path, fmt::format(R"([{{"name":"t{}"}}])", i));
            codes[static_cast<size_t>(i)] = fleet.runCtl({ "config", "set", "teams", path });
            unlink(path.c_str());
        });
    }
    for (auto& thread : threads)
        thread.join();
    const auto won = static_cast<uint64_t>(std::count(codes.begin(), codes.end(), 0));
    const auto lost = std::count(codes.begin(), codes.end(), 4);
    cr_expect_geq(won, 1U);
    cr_expect_eq(won + static_cast<uint64_t>(lost), static_cast<uint64_t>(editors),
        "every other edit must end with the exit code for a conflict");
    std::string history;
    fleet.runCtl({ "config", "history" }, &history);
    cr_expect_eq(static_cast<uint64_t>(std::count(history.begin(), history.end(), '\n')), won, "%s", history.c_str());
}

/** Confirming a holiday again, also concurrently, must add no revision; one for today must be refused. A job with a
 * visit that the holiday moves must be refused and not run, and a sheet without such a visit must be refused. */
Test(Holiday, repeatedConfirmationIsIdempotentAndALateOneIsRefused, .timeout = 90)
{
    TestCluster fleet({ .entries = 2, .agents = 1 });
    std::string out;
    cr_assert_eq(
        fleet.runCtl({ "sheet", "apply", std::string(SEQUOIA_SOURCE) + "/examples/sheet.csv", "--dry-run" }, &out), 0,
        "%s", out.c_str());
    cr_expect_eq(fleet.runCtl({ "sheet", "show", "--day", "2026-12-08" }, &out), 0);
    cr_expect(out.find("0 visits") == 0, "a dry run must change nothing: %s", out.c_str());
    cr_assert_eq(fleet.runCtl({ "sheet", "apply", std::string(SEQUOIA_SOURCE) + "/examples/sheet.csv" }), 0);
    std::thread other([&] { fleet.runCtl({ "holiday", "confirm", "2026-12-08" }); });
    fleet.runCtl({ "holiday", "confirm", "2026-12-08" });
    other.join();
    fleet.runCtl({ "holiday", "confirm", "2026-12-08" }, &out);
    cr_expect(out.find("revision 2") == 0, "%s", out.c_str());
    cr_expect_eq(fleet.runCtl({ "holiday", "confirm", "2026-12-07" }, &out), 7, "a holiday for today must be refused");
    cr_assert_eq(fleet.runCtl({ "config", "status", "--wait", "11s" }), 0);
    Caller caller(fleet.callerAddress(1));
    auto moved = job(1, 5);
    moved["day"] = "2026-12-08";
    moved["tasks"][0]["visit"] = "RO-1001";
    const auto session = caller.openSession();
    const auto refused = caller.put(session + "~1", moved);
    cr_expect(refused["notRun"].get<bool>());
    cr_expect(
        refused["detail"].get<std::string>().find("2026-12-09") != std::string::npos, "%s", refused.dump().c_str());
    moved["day"] = "2026-12-09";
    cr_expect_str_eq(caller.put(session + "~2", moved)["status"].get<std::string>().c_str(), "complete");
    // A new sheet without a visit that the current plan has must be refused, and the message must name the visit.
    const auto path = fmt::format("/tmp/sequoia-sheet-{}.csv", getpid());
    writeFile(path, "date;crew;route;visit;team;kind;repeatable;on_holiday\n2026-12-08;c;r;NEW;t;k;yes;keep\n");
    cr_expect_eq(fleet.runCtl({ "sheet", "apply", path }, &out), 7);
    cr_expect(out.find("RO-1001") != std::string::npos, "%s", out.substr(0, 300).c_str());
    unlink(path.c_str());
}

/** The time line must list the events of several processes in causal order. */
Test(TimeLine, eventsOfAllProcessesAreInCausalOrder, .timeout = 60)
{
    TestCluster fleet({ .entries = 1, .agents = 1 });
    Caller caller(fleet.callerAddress(1));
    const auto session = caller.openSession();
    caller.put(session + "~1", job(1, 20));
    std::string out;
    const auto key = session.substr(session.find('~') + 1) + "~1";
    cr_assert_eq(fleet.runCtl({ "timeline", "--filter", key, "--output", "json" }, &out), 0);
    const auto events = Json::parse(out);
    std::vector<std::string> kinds;
    for (const auto& event : events)
        kinds.push_back(event["event"].get<std::string>());
    const std::vector<std::string> expected { "job-submitted", "task-start", "backend-call", "task-answer",
        "job-answered" };
    cr_expect(kinds == expected, "%s", out.c_str());
    cr_expect_eq(fleet.runCtl({ "timeline", "--filter", key, "--output", "html" }, &out), 0);
    cr_expect(out.find("<svg") != std::string::npos);
}
