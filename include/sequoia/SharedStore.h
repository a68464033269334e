/** @file SharedStore.h Interface of the store that all VMs share: items, watches and leases. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sequoia {

/** Revision of the store; it increases with each change. */
enum class StoreVersion : uint64_t {};

/** A lease granted by the store. */
enum class StoreLease : uint64_t {};

/** An item, or the removal of an item in the changes that a watch reports. */
struct SharedItem {
    std::string key;
    std::string value;
    StoreVersion version {}; ///< Version of its last change.
    bool isRemoved = false;
};

/** An item that can't be read. */
struct SharedItemProblem {
    std::string key; ///< Empty if the key can't be read either.
    std::string message;
};

/** The items under a prefix, or the changes to them. An item that can't be read counts as removed. */
struct SharedItems {
    std::vector<SharedItem> items;
    StoreVersion version {}; ///< Version of the store; pass it to the next watch as `after`.
    std::vector<SharedItemProblem> problems {};
};

/** Errors of calls to the shared store. */
enum class SharedStoreError : uint8_t {
    Unavailable, ///< No usable reply; a write may have taken effect.
    Refused, ///< The store did nothing because it is busy or limits the rate of calls.
    HistoryGone, ///< The store no longer has the changes after that version; list again.
    LeaseEnded, ///< The lease has expired or was revoked.
    Conflict ///< The condition of a write did not hold; nothing was changed.
};

template <typename T> using StoreReply = std::variant<T, SharedStoreError>;

/** A new lease with the time to live that the store granted. */
struct LeaseGrant {
    StoreLease lease {};
    Milliseconds ttl {};
};

/** Reply of a call that returns no data. */
struct EmptyReply { };

/** Counts of calls by kind, since each call is charged for. */
struct SharedStoreCalls {
    uint64_t lists = 0;
    uint64_t watches = 0;
    uint64_t leases = 0; ///< Leases granted.
    uint64_t renewals = 0; ///< Lease renewals.
    uint64_t writes = 0;
    uint64_t failures = 0; ///< Calls that failed.
};

/** Calls to the store. Each runs `done` exactly once, on the control thread. */
struct SharedStore {
    std::function<void(std::string prefix, std::function<void(StoreReply<SharedItems>)> done)> list;
    /** Waits for changes after version `after`; the reply has no items if there are none within `wait`. */
    std::function<void(
        std::string prefix, StoreVersion after, Milliseconds wait, std::function<void(StoreReply<SharedItems>)> done)>
        watch;
    std::function<void(Milliseconds life, std::function<void(StoreReply<LeaseGrant>)> done)> grantLease;
    std::function<void(StoreLease lease, std::function<void(StoreReply<EmptyReply>)> done)> renewLease;
    std::function<void(StoreLease lease)> revokeLease;
    /** Writes one item under a lease, unconditionally. */
    std::function<void(
        std::string key, std::string value, StoreLease lease, std::function<void(StoreReply<EmptyReply>)> done)>
        put;
    std::function<SharedStoreCalls()> calls; ///< May be called from any thread.
};

} // namespace sequoia
