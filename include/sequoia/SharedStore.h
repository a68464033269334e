/** @file SharedStore.h The store that all VMs share, as the product uses it: items, watches and leases. */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sequoia {

/** Revision of the store; it grows with each change. */
enum class StoreVersion : uint64_t {};

/** Lease of the store. */
enum class StoreLease : uint64_t {};

/** An item, or the removal of one. */
struct SharedItem {
    std::string key;
    std::string value;
    StoreVersion version {}; ///< Of its last change.
    bool isRemoved = false;
};

/** Items under a prefix, or changes of them. */
struct SharedItems {
    std::vector<SharedItem> items;
    StoreVersion version {}; ///< Of the store; a watch goes on from here.
};

/** Errors of this layer. */
enum class SharedStoreError : uint8_t {
    Unavailable, ///< No usable answer; a write may or may not have taken effect.
    Refused, ///< The store did nothing and asks for fewer calls, or is busy.
    HistoryGone, ///< The changes asked for are no longer known: list again.
    LeaseEnded,
    Conflict ///< A condition did not hold; nothing was changed.
};

template <typename T> using StoreReply = std::variant<T, SharedStoreError>;

/** What a lease was granted as. */
struct LeaseGrant {
    StoreLease lease {};
    Milliseconds ttl {};
};

/** Nothing. */
struct EmptyReply { };

/** Counts of calls, since each is paid for. */
struct SharedStoreCalls {
    uint64_t lists = 0;
    uint64_t watches = 0;
    uint64_t leases = 0; ///< Granted.
    uint64_t renewals = 0; ///< Leases renewed.
    uint64_t writes = 0;
    uint64_t failures = 0; ///< Calls without a good reply.
};

/** Calls of the store. Each calls `done` once, on the control thread. */
struct SharedStore {
    std::function<void(std::string prefix, std::function<void(StoreReply<SharedItems>)> done)> list;
    /** Waits for changes after a version; empty items if there was none in time. */
    std::function<void(
        std::string prefix, StoreVersion after, Milliseconds wait, std::function<void(StoreReply<SharedItems>)> done)>
        watch;
    std::function<void(Milliseconds life, std::function<void(StoreReply<LeaseGrant>)> done)> grantLease;
    std::function<void(StoreLease lease, std::function<void(StoreReply<EmptyReply>)> done)> renewLease;
    std::function<void(StoreLease lease)> revokeLease;
    /** Writes one item under a lease, whatever it was before. */
    std::function<void(
        std::string key, std::string value, StoreLease lease, std::function<void(StoreReply<EmptyReply>)> done)>
        put;
    std::function<SharedStoreCalls()> calls; ///< May be called on any thread.
};

} // namespace sequoia
