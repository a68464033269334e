/** @file LearnedPublisher.h Publishes the learned models of an entry in the shared store and restores them. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Registration.h>

namespace sequoia {

/** Periods and limits of a publisher. */
struct LearnedPublisherLimits {
    Milliseconds period { 5000 }; ///< Interval of writes; a loss of power loses no more than what was learned in it.
    Milliseconds retryPause { 1000 }; ///< Pause after a failed read; a failed write is repeated after `period`.
    Milliseconds ttl { 600000 }; ///< Time to live of the item of an entry that doesn't come back.
    size_t maxBytesPerSecond = 1024; ///< Large items are written less often, to stay below this rate.
};

/** Access of a publisher to the entry's models; all hooks run on the control thread. */
struct LearnedPublisherHooks {
    std::function<std::optional<Learned>()> learned; ///< State of the models; empty as long as nothing was learned.
    std::function<void(const Learned&)> restore; ///< Restores the models; called once.
    std::function<TimePoint()> now;
};

/** Restores the merged models of all entries first, then publishes those of its entry. Not thread-safe. */
class LearnedPublisher {
public:
    LearnedPublisher(const std::string& name, const SharedStore& store, Log& log, LearnedPublisherLimits limits,
        LearnedPublisherHooks);

    /** Starts the next call if it is due. */
    void tick();

private:
    void listed(const StoreReply<SharedItems>& reply);

    const SharedStore& m_store;
    Log& m_log;
    LearnedPublisherLimits m_limits;
    LearnedPublisherHooks m_hooks;
    Registration m_item;
    bool m_isCalling = false;
    bool m_hasRestored = false;
    TimePoint m_next {};
};

} // namespace sequoia
