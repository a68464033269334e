/** @file Standins.h Stand-ins for the scripts of the review: the platform's store, backend servers, callers, a proxy,
 * and the start of the project's own programs. Header only; blocking sockets and a thread for each connection. */
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Steady::time_point testStart = Steady::now();

inline int64_t nowMs() { return std::chrono::duration_cast<Ms>(Steady::now() - testStart).count(); }
inline int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void sleepMs(int64_t n) { std::this_thread::sleep_for(Ms(n)); }
inline void sleepUntilMs(int64_t at)
{
    if (at > nowMs())
        sleepMs(at - nowMs());
}

/** What was sent, answered and run; goes to record.txt. */
class Record {
public:
    void open(const std::string& path) { m_file.open(path); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f s  ", static_cast<double>(nowMs()) / 1000);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline Record record;

struct CannotRun {
    std::string what;
};

// ---- Sockets and HTTP
// ------------------------------------------------------------------------------------------------

inline sockaddr_in socketAddress(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
    return at;
}

inline int listenOn(const std::string& address, int backlog = 1024)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    auto at = socketAddress(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 || listen(fd, backlog) != 0)
        throw CannotRun { "cannot listen on " + address };
    return fd;
}

/** A port that is free now on all of the addresses. */
inline int freePort(const std::vector<std::string>& hosts)
{
    static int next = 12000 + static_cast<int>(getpid() % 180) * 100;
    for (; next < 60000; ++next) {
        std::vector<int> sockets;
        bool isFree = true;
        for (const auto& host : hosts) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockets.push_back(fd);
            auto at = socketAddress(host + ":" + std::to_string(next));
            isFree = isFree && bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
        }
        for (const int fd : sockets)
            close(fd);
        if (isFree)
            return next++;
    }
    throw CannotRun { "no free port" };
}

inline bool waitReadable(int fd, int64_t ms)
{
    pollfd p { fd, POLLIN, 0 };
    return ::poll(&p, 1, static_cast<int>(std::max<int64_t>(ms, 0))) > 0;
}

struct Message {
    std::string first; ///< Request or status line.
    std::map<std::string, std::string> headers;
    std::string body;
};

/** Reads one HTTP message; empty if the peer closed, or at the time limit. */
inline std::optional<Message> readMessage(int fd, std::string& buffer, int64_t until, const std::atomic<bool>* isEnding)
{
    const auto more = [&]() -> bool {
        for (;;) {
            if (isEnding != nullptr && *isEnding)
                return false;
            const auto left = until - nowMs();
            if (left <= 0)
                return false;
            if (!waitReadable(fd, std::min<int64_t>(left, 100)))
                continue;
            char chunk[16384];
            const auto n = recv(fd, chunk, sizeof(chunk), 0);
            if (n <= 0)
                return false;
            buffer.append(chunk, static_cast<size_t>(n));
            return true;
        }
    };
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return std::nullopt;
    }
    Message message;
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    std::getline(head, message.first);
    if (!message.first.empty() && message.first.back() == '\r')
        message.first.pop_back();
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        for (auto& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const auto begin = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    const auto length
        = message.headers.contains("content-length") ? std::stoul(message.headers["content-length"]) : 0UL;
    while (buffer.size() < end + 4 + length) {
        if (!more())
            return std::nullopt;
    }
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return message;
}

inline bool sendAll(int fd, const std::string& data)
{
    size_t sent = 0;
    while (sent < data.size()) {
        const auto n = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

inline void setNoDelay(int fd)
{
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Reply {
    int status = 0; ///< 0: no answer.
    std::string body;
};

/** HTTP server with a thread for each connection. */
class Server {
public:
    using Handler = std::function<Reply(const Request&)>;

    Server(const std::string& address, Handler handler)
        : m_handler(std::move(handler))
        , m_fd(listenOn(address))
        , m_acceptor([this] { accept(); })
    {
    }
    ~Server()
    {
        m_isEnding = true;
        m_acceptor.join();
        for (auto& thread : m_threads)
            thread.join();
        close(m_fd);
    }

private:
    void accept()
    {
        while (!m_isEnding) {
            if (!waitReadable(m_fd, 50))
                continue;
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            setNoDelay(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        std::string buffer;
        while (!m_isEnding) {
            const auto message = readMessage(fd, buffer, nowMs() + 600000, &m_isEnding);
            if (!message)
                break;
            Request request;
            std::istringstream first(message->first);
            first >> request.method >> request.target;
            request.headers = message->headers;
            request.body = message->body;
            const auto reply = m_handler(request);
            if (reply.status == 0)
                break;
            if (!sendAll(fd,
                    "HTTP/1.1 " + std::to_string(reply.status)
                        + " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size())
                        + "\r\n\r\n" + reply.body))
                break;
        }
        close(fd);
    }

    Handler m_handler;
    int m_fd;
    std::atomic<bool> m_isEnding { false };
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** Sends one request on a new connection. Status 0: no answer in time, or the connection broke. */
inline Reply call(const std::string& address, const std::string& method, const std::string& target,
    const std::string& host, const std::string& body, int64_t timeoutMs,
    const std::vector<std::pair<std::string, std::string>>& headers = {})
{
    const auto until = nowMs() + timeoutMs;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = socketAddress(address);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
        pollfd p { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&p, 1, static_cast<int>(timeoutMs)) <= 0
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return {};
        }
    }
    fcntl(fd, F_SETFL, 0);
    setNoDelay(fd);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Reply reply;
    std::string buffer;
    if (sendAll(fd, text)) {
        if (const auto message = readMessage(fd, buffer, until, nullptr)) {
            reply.status = std::stoi(message->first.substr(9, 3));
            reply.body = message->body;
        }
    }
    close(fd);
    return reply;
}

// ---- The platform's store
// ---------------------------------------------------------------------------------------------

inline std::string toBase64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t n = static_cast<unsigned char>(text[i]) << 16;
        if (i + 1 < text.size())
            n |= static_cast<unsigned char>(text[i + 1]) << 8;
        if (i + 2 < text.size())
            n |= static_cast<unsigned char>(text[i + 2]);
        out += digits[n >> 18];
        out += digits[(n >> 12) & 63];
        out += i + 1 < text.size() ? digits[(n >> 6) & 63] : '=';
        out += i + 2 < text.size() ? digits[n & 63] : '=';
    }
    return out;
}

/** The store of PROTOCOL.md, "The platform's metadata store". Values are kept as base64 text. */
class Store {
public:
    explicit Store(const std::string& address)
        : m_server(address, [this](const Request& request) { return handle(request); })
    {
    }
    ~Store()
    {
        m_isEnding = true;
        m_changed.notify_all();
    }
    /** The operator writes a value; returns when it is acknowledged. */
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, toBase64(value), 0);
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        uint64_t revision;
        bool isRemoved;
        Item item;
    };
    struct Lease {
        int64_t ttl;
        int64_t ends;
    };

    static std::string unescape(const std::string& text)
    {
        std::string out;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    static std::map<std::string, std::string> queryOf(const std::string& target)
    {
        std::map<std::string, std::string> out;
        const auto mark = target.find('?');
        if (mark == std::string::npos)
            return out;
        std::istringstream rest(target.substr(mark + 1));
        std::string part;
        while (std::getline(rest, part, '&')) {
            const auto equal = part.find('=');
            if (equal != std::string::npos)
                out[part.substr(0, equal)] = unescape(part.substr(equal + 1));
        }
        return out;
    }
    static Json toJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
            { "lease", item.lease } };
    }
    void write(const std::string& key, const std::string& value, uint64_t lease)
    {
        auto& item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        if (item.created == 0)
            item.created = m_revision;
        item.lease = lease;
        m_events.push_back({ key, m_revision, false, item });
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({ key, ++m_revision, true, {} });
    }
    void expire()
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.ends > nowMs()) {
                ++it;
                continue;
            }
            endLease(it->first);
            it = m_leases.erase(it);
        }
    }
    void endLease(uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            remove(key);
        m_changed.notify_all();
    }
    Reply handle(const Request& request)
    {
        sleepMs(4);
        const auto path = request.target.substr(0, request.target.find('?'));
        auto query = queryOf(request.target);
        std::unique_lock lock(m_mutex);
        expire();
        const std::string root = "/sequoiafold/";
        if (path == root + "kv-key") {
            const auto it = m_items.find(query["key"]);
            if (it == m_items.end())
                return { 404, "{}" };
            auto out = toJson(it->first, it->second);
            out["current_rev"] = m_revision;
            return { 200, out.dump() };
        }
        if (path == root + "kv-range") {
            Json items = Json::array();
            const auto& prefix = query["prefix"];
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix) && key > query["after"])
                    items.push_back(toJson(key, item));
            }
            return { 200, Json { { "items", items }, { "truncated", false }, { "current_rev", m_revision } }.dump() };
        }
        if (path == root + "kv-watch") {
            const auto prefix = query["prefix"];
            const auto after = std::stoull(query["after"]);
            const auto until = nowMs() + std::stoll(query["wait_ms"]);
            for (;;) {
                Json events = Json::array();
                for (const auto& event : m_events) {
                    if (event.revision <= after || !event.key.starts_with(prefix))
                        continue;
                    events.push_back(event.isRemoved
                            ? Json { { "key", event.key }, { "revision", event.revision }, { "removed", true } }
                            : toJson(event.key, event.item));
                }
                if (!events.empty() || nowMs() >= until || m_isEnding)
                    return { 200, Json { { "events", events }, { "current_rev", m_revision } }.dump() };
                m_changed.wait_for(lock, Ms(std::min<int64_t>(50, std::max<int64_t>(until - nowMs(), 1))));
                expire();
            }
        }
        if (path == root + "kv-txn") {
            const auto json = Json::parse(request.body);
            Json current = Json::array();
            bool isMet = true;
            for (const auto& row : json.value("expected_rev", Json::array())) {
                const auto key = row.at("key").get<std::string>();
                const auto it = m_items.find(key);
                isMet = isMet && (it == m_items.end() ? 0 : it->second.revision) == row.at("revision").get<uint64_t>();
                if (it != m_items.end())
                    current.push_back(toJson(key, it->second));
            }
            if (!isMet)
                return { 412, Json { { "items", current } }.dump() };
            for (const auto& row : json.value("writes", Json::array())) {
                const auto lease = row.value("lease", uint64_t(0));
                if (lease != 0 && !m_leases.contains(lease))
                    return { 404, "{}" };
                if (row.at("key").get<std::string>().starts_with("op/"))
                    return { 403, "{}" };
            }
            for (const auto& row : json.value("writes", Json::array()))
                write(row.at("key"), row.at("value"), row.value("lease", uint64_t(0)));
            for (const auto& key : json.value("remove", Json::array()))
                remove(key);
            m_changed.notify_all();
            return { 200, Json { { "revision", m_revision } }.dump() };
        }
        if (path == root + "kv-lease") {
            const auto ttl = Json::parse(request.body).at("ttl_ms").get<int64_t>();
            const auto lease = ++m_lastLease;
            m_leases[lease] = { ttl, nowMs() + ttl };
            return { 200, Json { { "lease", lease }, { "ttl_ms", ttl } }.dump() };
        }
        for (const std::string verb : { "kv-keep/", "kv-lease-end/" }) {
            if (!path.starts_with(root + verb))
                continue;
            const auto it = m_leases.find(std::stoull(path.substr(root.size() + verb.size())));
            if (it == m_leases.end())
                return { 404, "{}" };
            it->second.ends = nowMs() + it->second.ttl;
            if (verb == "kv-lease-end/") {
                endLease(it->first);
                m_leases.erase(it);
            }
            return { 200, "{}" };
        }
        return { 404, "{}" };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isEnding { false };
    uint64_t m_revision = 100;
    uint64_t m_lastLease = 10;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<uint64_t, Lease> m_leases;
    Server m_server;
};

// ---- Backend servers
// --------------------------------------------------------------------------------------------------

/** A run as its server saw it. */
struct RunSeen {
    std::string server;
    std::string task;
    uint64_t run;
    std::string spec;
    int64_t started;
    std::vector<std::string> labels; ///< Of the server.
    int64_t ended = -1; ///< -1: still running.
    std::string how {};
};

/** All runs of all servers, for the checks. */
class Runs {
public:
    size_t begin(RunSeen run)
    {
        record.line("server " + run.server + " starts " + run.task + " run " + std::to_string(run.run));
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }
    void end(size_t at, const std::string& how)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[at].ended = nowMs();
        m_runs[at].how = how;
        record.line("server " + m_runs[at].server + " ends " + m_runs[at].task + " run "
            + std::to_string(m_runs[at].run) + ": " + how);
    }
    std::vector<RunSeen> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<RunSeen> m_runs;
};

inline Runs runs;

/** A worker of PROTOCOL.md, "Running tasks". A task works as many ms as the number at the start of its `spec`, times
 * `slowness`. */
class Worker {
public:
    Worker(std::string id, std::string service, const std::string& address, std::string agentAddress, Json capacity,
        std::vector<std::string> labels = { "a", "r1-1" }, double slowness = 1.0)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_address(address)
        , m_agent(std::move(agentAddress))
        , m_capacity(std::move(capacity))
        , m_labels(std::move(labels))
        , m_slowness(slowness)
        , m_bornAt(nowMs())
        , m_born(unixMs())
        , m_server(address, [this](const Request& request) { return handle(request); })
        , m_clockThread([this] { watchRuns(); })
        , m_pingThread([this] { ping(); })
    {
    }
    ~Worker()
    {
        m_isEnding = true;
        m_changed.notify_all();
        m_clockThread.join();
        m_pingThread.join();
    }

    /** Reports `draining` from now on. */
    void drain()
    {
        m_isDraining = true;
        record.line("server " + m_id + " drains");
    }
    /** When the first report of draining was acknowledged; -1 before. */
    int64_t drainAckedAt() const { return m_drainAckedAt; }
    /** A report of this server, as it is sent with a ping. */
    Json report(uint64_t seq) const
    {
        Json body { { "service", m_service }, { "address", m_address }, { "zone", "a" }, { "version", "v1" },
            { "slots", 8 }, { "state", m_isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 },
            { "capacity", m_capacity }, { "labels", m_labels }, { "clock_ms", clock() }, { "born", m_born },
            { "seq", seq } };
        if (m_isDraining)
            body["drain_left_ms"] = 8000;
        return body;
    }

private:
    struct Run {
        uint64_t run;
        int64_t due;
        size_t seen;
    };
    struct End {
        uint64_t number;
        std::string task;
        uint64_t run;
        std::string how;
    };
    static constexpr int64_t maxHoldMs = 1000;

    int64_t clock() const { return nowMs() - m_bornAt; }
    void grant(const Json& json)
    {
        if (json.contains("until_ms"))
            m_until = std::max(m_until, std::min(json["until_ms"].get<int64_t>(), clock() + maxHoldMs));
    }
    void endRun(const std::string& task, const std::string& how)
    {
        const auto it = m_runs.find(task);
        m_over[task] = std::max(m_over[task], it->second.run);
        m_ends.push_back({ ++m_lastEnd, task, it->second.run, how });
        runs.end(it->second.seen, how);
        m_runs.erase(it);
        m_changed.notify_all();
    }
    void watchRuns()
    {
        while (!m_isEnding) {
            {
                const std::lock_guard lock(m_mutex);
                std::vector<std::pair<std::string, std::string>> over;
                for (const auto& [task, run] : m_runs) {
                    if (nowMs() >= run.due)
                        over.emplace_back(task, "done");
                    else if (clock() >= m_until)
                        over.emplace_back(task, "lapsed");
                }
                for (const auto& [task, how] : over)
                    endRun(task, how);
            }
            sleepMs(2);
        }
    }
    void ping()
    {
        uint64_t seq = 0;
        while (!m_isEnding) {
            const bool isDraining = m_isDraining;
            const auto reply
                = call(m_agent, "PUT", "/sequoiafold/instances/" + m_id, m_agent, report(++seq).dump(), 1000);
            if (isDraining && reply.status == 200 && m_drainAckedAt < 0) {
                m_drainAckedAt = nowMs();
                record.line("the agent acknowledges that server " + m_id + " is draining");
            }
            const auto next = nowMs() + (reply.status == 200 ? 1500 : 200);
            while (!m_isEnding && nowMs() < next && (isDraining || !m_isDraining))
                sleepMs(10);
        }
    }
    Reply with(int status, Json json) const
    {
        json["clock_ms"] = clock();
        json["born"] = m_born;
        return { status, json.dump() };
    }
    Reply handle(const Request& request)
    {
        const auto reply = answer(request);
        return m_isEnding ? Reply() : reply; // A crashed server answers nothing.
    }
    Reply answer(const Request& request)
    {
        if (request.headers.contains("expect-instance") && request.headers.at("expect-instance") != m_id)
            return with(421, Json::object());
        const auto json = Json::parse(request.body, nullptr, false);
        if (!json.is_object())
            return with(400, Json::object());
        std::unique_lock lock(m_mutex);
        const auto fence = json.value("fence", uint64_t(0));
        if (fence < m_fence)
            return with(409, { { "reason", "fence" } });
        m_fence = fence;
        if (request.target == "/sequoiafold/run-start") {
            const auto task = json.at("task").get<std::string>();
            const auto run = json.at("run").get<uint64_t>();
            if (json.at("until_ms").get<int64_t>() <= clock())
                return with(409, { { "reason", "late" } });
            grant(json);
            const auto it = m_runs.find(task);
            if (it != m_runs.end() && it->second.run == run)
                return with(200, Json::object());
            if (it != m_runs.end() || run <= m_over[task])
                return with(409, { { "reason", "old" } });
            const auto spec = json.at("spec").get<std::string>();
            const auto work = static_cast<int64_t>(std::strtod(spec.c_str(), nullptr) * m_slowness);
            m_runs[task] = { run, nowMs() + work, runs.begin({ m_id, task, run, spec, nowMs(), m_labels }) };
            return with(200, Json::object());
        }
        if (request.target == "/sequoiafold/run-stop") {
            const auto task = json.at("task").get<std::string>();
            const auto run = json.at("run").get<uint64_t>();
            const auto it = m_runs.find(task);
            if (it != m_runs.end() && it->second.run <= run)
                endRun(task, "stopped");
            m_over[task] = std::max(m_over[task], run);
            return with(200, Json::object());
        }
        if (request.target == "/sequoiafold/hold") {
            grant(json);
            const auto seen = json.value("seen_upto", uint64_t(0));
            std::erase_if(m_ends, [&](const End& end) { return end.number <= seen; });
            const auto until = nowMs() + json.value("wait_ms", int64_t(0));
            while (m_ends.empty() && nowMs() < until && !m_isEnding)
                m_changed.wait_for(lock, Ms(std::max<int64_t>(until - nowMs(), 1)));
            Json running = Json::array();
            for (const auto& [task, run] : m_runs)
                running.push_back({ task, run.run, "", 50, 100 });
            Json ended = Json::array();
            for (const auto& end : m_ends)
                ended.push_back({ end.number, end.task, end.run, end.how, "" });
            return with(200, { { "running", running }, { "ended", ended } });
        }
        return with(404, Json::object());
    }

    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::string m_agent;
    Json m_capacity;
    std::vector<std::string> m_labels;
    double m_slowness;
    int64_t m_bornAt;
    int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isEnding { false };
    std::atomic<bool> m_isDraining { false };
    std::atomic<int64_t> m_drainAckedAt { -1 };
    uint64_t m_fence = 0;
    int64_t m_until = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, uint64_t> m_over;
    std::vector<End> m_ends;
    uint64_t m_lastEnd = 0;
    Server m_server;
    std::thread m_clockThread;
    std::thread m_pingThread;
};

// ---- Proxy
// ------------------------------------------------------------------------------------------------------------

/** Passes connections on. `silence` makes the open ones pass nothing any more, without a reset; new ones work. */
class Proxy {
public:
    Proxy(const std::string& listen, std::string to)
        : m_to(std::move(to))
        , m_fd(listenOn(listen))
        , m_acceptor([this] { accept(); })
    {
    }
    ~Proxy()
    {
        m_isEnding = true;
        m_acceptor.join();
        for (auto& thread : m_threads)
            thread.join();
        close(m_fd);
    }
    void silence() { ++m_silenced; }
    size_t opened() const { return m_opened; }

private:
    void accept()
    {
        while (!m_isEnding) {
            if (!waitReadable(m_fd, 50))
                continue;
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            ++m_opened;
            m_threads.emplace_back([this, fd] { pass(fd); });
        }
    }
    void pass(int from)
    {
        const int epoch = m_silenced;
        const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto at = socketAddress(m_to);
        if (connect(to, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
            close(to);
            close(from);
            return;
        }
        setNoDelay(from);
        setNoDelay(to);
        while (!m_isEnding) {
            if (m_silenced != epoch) {
                sleepMs(20); // The connection stays open, and nothing is read or written.
                continue;
            }
            pollfd p[2] { { from, POLLIN, 0 }, { to, POLLIN, 0 } };
            if (::poll(p, 2, 20) <= 0)
                continue;
            if (m_silenced != epoch)
                continue;
            bool isOver = false;
            for (int i = 0; i < 2; ++i) {
                if (p[i].revents == 0)
                    continue;
                char chunk[16384];
                const auto n = recv(p[i].fd, chunk, sizeof(chunk), 0);
                if (n <= 0 || !sendAll(i == 0 ? to : from, std::string(chunk, static_cast<size_t>(n))))
                    isOver = true;
            }
            if (isOver)
                break;
        }
        close(to);
        close(from);
    }

    std::string m_to;
    int m_fd;
    std::atomic<bool> m_isEnding { false };
    std::atomic<int> m_silenced { 0 };
    std::atomic<size_t> m_opened { 0 };
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

// ---- The project's programs
// -------------------------------------------------------------------------------------------

/** A process of the project. Ends with this program. */
class Process {
public:
    Process(std::string name, std::string program, const std::string& settings, const std::string& folder)
        : m_name(std::move(name))
        , m_program(std::move(program))
        , m_file(folder + "/" + m_name + ".toml")
        , m_log(folder + "/" + m_name + ".log")
    {
        std::ofstream(m_file) << settings;
        start();
    }
    ~Process()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }
    void start()
    {
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("SEQUOIAFOLD_CONFIG", m_file.c_str(), 1);
            execl(m_program.c_str(), m_program.c_str(), nullptr);
            _exit(127);
        }
        record.line(m_name + " started");
    }
    void signal(int number, const char* name)
    {
        record.line(m_name + " gets " + name);
        ::kill(m_pid, number);
    }
    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = -1;
        return m_pid > 0;
    }
    pid_t pid() const { return m_pid; }

private:
    std::string m_name;
    std::string m_program;
    std::string m_file;
    std::string m_log;
    pid_t m_pid = -1;
};

/** Gives a process a share of a core as a usage cap (DEPLOY.md, "How these days are played"): it runs at full speed
 * until the cap is used up, and then not at all for the rest of that tenth of a second. */
class UsageCap {
public:
    UsageCap(pid_t pid, double share, int64_t periodUs)
        : m_pid(pid)
        , m_thread([this, share, periodUs] { limit(share, periodUs); })
    {
    }
    ~UsageCap()
    {
        m_isEnding = true;
        m_thread.join();
        ::kill(m_pid, SIGCONT);
    }
    /** A frozen process stands still as long as that is so, whatever its cap. */
    void setFrozen(bool isFrozen)
    {
        const std::lock_guard lock(m_mutex);
        m_isFrozen = isFrozen;
        ::kill(m_pid, isFrozen ? SIGSTOP : SIGCONT);
    }

private:
    static int64_t usedUs(clockid_t clock)
    {
        timespec t {};
        clock_gettime(clock, &t);
        return t.tv_sec * 1000000 + t.tv_nsec / 1000;
    }
    void limit(double share, int64_t periodUs)
    {
        clockid_t clock {};
        if (clock_getcpuclockid(m_pid, &clock) != 0)
            return;
        const auto quota = static_cast<int64_t>(periodUs * share);
        while (!m_isEnding) {
            const auto begin = Steady::now();
            const auto end = begin + std::chrono::microseconds(periodUs);
            const auto before = usedUs(clock);
            while (!m_isEnding && Steady::now() < end) {
                std::this_thread::sleep_for(std::chrono::microseconds(100));
                if (usedUs(clock) - before < quota)
                    continue;
                {
                    const std::lock_guard lock(m_mutex);
                    ::kill(m_pid, SIGSTOP);
                }
                std::this_thread::sleep_until(end);
                const std::lock_guard lock(m_mutex);
                if (!m_isFrozen)
                    ::kill(m_pid, SIGCONT);
            }
        }
    }

    pid_t m_pid;
    std::mutex m_mutex;
    bool m_isFrozen = false;
    std::atomic<bool> m_isEnding { false };
    std::thread m_thread;
};

inline std::string jsonText(const std::string& text) { return Json(text).dump(); }

/** A small deployment on loopback addresses: entries, and agents each with a worker. Settings as the templates of the
 * deploy file render them. */
struct Deployment {
    struct Entry {
        std::string host, callers, ready, peers, storeAddress;
        std::unique_ptr<Proxy> storeProxy;
        std::unique_ptr<Process> process;
    };
    struct Agent {
        std::string pings, serverAddress, storeAddress;
        std::unique_ptr<Proxy> storeProxy;
        std::unique_ptr<Process> process;
        std::unique_ptr<Worker> worker;
    };

    Deployment(size_t entryCount, size_t agentCount, const std::string& service, Json capacity,
        const std::vector<double>& slowness = { 1.0 }, bool hasStoreProxies = false)
    {
        char pattern[] = "/tmp/sequoia-review-XXXXXX";
        folder = mkdtemp(pattern);
        std::vector<std::string> hosts { "127.0.0.1" };
        for (size_t i = 0; i < entryCount; ++i)
            hosts.push_back("127.0.0." + std::to_string(11 + i));
        const auto port = [&] { return std::to_string(freePort(hosts)); };
        const auto front = port(), ready = port(), control = port(), link = port(), metrics = port();
        storeAddress = "127.0.0.1:" + port();
        store = std::make_unique<Store>(storeAddress);
        std::string seeds;
        for (size_t i = 0; i < entryCount; ++i) {
            auto& entry = entries.emplace_back();
            entry.host = hosts[i + 1];
            entry.callers = entry.host + ":" + front;
            entry.ready = entry.host + ":" + ready;
            entry.peers = entry.host + ":" + control;
            entry.storeAddress = hasStoreProxies ? "127.0.0.1:" + port() : storeAddress;
            if (hasStoreProxies)
                entry.storeProxy = std::make_unique<Proxy>(entry.storeAddress, storeAddress);
            if (i < 3)
                seeds += (seeds.empty() ? "" : ",") + entry.peers;
        }
        for (size_t i = 0; i < agentCount; ++i) {
            auto& agent = agents.emplace_back();
            agent.pings = "127.0.0.1:" + port();
            agent.serverAddress = "127.0.0.1:" + port();
            agent.storeAddress = hasStoreProxies ? "127.0.0.1:" + port() : storeAddress;
            if (hasStoreProxies)
                agent.storeProxy = std::make_unique<Proxy>(agent.storeAddress, storeAddress);
        }
        m_start = [=, this] {
            for (size_t i = 0; i < agents.size(); ++i) {
                auto& agent = agents[i];
                const auto name = "side-" + std::to_string(i + 1);
                agent.process = std::make_unique<Process>(name, "target/bin/sequoia-platform-agent",
                    "name = " + jsonText(name) + "\nfailure_domain = " + jsonText("z" + std::to_string(i % 3 + 1))
                        + "\npings_address = " + jsonText(agent.pings)
                        + "\nserver_address = " + jsonText(agent.serverAddress)
                        + "\nmetrics_address = \"127.0.0.1:0\"\nstore_address = " + jsonText(agent.storeAddress)
                        + "\nseeds = " + seedsJson(seeds) + "\nlink_port = " + link + "\n",
                    folder);
                agent.worker = std::make_unique<Worker>("i-" + std::to_string(i + 1), service, agent.serverAddress,
                    agent.pings, capacity, std::vector<std::string> { "a", "r1-" + std::to_string(i / 3 + 1) },
                    slowness[i % slowness.size()]);
            }
            for (size_t i = 0; i < entries.size(); ++i) {
                auto& entry = entries[i];
                const auto name = "front-" + std::to_string(i + 1);
                entry.process = std::make_unique<Process>(name, "target/bin/sequoia-platform-entry",
                    "name = " + jsonText(name) + "\nfailure_domain = " + jsonText("z" + std::to_string(i % 3 + 1))
                        + "\ncallers_address = " + jsonText(entry.callers) + "\nreadiness_address = "
                        + jsonText(entry.ready) + "\npeers_address = " + jsonText(entry.peers)
                        + "\nlink_address = " + jsonText(entry.host + ":" + link) + "\nmetrics_address = "
                        + jsonText(entry.host + ":" + metrics) + "\nstore_address = " + jsonText(entry.storeAddress)
                        + "\nseeds = " + seedsJson(seeds) + "\nfar_factor = \"1.5\"\ncaller_resend_ms = 1300\n",
                    folder);
            }
        };
    }
    ~Deployment()
    {
        for (auto& agent : agents)
            agent.process.reset();
        for (auto& entry : entries)
            entry.process.reset();
        agents.clear();
        entries.clear();
        store.reset();
        if (std::getenv("KEEP") == nullptr)
            (void)!system(("rm -rf " + folder).c_str());
        else
            std::cerr << "logs in " << folder << "\n";
    }
    /** Starts all; returns when all entries are ready and all servers are in use. */
    void start()
    {
        m_start();
        const auto until = nowMs() + 15000;
        for (auto& entry : entries) {
            while (call(entry.ready, "GET", "/sequoiafold/ready", entry.ready, "", 500).status != 200) {
                if (nowMs() > until)
                    throw CannotRun { "an entry didn't get ready" };
                sleepMs(100);
            }
        }
        sleepMs(4000); // Traffic starts seconds after the machines do.
        record.line("all entries are ready");
    }

    std::string folder;
    std::string storeAddress;
    std::unique_ptr<Store> store;
    std::vector<Entry> entries;
    std::vector<Agent> agents;

private:
    static std::string seedsJson(const std::string& seeds)
    {
        Json out = Json::array();
        std::istringstream in(seeds);
        std::string seed;
        while (std::getline(in, seed, ','))
            out.push_back(seed);
        return out.dump();
    }
    std::function<void()> m_start;
};

/** Route of a configuration. */
inline Json route(const std::string& name, const std::string& prefix, const std::string& service, int priority = 0)
{
    return { { "name", name }, { "host", "nony24.example" }, { "prefix", prefix }, { "service", service },
        { "priority", priority }, { "max_attempts", 4 }, { "stretch", 1.6 }, { "slo_ms", 60 }, { "timeout_ms", 1500 } };
}

inline std::string configuration(uint64_t version, const Json& routes, const std::string& service)
{
    return Json {
        { "version", version }, { "routes", routes },
        { "services", Json::array({ { { "name", service }, { "admission_check", false } } }) },
        { "limits", Json::object() }
    }.dump();
}

/** Body of a job without storage. */
inline std::string job(const std::string& spec, const Json& steps)
{
    return Json { { "spec", spec }, { "steps", steps }, { "best_effort", true } }.dump();
}

inline std::string jobId(uint64_t n)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx",
        static_cast<unsigned long long>((n + 1) * 0x9E3779B97F4A7C15ULL ^ static_cast<uint64_t>(getpid()) << 40));
    return text;
}

inline bool isTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** Runs a case; exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
inline int runCase(int argc, char** argv, const std::function<bool()>& isHeld)
{
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    try {
        const bool held = isHeld();
        record.line(held ? "the rule held" : "the rule was broken");
        std::cout << (held ? "held" : "broken") << "\n";
        return held ? 0 : 1;
    } catch (const CannotRun& error) {
        record.line("could not run: " + error.what);
    } catch (const std::exception& error) {
        record.line(std::string("could not run: ") + error.what());
    }
    return 2;
}

} // namespace review
