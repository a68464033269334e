/** @file Store.cpp Client of the etcd v3 JSON gateway. */
#include <sequoia/Store.h>

#include <array>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sequoia/HttpService.h>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned base64Bits = 6;
    constexpr unsigned byteBits = 8;

    /** Reads an integer, which the gateway writes as a string if it has 64 bits; 0 if it is missing. */
    int64_t readNumber(const Json& object, const char* name, const std::string& place)
    {
        const auto it = object.find(name);
        if (it == object.end())
            return 0;
        int64_t n = 0;
        if (it->is_string()) {
            const auto text = it->get<std::string>();
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
            if (ec == std::errc() && end == text.data() + text.size())
                return n;
        } else if (it->is_number_integer() && (!it->is_number_unsigned() || it->get<uint64_t>() <= INT64_MAX)) {
            return it->get<int64_t>();
        }
        throw StoreReplyProblem { place + name, "expected an integer of 64 bits" };
    }

    std::string readBytes(const Json& object, const char* name, const std::string& place)
    {
        const auto it = object.find(name);
        if (it == object.end())
            return "";
        if (!it->is_string())
            throw StoreReplyProblem { place + name, "expected a string" };
        return fromBase64(it->get<std::string>()).value_or("");
    }

    StoredValue readValue(const Json& kv, const std::string& place)
    {
        if (!kv.is_object())
            throw StoreReplyProblem { place, "expected an object" };
        StoredValue out;
        out.key = readBytes(kv, "key", place);
        out.value = readBytes(kv, "value", place);
        out.revision = StoreRevision(readNumber(kv, "mod_revision", place));
        return out;
    }

    Json parseObject(const std::string& text)
    {
        auto reply = Json::parse(text, nullptr, false);
        if (!reply.is_object())
            throw StoreReplyProblem { "body", "expected a JSON object" };
        return reply;
    }

    /** Runs a function that parses a reply; fails with BadReply and a StoreReplyProblem if it throws. */
    template <typename F> auto parseReply(F&& f) -> leaf::result<decltype(f())>
    {
        try {
            return f();
        } catch (const StoreReplyProblem& problem) {
            return leaf::new_error(StoreError::BadReply, problem);
        } catch (const std::exception& error) {
            return leaf::new_error(StoreError::BadReply, StoreReplyProblem { "body", error.what() });
        }
    }

    /** Reports the changes in a line of a watch; `failed` is called for those that can't be read. */
    void readChanges(const std::string& line, const std::function<void(const StoreChange&)>& changed,
        const std::function<void(StoreReplyProblem)>& failed)
    {
        const auto reply = Json::parse(line, nullptr, false);
        const auto result = reply.find("result");
        if (result == reply.end() || !result->is_object())
            return;
        const auto events = result->find("events");
        if (events == result->end())
            return;
        for (size_t i = 0; i < events->size(); ++i) {
            const auto place = fmt::format("result.events[{}].", i);
            try {
                const auto& event = events->at(i);
                const auto value = readValue(event.at("kv"), place + "kv.");
                const bool isDeleted = event.value("type", "PUT") == "DELETE";
                changed({ value.key, isDeleted ? std::nullopt : std::optional(value.value) });
            } catch (const StoreReplyProblem& problem) {
                failed(problem);
            } catch (const Json::exception& error) {
                failed({ place, error.what() });
            }
        }
    }

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string out;
    uint32_t buf = 0;
    unsigned bits = 0;
    for (const char c : bytes) {
        buf = (buf << byteBits) | static_cast<unsigned char>(c);
        bits += byteBits;
        while (bits >= base64Bits) {
            bits -= base64Bits;
            out += alphabet[(buf >> bits) & 63U];
        }
    }
    if (bits > 0)
        out += alphabet[(buf << (base64Bits - bits)) & 63U];
    while (out.size() % 4 != 0)
        out += '=';
    return out;
}

std::optional<std::string> fromBase64(const std::string& text)
{
    std::string out;
    uint32_t buf = 0;
    unsigned bits = 0;
    for (const char c : text) {
        if (c == '=')
            break;
        const auto at = alphabet.find(c);
        if (at == std::string_view::npos)
            return std::nullopt;
        buf = (buf << base64Bits) | static_cast<uint32_t>(at);
        bits += base64Bits;
        if (bits >= byteBits) {
            bits -= byteBits;
            out += static_cast<char>((buf >> bits) & 255U);
        }
    }
    return out;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 255U)
        prefix.pop_back();
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

Store::Store(std::string address, Milliseconds timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{
}

leaf::result<std::string> Store::post(const std::string& path, const std::string& body) const
{
    auto client = makeHttpClient(m_address, m_timeout);
    const auto result = client.Post(path, body, "application/json");
    if (!result) {
        const bool isUnsent = isConnectFailure(result.error());
        return leaf::new_error(isUnsent ? StoreError::Unreachable : StoreError::NoReply);
    }
    constexpr int statusOk = 200;
    if (result->status != statusOk)
        return leaf::new_error(StoreError::BadReply);
    return result->body;
}

leaf::result<std::optional<StoredValue>> Store::get(const std::string& key) const
{
    ++m_calls.reads;
    BOOST_LEAF_AUTO(body, post("/v3/kv/range", Json { { "key", toBase64(key) } }.dump()));
    return parseReply([&]() -> std::optional<StoredValue> {
        const auto reply = parseObject(body);
        const auto kvs = reply.find("kvs");
        if (kvs == reply.end() || kvs->empty())
            return std::nullopt;
        return readValue(kvs->at(0), "kvs[0].");
    });
}

leaf::result<std::vector<StoredValue>> Store::list(const std::string& prefix) const
{
    ++m_calls.reads;
    const Json request { { "key", toBase64(prefix) }, { "range_end", toBase64(prefixEnd(prefix)) } };
    BOOST_LEAF_AUTO(body, post("/v3/kv/range", request.dump()));
    return parseReply([&] {
        std::vector<StoredValue> out;
        const auto reply = parseObject(body);
        if (const auto kvs = reply.find("kvs"); kvs != reply.end()) {
            for (size_t i = 0; i < kvs->size(); ++i)
                out.push_back(readValue(kvs->at(i), fmt::format("kvs[{}].", i)));
        }
        return out;
    });
}

leaf::result<bool> Store::compareAndSwap(
    const std::string& key, StoreRevision expected, const std::vector<StoreWrite>& writes) const
{
    ++m_calls.writes;
    Json operations = Json::array();
    for (const auto& write : writes) {
        if (!write.value) {
            operations.push_back({ { "request_delete_range", { { "key", toBase64(write.key) } } } });
            continue;
        }
        Json put { { "key", toBase64(write.key) }, { "value", toBase64(*write.value) } };
        if (write.lease != LeaseId())
            put["lease"] = std::to_string(static_cast<int64_t>(write.lease));
        operations.push_back({ { "request_put", std::move(put) } });
    }
    const Json compare { { "key", toBase64(key) }, { "target", "MOD" }, { "result", "EQUAL" },
        { "mod_revision", std::to_string(static_cast<int64_t>(expected)) } };
    const Json request { { "compare", Json::array({ compare }) }, { "success", std::move(operations) } };
    BOOST_LEAF_AUTO(body, post("/v3/kv/txn", request.dump()));
    return parseReply([&] { return parseObject(body).value("succeeded", false); });
}

leaf::result<LeaseId> Store::grantLease(std::chrono::seconds ttl) const
{
    ++m_calls.writes;
    BOOST_LEAF_AUTO(body, post("/v3/lease/grant", Json { { "TTL", std::to_string(ttl.count()) } }.dump()));
    return parseReply([&] { return LeaseId(readNumber(parseObject(body), "ID", "")); });
}

leaf::result<bool> Store::renewLease(LeaseId lease) const
{
    ++m_calls.writes;
    const Json request { { "ID", std::to_string(static_cast<int64_t>(lease)) } };
    BOOST_LEAF_AUTO(body, post("/v3/lease/keepalive", request.dump()));
    return parseReply([&] { return readNumber(parseObject(body).at("result"), "TTL", "result.") > 0; });
}

leaf::result<void> Store::revokeLease(LeaseId lease) const
{
    ++m_calls.writes;
    const Json request { { "ID", std::to_string(static_cast<int64_t>(lease)) } };
    BOOST_LEAF_CHECK(post("/v3/lease/revoke", request.dump()));
    return {};
}

void Store::stopWatches() const
{
    const std::lock_guard lock(m_watchMutex);
    for (const auto& [number, abort] : m_watchAborts)
        abort();
}

leaf::result<void> Store::watch(const std::string& prefix, const std::function<void(const StoreChange&)>& changed,
    const std::function<bool()>& isStopped) const
{
    ++m_calls.watches;
    constexpr Milliseconds maxSilence { 30000 };
    auto client = makeHttpClient(m_address, m_timeout);
    client.set_read_timeout(maxSilence);
    const Json create { { "key", toBase64(prefix) }, { "range_end", toBase64(prefixEnd(prefix)) } };
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.body = Json { { "create_request", create } }.dump();
    request.set_header("Content-Type", "application/json");
    std::string buf;
    std::optional<StoreReplyProblem> problem;
    const auto failed = [&](StoreReplyProblem found) { problem = std::move(found); };
    request.content_receiver = [&](const char* data, size_t n, uint64_t, uint64_t) {
        buf.append(data, n);
        for (size_t at = buf.find('\n'); at != std::string::npos; at = buf.find('\n')) {
            readChanges(buf.substr(0, at), changed, failed);
            buf.erase(0, at + 1);
        }
        return !problem && !isStopped();
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    uint64_t watchNumber = 0;
    {
        const std::lock_guard lock(m_watchMutex);
        watchNumber = m_nextWatch++;
        m_watchAborts[watchNumber] = [&client] { client.stop(); };
    }
    client.send(request, response, error);
    {
        const std::lock_guard lock(m_watchMutex);
        m_watchAborts.erase(watchNumber);
    }
    if (isConnectFailure(error))
        return leaf::new_error(StoreError::Unreachable);
    if (problem)
        return leaf::new_error(StoreError::BadReply, *problem);
    return {};
}

} // namespace sequoia
