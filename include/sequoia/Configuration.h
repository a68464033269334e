/** @file Configuration.h The operators' configuration: documents under one revision, edited by compare-and-swap. */
#pragma once

#include <sequoia/DayPlan.h>
#include <sequoia/Ids.h>
#include <sequoia/Store.h>

#include <memory>
#include <mutex>

namespace sequoia {

/** Share and bound of a team over the whole system. */
struct TeamConfig {
    std::string name;
    double weight = 1.0;
    uint32_t quota = 0; ///< Most tasks running at once; 0 for no bound.
};

/** The sheet in force: immutable parts in the store, and the confirmed holidays. */
struct PlanConfig {
    std::vector<std::string> parts; ///< Digests of the parts.
    std::set<Day> holidays;
};

/** All documents under one revision. */
struct Configuration {
    Revision revision {};
    std::string editId; ///< Drawn by the editor; finds an edit whose reply was lost.
    std::string author;
    std::string note; ///< What the edit did.
    std::vector<TeamConfig> teams;
    std::string profile; ///< `response`, `messages`, or empty for the entry's setting.
    PlanConfig plan;
};

/** Errors of this layer. */
enum class ConfigErrorKind : uint8_t {
    Invalid, ///< The document breaks its schema.
    Conflict, ///< Another edit came first.
    StoreUnavailable, ///< The store gave no answer; nothing was changed.
    OutcomeUnknown, ///< The store took the call and could not be read since.
    UnknownRevision
};

/** An error with its explanation, by line for an invalid document. */
struct ConfigError {
    ConfigErrorKind kind {};
    std::vector<std::string> details;
};

/** Reads a configuration; fails with ConfigError naming every fault. */
boost::leaf::result<Configuration> parseConfiguration(const std::string& json);
/** Writes a configuration as JSON. */
std::string toJson(const Configuration& configuration);
/** Replaces one document (`teams`, `profile` or `plan`) by JSON text; fails with ConfigError. */
boost::leaf::result<Configuration> withDocument(
    const Configuration& configuration, const std::string& name, const std::string& json);
/** One document as indented JSON. */
std::string documentText(const Configuration& configuration, const std::string& name);
/** Names of the documents. */
const std::vector<std::string>& documentNames();
/** Lines that differ between two configurations. */
std::vector<std::string> differences(const Configuration& before, const Configuration& after);

/** Keys of a cluster in the store. */
struct StoreKeys {
    explicit StoreKeys(const std::string& cluster);
    std::string prefix;
    std::string current;
    std::string entries;
    std::string history(Revision revision) const;
    std::string part(const std::string& digest) const;
    std::string entry(const std::string& address) const;
};

/** Edits the configuration in the store. */
class ConfigEditor {
public:
    using Change = std::function<boost::leaf::result<Configuration>(Configuration)>;

    ConfigEditor(const Store& store, const std::string& cluster);

    boost::leaf::result<Configuration> read() const;
    /** Reads, changes, and swaps once; a lost reply is resolved by reading. Fails with ConfigError. */
    boost::leaf::result<Configuration> edit(
        const std::string& author, const std::string& note, const Change& change) const;
    /** The latest revisions, newest first. */
    boost::leaf::result<std::vector<Configuration>> history() const;
    /** A former revision. */
    boost::leaf::result<Configuration> readRevision(Revision revision) const;

    /** Cuts rows into parts below the store's bound and writes those that it lacks; returns their digests. */
    boost::leaf::result<std::vector<std::string>> writeParts(const std::vector<SheetRow>& rows) const;
    boost::leaf::result<std::vector<SheetRow>> readParts(const std::vector<std::string>& digests) const;

private:
    boost::leaf::result<Configuration> swap(const Configuration& before, const Configuration& after,
        StoreRevision expected, const std::vector<StoreWrite>& writes) const;
    boost::leaf::result<Configuration> resolveConflict(const Configuration& before, const Configuration& after) const;

    const Store& m_store;
    StoreKeys m_keys;
};

/** A configuration with its day plan, as an entry holds it. */
struct ActiveConfiguration {
    Configuration configuration;
    DayPlan plan;
};

/** The configuration in force in a process; it never goes back. Thread-safe. */
class ConfigHolder {
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveConfiguration>&)>;

    explicit ConfigHolder(Listener listener);

    /** Takes a configuration if it is newer; false if it is not. */
    bool replaceIfNewer(ActiveConfiguration candidate);
    std::shared_ptr<const ActiveConfiguration> current() const;
    Revision revision() const;

private:
    Listener m_listener;
    mutable std::mutex m_mutex;
    std::shared_ptr<const ActiveConfiguration> m_current;
};

/** 128-bit digest of a text in hexadecimal. */
std::string contentDigest(const std::string& text);
/** 64-bit FNV-1a hash. */
uint64_t hashText(std::string_view text, uint64_t seed = 0xCBF29CE484222325U);

} // namespace sequoia
