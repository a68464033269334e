/** @file StoreWatcher.cpp Lists and watches the items under a prefix, with retries. */
#include <sequoia/StoreWatcher.h>

#include <algorithm>

namespace sequoia {

StoreWatcher::StoreWatcher(
    std::string prefix, const SharedStore& store, Log& log, StoreWatcherLimits limits, StoreWatcherHooks hooks)
    : m_prefix(std::move(prefix))
    , m_store(store)
    , m_log(log)
    , m_limits(limits)
    , m_hooks(std::move(hooks))
{
}

void StoreWatcher::tick()
{
    if (m_isCallPending || m_hooks.now() < m_nextCallAt)
        return;
    m_isCallPending = true;
    if (m_version) {
        m_store.watch(m_prefix, *m_version, m_limits.watchWait,
            [this](const StoreReply<SharedItems>& reply) { onWatchReply(reply); });
        return;
    }
    m_store.list(m_prefix, [this](const StoreReply<SharedItems>& reply) { onListReply(reply); });
}

void StoreWatcher::onListReply(const StoreReply<SharedItems>& reply)
{
    m_isCallPending = false;
    if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
        onFailure(*error);
        return;
    }
    onSuccess();
    const auto& found = std::get<SharedItems>(reply);
    m_version = found.version;
    m_items.clear();
    for (const auto& item : found.items)
        m_items[item.key] = item.value;
    m_hooks.changed(m_items);
    tick();
}

void StoreWatcher::onWatchReply(const StoreReply<SharedItems>& reply)
{
    m_isCallPending = false;
    if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
        onFailure(*error);
        return;
    }
    onSuccess();
    m_hasWatched = true;
    const auto& found = std::get<SharedItems>(reply);
    if (found.version < *m_version && !found.items.empty()) {
        // An old answer: what it tells was known, and may have changed since. The pause keeps a store that goes on
        // answering so from being called without end.
        m_log.event(LogLevel::Warning, "store-answer-old",
            { { "prefix", m_prefix }, { "version", static_cast<int64_t>(found.version) },
                { "known", static_cast<int64_t>(*m_version) } });
        m_version.reset();
        m_nextCallAt = m_hooks.now() + m_limits.maxBackoff;
        return;
    }
    m_version = std::max(*m_version, found.version);
    for (const auto& item : found.items) {
        if (item.isRemoved)
            m_items.erase(item.key);
        else
            m_items[item.key] = item.value;
    }
    if (!found.items.empty())
        m_hooks.changed(m_items);
    tick();
}

void StoreWatcher::onFailure(SharedStoreError error)
{
    if (error == SharedStoreError::HistoryGone) {
        m_log.event(LogLevel::Info, "store-history-gone", { { "prefix", m_prefix } });
        m_version.reset();
        // Without a watch since the last listing, the next one may not help either.
        m_nextCallAt = m_hooks.now() + (m_hasWatched ? Milliseconds(0) : m_limits.maxBackoff);
        m_hasWatched = false;
        return;
    }
    if (m_failures == 0) {
        m_lostAt = m_hooks.now();
        m_log.event(LogLevel::Warning, "store-lost",
            { { "prefix", m_prefix }, { "error", error == SharedStoreError::Refused ? "refused" : "unavailable" } });
    }
    ++m_failures;
    constexpr uint32_t maxDoublings = 6;
    const auto pause = m_limits.baseBackoff * (1U << std::min(m_failures, maxDoublings));
    m_nextCallAt = m_hooks.now() + std::min(pause, m_limits.maxBackoff);
}

void StoreWatcher::onSuccess()
{
    if (m_failures > 0) {
        m_log.event(LogLevel::Info, "store-regained",
            { { "prefix", m_prefix }, { "lost_ms", toMilliseconds(m_hooks.now() - m_lostAt).count() },
                { "failed_calls", static_cast<int64_t>(m_failures) } });
    }
    m_failures = 0;
}

} // namespace sequoia
