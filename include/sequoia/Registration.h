/** @file Registration.h Keeps one item of this process in the shared store under a lease. */
#pragma once

#include <sequoia/Log.h>
#include <sequoia/SharedStore.h>

#include <optional>

namespace sequoia {

/** Times of a registration. */
struct RegistrationLimits {
    Milliseconds leaseTtl { 6000 }; ///< Of the lease; the item of an ended process goes after this time.
    Milliseconds renewPeriod { 2000 };
    Milliseconds retryPause { 300 }; ///< After a failed call; an item that lapsed in an outage is soon back.
};

/** Registers, renews, and registers again where the lease has ended. Belongs to the control thread. */
class Registration {
public:
    Registration(std::string key, std::string value, const SharedStore& store, Log& log, RegistrationLimits limits,
        std::function<TimePoint()> now);

    void tick();
    /** Changes the item; it is written at the next tick. */
    void setValue(std::string value);
    /** The item was seen to be missing although its lease has not been seen to end. */
    void onMissing();
    /** Takes the item away. */
    void unregister();

private:
    void onFailure(SharedStoreError error, const char* call);

    std::string m_key;
    std::string m_value;
    const SharedStore& m_store;
    Log& m_log;
    RegistrationLimits m_limits;
    std::function<TimePoint()> m_now;
    std::optional<StoreLease> m_lease;
    bool m_isWritten = false;
    bool m_wasEverWritten = false; ///< Once at least.
    bool m_isCallPending = false;
    bool m_isEnded = false;
    bool m_hasLapsed = false;
    TimePoint m_nextCallAt {};
};

} // namespace sequoia
