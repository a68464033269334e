/** @file Store.h Client of a key-value store that speaks the etcd v3 JSON gateway protocol. */
#pragma once

#include <sequoia/Time.h>

#include <atomic>
#include <boost/leaf/result.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoia {

/** Errors of calls to the store. */
enum class StoreError : uint8_t {
    Unreachable, ///< No connection could be made; the call had no effect.
    NoReply, ///< The call was sent and no reply arrived; it may have taken effect.
    BadReply ///< The reply has an error status or can't be parsed.
};

/** Comes with BadReply if a part of the reply can't be read. */
struct StoreReplyProblem {
    std::string place; ///< Path of the field, such as `kvs[0].mod_revision`.
    std::string message;
};

/** Revision of a key or of the whole store; 0 for a key that does not exist. */
enum class StoreRevision : int64_t {};
/** A lease granted by the store; 0 for none. */
enum class LeaseId : int64_t {};

/** One key with its value. */
struct StoredValue {
    std::string key;
    std::string value;
    StoreRevision revision {}; ///< Revision of its last change.
};

/** One put or delete of a transaction. */
struct StoreWrite {
    std::string key;
    std::optional<std::string> value; ///< Empty to delete the key.
    LeaseId lease {};
};

/** A change reported by a watch. */
struct StoreChange {
    std::string key;
    std::optional<std::string> value; ///< Empty if the key was deleted.
};

/** Counters of the calls made; a watch counts once, however long it lasts. */
struct StoreCalls {
    std::atomic<uint64_t> reads { 0 };
    std::atomic<uint64_t> writes { 0 };
    std::atomic<uint64_t> watches { 0 };
};

/** Client of the store. Thread-safe: each call uses a connection of its own. */
class Store {
public:
    Store(std::string address, Milliseconds timeout);

    boost::leaf::result<std::optional<StoredValue>> get(const std::string& key) const;
    boost::leaf::result<std::vector<StoredValue>> list(const std::string& prefix) const;
    /** Applies all writes in one transaction if the key is still at revision `expected`; otherwise returns false. */
    boost::leaf::result<bool> compareAndSwap(
        const std::string& key, StoreRevision expected, const std::vector<StoreWrite>& writes) const;
    boost::leaf::result<LeaseId> grantLease(std::chrono::seconds ttl) const;
    /** Renews a lease; returns false if it has expired. */
    boost::leaf::result<bool> renewLease(LeaseId lease) const;
    boost::leaf::result<void> revokeLease(LeaseId lease) const;
    /**
     * Reports changes under a prefix. Blocks until the connection ends, nothing arrives for 30 s, stopWatches is
     * called, or `isStopped` returns true; it is asked only when data arrives. Ends with BadReply if a change can't be
     * read, after the others that arrived with it.
     */
    boost::leaf::result<void> watch(const std::string& prefix, const std::function<void(const StoreChange&)>& changed,
        const std::function<bool()>& isStopped) const;

    /** Ends all running watches. */
    void stopWatches() const;

    const StoreCalls& calls() const { return m_calls; }

private:
    boost::leaf::result<std::string> post(const std::string& path, const std::string& body) const;

    std::string m_address;
    Milliseconds m_timeout;
    mutable StoreCalls m_calls;
    mutable std::mutex m_watchMutex;
    mutable std::map<uint64_t, std::function<void()>> m_watchAborts; ///< Abort functions, by watch number.
    mutable uint64_t m_nextWatch = 0;
};

/** Encodes as base64, which the gateway uses for keys and values. */
std::string toBase64(const std::string& bytes);
/** Decodes base64; empty if the text is not valid. */
std::optional<std::string> fromBase64(const std::string& text);
/** The exclusive end of the range of keys with a prefix. */
std::string prefixEnd(std::string prefix);

} // namespace sequoia
