/** @file Dialer.h Keeps an agent connected to every entry whose address it knows. */
#pragma once

#include <sequoia/Link.h>
#include <sequoia/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoia {

/** Timeouts and backoff of a Dialer. */
struct DialerLimits {
    Milliseconds initialBackoff { 100 }; ///< From the end of a link that had a Welcome to the next attempt.
    /** A link that had a Welcome and lasted this long is dialled again without a backoff. */
    Milliseconds lastingLink { 1000 };
    Milliseconds maxBackoff { 2000 };
    double backoffFactor = 2; ///< Growth of the backoff with each attempt without a Welcome, the first one included.
    /** A link without a Welcome in this time is closed; doubles with each such link to the same address. */
    Milliseconds initialWelcomeTimeout { 2000 };
    Milliseconds maxWelcomeTimeout { 2000 }; ///< Upper bound of the doubled welcome timeout.
    Milliseconds addressTtl { 30000 }; ///< An address that was neither listed nor linked for this time is removed.
};

/** Connects to all known addresses and reconnects with exponential backoff. Used on the control thread only. */
class Dialer {
public:
    Dialer(DialerLimits limits, std::function<LinkId(const std::string&)> dial, std::function<void(LinkId)> close);

    /** Replaces the addresses; an address that has a link is kept even if it is not listed. */
    void setAddresses(const std::vector<std::string>& addresses, TimePoint now);
    /** Adds addresses and renews the time to live of those already known; ignores those that can't be dialled. */
    void addAddresses(const std::vector<std::string>& addresses, TimePoint now);
    /** To be called when an entry has sent a Welcome on a link. Returns false if this dialer did not open the link. */
    bool welcomed(LinkId link);
    /** To be called when a link has closed; `tick` dials at once after a link that had lasted. */
    void closed(LinkId link, TimePoint now);
    /** Dials the addresses without a link on the next tick, without waiting for their backoff. */
    void dialNow();
    /** Dials what is due, closes links without a Welcome and removes expired addresses. */
    void tick(TimePoint now);
    size_t welcomedLinks() const;
    std::vector<std::string> addresses() const;

private:
    struct Target {
        std::string address; ///< As it was first given.
        std::optional<LinkId> link;
        bool isWelcomed = false;
        TimePoint lastAttempt {}; ///< When the link was dialled or closed.
        TimePoint lastReferenced {}; ///< When the address was last listed, or its link closed.
        Milliseconds backoff {};
        Milliseconds welcomeTimeout {};
    };

    DialerLimits m_limits;
    std::function<LinkId(const std::string&)> m_dial;
    std::function<void(LinkId)> m_close;
    std::map<std::string, Target> m_targets; ///< By address in lower case, since hosts in other case are the same.
};

} // namespace sequoia
