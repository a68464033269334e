/** @file HostileClientsTest.cpp Callers that exceed every limit: the processes must live on within the memory and the
 * descriptors of the smallest VM. */
#include "PlatformStandins.h"
#include "TestCluster.h"

#include <sequoia/HttpService.h>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/socket.h>

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
            { "sequoia-entry", { "http_threads=40", "max_body_bytes=4096" } },
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
