/** @file LearnedKeeper.h Keeps what an entry has learned in the shared store, and recalls it after a start. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Registration.h>

namespace sequoia {

/** Times of a keeper. */
struct LearnedPublisherLimits {
    Milliseconds period { 5000 }; ///< Between writes; a loss of power forgets no more than this.
    Milliseconds retryPause { 1000 }; ///< After a failed call.
    Milliseconds ttl { 600000 }; ///< What an entry learned that is gone for good is forgotten after this time.
    size_t maxBytesPerSecond = 1024; ///< Large texts are written more rarely, to stay below this rate.
};

/** What a keeper asks of the entry; all hooks run on the control thread. */
struct LearnedPublisherHooks {
    std::function<std::optional<Learned>()> learned; ///< Empty as long as nothing was learned.
    std::function<void(const Learned&)> restore;
    std::function<TimePoint()> now;
};

/** First recalls what all entries have learned, then writes what this one learns. Belongs to the control thread. */
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
