/** @file StoreWatcher.cpp Lists and watches the items under a prefix, with retries. */
#include <sequoia/Follower.h>

#include <algorithm>

namespace sequoia {

Follower::Follower(std::string prefix, const SharedStore& store, Log& log, FollowerLimits limits, FollowerHooks hooks)
    : m_prefix(std::move(prefix))
    , m_store(store)
    , m_log(log)
    , m_limits(limits)
    , m_hooks(std::move(hooks))
{
}

void Follower::tick()
{
    if (m_isCalling || m_hooks.now() < m_next)
        return;
    m_isCalling = true;
    if (m_version) {
        m_store.watch(
            m_prefix, *m_version, m_limits.watchWait, [this](const StoreReply<SharedItems>& reply) { watched(reply); });
        return;
    }
    m_store.list(m_prefix, [this](const StoreReply<SharedItems>& reply) { listed(reply); });
}

void Follower::listed(const StoreReply<SharedItems>& reply)
{
    m_isCalling = false;
    if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
        failed(*error);
        return;
    }
    succeeded();
    const auto& found = std::get<SharedItems>(reply);
    m_version = found.version;
    m_items.clear();
    for (const auto& item : found.items)
        m_items[item.key] = item.value;
    m_hooks.changed(m_items);
    tick();
}

void Follower::watched(const StoreReply<SharedItems>& reply)
{
    m_isCalling = false;
    if (const auto* error = std::get_if<SharedStoreError>(&reply)) {
        failed(*error);
        return;
    }
    succeeded();
    const auto& found = std::get<SharedItems>(reply);
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

void Follower::failed(SharedStoreError error)
{
    if (error == SharedStoreError::HistoryGone) {
        m_log.event(LogLevel::Info, "store-history-gone", { { "prefix", m_prefix } });
        m_version.reset();
        m_next = m_hooks.now();
        return;
    }
    if (m_failures == 0) {
        m_lostAt = m_hooks.now();
        m_log.event(LogLevel::Warning, "store-lost",
            { { "prefix", m_prefix }, { "error", error == SharedStoreError::Refused ? "refused" : "unavailable" } });
    }
    ++m_failures;
    constexpr uint32_t maxDoublings = 6;
    const auto pause = m_limits.firstPause * (1U << std::min(m_failures, maxDoublings));
    m_next = m_hooks.now() + std::min(pause, m_limits.longestPause);
}

void Follower::succeeded()
{
    if (m_failures > 0) {
        m_log.event(LogLevel::Info, "store-regained",
            { { "prefix", m_prefix }, { "lost_ms", toMilliseconds(m_hooks.now() - m_lostAt).count() },
                { "failed_calls", static_cast<int64_t>(m_failures) } });
    }
    m_failures = 0;
}

} // namespace sequoia
