/** @file ConfigSynchronizer.cpp Synchronizes the configuration and the registration of an entry. */
#include "EntryConfig.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sequoia/HttpService.h>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr Milliseconds pollPeriod { 3000 }; // Also finds changes while a dead watch goes unnoticed.
    constexpr Milliseconds retryPause { 500 };
    constexpr Milliseconds peerTimeout { 1000 };
    constexpr auto tokenHeader = "X-Sequoia-Token";

    /** The value of a call; empty on any error. */
    template <typename F> auto valueOf(F&& call) -> std::optional<std::decay_t<decltype(call().value())>>
    {
        using T = std::decay_t<decltype(call().value())>;
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<T>> {
                BOOST_LEAF_AUTO(value, call());
                return std::optional<T>(std::move(value));
            },
            []() { return std::optional<T>(); });
    }

} // namespace

std::string toJson(const EntryRegistration& entry)
{
    return Json {
        { "name", entry.name }, { "http", entry.http }, { "link", entry.link },
        { "incarnation", fmt::format("{:016x}", raw(entry.incarnation)) }
    }.dump();
}

std::optional<EntryRegistration> parseRegistration(const std::string& text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return EntryRegistration { json.at("name"), json.at("http"), json.at("link"),
            Incarnation(std::stoull(json.at("incarnation").get<std::string>(), nullptr, 16)) };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

EntryConfig::EntryConfig(EntryConfigParts parts)
    : m_parts(std::move(parts))
    , m_keys(m_parts.cluster)
{
    m_entries[m_parts.self.http] = m_parts.self;
}

EntryConfig::~EntryConfig() { stop(); }

void EntryConfig::start()
{
    if (m_parts.store == nullptr) {
        m_parts.holder.offer({});
        m_isReady = true;
        return;
    }
    m_threads.emplace_back([this] { runWatch(); });
    m_threads.emplace_back([this] { runPoll(); });
    m_threads.emplace_back([this] { runLease(); });
}

void EntryConfig::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped.exchange(true))
            return;
    }
    m_stopping.notify_all();
    if (m_parts.store != nullptr)
        m_parts.store->stopWatches();
    for (auto& thread : m_threads)
        thread.join();
    if (m_lease == LeaseId())
        return;
    valueOf([&]() -> leaf::result<int> {
        BOOST_LEAF_CHECK(m_parts.store->revokeLease(m_lease));
        return 0;
    });
}

bool EntryConfig::sleepFor(Milliseconds time)
{
    std::unique_lock lock(m_mutex);
    return !m_stopping.wait_for(lock, time, [&] { return m_isStopped.load(); });
}

void EntryConfig::runWatch()
{
    while (!m_isStopped) {
        const auto onChange = [this](const StoreChange& change) {
            if (change.key == m_keys.current && change.value)
                take(*change.value, "store");
            if (change.key.rfind(m_keys.entries, 0) != 0)
                return;
            const auto address = change.key.substr(m_keys.entries.size());
            const auto entry = change.value ? parseRegistration(*change.value) : std::nullopt;
            const std::lock_guard lock(m_mutex);
            if (entry)
                m_entries[address] = *entry;
            else if (address != m_parts.self.http)
                m_entries.erase(address);
        };
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                return m_parts.store->watch(m_keys.prefix, onChange, [this] { return m_isStopped.load(); });
            },
            [] {});
        if (!sleepFor(retryPause))
            return;
    }
}

void EntryConfig::runPoll()
{
    do
        pollOnce();
    while (sleepFor(m_isReady ? pollPeriod : retryPause));
}

void EntryConfig::pollOnce()
{
    const bool isStoreRead = readStore();
    if (m_isStoreUp != isStoreRead)
        m_parts.log.event(
            isStoreRead ? LogLevel::Info : LogLevel::Warning, isStoreRead ? "store-up" : "store-down", {});
    m_isStoreUp = isStoreRead;
    const bool isPeerRead = !isStoreRead || !m_isReady ? readPeers() : false;
    if (isStoreRead || isPeerRead)
        m_isReady = true;
}

bool EntryConfig::readStore()
{
    const auto stored = valueOf([&] { return m_parts.store->get(m_keys.current); });
    if (!stored)
        return false;
    if (*stored)
        take((*stored)->value, "store");
    else
        m_parts.holder.offer({});
    const auto entries = valueOf([&] { return m_parts.store->list(m_keys.entries); });
    if (!entries)
        return true;
    const std::lock_guard lock(m_mutex);
    m_entries.clear();
    m_entries[m_parts.self.http] = m_parts.self;
    for (const auto& value : *entries) {
        if (const auto entry = parseRegistration(value.value))
            m_entries[entry->http] = *entry;
    }
    return true;
}

std::vector<std::string> EntryConfig::peerAddresses() const
{
    std::set<std::string> addresses(m_parts.peers.begin(), m_parts.peers.end());
    const std::lock_guard lock(m_mutex);
    for (const auto& [address, entry] : m_entries)
        addresses.insert(address);
    addresses.erase(m_parts.self.http);
    return { addresses.begin(), addresses.end() };
}

bool EntryConfig::readPeers()
{
    bool isRead = false;
    for (const auto& address : peerAddresses()) {
        auto client = makeHttpClient(address, peerTimeout);
        const auto reply = client.Get("/v1/peer/config", { { tokenHeader, m_parts.token } });
        if (!reply || reply->status != 200 || reply->body.empty())
            continue;
        take(reply->body, address);
        isRead = true;
    }
    return isRead;
}

void EntryConfig::pushToPeers(const std::string& json)
{
    for (const auto& address : peerAddresses()) {
        auto client = makeHttpClient(address, peerTimeout);
        client.Post("/v1/peer/config", { { tokenHeader, m_parts.token } }, json, "application/json");
    }
}

void EntryConfig::requireRevision(Revision revision)
{
    uint64_t known = m_required.load();
    while (known < raw(revision) && !m_required.compare_exchange_weak(known, raw(revision))) { }
}

void EntryConfig::offerFromPeer(const std::string& json) { take(json, "peer"); }

void EntryConfig::take(const std::string& json, const std::string& source)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, parseConfiguration(json));
            const auto active = m_parts.holder.current();
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
            if (m_parts.holder.offer(std::move(next))) {
                m_parts.log.event(LogLevel::Info, "config-in-force",
                    { { "revision", fmt::to_string(raw(configuration.revision)) }, { "source", source } });
                if (source == "store")
                    pushToPeers(json);
            }
            return {};
        },
        [&](const ConfigError& error) {
            const auto& details = error.details;
            m_parts.log.event(LogLevel::Error, "config-rejected",
                { { "source", source }, { "reason", details.empty() ? "" : details.front() } });
        },
        [] {});
}

std::optional<std::vector<SheetRow>> EntryConfig::loadParts(const std::vector<std::string>& digests)
{
    std::vector<SheetRow> rows;
    std::map<std::string, std::string> packed;
    for (const auto& digest : digests) {
        const auto text = loadPart(digest);
        const auto part = text ? unpackRows(*text) : std::nullopt;
        if (!part) {
            m_parts.log.event(LogLevel::Warning, "sheet-part-missing", { { "digest", digest } });
            return std::nullopt;
        }
        rows.insert(rows.end(), part->begin(), part->end());
        packed[digest] = *text;
    }
    const std::lock_guard lock(m_mutex);
    m_packedParts = std::move(packed);
    return rows;
}

std::optional<std::string> EntryConfig::loadPart(const std::string& digest)
{
    if (auto known = part(digest))
        return known;
    const auto stored = valueOf([&] { return m_parts.store->get(m_keys.part(digest)); });
    if (stored && *stored)
        return (*stored)->value;
    for (const auto& address : peerAddresses()) {
        auto client = makeHttpClient(address, peerTimeout);
        const auto reply = client.Get("/v1/peer/part/" + digest, { { tokenHeader, m_parts.token } });
        if (reply && reply->status == 200 && contentDigest(reply->body) == digest)
            return reply->body;
    }
    return std::nullopt;
}

std::optional<std::string> EntryConfig::part(const std::string& digest) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_packedParts.find(digest);
    if (it == m_packedParts.end())
        return std::nullopt;
    return it->second;
}

std::string EntryConfig::currentJson() const
{
    const auto active = m_parts.holder.current();
    return active ? toJson(active->configuration) : "";
}

std::vector<EntryRegistration> EntryConfig::entries() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EntryRegistration> out;
    for (const auto& [address, entry] : m_entries)
        out.push_back(entry);
    return out;
}

void EntryConfig::registerSelf()
{
    const auto lease = valueOf([&] { return m_parts.store->grantLease(m_parts.leaseTtl); });
    if (!lease)
        return;
    const auto key = m_keys.entry(m_parts.self.http);
    const auto known = valueOf([&] { return m_parts.store->get(key); });
    if (!known)
        return;
    const auto revision = *known ? (*known)->revision : StoreRevision();
    const auto isWritten = valueOf([&] {
        return m_parts.store->compareAndSwap(key, revision, { { key, toJson(m_parts.self), *lease } });
    });
    if (isWritten.value_or(false))
        m_lease = *lease;
}

void EntryConfig::runLease()
{
    const auto period = toMilliseconds(m_parts.leaseTtl) / 3;
    do {
        const bool isRenewed
            = m_lease != LeaseId() && valueOf([&] { return m_parts.store->renewLease(m_lease); }).value_or(false);
        if (!isRenewed)
            registerSelf();
    } while (sleepFor(m_lease == LeaseId() ? retryPause : period));
}

} // namespace sequoia
