/**
 * @file ConfigSynchronizer.h Synchronizes an entry's configuration with the store and its peers, and keeps the entry
 * registered.
 */
#pragma once

#include <sequoia/Configuration.h>
#include <sequoia/Log.h>

#include <condition_variable>
#include <map>
#include <thread>

namespace sequoia {

/** What an entry publishes about itself. */
struct EntryRegistration {
    std::string name;
    std::string http; ///< Address for callers and peers.
    std::string link; ///< Address for agents.
    Incarnation incarnation {};
};

/** Options and collaborators of ConfigSynchronizer. */
struct ConfigSynchronizerOptions {
    EntryRegistration self;
    std::string cluster;
    std::string token;
    std::vector<std::string> peers; ///< HTTP addresses of other entries, from the settings.
    std::chrono::seconds leaseTtl { 10 };
    ConfigHolder& holder;
    const Store* store = nullptr; ///< Null to run without a store.
    Log& log;
};

/**
 * Runs threads that watch the store, poll the peers while it is down, and renew the registration. The revision in force
 * never decreases. The entry is ready once the store or a peer was read and the revision in force is at least the
 * newest one that an agent has reported. Without a store there are no threads, and no read is needed.
 */
class ConfigSynchronizer {
public:
    explicit ConfigSynchronizer(ConfigSynchronizerOptions options);
    ~ConfigSynchronizer();
    ConfigSynchronizer(const ConfigSynchronizer&) = delete;
    ConfigSynchronizer& operator=(const ConfigSynchronizer&) = delete;

    void start();
    /** Stops the threads and revokes the registration. */
    void stop();

    /** Whether the entry may take jobs; see the class. */
    bool isReady() const { return m_isReady && m_options.holder.revision() >= Revision(m_requiredRevision.load()); }
    /** Records a revision that an agent has seen in force; the entry is not ready while its own is older. */
    void requireRevision(Revision revision);
    /** The registered entries, including this one. */
    std::vector<EntryRegistration> entries() const;
    /** Applies a configuration that a peer sent, if it is newer. */
    void receiveFromPeer(const std::string& json);
    /** The configuration in force as JSON; empty without one. */
    std::string currentJson() const;
    /** A part of the sheet in force as packRows wrote it; empty if the digest is unknown. */
    std::optional<std::string> part(const std::string& digest) const;
    /** Whether the last poll of the store succeeded. */
    bool isStoreUp() const { return m_isStoreUp; }

private:
    void runWatch();
    void runPoll();
    void runLease();
    void pollOnce();
    bool readStore();
    bool readPeers();
    void pushToPeers(const std::string& json);
    void applyIfNewer(const std::string& json, const std::string& source);
    std::optional<std::vector<SheetRow>> loadParts(const std::vector<std::string>& digests);
    std::optional<std::string> loadPart(const std::string& digest);
    void registerSelf();
    std::vector<std::string> peerAddresses() const;
    bool sleepFor(Milliseconds time);

    ConfigSynchronizerOptions m_options;
    StoreKeys m_keys;
    std::atomic<bool> m_isReady { false };
    std::atomic<uint64_t> m_requiredRevision { 0 };
    std::atomic<bool> m_isStoreUp { false };
    std::atomic<bool> m_isStopped { false };
    mutable std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    std::map<std::string, EntryRegistration> m_entries; ///< By HTTP address.
    std::map<std::string, std::string> m_packedParts; ///< Parts of the sheet in force, by digest.
    LeaseId m_lease {};
    std::vector<std::thread> m_threads;
};

/** Serializes a registration as JSON, for the store and for agents. */
std::string toJson(const EntryRegistration& entry);
/** Parses a registration; empty if it is malformed. */
std::optional<EntryRegistration> parseRegistration(const std::string& json);

} // namespace sequoia
