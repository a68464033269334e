/** @file ConfigSynchronizer.cpp Synchronizes the configuration and the registration of an entry. */
#include "ConfigSynchronizer.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sequoia/HttpService.h>
#include <sequoia/JsonNesting.h>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr Milliseconds pollPeriod { 3000 }; // The poll also finds changes that a dead watch misses.
    constexpr Milliseconds retryPause { 500 };
    constexpr Milliseconds peerTimeout { 1000 };
    constexpr auto tokenHeader = "X-Sequoia-Token";

    void recordProblem(Log& log, const StoreReplyProblem& problem)
    {
        log.event(LogLevel::Warning, "store-reply-odd", { { "place", problem.place }, { "error", problem.message } });
    }

    /** The value of a call; empty on any error. */
    template <typename F> auto valueOf(Log& log, F&& call) -> std::optional<std::decay_t<decltype(call().value())>>
    {
        using T = std::decay_t<decltype(call().value())>;
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<T>> {
                BOOST_LEAF_AUTO(value, call());
                return std::optional<T>(std::move(value));
            },
            [&](const StoreReplyProblem& problem) {
                recordProblem(log, problem);
                return std::optional<T>();
            },
            []() { return std::optional<T>(); });
    }

} // namespace

std::string toJson(const EntryRegistration& entry)
{
    return Json {
        { "name", entry.name }, { "http", entry.http }, { "link", entry.link },
        { "incarnation", fmt::format("{:016x}", raw(entry.incarnation)) }
    }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<EntryRegistration> parseRegistration(const std::string& text)
{
    const auto json = parseUntrusted(text);
    if (!json.is_object())
        return std::nullopt;
    try {
        EntryRegistration entry { json.at("name"), json.at("http"), json.at("link"),
            Incarnation(std::stoull(json.at("incarnation").get<std::string>(), nullptr, 16)) };
        if (!isDialable(entry.http) || !isDialable(entry.link))
            return std::nullopt;
        return entry;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

ConfigSynchronizer::ConfigSynchronizer(ConfigSynchronizerOptions options)
    : m_options(std::move(options))
    , m_keys(m_options.cluster)
{
    m_entries[m_options.self.http] = m_options.self;
}

ConfigSynchronizer::~ConfigSynchronizer() { stop(); }

void ConfigSynchronizer::start()
{
    if (m_options.store == nullptr) {
        m_options.holder.replaceIfNewer({});
        m_isReady = true;
        return;
    }
    m_threads.emplace_back([this] { runWatch(); });
    m_threads.emplace_back([this] { runPoll(); });
    m_threads.emplace_back([this] { runLease(); });
}

void ConfigSynchronizer::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped.exchange(true))
            return;
    }
    m_stopCondition.notify_all();
    if (m_options.store != nullptr)
        m_options.store->stopWatches();
    for (auto& thread : m_threads)
        thread.join();
    if (m_lease == LeaseId())
        return;
    valueOf(m_options.log, [&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(m_options.store->revokeLease(m_lease));
        return 0;
    });
}

bool ConfigSynchronizer::sleepFor(Milliseconds time)
{
    std::unique_lock lock(m_mutex);
    return !m_stopCondition.wait_for(lock, time, [&] { return m_isStopped.load(); });
}

void ConfigSynchronizer::runWatch()
{
    while (!m_isStopped) {
        const auto onChange = [this](const StoreChange& change) {
            if (change.key == m_keys.current && change.value)
                applyIfNewer(*change.value, "store");
            if (change.key.rfind(m_keys.entries, 0) != 0)
                return;
            const auto address = change.key.substr(m_keys.entries.size());
            const auto entry = change.value ? parseRegistration(*change.value) : std::nullopt;
            const std::lock_guard lock(m_mutex);
            if (entry)
                m_entries[address] = *entry;
            else if (address != m_options.self.http)
                m_entries.erase(address);
        };
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                return m_options.store->watch(m_keys.prefix, onChange, [this] { return m_isStopped.load(); });
            },
            [&](const StoreReplyProblem& problem) { recordProblem(m_options.log, problem); }, [] {});
        if (!sleepFor(retryPause))
            return;
    }
}

void ConfigSynchronizer::runPoll()
{
    do
        pollOnce();
    while (sleepFor(m_isReady ? pollPeriod : retryPause));
}

void ConfigSynchronizer::pollOnce()
{
    const bool isStoreRead = readStore();
    if (m_isStoreUp != isStoreRead)
        m_options.log.event(
            isStoreRead ? LogLevel::Info : LogLevel::Warning, isStoreRead ? "store-up" : "store-down", {});
    m_isStoreUp = isStoreRead;
    const bool isPeerRead = !isStoreRead || !m_isReady ? readPeers() : false;
    if (isStoreRead || isPeerRead)
        m_isReady = true;
}

bool ConfigSynchronizer::readStore()
{
    const auto stored = valueOf(m_options.log, [&] { return m_options.store->get(m_keys.current); });
    if (!stored)
        return false;
    if (*stored)
        applyIfNewer((*stored)->value, "store");
    else
        m_options.holder.replaceIfNewer({});
    const auto entries = valueOf(m_options.log, [&] { return m_options.store->list(m_keys.entries); });
    if (!entries)
        return true;
    const std::lock_guard lock(m_mutex);
    m_entries.clear();
    m_entries[m_options.self.http] = m_options.self;
    for (const auto& value : *entries) {
        if (const auto entry = parseRegistration(value.value))
            m_entries[entry->http] = *entry;
    }
    return true;
}

std::vector<std::string> ConfigSynchronizer::peerAddresses() const
{
    std::set<std::string> addresses(m_options.peers.begin(), m_options.peers.end());
    const std::lock_guard lock(m_mutex);
    for (const auto& [address, entry] : m_entries)
        addresses.insert(address);
    addresses.erase(m_options.self.http);
    return { addresses.begin(), addresses.end() };
}

bool ConfigSynchronizer::readPeers()
{
    bool isRead = false;
    for (const auto& address : peerAddresses()) {
        auto client = makeHttpClient(address, peerTimeout);
        const auto reply = client.Get("/v1/peer/config", { { tokenHeader, m_options.token } });
        if (!reply || reply->status != 200 || reply->body.empty())
            continue;
        applyIfNewer(reply->body, address);
        isRead = true;
    }
    return isRead;
}

void ConfigSynchronizer::pushToPeers(const std::string& json)
{
    for (const auto& address : peerAddresses()) {
        auto client = makeHttpClient(address, peerTimeout);
        client.Post("/v1/peer/config", { { tokenHeader, m_options.token } }, json, "application/json");
    }
}

void ConfigSynchronizer::requireRevision(Revision revision)
{
    uint64_t known = m_requiredRevision.load();
    while (known < raw(revision) && !m_requiredRevision.compare_exchange_weak(known, raw(revision))) { }
}

void ConfigSynchronizer::receiveFromPeer(const std::string& json) { applyIfNewer(json, "peer"); }

void ConfigSynchronizer::applyIfNewer(const std::string& json, const std::string& source)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration(json));
            const auto active = m_options.holder.current();
            if (active && configuration.revision <= active->configuration.revision)
                return {};
            const bool isSamePlan = active && active->configuration.plan.parts == configuration.plan.parts
                && active->configuration.plan.holidays == configuration.plan.holidays;
            ActiveConfiguration next { configuration, isSamePlan ? active->plan : DayPlan() };
            if (!isSamePlan && !configuration.plan.parts.empty()) {
                const auto rows = loadParts(configuration.plan.parts);
                if (!rows)
                    return {}; // The next poll tries again.
                next.plan = DayPlan(*rows, configuration.plan.holidays);
            }
            if (m_options.holder.replaceIfNewer(std::move(next))) {
                m_options.log.event(LogLevel::Info, "config-in-force",
                    { { "revision", fmt::to_string(raw(configuration.revision)) }, { "source", source } });
                if (source == "store")
                    pushToPeers(json);
            }
            return {};
        },
        [&](const ConfigError& error) {
            const auto& details = error.details;
            m_options.log.event(LogLevel::Error, "config-rejected",
                { { "source", source }, { "reason", details.empty() ? "" : details.front() } });
        },
        [] {});
}

std::optional<std::vector<SheetRow>> ConfigSynchronizer::loadParts(const std::vector<std::string>& digests)
{
    std::vector<SheetRow> rows;
    std::map<std::string, std::string> packed;
    for (const auto& digest : digests) {
        const auto text = loadPart(digest);
        const auto part = text ? unpackRows(*text) : std::nullopt;
        if (!part) {
            m_options.log.event(LogLevel::Warning, "sheet-part-missing", { { "digest", digest } });
            return std::nullopt;
        }
        rows.insert(rows.end(), part->begin(), part->end());
        packed[digest] = *text;
    }
    const std::lock_guard lock(m_mutex);
    m_packedParts = std::move(packed);
    return rows;
}

std::optional<std::string> ConfigSynchronizer::loadPart(const std::string& digest)
{
    if (auto known = part(digest))
        return known;
    const auto stored = valueOf(m_options.log, [&] { return m_options.store->get(m_keys.part(digest)); });
    if (stored && *stored)
        return (*stored)->value;
    for (const auto& address : peerAddresses()) {
        auto client = makeHttpClient(address, peerTimeout);
        const auto reply = client.Get("/v1/peer/part/" + digest, { { tokenHeader, m_options.token } });
        if (reply && reply->status == 200 && contentDigest(reply->body) == digest)
            return reply->body;
    }
    return std::nullopt;
}

std::optional<std::string> ConfigSynchronizer::part(const std::string& digest) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_packedParts.find(digest);
    if (it == m_packedParts.end())
        return std::nullopt;
    return it->second;
}

std::string ConfigSynchronizer::currentJson() const
{
    const auto active = m_options.holder.current();
    return active ? toJson(active->configuration) : "";
}

std::vector<EntryRegistration> ConfigSynchronizer::entries() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EntryRegistration> out;
    for (const auto& [address, entry] : m_entries)
        out.push_back(entry);
    return out;
}

void ConfigSynchronizer::registerSelf()
{
    const auto lease = valueOf(m_options.log, [&] { return m_options.store->grantLease(m_options.leaseTtl); });
    if (!lease)
        return;
    const auto key = m_keys.entry(m_options.self.http);
    const auto known = valueOf(m_options.log, [&] { return m_options.store->get(key); });
    if (!known)
        return;
    const auto revision = *known ? (*known)->revision : StoreRevision();
    const auto isWritten = valueOf(m_options.log, [&] {
        return m_options.store->compareAndSwap(key, revision, { { key, toJson(m_options.self), *lease } });
    });
    if (isWritten.value_or(false))
        m_lease = *lease;
}

void ConfigSynchronizer::runLease()
{
    const auto period = toMilliseconds(m_options.leaseTtl) / 3;
    do {
        const bool isRenewed = m_lease != LeaseId()
            && valueOf(m_options.log, [&] { return m_options.store->renewLease(m_lease); }).value_or(false);
        if (!isRenewed)
            registerSelf();
    } while (sleepFor(m_lease == LeaseId() ? retryPause : period));
}

} // namespace sequoia
