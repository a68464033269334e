/** @file LearnedPublisher.cpp Writes one item for each entry to the shared store; jobs never wait for these calls. */
#include <sequoia/LearnedPublisher.h>

#include <algorithm>

namespace sequoia {

namespace {

    constexpr std::string_view learnedItemsPrefix = "sequoia/learned/";

} // namespace

LearnedPublisher::LearnedPublisher(const std::string& name, const SharedStore& store, Log& log,
    LearnedPublisherLimits limits, LearnedPublisherHooks hooks)
    : m_store(store)
    , m_log(log)
    , m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_item(std::string(learnedItemsPrefix) + name, "", store, log, { limits.ttl, limits.ttl / 4, limits.retryPause },
          m_hooks.now)
{
}

void LearnedPublisher::tick()
{
    if (m_isCalling || m_hooks.now() < m_next)
        return;
    if (!m_hasRestored) {
        m_isCalling = true;
        m_store.list(std::string(learnedItemsPrefix), [this](const StoreReply<SharedItems>& reply) { listed(reply); });
        return;
    }
    m_next = m_hooks.now() + m_limits.period;
    const auto learned = m_hooks.learned();
    if (!learned)
        return;
    auto text = toText(*learned);
    constexpr size_t msPerSecond = 1000;
    const auto minInterval = Milliseconds(static_cast<int64_t>(text.size() * msPerSecond / m_limits.maxBytesPerSecond));
    m_next = m_hooks.now() + std::max(m_limits.period, minInterval);
    m_item.setValue(std::move(text));
    m_item.tick();
}

void LearnedPublisher::listed(const StoreReply<SharedItems>& reply)
{
    m_isCalling = false;
    m_next = m_hooks.now() + m_limits.retryPause;
    const auto* found = std::get_if<SharedItems>(&reply);
    if (found == nullptr)
        return; // The store client counts the failure, and `StoreWatcher` logs the outage.
    m_hasRestored = true;
    Learned all;
    for (const auto& item : found->items) {
        std::vector<std::string> problems;
        if (const auto learned = parseLearned(item.value, &problems))
            all.merge(*learned);
        else
            problems.emplace_back("body");
        if (!problems.empty()) {
            m_log.event(LogLevel::Warning, "learned-malformed",
                { { "key", item.key }, { "place", problems.front() },
                    { "values", static_cast<int64_t>(problems.size()) } });
        }
    }
    m_hooks.restore(all);
}

} // namespace sequoia
