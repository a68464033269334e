/** @file JobClaims.h Claims of entries to jobs, as one agent keeps them: one entry at a time may run a job. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Time.h>

#include <deque>
#include <map>
#include <vector>

namespace sequoia {

/** A claim of an entry, held or waited for. */
struct ClaimOfEntry {
    WorkId job {};
    Incarnation entry {};
    auto operator<=>(const ClaimOfEntry&) const = default;
};

/**
 * Claims that entries hold at an agent, and entries that wait for them. A claim ends when its holder releases it, or
 * when the holder has had no link for the time after which all its runs, at any agent, are over. Kept in memory only.
 */
class JobClaims {
public:
    /** Returns whether the entry holds the claim now; otherwise it waits for it. It takes over a claim of `predecessor`
     * if that entry has no link. */
    bool claim(Incarnation entry, WorkId job, Incarnation predecessor = {});
    /** The entry gives up its claim, or no longer waits for it. Returns the claims granted to others. */
    std::vector<ClaimOfEntry> release(Incarnation entry, const std::vector<WorkId>& jobs);
    /** The entry has no claims beside these. */
    std::vector<ClaimOfEntry> releaseOthers(Incarnation entry, const std::vector<WorkId>& jobs);
    /** The entry has lost its link: it waits for nothing, and its claims lapse unless it links again before. */
    void entryLost(Incarnation entry, TimePoint lapse);
    void entryLinked(Incarnation entry);
    /** Ends the claims that have lapsed. */
    std::vector<ClaimOfEntry> expire(TimePoint now);

    /** Entry that holds the claim of a job; zero if none does. */
    Incarnation holderOf(WorkId job) const;
    /** Claims that others wait for while an entry holds them. */
    std::vector<ClaimOfEntry> waitingFor(Incarnation holder) const;
    /** Whether an entry has lost its link and its claims have not lapsed. */
    bool isLost(Incarnation entry) const { return m_lapses.contains(entry); }
    size_t held() const { return m_claims.size(); }

private:
    struct Claim {
        Incarnation holder {};
        std::deque<Incarnation> waiting; ///< Entries that have asked for it, in this order.
    };

    /** Gives the claim to the next entry, or forgets it. */
    std::map<WorkId, Claim>::iterator passOn(std::map<WorkId, Claim>::iterator it, std::vector<ClaimOfEntry>& granted);

    std::map<WorkId, Claim> m_claims;
    std::map<Incarnation, TimePoint> m_lapses; ///< Entries without a link, and when their claims lapse.
};

} // namespace sequoia
