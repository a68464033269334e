/** @file Registration.h Keeps an item of this process in the shared store under a lease. */
#pragma once

#include <sequoia/Log.h>
#include <sequoia/SharedStore.h>

#include <optional>

namespace sequoia {

/** Intervals of a registration. */
struct RegistrationLimits {
    /** Time to live of the lease; the store removes the item of a process that ended after this time. */
    Milliseconds leaseTtl { 6000 };
    Milliseconds renewPeriod { 2000 }; ///< Time between renewals of the lease.
    /** Pause after a failed call; short, as the item may have lapsed during an outage. */
    Milliseconds retryPause { 300 };
};

/**
 * Acquires a lease, writes the item under it and renews the lease; starts over if the lease has ended. Belongs to the
 * control thread.
 */
class Registration {
public:
    Registration(std::string key, std::string value, const SharedStore& store, Log& log, RegistrationLimits limits,
        std::function<TimePoint()> now);

    /** Starts the next call if it is due. */
    void tick();
    /** Changes the item; it is written at the next tick. */
    void setValue(std::string value);
    /** Reports that the item is missing in the store although its lease is not known to have ended. */
    void onMissing();
    /** Revokes the lease, which removes the item. */
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
    bool m_wasEverWritten = false; ///< The item has been written at least once.
    bool m_isCallPending = false;
    bool m_isEnded = false;
    bool m_hasLapsed = false;
    TimePoint m_nextCallAt {};
};

} // namespace sequoia
