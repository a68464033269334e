/** @file Store.h Stand-in for the platform's store: items with revisions and leases, listings and watches. */
#pragma once

#include "Proxy.h"

#include <sequoia/AsyncHttp.h>

#include <boost/beast/core/detail/base64.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace sequoia::testing {

using Json = nlohmann::json;

inline std::string toBase64(const std::string& text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(text.size()), '\0');
    out.resize(base64::encode(out.data(), text.data(), text.size()));
    return out;
}

inline std::string fromBase64(const std::string& text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::decoded_size(text.size()), '\0');
    out.resize(base64::decode(out.data(), text.data(), text.size()).first);
    return out;
}

/** Runs work on the loop's thread after a time. */
inline void runAfter(HttpLoop& loop, Milliseconds time, std::function<void()> work)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(loop.context(), time);
    timer->async_wait([timer, work = std::move(work)](const auto&) { work(); });
}

inline void replyJson(const HttpExchangePtr& exchange, const Json& body, int status = 200)
{
    exchange->reply({ status, body.dump(), "application/json", {} });
}

class SoakStore {
public:
    /** `rewrite` changes values that are written, so that the addresses in them are those of proxies. */
    SoakStore(HttpLoop& loop, Random& random, std::function<std::string(const std::string&)> rewrite)
        : m_loop(loop)
        , m_random(random)
        , m_rewrite(std::move(rewrite))
        , m_server(loop, {}, [this](const auto& call, const auto& exchange) { receive(call, exchange); })
    {
        address = m_server.listen("127.0.0.1:0");
    }

    void write(const std::string& key, const std::string& value, uint64_t lease)
    {
        m_items[key] = { { "key", key }, { "value", toBase64(m_rewrite(value)) }, { "revision", ++m_revision } };
        m_leaseOf[key] = lease;
        changed(m_items[key]);
    }

    void remove(const std::string& key)
    {
        if (m_items.erase(key) > 0)
            changed({ { "key", key }, { "revision", ++m_revision }, { "removed", true } });
    }

    /** While the store is down, leases pause; after it, their holders have some time to renew them. */
    void setDown(bool down)
    {
        m_isDown = down;
        for (auto& [lease, end] : m_leases)
            end = std::max(end, Clock::now() + leaseGrace);
        for (const auto& watch : std::exchange(m_watches, {}))
            replyJson(watch.exchange, Json::object(), 503);
    }

    bool isDown() const { return m_isDown; }
    /** When a call last got no good or a late reply. */
    TimePoint lastDisturbed() const { return m_lastDisturbed; }

    std::string address;
    Milliseconds delay { 0 }; ///< Longest delay of a reply.
    double lostShare = 0; ///< Calls that get no reply.

private:
    struct Watch {
        std::string prefix;
        HttpExchangePtr exchange;
    };
    static constexpr Milliseconds leaseGrace { 2000 };

    static std::string query(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        auto text = at == std::string::npos ? "" : target.substr(at + name.size() + 1);
        text = text.substr(0, text.find('&'));
        std::string out;
        for (size_t i = 0; i < text.size(); ++i) {
            const bool isEncoded = text[i] == '%' && i + 2 < text.size();
            out += isEncoded ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text[i];
            i += isEncoded ? 2 : 0;
        }
        return out;
    }

    void changed(const Json& event)
    {
        m_history.push_back(event);
        std::erase_if(m_watches, [&](const Watch& watch) {
            const bool isHit = event["key"].get<std::string>().starts_with(watch.prefix);
            if (isHit)
                replyJson(watch.exchange, { { "events", { event } }, { "current_rev", m_revision } });
            return isHit;
        });
    }

    void endLeases()
    {
        for (auto it = m_leases.begin(); it != m_leases.end();)
            it = it->second < Clock::now() ? endLease(it) : std::next(it);
    }

    std::map<uint64_t, TimePoint>::iterator endLease(std::map<uint64_t, TimePoint>::iterator lease)
    {
        for (auto it = m_items.begin(); it != m_items.end();) {
            if (m_leaseOf[it->first] != lease->first) {
                ++it;
                continue;
            }
            const Json event { { "key", it->first }, { "revision", ++m_revision }, { "removed", true } };
            it = m_items.erase(it);
            changed(event);
        }
        return m_leases.erase(lease);
    }

    void receive(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        if (m_isDown || delay.count() > 0)
            m_lastDisturbed = Clock::now();
        if (m_isDown)
            return replyJson(exchange, Json::object(), 503);
        endLeases();
        const bool isLost = chance(m_random, lostShare);
        if (isLost)
            m_lastDisturbed = Clock::now();
        if (isLost && chance(m_random, 0.5)) // The other half are carried out without a reply.
            return;
        if (call.target.find("kv-watch") != std::string::npos) {
            if (!isLost)
                watch(call, exchange);
            return;
        }
        const auto [status, body] = carryOut(call);
        if (!isLost)
            runAfter(m_loop, Milliseconds(draw(m_random, 0, delay.count())),
                [exchange, status, body] { replyJson(exchange, body, status); });
    }

    void watch(const HttpServerRequest& call, const HttpExchangePtr& exchange)
    {
        const auto prefix = query(call.target, "prefix");
        const auto after = std::stoull(query(call.target, "after"));
        auto events = Json::array();
        for (const auto& event : m_history) {
            if (event["revision"] > after && event["key"].get<std::string>().starts_with(prefix))
                events.push_back(event);
        }
        if (!events.empty())
            return replyJson(exchange, { { "events", events }, { "current_rev", m_revision } });
        m_watches.push_back({ prefix, exchange });
        runAfter(m_loop, Milliseconds(std::stoll(query(call.target, "wait_ms"))), [this, exchange] {
            if (std::erase_if(m_watches, [&](const Watch& it) { return it.exchange == exchange; }) > 0)
                replyJson(exchange, { { "events", Json::array() }, { "current_rev", m_revision } });
        });
    }

    std::pair<int, Json> carryOut(const HttpServerRequest& call)
    {
        if (call.target.find("kv-range") != std::string::npos) {
            const auto prefix = query(call.target, "prefix");
            auto items = Json::array();
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix))
                    items.push_back(item);
            }
            return { 200, { { "items", items }, { "truncated", false }, { "current_rev", m_revision } } };
        }
        if (call.target.ends_with("/kv-txn")) {
            const auto body = Json::parse(call.body);
            for (const auto& item : body["writes"]) {
                const auto lease = item.value("lease", uint64_t(0));
                if (lease != 0 && !m_leases.contains(lease))
                    return { 404, Json::object() };
                write(item["key"], fromBase64(item["value"]), lease);
            }
            return { 200, { { "revision", m_revision } } };
        }
        if (call.target.ends_with("/kv-lease")) {
            const Milliseconds ttl(Json::parse(call.body)["ttl_ms"].get<int64_t>());
            m_leases[++m_lastLease] = Clock::now() + ttl;
            m_ttl[m_lastLease] = ttl;
            return { 200, { { "lease", m_lastLease }, { "ttl_ms", ttl.count() } } };
        }
        const auto lease = m_leases.find(std::stoull(call.target.substr(call.target.rfind('/') + 1)));
        if (lease == m_leases.end())
            return { 404, Json::object() };
        if (call.method == "DELETE")
            endLease(lease);
        else
            lease->second = Clock::now() + m_ttl[lease->first];
        return { 200, Json::object() };
    }

    HttpLoop& m_loop;
    Random& m_random;
    std::function<std::string(const std::string&)> m_rewrite;
    AsyncHttpServer m_server;
    bool m_isDown = false;
    TimePoint m_lastDisturbed {};
    uint64_t m_revision = 1;
    uint64_t m_lastLease = 0;
    std::map<std::string, Json> m_items;
    std::map<std::string, uint64_t> m_leaseOf;
    std::map<uint64_t, TimePoint> m_leases;
    std::map<uint64_t, Milliseconds> m_ttl;
    std::vector<Json> m_history;
    std::vector<Watch> m_watches;
};

} // namespace sequoia::testing
