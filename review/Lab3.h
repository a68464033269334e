/** @file Lab3.h Stand-ins of the third review: the platform's store, workers, clients and a proxy, on loopback. They
 * speak what the users' pages say; the programs under test run as separate processes. */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace lab {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

inline const Steady::time_point origin = Steady::now();
inline int64_t nowMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - origin).count(); }
inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline void sleepUntilMs(int64_t ms) { std::this_thread::sleep_until(origin + std::chrono::milliseconds(ms)); }

/** The record of a case: one line an event, with the time in ms since the start. */
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Address {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in at {};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &at.sin_addr);
    return at;
}

/** A listening socket; -1 if the address is in use. */
inline int listenOn(const Address& address)
{
    const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto at = toSockaddr(address);
    if (bind(s, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || listen(s, 128) != 0) {
        close(s);
        return -1;
    }
    return s;
}

inline int connectTo(const Address& address)
{
    const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = toSockaddr(address);
    if (connect(s, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
        close(s);
        return -1;
    }
    const int yes = 1;
    setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return s;
}

inline bool sendAll(int s, const std::string& text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        const auto n = send(s, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

/** One HTTP message, request or response. */
struct Message {
    std::string first; ///< Request or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/** Reads one message with Content-Length from a socket; false at its end, or after `untilMs` (0: never). */
inline bool readMessage(int s, std::string& buffer, Message& out, int64_t untilMs = 0)
{
    const auto fill = [&] {
        for (;;) {
            pollfd p { s, POLLIN, 0 };
            const int64_t left = untilMs == 0 ? 1000 : untilMs - nowMs();
            if (left <= 0)
                return false;
            const int n = poll(&p, 1, static_cast<int>(std::min<int64_t>(left, 1000)));
            if (n < 0)
                return false;
            if (n == 0)
                continue;
            char bytes[65536];
            const auto got = recv(s, bytes, sizeof(bytes), 0);
            if (got <= 0)
                return false;
            buffer.append(bytes, static_cast<size_t>(got));
            return true;
        }
    };
    size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    out = {};
    size_t at = buffer.find("\r\n");
    out.first = buffer.substr(0, at);
    while (at < end) {
        const auto next = buffer.find("\r\n", at + 2);
        const auto row = buffer.substr(at + 2, next - at - 2);
        if (const auto colon = row.find(':'); colon != std::string::npos) {
            auto name = row.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(tolower(c));
            out.headers[name] = row.substr(row.find_first_not_of(" ", colon + 1));
        }
        at = next;
    }
    const size_t size = out.headers.count("content-length") ? std::stoul(out.headers["content-length"]) : 0;
    while (buffer.size() < end + 4 + size) {
        if (!fill())
            return false;
    }
    out.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return true;
}

struct Call {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
};
struct Reply {
    int status = 200;
    std::string body = "{}";
    bool isDropped = false; ///< The answer is lost: the channel returns nothing further.
};

/** HTTP server with a thread for each connection. */
class Server {
public:
    using Handler = std::function<Reply(const Call&)>;
    Server(const Address& address, Handler handler)
        : m_handler(std::move(handler))
        , m_listener(listenOn(address))
    {
        if (m_listener >= 0)
            std::thread([this, s = m_listener] { accept(s); }).detach();
    }
    bool isListening() const { return m_listener >= 0; }
    /** Ends the server as the end of its process would: closes the listener and all channels. */
    void end()
    {
        const std::lock_guard lock(m_mutex);
        m_isEnded = true;
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        for (const int s : m_channels)
            shutdown(s, SHUT_RDWR);
    }

private:
    void accept(int listener)
    {
        for (;;) {
            const int s = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (s < 0)
                return;
            const std::lock_guard lock(m_mutex);
            if (m_isEnded) {
                close(s);
                return;
            }
            const int yes = 1;
            setsockopt(s, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
            m_channels.insert(s);
            std::thread([this, s] { serve(s); }).detach();
        }
    }
    void serve(int s)
    {
        std::string buffer;
        Message m;
        while (readMessage(s, buffer, m)) {
            const auto a = m.first.find(' ');
            const auto b = m.first.find(' ', a + 1);
            const auto reply = m_handler({ m.first.substr(0, a), m.first.substr(a + 1, b - a - 1), m.headers, m.body });
            if (reply.isDropped) {
                sleepMs(60000);
                break;
            }
            if (!sendAll(s,
                    "HTTP/1.1 " + std::to_string(reply.status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size())
                        + "\r\n\r\n" + reply.body))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_channels.erase(s);
        close(s);
    }

    Handler m_handler;
    int m_listener;
    std::mutex m_mutex;
    std::set<int> m_channels;
    bool m_isEnded = false;
};

inline std::string requestText(const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, const std::vector<std::pair<std::string, std::string>>& headers = {})
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Status of a call on a new channel; 0 without an answer in time, or after a broken channel. */
inline int callOnce(const Address& address, const std::string& request, int64_t timeoutMs, std::string* body = nullptr)
{
    const int s = connectTo(address);
    if (s < 0)
        return 0;
    std::string buffer;
    Message m;
    int status = 0;
    if (sendAll(s, request) && readMessage(s, buffer, m, nowMs() + timeoutMs)) {
        status = std::stoi(m.first.substr(m.first.find(' ') + 1));
        if (body != nullptr)
            *body = m.body;
    }
    close(s);
    return status;
}

inline std::string base64(const std::string& in)
{
    static const char* table = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < in.size(); i += 3) {
        uint32_t n = 0;
        for (size_t k = 0; k < 3; ++k)
            n = n << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            out += i + k > in.size() ? '=' : table[n >> (18 - 6 * k) & 63];
    }
    return out;
}

/** The platform's metadata store. */
class Store {
public:
    explicit Store(const Address& address)
        : m_server(address, [this](const Call& call) { return serve(call); })
    {
    }
    bool isListening() const { return m_server.isListening(); }
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, base64(value), 0);
        m_changed.notify_all();
    }
    std::vector<std::string> keys()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> out;
        for (const auto& [key, item] : m_items)
            out.push_back(key);
        return out;
    }

private:
    struct Event {
        int64_t revision;
        std::string key;
        Json json;
    };
    void write(const std::string& key, const std::string& value, int64_t lease)
    {
        ++m_revision;
        const auto created = m_items.count(key) ? m_items[key]["created"].get<int64_t>() : m_revision;
        m_items[key] = { { "key", key }, { "value", value }, { "revision", m_revision }, { "created", created },
            { "lease", lease } };
        m_events.push_back({ m_revision, key, m_items[key] });
    }
    void remove(const std::string& key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        m_events.push_back({ m_revision, key, { { "key", key }, { "revision", m_revision }, { "removed", true } } });
    }
    void expire()
    {
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.second > nowMs()) {
                ++it;
                continue;
            }
            endLease(it->first);
            it = m_leases.erase(it);
        }
    }
    void endLease(int64_t lease)
    {
        std::vector<std::string> gone;
        for (const auto& [key, item] : m_items) {
            if (item["lease"] == lease)
                gone.push_back(key);
        }
        for (const auto& key : gone)
            remove(key);
    }
    static std::string unescape(const std::string& in)
    {
        std::string out;
        for (size_t i = 0; i < in.size(); ++i) {
            if (in[i] == '%' && i + 2 < in.size()) {
                out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += in[i];
            }
        }
        return out;
    }
    Reply serve(const Call& call)
    {
        std::unique_lock lock(m_mutex);
        expire();
        const auto mark = call.target.find('?');
        const auto path = call.target.substr(0, mark);
        std::map<std::string, std::string> query;
        for (size_t at = mark; at != std::string::npos && at < call.target.size();) {
            const auto next = call.target.find('&', at + 1);
            const auto pair = call.target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const auto equals = pair.find('=');
            query[pair.substr(0, equals)] = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
            at = next;
        }
        if (path == "/sequoiafold/kv-range") {
            auto items = Json::array();
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(query["prefix"]) && key > query["after"])
                    items.push_back(item);
            }
            return { 200, Json { { "items", items }, { "truncated", false }, { "current_rev", m_revision } }.dump() };
        }
        if (path == "/sequoiafold/kv-watch") {
            const auto after = std::stoll(query["after"]);
            const auto until = nowMs() + std::stoll(query["wait_ms"]);
            for (;;) {
                auto events = Json::array();
                for (const auto& event : m_events) {
                    if (event.revision > after && event.key.starts_with(query["prefix"]))
                        events.push_back(event.json);
                }
                if (!events.empty() || nowMs() >= until)
                    return { 200, Json { { "events", events }, { "current_rev", m_revision } }.dump() };
                m_changed.wait_for(lock, std::chrono::milliseconds(std::min<int64_t>(until - nowMs() + 1, 100)));
                expire();
            }
        }
        if (path == "/sequoiafold/kv-txn") {
            const auto json = Json::parse(call.body);
            for (const auto& write : json["writes"]) {
                const auto lease = write.value("lease", int64_t(0));
                if (lease != 0 && !m_leases.count(lease))
                    return { 404, "{}" };
            }
            for (const auto& row : json["writes"])
                write(row["key"], row["value"], row.value("lease", int64_t(0)));
            for (const auto& key : json["remove"])
                remove(key);
            m_changed.notify_all();
            return { 200, Json { { "revision", m_revision } }.dump() };
        }
        if (path == "/sequoiafold/kv-lease") {
            const auto ttl = std::max<int64_t>(Json::parse(call.body)["ttl_ms"].get<int64_t>(), 1000);
            m_leases[++m_lastLease] = { ttl, nowMs() + ttl };
            return { 200, Json { { "lease", m_lastLease }, { "ttl_ms", ttl } }.dump() };
        }
        for (const std::string prefix : { "/sequoiafold/kv-keep/", "/sequoiafold/kv-lease-end/" }) {
            if (!path.starts_with(prefix))
                continue;
            const auto it = m_leases.find(std::stoll(path.substr(prefix.size())));
            if (it == m_leases.end())
                return { 404, "{}" };
            if (call.method == "POST") {
                it->second.second = nowMs() + it->second.first;
                return {};
            }
            endLease(it->first);
            m_leases.erase(it);
            m_changed.notify_all();
            return {};
        }
        return { 404, "{}" };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    int64_t m_revision = 1;
    std::map<std::string, Json> m_items;
    std::vector<Event> m_events;
    int64_t m_lastLease = 0;
    std::map<int64_t, std::pair<int64_t, int64_t>> m_leases; ///< Time to live and end.
    Server m_server;
};

/** A run as the workers saw it. */
struct SeenRun {
    std::string task;
    int run = 0;
    std::string worker;
    int64_t startMs = 0;
    int64_t endMs = -1; ///< -1 while it runs.
    std::string how;
};

/** All runs on all workers. */
class Runs {
public:
    explicit Runs(Record& record)
        : m_record(record)
    {
    }
    size_t started(const std::string& task, int run, const std::string& worker)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ task, run, worker, nowMs(), -1, "" });
        m_record.line("run-start task=" + task + " run=" + std::to_string(run) + " worker=" + worker);
        return m_runs.size() - 1;
    }
    void ended(size_t index, const std::string& how)
    {
        const std::lock_guard lock(m_mutex);
        auto& it = m_runs[index];
        it.endMs = nowMs();
        it.how = how;
        m_record.line(
            "run-end task=" + it.task + " run=" + std::to_string(it.run) + " worker=" + it.worker + " how=" + how);
    }
    std::vector<SeenRun> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    Record& m_record;
    std::mutex m_mutex;
    std::vector<SeenRun> m_runs;
};

/** One life of a worker. A task lasts as many ms as its `spec` says. */
class Worker {
public:
    struct Options {
        std::string id;
        std::string service = "svc";
        Address app; ///< Where it takes calls.
        Address control; ///< Its pings go here.
        int cpu = 16000;
        int64_t clockFromMs = 1000;
        std::vector<std::string> labels { "a", "r1" };
        int64_t bornMs = 0; ///< 0: the present time.
    };
    Worker(Options options, Runs& runs, Record& record)
        : m_options(std::move(options))
        , m_runs(runs)
        , m_record(record)
        , m_startedMs(nowMs())
        , m_born(m_options.bornMs > 0 ? m_options.bornMs
                                      : std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                            .count())
        , m_server(m_options.app, [this](const Call& call) { return serve(call); })
    {
        std::thread([this] { work(); }).detach();
        std::thread([this] { ping(); }).detach();
    }
    bool isListening() const { return m_server.isListening(); }
    std::atomic<bool> isDraining { false };
    /** Decides what becomes of a call; by default nothing happens to it. */
    std::function<void(const Call&)> onCall;
    /** Whether the answer of a call gets lost. */
    std::function<bool(const Call&)> losesAnswer;

    int64_t born() const { return m_born; }
    size_t running()
    {
        const std::lock_guard lock(m_mutex);
        return m_running.size();
    }

private:
    struct Running {
        int run = 0;
        int64_t endsMs = 0;
        int64_t startedMs = 0;
        size_t seen = 0;
    };
    struct Ended {
        int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };
    int64_t clock() const { return m_options.clockFromMs + nowMs() - m_startedMs; }
    void endRun(std::map<std::string, Running>::iterator it, const std::string& how)
    {
        m_runs.ended(it->second.seen, how);
        m_ended.push_back({ ++m_lastEnd, it->first, it->second.run, how });
        auto& highest = m_highest[it->first];
        highest = std::max(highest, it->second.run);
        m_running.erase(it);
        m_changed.notify_all();
    }
    void work()
    {
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                for (auto it = m_running.begin(); it != m_running.end();) {
                    const auto next = std::next(it);
                    if (it->second.endsMs <= nowMs())
                        endRun(it, "done");
                    else if (m_until <= clock())
                        endRun(it, "lapsed");
                    it = next;
                }
            }
            sleepMs(2);
        }
    }
    void ping()
    {
        for (int64_t seq = 1;; ++seq) {
            const Json body { { "service", m_options.service }, { "address", m_options.app.text() }, { "zone", "z" },
                { "version", "v1" }, { "slots", 8 }, { "state", isDraining ? "draining" : "ready" },
                { "cold_left_ms", 0 }, { "capacity", { { "cpu", m_options.cpu }, { "mem_mb", 65536 }, { "gpu", 0 } } },
                { "labels", m_options.labels }, { "clock_ms", clock() }, { "seq", seq }, { "born", m_born } };
            const auto status = callOnce(m_options.control,
                requestText("PUT", "/sequoiafold/instances/" + m_options.id, m_options.control.text(), body.dump()),
                1000);
            // A ping without an ack is tried again soon, as at the start of the machines.
            sleepMs(status == 200 ? 1500 : 200);
        }
    }
    void extend(const Json& json)
    {
        if (json.contains("until_ms"))
            m_until = std::max(m_until, std::min<int64_t>(json["until_ms"].get<int64_t>(), clock() + 1000));
    }
    Json base() const { return { { "clock_ms", clock() }, { "born", m_born } }; }
    Reply serve(const Call& call)
    {
        if (onCall)
            onCall(call);
        auto reply = answer(call);
        if (losesAnswer && losesAnswer(call)) {
            m_record.line("answer-lost worker=" + m_options.id + " " + call.target);
            reply.isDropped = true;
        }
        return reply;
    }
    Reply answer(const Call& call)
    {
        std::unique_lock lock(m_mutex);
        auto out = base();
        if (const auto it = call.headers.find("expect-instance");
            it != call.headers.end() && it->second != m_options.id)
            return { 421, out.dump() };
        const auto json = Json::parse(call.body);
        const auto fence = json.value("fence", int64_t(0));
        const auto refuse = [&](const char* reason) {
            out["reason"] = reason;
            return Reply { 409, out.dump() };
        };
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        if (call.target == "/sequoiafold/run-start") {
            const std::string task = json["task"];
            const int run = json["run"];
            const auto until = json["until_ms"].get<int64_t>();
            if (const auto it = m_running.find(task); it != m_running.end() && it->second.run == run) {
                extend(json);
                return { 200, out.dump() };
            }
            if (const auto it = m_highest.find(task); it != m_highest.end() && run <= it->second) {
                extend(json);
                return refuse("old");
            }
            if (m_running.count(task)) {
                extend(json);
                return refuse("old");
            }
            extend(json);
            if (until <= clock() && m_until <= clock())
                return refuse("late");
            const auto workMs = std::stoll(json["spec"].get<std::string>());
            m_running[task] = { run, nowMs() + workMs, nowMs(), m_runs.started(task, run, m_options.id) };
            return { 200, base().dump() };
        }
        if (call.target == "/sequoiafold/run-stop") {
            const std::string task = json["task"];
            const int run = json["run"];
            auto& highest = m_highest[task];
            highest = std::max(highest, run);
            if (const auto it = m_running.find(task); it != m_running.end() && it->second.run <= run)
                endRun(it, "stopped");
            return { 200, base().dump() };
        }
        if (call.target == "/sequoiafold/hold") {
            extend(json);
            const auto seen = json.value("seen_upto", int64_t(0));
            std::erase_if(m_ended, [&](const Ended& end) { return end.number <= seen; });
            const auto until = nowMs() + json.value("wait_ms", int64_t(0));
            while (m_ended.empty() && nowMs() < until)
                m_changed.wait_for(lock, std::chrono::milliseconds(std::max<int64_t>(until - nowMs(), 1)));
            out = base();
            out["running"] = Json::array();
            for (const auto& [task, run] : m_running) {
                const auto percent = (nowMs() - run.startedMs) * 100 / std::max<int64_t>(run.endsMs - run.startedMs, 1);
                out["running"].push_back({ task, run.run, "", std::min<int64_t>(percent, 100), 0 });
            }
            out["ended"] = Json::array();
            for (const auto& end : m_ended) {
                if (out["ended"].size() < 500)
                    out["ended"].push_back({ end.number, end.task, end.run, end.how, "" });
            }
            return { 200, out.dump() };
        }
        return { 404, out.dump() };
    }

    Options m_options;
    Runs& m_runs;
    Record& m_record;
    int64_t m_startedMs;
    int64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Running> m_running;
    std::map<std::string, int> m_highest;
    std::vector<Ended> m_ended;
    int64_t m_lastEnd = 0;
    int64_t m_until = 0;
    int64_t m_fence = 0;
    Server m_server;
};

/** A process of the project, ended with this object. */
class Process {
public:
    Process(std::string program, std::string settings, std::string log)
        : m_program(std::move(program))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    {
        start();
    }
    ~Process() { end(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    void start()
    {
        std::vector<std::string> texts { "SEQUOIAFOLD_CONFIG=" + m_settings };
        for (char** e = environ; *e != nullptr; ++e) {
            const std::string text = *e;
            if (text.starts_with("PATH=") || text.starts_with("HOME=") || text.starts_with("LANG="))
                texts.push_back(text);
        }
        std::vector<char*> environment;
        for (auto& text : texts)
            environment.push_back(text.data());
        environment.push_back(nullptr);
        char* argv[] = { m_program.data(), nullptr };
        const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        m_pid = fork();
        if (m_pid != 0) {
            close(log);
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this program, also if that is killed.
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execve(m_program.c_str(), argv, environment.data());
        _exit(127);
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }
    void end()
    {
        if (m_pid <= 0)
            return;
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    bool isAlive()
    {
        if (m_pid <= 0)
            return false;
        if (waitpid(m_pid, nullptr, WNOHANG) == 0)
            return true;
        m_pid = 0;
        return false;
    }

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
};

/** A small deployment: a store, entries and agents with a worker each; every machine has a loopback address of its
 * own and the ports are the same on all. */
class Deployment {
public:
    Deployment(const std::string& folder, const std::string& record, int entries, int workers, int cpu = 16000)
        : record(record)
        , runs(this->record)
        , m_folder(folder)
    {
        std::mt19937 draw(std::random_device {}());
        m_net = static_cast<int>(draw() % 200) + 20;
        m_base = static_cast<int>(draw() % 200) * 40 + 20000;
        store = std::make_unique<Store>(storeAddress());
        for (int i = 0; i < entries; ++i)
            m_entryHosts.push_back(host(10 + i));
        for (int i = 0; i < workers; ++i)
            m_agentHosts.push_back(host(50 + i));
        store->put("op/config", configuration(1).dump());
        for (int i = 0; i < entries; ++i)
            this->entries.push_back(startEntry(i));
        for (int i = 0; i < workers; ++i) {
            agents.push_back(startAgent(i));
            this->workers.push_back(startWorker(i, cpu));
        }
    }
    static Json configuration(int64_t version)
    {
        return { { "version", version },
            { "routes",
                Json::array({ { { "name", "queue" }, { "host", "jobs.example" }, { "prefix", "/q1/" },
                    { "service", "svc" }, { "priority", 0 }, { "max_attempts", 4 }, { "stretch", 1.6 },
                    { "slo_ms", 60 }, { "timeout_ms", 1500 } } }) },
            { "services", Json::array({ { { "name", "svc" }, { "admission_check", false } } }) },
            { "limits", Json::object() } };
    }
    std::string host(int machine) const { return "127.77." + std::to_string(m_net) + "." + std::to_string(machine); }
    Address front(int entry) const { return { m_entryHosts[entry], m_base + 1 }; }
    Address ready(int entry) const { return { m_entryHosts[entry], m_base + 7 }; }
    Address entryControl(int entry) const { return { m_entryHosts[entry], m_base + 6 }; }
    Address agentControl(int agent) const { return { m_agentHosts[agent], m_base + 6 }; }
    Address app(int worker) const { return { m_agentHosts[worker], m_base + 9 }; }
    Address storeAddress() const { return { host(1), m_base }; }
    int linkPort() const { return m_base + 20; }

    /** Waits until all entries are ready; false after `ms`. */
    bool waitReady(int64_t ms)
    {
        const auto until = nowMs() + ms;
        for (size_t i = 0; i < entries.size(); ++i) {
            while (
                callOnce(ready(static_cast<int>(i)), requestText("GET", "/sequoiafold/ready", "x", ""), 500) != 200) {
                if (nowMs() > until)
                    return false;
                sleepMs(50);
            }
        }
        return true;
    }
    /** Ends all processes that were started. */
    void endProcesses()
    {
        for (auto* group : { &entries, &agents }) {
            for (auto& it : *group)
                it->end();
        }
    }
    bool areProcessesAlive()
    {
        for (auto* group : { &entries, &agents }) {
            for (auto& it : *group) {
                if (!it->isAlive())
                    return false;
            }
        }
        return true;
    }

    Record record;
    Runs runs;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Process>> entries;
    std::vector<std::unique_ptr<Process>> agents;
    std::vector<std::unique_ptr<Worker>> workers;
    /** Where agents send their calls to a worker, if not to it directly; set before `startAgent`. */
    static inline std::function<Address(const Deployment&, int)> appSeenByAgent;

private:
    std::string seeds() const
    {
        std::string out;
        for (size_t i = 0; i < m_entryHosts.size() && i < 3; ++i)
            out += (i == 0 ? "\"" : ", \"") + entryControl(static_cast<int>(i)).text() + "\"";
        return "[" + out + "]";
    }
    std::unique_ptr<Process> startEntry(int i)
    {
        const auto path = m_folder + "/entry" + std::to_string(i) + ".toml";
        std::ofstream(path) << "name = \"front-z-" << i << "\"\nfailure_domain = \"z\"\ncallers_address = \""
                            << front(i).text() << "\"\nreadiness_address = \"" << ready(i).text()
                            << "\"\npeers_address = \"" << entryControl(i).text() << "\"\nlink_address = \""
                            << m_entryHosts[i] << ":" << linkPort() << "\"\nmetrics_address = \"" << m_entryHosts[i]
                            << ":" << m_base + 12 << "\"\nstore_address = \"" << storeAddress().text()
                            << "\"\nseeds = " << seeds()
                            << "\nfar_factor = \"1.5\"\ncaller_resend_ms = 1300\nmax_descriptors = 4100\n";
        return std::make_unique<Process>(
            "target/bin/sequoia-platform-entry", path, m_folder + "/entry" + std::to_string(i) + ".log");
    }
    std::unique_ptr<Process> startAgent(int i)
    {
        const auto path = m_folder + "/agent" + std::to_string(i) + ".toml";
        const auto server = appSeenByAgent ? appSeenByAgent(*this, i) : app(i);
        std::ofstream(path) << "name = \"side-z-" << i << "\"\nfailure_domain = \"z\"\npings_address = \""
                            << agentControl(i).text() << "\"\nserver_address = \"" << server.text()
                            << "\"\nmetrics_address = \"" << m_agentHosts[i] << ":" << m_base + 12
                            << "\"\nstore_address = \"" << storeAddress().text() << "\"\nseeds = " << seeds()
                            << "\nlink_port = " << linkPort()
                            << "\nurgent_share_percent = 12\nfloor_share_percent = 10\n";
        return std::make_unique<Process>(
            "target/bin/sequoia-platform-agent", path, m_folder + "/agent" + std::to_string(i) + ".log");
    }
    std::unique_ptr<Worker> startWorker(int i, int cpu)
    {
        Worker::Options options;
        options.id = "i-000" + std::to_string(i);
        options.app = app(i);
        options.control = agentControl(i);
        options.cpu = cpu;
        return std::make_unique<Worker>(options, runs, record);
    }

    std::string m_folder;
    int m_net = 0;
    int m_base = 0;
    std::vector<std::string> m_entryHosts;
    std::vector<std::string> m_agentHosts;
};

/** Body of a best-effort job of one step. */
inline std::string jobBody(int64_t workMs, int count, int cpu)
{
    return Json {
        { "spec", std::to_string(workMs) }, { "best_effort", true },
        { "steps",
            Json::array({ { { "count", count }, { "cpu", cpu }, { "mem_mb", 256 }, { "estimate_ms", workMs } } }) }
    }.dump();
}

/** Pairs of runs of one task that were there at the same time, for more than `toleranceMs`. */
inline std::vector<std::string> doubleRuns(std::vector<SeenRun> runs, int64_t toleranceMs = 0)
{
    std::vector<std::string> out;
    for (size_t i = 0; i < runs.size(); ++i) {
        for (size_t k = i + 1; k < runs.size(); ++k) {
            const auto& a = runs[i];
            const auto& b = runs[k];
            if (a.task != b.task)
                continue;
            const auto end = std::min(a.endMs < 0 ? nowMs() : a.endMs, b.endMs < 0 ? nowMs() : b.endMs);
            const auto overlap = end - std::max(a.startMs, b.startMs);
            if (overlap > toleranceMs)
                out.push_back(
                    a.task + " on " + a.worker + " and " + b.worker + " for " + std::to_string(overlap) + " ms");
        }
    }
    return out;
}

} // namespace lab
