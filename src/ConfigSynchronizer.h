/** @file EntryConfig.h Keeps an entry's configuration in step with the store and its peers, and the entry registered.
 */
#pragma once

#include <sequoia/Configuration.h>
#include <sequoia/Log.h>

#include <condition_variable>
#include <map>
#include <thread>

namespace sequoia {

/** What an entry tells others of itself. */
struct EntryRegistration {
    std::string name;
    std::string http; ///< Address for callers and peers.
    std::string link; ///< Address for agents.
    Incarnation incarnation {};
};

/** How the service reaches the outside. */
struct ConfigSynchronizerOptions {
    EntryRegistration self;
    std::string cluster;
    std::string token;
    std::vector<std::string> peers; ///< HTTP addresses from the settings.
    std::chrono::seconds leaseTtl { 10 };
    ConfigHolder& holder;
    const Store* store = nullptr; ///< Null to run without one.
    Log& log;
};

/**
 * Threads that watch the store, poll peers while it is down, and renew the registration. The configuration in force
 * never goes back; an entry is ready once it has the highest revision that store and peers told of.
 */
class ConfigSynchronizer {
public:
    explicit ConfigSynchronizer(ConfigSynchronizerOptions parts);
    ~ConfigSynchronizer();
    ConfigSynchronizer(const ConfigSynchronizer&) = delete;
    ConfigSynchronizer& operator=(const ConfigSynchronizer&) = delete;

    void start();
    /** Ends the threads and the registration. */
    void stop();

    /** Whether a first configuration was found. */
    bool isReady() const { return m_isReady && m_options.holder.revision() >= Revision(m_requiredRevision.load()); }
    /** An agent has seen this revision in force; below it this entry is not ready. */
    void requireRevision(Revision revision);
    /** Known live entries, this one included. */
    std::vector<EntryRegistration> entries() const;
    /** Takes a configuration that a peer sent. */
    void receiveFromPeer(const std::string& json);
    /** The configuration in force as JSON; empty without one. */
    std::string currentJson() const;
    /** A packed part of the sheet in force. */
    std::optional<std::string> part(const std::string& digest) const;
    /** Whether the last call to the store was answered. */
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
    std::map<std::string, std::string> m_packedParts; ///< By digest, of the sheet in force.
    LeaseId m_lease {};
    std::vector<std::thread> m_threads;
};

/** JSON forms of registrations, for the store and for agents. */
std::string toJson(const EntryRegistration& entry);
std::optional<EntryRegistration> parseRegistration(const std::string& json);

} // namespace sequoia
