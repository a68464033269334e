/** @file StandinStore.cpp sequoia-standin-store: an in-memory store for tests with the JSON gateway of etcd v3, and
 * faults. */
#include "HttpCommon.h"

#include <sequoia/CommandLine.h>
#include <sequoia/Store.h>

#include <boost/program_options.hpp>
#include <condition_variable>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace sequoia {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds watchPollInterval { 200 }; // How often a watch without changes checks whether it has to end.
    constexpr Milliseconds lostReplyDelay { 4000 }; // Longer than the clients' time-out.
    constexpr int statusDown = 503;

    int64_t parseNumber(const Json& object, const char* name)
    {
        const auto value = object.value(name, Json(0));
        return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<int64_t>();
    }

    std::string bytes(const Json& object, const char* name) { return fromBase64(object.value(name, "")).value_or(""); }

    /** Faults that a test sets. */
    struct Faults {
        TimePoint downUntil {};
        Milliseconds delay { 0 };
        int loseReplies = 0; ///< How many of the next writes take effect, but are answered too late.
    };

    /** Values, leases and the log of changes. */
    class MemoryStore {
    public:
        Json range(const Json& request)
        {
            const std::lock_guard lock(m_mutex);
            auto kvs = Json::array();
            const auto key = bytes(request, "key");
            const auto end = bytes(request, "range_end");
            for (auto it = m_values.lower_bound(key); it != m_values.end(); ++it) {
                const bool isInRange = end.empty() ? it->first == key : it->first < end;
                if (!isInRange)
                    break;
                kvs.push_back(kvJson(it->first, it->second));
            }
            return { { "header", header() }, { "count", std::to_string(kvs.size()) }, { "kvs", std::move(kvs) } };
        }

        Json txn(const Json& request)
        {
            const std::lock_guard lock(m_mutex);
            bool isMet = true;
            for (const auto& compare : request.value("compare", Json::array())) {
                const auto it = m_values.find(bytes(compare, "key"));
                const int64_t found = it == m_values.end() ? 0 : it->second.revision;
                isMet = isMet && found == parseNumber(compare, "mod_revision");
            }
            if (isMet) {
                ++m_revision;
                for (const auto& operation : request.value("success", Json::array()))
                    apply(operation);
                m_changed.notify_all();
            }
            return { { "header", header() }, { "succeeded", isMet } };
        }

        Json grant(const Json& request)
        {
            const std::lock_guard lock(m_mutex);
            const auto id = ++m_nextLease;
            const std::chrono::seconds ttl(parseNumber(request, "TTL"));
            m_leases[id] = { ttl, Clock::now() + ttl };
            return { { "header", header() }, { "ID", std::to_string(id) }, { "TTL", std::to_string(ttl.count()) } };
        }

        Json keepAlive(const Json& request)
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_leases.find(parseNumber(request, "ID"));
            int64_t ttl = 0;
            if (it != m_leases.end()) {
                it->second.expiresAt = Clock::now() + it->second.ttl;
                ttl = it->second.ttl.count();
            }
            return { { "result", { { "ID", request.value("ID", "") }, { "TTL", std::to_string(ttl) } } } };
        }

        Json revoke(const Json& request)
        {
            const std::lock_guard lock(m_mutex);
            removeLease(parseNumber(request, "ID"));
            return { { "header", header() } };
        }

        void expireLeases()
        {
            const std::lock_guard lock(m_mutex);
            for (auto it = m_leases.begin(); it != m_leases.end();) {
                const auto id = it->first;
                const bool hasEnded = it->second.expiresAt < Clock::now();
                ++it;
                if (hasEnded)
                    removeLease(id);
            }
        }

        size_t logSize()
        {
            const std::lock_guard lock(m_mutex);
            return m_log.size();
        }

        /** Waits for changes in a range after a position of the log; returns one line of a reply, empty without
         * changes. */
        std::string changes(const std::string& key, const std::string& end, size_t& position)
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, watchPollInterval, [&] { return m_log.size() > position; });
            auto events = Json::array();
            for (; position < m_log.size(); ++position) {
                const auto& change = m_log[position];
                if (change.key < key || (end.empty() ? change.key != key : change.key >= end))
                    continue;
                if (change.value)
                    events.push_back({ { "kv", kvJson(change.key, *change.value) } });
                else
                    events.push_back({ { "type", "DELETE" }, { "kv", { { "key", toBase64(change.key) } } } });
            }
            if (events.empty())
                return {};
            return Json { { "result", { { "header", header() }, { "events", std::move(events) } } } }.dump() + "\n";
        }

    private:
        struct Value {
            std::string text;
            int64_t revision = 0;
            int64_t lease = 0;
        };
        struct Lease {
            std::chrono::seconds ttl {};
            TimePoint expiresAt {};
        };
        struct Change {
            std::string key;
            std::optional<Value> value;
        };

        Json header() const { return { { "revision", std::to_string(m_revision) } }; }

        static Json kvJson(const std::string& key, const Value& value)
        {
            return { { "key", toBase64(key) }, { "value", toBase64(value.text) },
                { "mod_revision", std::to_string(value.revision) }, { "lease", std::to_string(value.lease) } };
        }

        void apply(const Json& operation)
        {
            if (operation.contains("request_put")) {
                const auto& put = operation["request_put"];
                const auto key = bytes(put, "key");
                m_values[key] = { bytes(put, "value"), m_revision, parseNumber(put, "lease") };
                m_log.push_back({ key, m_values[key] });
            } else if (operation.contains("request_delete_range")) {
                remove(bytes(operation["request_delete_range"], "key"));
            }
        }

        void remove(const std::string& key)
        {
            if (m_values.erase(key) > 0)
                m_log.push_back({ key, std::nullopt });
        }

        void removeLease(int64_t id)
        {
            m_leases.erase(id);
            std::vector<std::string> ended;
            for (const auto& [key, value] : m_values) {
                if (value.lease == id)
                    ended.push_back(key);
            }
            if (!ended.empty())
                ++m_revision;
            for (const auto& key : ended)
                remove(key);
            m_changed.notify_all();
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::map<std::string, Value> m_values;
        std::map<int64_t, Lease> m_leases;
        std::vector<Change> m_log;
        int64_t m_revision = 1;
        int64_t m_nextLease = 1000;
    };

    /** The HTTP interface of the gateway, and its faults. */
    class StoreServer {
    public:
        explicit StoreServer(Log& log)
            : m_log(log)
            , m_http({})
        {
            auto& server = m_http.server();
            addCommonHandlers(server, m_log, "");
            addHandler("/v3/kv/range", false, [this](const Json& request) { return m_store.range(request); });
            addHandler("/v3/kv/txn", true, [this](const Json& request) { return m_store.txn(request); });
            addHandler("/v3/lease/grant", true, [this](const Json& request) { return m_store.grant(request); });
            addHandler("/v3/lease/keepalive", true, [this](const Json& request) { return m_store.keepAlive(request); });
            addHandler("/v3/lease/revoke", true, [this](const Json& request) { return m_store.revoke(request); });
            server.Post("/v3/watch", [this](const auto& request, auto& response) { watch(request, response); });
            server.Post("/standin/fault", [this](const auto& request, auto& response) { setFault(request, response); });
            server.Get("/standin/calls", [this](const auto&, auto& response) {
                response.set_content(
                    Json { { "reads", m_reads.load() }, { "writes", m_writes.load() }, { "watches", m_watches.load() } }
                        .dump(),
                    jsonType);
            });
        }

        std::string start(const std::string& address) { return m_http.start(address); }

        void stop()
        {
            m_isStopped = true;
            m_http.stop();
        }

        void expireLeases()
        {
            if (!isDown())
                m_store.expireLeases();
        }

    private:
        bool isDown()
        {
            const std::lock_guard lock(m_mutex);
            return Clock::now() < m_faults.downUntil;
        }

        void addHandler(const char* path, bool isWrite, const std::function<Json(const Json&)>& work)
        {
            m_http.server().Post(
                path, [this, isWrite, work](const httplib::Request& request, httplib::Response& response) {
                    ++(isWrite ? m_writes : m_reads);
                    Milliseconds slow { 0 };
                    bool isReplyLost = false;
                    {
                        const std::lock_guard lock(m_mutex);
                        slow = m_faults.delay;
                        isReplyLost = isWrite && m_faults.loseReplies > 0;
                        if (isReplyLost)
                            --m_faults.loseReplies;
                    }
                    if (isDown()) {
                        response.status = statusDown;
                        return;
                    }
                    std::this_thread::sleep_for(slow);
                    const auto json = Json::parse(request.body, nullptr, false);
                    if (json.is_discarded()) {
                        response.status = 400;
                        return;
                    }
                    response.set_content(work(json).dump(), jsonType);
                    if (isReplyLost)
                        std::this_thread::sleep_for(lostReplyDelay);
                });
        }

        void watch(const httplib::Request& request, httplib::Response& response)
        {
            ++m_watches;
            if (isDown()) {
                response.status = statusDown;
                return;
            }
            const auto create = Json::parse(request.body, nullptr, false).value("create_request", Json::object());
            const auto key = bytes(create, "key");
            const auto end = bytes(create, "range_end");
            auto position = std::make_shared<size_t>(m_store.logSize());
            const std::string created = R"({"result":{"created":true}})";
            response.set_chunked_content_provider(
                jsonType, [this, key, end, position, created, isFirst = true](size_t, httplib::DataSink& sink) mutable {
                    if (std::exchange(isFirst, false))
                        return sink.write((created + "\n").data(), created.size() + 1);
                    if (m_isStopped || isDown() || !sink.is_writable())
                        return false;
                    const auto line = m_store.changes(key, end, *position);
                    return line.empty() || sink.write(line.data(), line.size());
                });
        }

        void setFault(const httplib::Request& request, httplib::Response& response)
        {
            const auto json = Json::parse(request.body, nullptr, false);
            const std::lock_guard lock(m_mutex);
            if (json.contains("downMs"))
                m_faults.downUntil = Clock::now() + Milliseconds(json["downMs"].get<int64_t>());
            if (json.contains("slowMs"))
                m_faults.delay = Milliseconds(json["slowMs"].get<int64_t>());
            if (json.contains("loseReplies"))
                m_faults.loseReplies = json["loseReplies"].get<int>();
            response.set_content("{}", jsonType);
        }

        Log& m_log;
        HttpService m_http;
        MemoryStore m_store;
        std::mutex m_mutex;
        Faults m_faults;
        std::atomic<bool> m_isStopped { false };
        std::atomic<uint64_t> m_reads { 0 };
        std::atomic<uint64_t> m_writes { 0 };
        std::atomic<uint64_t> m_watches { 0 };
    };

    int run(int argc, char** argv)
    {
        namespace options = boost::program_options;
        std::string address;
        options::options_description all("sequoia-standin-store: the platform's store for tests, in memory\n\nOptions");
        all.add_options()("help,h", "show this text")(
            "listen", options::value(&address)->default_value("127.0.0.1:0"), "address; port 0 picks a free one");
        options::variables_map values;
        try {
            options::store(options::parse_command_line(argc, argv, all), values);
            options::notify(values);
        } catch (const options::error& error) {
            fmt::print(stderr, "{}: {}; see --help\n", argv[0], error.what());
            return toInt(ExitCode::Usage);
        }
        if (values.contains("help")) {
            std::cout << all;
            return toInt(ExitCode::Ok);
        }
        blockStopSignals();
        constexpr size_t ringSize = 1000;
        constexpr Milliseconds leaseSweep { 100 };
        Log log("store", LogLevel::Info, ringSize);
        StoreServer server(log);
        log.event(LogLevel::Info, "listening", { { "http", server.start(address) } });
        std::atomic<bool> isStopped { false };
        std::thread sweeper([&] {
            while (!isStopped) {
                std::this_thread::sleep_for(leaseSweep);
                server.expireLeases();
            }
        });
        waitForStopSignal();
        isStopped = true;
        sweeper.join();
        server.stop();
        return toInt(ExitCode::Ok);
    }

} // namespace

} // namespace sequoia

int main(int argc, char** argv) { return sequoia::run(argc, argv); }
