/** @file HostileClientsTest.cpp Callers that exceed every limit: the processes must live on within the memory and the
 * descriptors of the smallest VM. */
#include "PlatformStandins.h"
#include "TestCluster.h"

#include <sequoia/HttpService.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <criterion/parameterized.h>
#include <cstring>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sequoia;
using namespace sequoia::testing;

namespace {

constexpr size_t crowdSize = 6;
constexpr size_t maxBytesPerClient = 12U << 20U;
/** A third of the smallest VM (120 MB), so that the 72 MB that six clients send show what is kept of them. */
constexpr size_t maxMemoryKb = 40U << 10U;
/** How long a process may leave a client's bytes unread before the client gives up; longer than all its time-outs. */
constexpr Milliseconds unreadTimeout { 8000 };
constexpr Milliseconds ordinaryTimeout { 40000 };
constexpr size_t idleCrowdSize = 300;
/** Of 40 connections of callers and 200 for all else, which leaves 2,875 for callers on the smallest VM (3,075). */
constexpr size_t maxDescriptors = 240;
constexpr size_t unfinishedBodiesCrowd = 72; ///< Of 1 MiB each.

/** A port of a program, and an ordinary request to it. */
struct PortRow {
    char program[32];
    char port[24];
    char path[32];
};

/** Every HTTP port of both products. */
criterion_test_params portRows()
{
    static PortRow rows[] = {
        { "sequoia-platform-entry", "callers_address", "/p/0000000000000001" },
        { "sequoia-platform-entry", "readiness_address", "/ready" },
        { "sequoia-platform-entry", "peers_address", "/configuration" },
        { "sequoia-platform-entry", "metrics_address", "/metrics" },
        { "sequoia-platform-agent", "pings_address", "/x" },
        { "sequoia-platform-agent", "metrics_address", "/metrics" },
        { "sequoia-entry", "http_address", "/healthz" },
        { "sequoia-agent", "http_address", "/healthz" },
    };
    return criterion_test_params(sizeof(PortRow), rows, sizeof(rows) / sizeof(PortRow));
}

/** One program of a product with small limits, alone on loopback addresses. */
class Subject {
public:
    explicit Subject(const std::string& program, const std::vector<std::string>& settings = {})
    {
        std::map<std::string, std::vector<std::string>> ports {
            { "sequoia-platform-entry",
                { "callers_address", "readiness_address", "peers_address", "metrics_address", "link_address" } },
            { "sequoia-platform-agent", { "pings_address", "metrics_address" } },
        };
        std::map<std::string, std::vector<std::string>> fixed {
            { "sequoia-platform-entry",
                { "store_address=" + m_nobody.text, "max_connections=40", "max_body_bytes=4096" } },
            { "sequoia-platform-agent",
                { "store_address=" + m_nobody.text, "server_address=" + m_nobody.text, "seeds=" + m_nobody.text,
                    fmt::format("link_port={}", m_nobody.port) } },
            { "sequoia-entry", { "store_address=" + m_nobody.text, "http_threads=40", "max_body_bytes=4096" } },
            { "sequoia-agent", { "http_threads=40", "max_body_bytes=4096" } },
        };
        std::vector<std::string> words;
        const auto add = [&](const std::string& setting) {
            words.emplace_back("--set");
            words.push_back(setting);
        };
        add("name=subject");
        for (const auto& port : ports[program])
            add(fmt::format("{}={}", port, m_reserved[port].text));
        for (const auto& setting : fixed[program])
            add(setting);
        for (const auto& setting : settings)
            add(setting);
        m_process.emplace("subject", program, words);
        for (const auto& port : ports[program])
            m_addresses[port] = m_reserved[port].text;
        m_addresses.erase("link_address");
        if (m_addresses.empty())
            m_addresses["http_address"] = m_process->waitListening();
        for (const auto& [port, address] : m_addresses)
            cr_assert_gt(ordinaryStatus(address, "/x"), 0, "%s must listen in time", port.c_str());
    }

    const std::map<std::string, std::string>& addresses() const { return m_addresses; }

    /** Status of an ordinary request; 0 if none of its attempts is answered. */
    static int ordinaryStatus(const std::string& address, const std::string& path)
    {
        const auto until = Clock::now() + ordinaryTimeout;
        while (Clock::now() < until) {
            if (const auto reply = makeHttpClient(address, Milliseconds(5000)).Get(path))
                return reply->status;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        return 0;
    }

    bool isRunning() { return m_process->isRunning(); }

    /** Peak of the process's memory, KB. */
    size_t peakMemoryKb() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_process->pid()));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
        return 0;
    }

    size_t openDescriptors() const
    {
        const std::filesystem::directory_iterator all(fmt::format("/proc/{}/fd", m_process->pid()));
        return static_cast<size_t>(std::distance(begin(all), end(all)));
    }

private:
    ReservedAddress m_nobody; ///< Refuses connections.
    std::map<std::string, ReservedAddress> m_reserved;
    std::map<std::string, std::string> m_addresses;
    std::optional<Process> m_process;
};

/** A client on a plain socket. */
class RawClient {
public:
    explicit RawClient(const std::string& address)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        // Small, so that what the process doesn't read isn't taken for read.
        const int bufferBytes = 1U << 16U;
        setsockopt(m_socket, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
        const auto parts = splitAddress(address);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<uint16_t>(parts->second));
        inet_pton(AF_INET, parts->first.c_str(), &to.sin_addr);
        connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    ~RawClient() { close(m_socket); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    /** Sends what the connection takes now, starting at `offset` of a text; returns the bytes taken. */
    size_t send(std::string_view text)
    {
        const auto n = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
            isClosed = true;
        return n < 0 ? 0 : static_cast<size_t>(n);
    }

    bool isClosed = false;
    size_t sent = 0;

private:
    int m_socket;
};

/**
 * Clients of one port send `head` and then `unit` again and again, until the process closes the connection, reads no
 * more, or has read `maxBytesPerClient`, or until its memory exceeds the bound. Returns how many it read to the end.
 */
size_t flood(const Subject& subject, const std::string& address, const std::string& head, const std::string& unit)
{
    constexpr size_t blockBytes = 1U << 16U;
    std::string stream = head;
    while (stream.size() < head.size() + blockBytes)
        stream += unit;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (size_t i = 0; i < crowdSize; ++i)
        clients.push_back(std::make_unique<RawClient>(address));
    auto lastProgress = Clock::now();
    while (Clock::now() - lastProgress < unreadTimeout && subject.peakMemoryKb() <= maxMemoryKb) {
        bool isSending = false;
        size_t taken = 0;
        for (auto& client : clients) {
            if (client->isClosed || client->sent >= maxBytesPerClient)
                continue;
            isSending = true;
            const auto at = client->sent < head.size()
                ? client->sent
                : head.size() + (client->sent - head.size()) % (stream.size() - head.size());
            const auto n = client->send(std::string_view(stream).substr(at));
            client->sent += n;
            taken += n;
        }
        if (!isSending)
            break;
        if (taken > 0)
            lastProgress = Clock::now();
        else
            std::this_thread::sleep_for(Milliseconds(1));
    }
    return static_cast<size_t>(std::count_if(
        clients.begin(), clients.end(), [](const auto& client) { return client->sent >= maxBytesPerClient; }));
}

/** Answers each request with `head` and then `unit` again and again, up to `maxBytesPerClient`, on a few connections.
 */
class EndlessServer {
public:
    EndlessServer(std::string head, std::string unit)
        : m_head(std::move(head))
        , m_unit(std::move(unit))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        cr_assert_eq(bind(m_listener, reinterpret_cast<sockaddr*>(&at), size), 0);
        cr_assert_eq(listen(m_listener, static_cast<int>(crowdSize)), 0);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &size);
        address = fmt::format("127.0.0.1:{}", ntohs(at.sin_port));
        for (size_t i = 0; i < crowdSize; ++i)
            m_threads.emplace_back([this] { answerOne(); });
    }
    ~EndlessServer()
    {
        m_isDone = true;
        shutdown(m_listener, SHUT_RDWR);
        for (auto& thread : m_threads)
            thread.join();
        close(m_listener);
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    std::string address;
    std::atomic<size_t> accepted { 0 };
    std::atomic<size_t> ended { 0 };
    std::atomic<size_t> readToTheEnd { 0 };

private:
    void answerOne()
    {
        const int peer = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
            return;
        ++accepted;
        // Small, so that what the process doesn't read isn't taken for read.
        const int bufferBytes = 1U << 16U;
        setsockopt(peer, SOL_SOCKET, SO_SNDBUF, &bufferBytes, sizeof bufferBytes);
        const timeval pause { 0, 100000 };
        setsockopt(peer, SOL_SOCKET, SO_SNDTIMEO, &pause, sizeof pause);
        std::array<char, 4096> request {};
        recv(peer, request.data(), request.size(), 0);
        std::string block;
        while (block.size() < 1U << 16U)
            block += m_unit;
        send(peer, m_head.data(), m_head.size(), MSG_NOSIGNAL);
        size_t sent = 0;
        while (!m_isDone && sent < maxBytesPerClient) {
            const auto at = sent % block.size();
            const auto n = send(peer, block.data() + at, block.size() - at, MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN)
                break;
            sent += n < 0 ? 0 : static_cast<size_t>(n);
        }
        readToTheEnd += sent >= maxBytesPerClient ? 1 : 0;
        close(peer);
        ++ended;
    }

    std::string m_head;
    std::string m_unit;
    int m_listener;
    std::atomic<bool> m_isDone { false };
    std::vector<std::thread> m_threads;
};

/** Floods a port and checks that the process outlives it within its memory, and still answers. */
void checkFlood(const PortRow& row, const std::string& head, const std::string& unit)
{
    Subject subject(row.program);
    const auto& address = subject.addresses().at(row.port);
    const auto usualStatus = Subject::ordinaryStatus(address, row.path);
    const auto usualMemoryKb = subject.peakMemoryKb();
    const auto readToTheEnd = flood(subject, address, head, unit);
    cr_assert(subject.isRunning(), "%s ended", row.program);
    const auto memoryKb = subject.peakMemoryKb();
    cr_expect_leq(memoryKb, maxMemoryKb, "%s %s: peak memory %zu KB, before the flood %zu KB", row.program, row.port,
        memoryKb, usualMemoryKb);
    cr_expect_eq(readToTheEnd, 0, "%s %s read all %zu bytes of %zu clients", row.program, row.port, maxBytesPerClient,
        readToTheEnd);
    const auto status = Subject::ordinaryStatus(address, row.path);
    cr_expect_eq(
        status, usualStatus, "%s %s: status %d after the flood, %d before", row.program, row.port, status, usualStatus);
}

/** Sends bodies that are each within the limit, but never end, and checks that they don't fill the memory together. */
void checkUnfinishedBodies(const PortRow& row)
{
    const std::string program = row.program;
    Subject subject(program,
        program == "sequoia-platform-entry"
            ? std::vector<std::string> { "max_connections=100", "max_body_bytes=1048576" }
            : program == "sequoia-platform-agent"
            ? std::vector<std::string>()
            : std::vector<std::string> { "http_threads=100", "max_body_bytes=1048576" });
    const auto& address = subject.addresses().at(row.port);
    const auto usualStatus = Subject::ordinaryStatus(address, row.path);
    {
        const std::string text
            = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n" + std::string(1048575, 'x');
        std::vector<std::unique_ptr<RawClient>> crowd;
        for (size_t i = 0; i < unfinishedBodiesCrowd; ++i)
            crowd.push_back(std::make_unique<RawClient>(address));
        auto lastProgress = Clock::now();
        while (Clock::now() - lastProgress < Milliseconds(1500) && subject.peakMemoryKb() <= maxMemoryKb) {
            for (auto& client : crowd) {
                const auto n = client->isClosed || client->sent == text.size()
                    ? 0
                    : client->send(std::string_view(text).substr(client->sent));
                client->sent += n;
                if (n > 0)
                    lastProgress = Clock::now();
            }
        }
        std::this_thread::sleep_for(Milliseconds(500)); // What the sockets still hold is read.
    }
    cr_assert(subject.isRunning(), "%s ended", row.program);
    const auto memoryKb = subject.peakMemoryKb();
    cr_expect_leq(memoryKb, maxMemoryKb, "%s %s: peak memory %zu KB", row.program, row.port, memoryKb);
    const auto status = Subject::ordinaryStatus(address, row.path);
    cr_expect_eq(status, usualStatus, "%s %s: status %d, %d before", row.program, row.port, status, usualStatus);
}

std::string chunkedHead(const std::string& rest)
{
    return "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

} // namespace

ParameterizedTestParameters(HostileClients, endlessTrailers) { return portRows(); }

/** Trailers without end were kept until the process ran out of memory, or were read for ever. */
ParameterizedTest(PortRow* row, HostileClients, endlessTrailers, .timeout = 120)
{
    checkFlood(*row, chunkedHead("1\r\nx\r\n0\r\n"), "a:b\r\n");
}

/** Input without end in a place that the trailers' test doesn't cover. */
struct EndlessRow {
    char name[32];
    char head[128];
    char unit[48];
};

ParameterizedTestParameters(HostileClients, endlessInput)
{
    static EndlessRow rows[] = {
        { "chunk extension", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "aaaaaaaa" },
        { "chunk extensions", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1;a=bbbbbbbbbbbb\r\nx\r\n" },
        { "chunk size", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "00000000" },
        { "chunks", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n" },
        { "trailer line", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:", "aaaaaaaa" },
        { "folded trailer", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:b\r\n", " c\r\n" },
        { "header lines", "GET /x HTTP/1.1\r\nHost: x\r\n", "a:b\r\n" },
        { "header line", "GET /x HTTP/1.1\r\nHost: x\r\na:", "aaaaaaaa" },
        { "folded header", "GET /x HTTP/1.1\r\nHost: x\r\na:b\r\n", " c\r\n" },
        { "request line", "GET /", "aaaaaaaa" },
        { "line of carriage returns", "GET /x HTTP/1.1\r\nHost: x\r\na:", "\r\r\r\r" },
        { "declared body", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000000\r\n\r\n", "aaaaaaaa" },
        { "unread answers", "", "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" },
    };
    return cr_make_param_array(EndlessRow, rows, sizeof(rows) / sizeof(EndlessRow));
}

/** No part of a request may be kept, or read, without end: the process ran out of memory, or was busy for ever. */
ParameterizedTest(EndlessRow* row, HostileClients, endlessInput, .timeout = 240)
{
    const auto ports = portRows();
    const auto* port = static_cast<const PortRow*>(ports.params);
    for (size_t i = 0; i < ports.length; ++i) {
        cr_log_info("%s: %s %s", row->name, port[i].program, port[i].port);
        checkFlood(port[i], row->head, row->unit);
    }
}

ParameterizedTestParameters(HostileClients, tricklingBodies) { return portRows(); }

/** Six bodies that come byte by byte on a server of four connections must not keep others out for ever. */
ParameterizedTest(PortRow* row, HostileClients, tricklingBodies, .timeout = 120)
{
    const std::string program = row->program;
    Subject subject(program,
        program == "sequoia-platform-entry" ? std::vector<std::string> { "max_connections=4" }
            : program == "sequoia-platform-agent"
            ? std::vector<std::string>()
            : std::vector<std::string> { "http_threads=4", "http_read_timeout_ms=500" });
    const auto& address = subject.addresses().at(row->port);
    const auto usualStatus = Subject::ordinaryStatus(address, row->path);
    std::atomic<bool> isDone { false };
    std::thread trickle([&] {
        std::vector<std::unique_ptr<RawClient>> clients;
        for (size_t i = 0; i < crowdSize; ++i)
            clients.push_back(std::make_unique<RawClient>(address));
        const std::string head = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n";
        while (!isDone) {
            for (auto& client : clients) {
                if (!client->isClosed)
                    client->sent += client->send(client->sent < head.size() ? head.substr(client->sent) : "x");
            }
            std::this_thread::sleep_for(Milliseconds(50));
        }
    });
    std::this_thread::sleep_for(Milliseconds(300)); // So that the crowd has all connections.
    const auto status = Subject::ordinaryStatus(address, row->path);
    isDone = true;
    trickle.join();
    cr_assert(subject.isRunning(), "%s ended", row->program);
    cr_expect_leq(subject.peakMemoryKb(), maxMemoryKb);
    cr_expect_eq(status, usualStatus, "%s %s: status %d, %d before", row->program, row->port, status, usualStatus);
}

/** A program, and how many of its ports take a crowd. */
struct ProgramRow {
    char program[32];
};

ParameterizedTestParameters(HostileClients, idleConnections)
{
    static ProgramRow rows[]
        = { { "sequoia-platform-entry" }, { "sequoia-platform-agent" }, { "sequoia-entry" }, { "sequoia-agent" } };
    return cr_make_param_array(ProgramRow, rows, sizeof(rows) / sizeof(ProgramRow));
}

/** Idle connections must leave descriptors for the store, peers, links and logs: 3,075 on the smallest VM. */
ParameterizedTest(ProgramRow* row, HostileClients, idleConnections, .timeout = 120)
{
    Subject subject(row->program);
    {
        std::vector<std::unique_ptr<RawClient>> crowd;
        for (size_t i = 0; i < idleCrowdSize; ++i)
            crowd.push_back(std::make_unique<RawClient>(
                std::next(subject.addresses().begin(), static_cast<long>(i % subject.addresses().size()))->second));
        size_t most = 0;
        auto lastChange = Clock::now();
        while (Clock::now() - lastChange < Milliseconds(1500)) {
            const auto now = subject.openDescriptors();
            if (now > most)
                lastChange = Clock::now();
            most = std::max(most, now);
            std::this_thread::sleep_for(Milliseconds(10));
        }
        cr_expect_leq(
            most, maxDescriptors, "%s: %zu descriptors with %zu idle connections", row->program, most, idleCrowdSize);
        cr_expect_leq(subject.peakMemoryKb(), maxMemoryKb);
    }
    cr_assert(subject.isRunning(), "%s ended", row->program);
    for (const auto& [port, address] : subject.addresses())
        cr_expect_gt(Subject::ordinaryStatus(address, "/x"), 0, "%s %s must answer", row->program, port.c_str());
}

ParameterizedTestParameters(HostileClients, unfinishedBodies)
{
    auto rows = portRows();
    rows.length -= 2;
    return rows;
}

/** 72 bodies of almost 1 MiB that never end took the memory of a small VM. */
ParameterizedTest(PortRow* row, HostileClients, unfinishedBodies, .timeout = 120) { checkUnfinishedBodies(*row); }

ParameterizedTestParameters(HostileClients, unfinishedBodiesOfOwnProduct)
{
    auto rows = portRows();
    rows.params = static_cast<PortRow*>(rows.params) + rows.length - 2;
    rows.length = 2;
    return rows;
}

/** The same on the ports of sequoia-entry and sequoia-agent. */
ParameterizedTest(PortRow* row, HostileClients, unfinishedBodiesOfOwnProduct, .timeout = 120)
{
    checkUnfinishedBodies(*row);
}

/** Which program asks which hostile peer, and how the peer's answers begin and go on. */
struct AnswerRow {
    char program[32];
    char setting[24]; ///< Names the peer's address.
    char head[96];
    char unit[16];
};

ParameterizedTestParameters(HostileClients, endlessAnswers)
{
    static std::vector<AnswerRow> rows;
    const std::pair<const char*, const char*> peers[]
        = { { "sequoia-platform-entry", "store_address" }, { "sequoia-platform-entry", "seeds" },
              { "sequoia-platform-agent", "store_address" }, { "sequoia-platform-agent", "server_address" },
              { "sequoia-entry", "store_address" }, { "sequoia-entry", "peers" }, { "sequoia-agent", "entries" } };
    const std::pair<const char*, const char*> answers[]
        = { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n" },
              { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "aaaaaaaa" },
              { "HTTP/1.1 200 OK\r\n", "a:b\r\n" }, { "HTTP/1.1 200 OK\r\na:", "aaaaaaaa" } };
    for (const auto& [program, setting] : peers) {
        for (const auto& [head, unit] : answers) {
            auto& row = rows.emplace_back();
            std::strncpy(row.program, program, sizeof row.program - 1);
            std::strncpy(row.setting, setting, sizeof row.setting - 1);
            std::strncpy(row.head, head, sizeof row.head - 1);
            std::strncpy(row.unit, unit, sizeof row.unit - 1);
        }
    }
    return criterion_test_params(sizeof(AnswerRow), rows.data(), rows.size());
}

/** A backend server, store or peer that answers without end must not take a client's memory. */
ParameterizedTest(AnswerRow* row, HostileClients, endlessAnswers, .timeout = 120)
{
    EndlessServer peer(row->head, row->unit);
    Subject subject(row->program, { std::string(row->setting) + "=" + peer.address });
    const auto until = Clock::now() + Milliseconds(6000);
    while (Clock::now() < until && peer.ended < crowdSize && subject.peakMemoryKb() <= maxMemoryKb)
        std::this_thread::sleep_for(Milliseconds(10));
    cr_assert(subject.isRunning(), "%s ended", row->program);
    const auto memoryKb = subject.peakMemoryKb();
    cr_expect_gt(peer.accepted, 0, "%s %s must ask its peer", row->program, row->setting);
    cr_expect_leq(
        memoryKb, maxMemoryKb, "%s %s %s: peak memory %zu KB", row->program, row->setting, row->unit, memoryKb);
    cr_expect_eq(peer.readToTheEnd, 0, "%s %s %s: read %d answers to the end", row->program, row->setting, row->unit,
        peer.readToTheEnd.load());
    for (const auto& [port, address] : subject.addresses())
        cr_expect_gt(Subject::ordinaryStatus(address, "/x"), 0, "%s %s must answer", row->program, port.c_str());
}
