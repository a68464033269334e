/** @file LearnedKeeper.h Keeps what an entry has learned in the shared store, and recalls it after a start. */
#pragma once

#include <sequoia/Learned.h>
#include <sequoia/Registration.h>

namespace sequoia {

/** Times of a keeper. */
struct LearnedKeeperLimits {
    Milliseconds period { 5000 }; ///< Between writes; a loss of power forgets no more than this.
    Milliseconds retryPause { 1000 }; ///< After a failed call.
    Milliseconds life { 600000 }; ///< What an entry learned that is gone for good is forgotten after this time.
    size_t bytesPerSecond = 1024; ///< Large texts are written more rarely, to stay below this rate.
};

/** What a keeper asks of the entry; all hooks run on the control thread. */
struct LearnedKeeperHooks {
    std::function<std::optional<Learned>()> learned; ///< Empty as long as nothing was learned.
    std::function<void(const Learned&)> recall;
    std::function<TimePoint()> now;
};

/** First recalls what all entries have learned, then writes what this one learns. Belongs to the control thread. */
class LearnedKeeper {
public:
    LearnedKeeper(
        const std::string& name, const SharedStore& store, Log& log, LearnedKeeperLimits limits, LearnedKeeperHooks);

    /** Starts the next call if it is due. */
    void tick();

private:
    void listed(const StoreReply<SharedItems>& reply);

    const SharedStore& m_store;
    Log& m_log;
    LearnedKeeperLimits m_limits;
    LearnedKeeperHooks m_hooks;
    Registration m_item;
    bool m_isCalling = false;
    bool m_hasRecalled = false;
    TimePoint m_next {};
};

} // namespace sequoia
