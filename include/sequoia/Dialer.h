/** @file Dialer.h Keeps an agent linked to every entry that it knows of. */
#pragma once

#include <sequoia/Link.h>
#include <sequoia/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoia {

/** Times of a dialer. */
struct DialerLimits {
    Milliseconds initialBackoff { 100 }; ///< Before an address is dialled again.
    Milliseconds maxBackoff { 2000 };
    double backoffFactor = 2; ///< Of each pause over the one before.
    Milliseconds initialWelcomeTimeout {
        2000
    }; ///< A link that is not welcomed in this time is closed; doubles with each.
    Milliseconds maxWelcomeTimeout { 2000 }; ///< The longest such time.
    Milliseconds addressTtl { 30000 }; ///< An address that was not named or linked for this time is forgotten.
};

/** Dials, and dials again with growing pauses. Belongs to the control thread. */
class Dialer {
public:
    Dialer(DialerLimits limits, std::function<LinkId(const std::string&)> dial, std::function<void(LinkId)> close);

    /** Replaces the addresses; a link in use stays, whatever the list says. */
    void setAddresses(const std::vector<std::string>& addresses, TimePoint now);
    /** Adds addresses, or shows that they are still in use. */
    void addAddresses(const std::vector<std::string>& addresses, TimePoint now);
    /** An entry welcomed this agent. False if the link is none of the dialer's. */
    bool welcomed(LinkId link);
    void closed(LinkId link, TimePoint now);
    /** Addresses without a link are dialled at once. */
    void dialNow();
    void tick(TimePoint now);
    size_t welcomedLinks() const;
    std::vector<std::string> addresses() const;

private:
    struct Target {
        std::optional<LinkId> link;
        bool isWelcomed = false;
        TimePoint lastAttempt {}; ///< When the link was dialled or ended.
        TimePoint lastReferenced {}; ///< When the address was last named, or its link ended.
        Milliseconds backoff {};
        Milliseconds welcomeTimeout {};
    };

    Target makeTarget(TimePoint since, TimePoint named) const;

    DialerLimits m_limits;
    std::function<LinkId(const std::string&)> m_dial;
    std::function<void(LinkId)> m_close;
    std::map<std::string, Target> m_targets;
};

} // namespace sequoia
