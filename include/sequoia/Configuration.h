/**
 * @file Configuration.h The operators' configuration: documents that share one revision and are edited by
 * compare-and-swap.
 */
#pragma once

#include <sequoia/DayPlan.h>
#include <sequoia/Ids.h>
#include <sequoia/Store.h>

#include <memory>
#include <mutex>

namespace sequoia {

/** Weight and quota of a team, which apply to the system as a whole. */
struct TeamConfig {
    std::string name;
    double weight = 1.0;
    uint32_t quota = 0; ///< Maximum number of tasks running at once; 0 for no limit.
};

/** The sheet in force, as a list of immutable parts in the store, and the confirmed holidays. */
struct PlanConfig {
    std::vector<std::string> parts; ///< Digests of the parts, in the order of the sheet.
    std::set<Day> holidays;
};

/** All documents of one revision. */
struct Configuration {
    Revision revision {};
    std::string editId; ///< Random id of the edit; identifies an edit whose reply was lost.
    std::string author;
    std::string note; ///< Description of the edit.
    std::vector<TeamConfig> teams;
    std::string profile; ///< `response`, `messages`, or empty for the entry's setting.
    PlanConfig plan;
};

/** Kinds of errors when the configuration is read or edited. */
enum class ConfigErrorKind : uint8_t {
    Invalid, ///< The document does not match its schema.
    Conflict, ///< Another edit was committed first.
    StoreUnavailable, ///< The store gave no usable reply; nothing was changed.
    OutcomeUnknown, ///< No reply arrived to a call that was sent; a write may have taken effect.
    UnknownRevision ///< The store does not keep this revision.
};

/** An error with its explanation; one line for each problem of an invalid document. */
struct ConfigError {
    ConfigErrorKind kind {};
    std::vector<std::string> details;
};

/** Parses a configuration; fails with ConfigError, which lists all problems. */
boost::leaf::result<Configuration> parseConfiguration(const std::string& json);
/** Serializes a configuration as JSON. */
std::string toJson(const Configuration& configuration);
/** Returns a copy with one document (`teams`, `profile` or `plan`) replaced by the JSON; fails with ConfigError. */
boost::leaf::result<Configuration> withDocument(
    const Configuration& configuration, const std::string& name, const std::string& json);
/** One document as indented JSON. */
std::string documentText(const Configuration& configuration, const std::string& name);
/** Names of the documents. */
const std::vector<std::string>& documentNames();
/** Lines of the documents that only one of two configurations has, in any place, marked with `-` and `+`. */
std::vector<std::string> differences(const Configuration& before, const Configuration& after);

/** Keys of a cluster's items in the store. */
struct StoreKeys {
    explicit StoreKeys(const std::string& cluster);
    std::string prefix;
    std::string current;
    std::string entries;
    std::string history(Revision revision) const;
    std::string part(const std::string& digest) const;
    std::string entry(const std::string& address) const;
};

/** Reads and edits the configuration in the store. */
class ConfigEditor {
public:
    using Change = std::function<boost::leaf::result<Configuration>(Configuration)>;

    ConfigEditor(const Store& store, const std::string& cluster);

    boost::leaf::result<Configuration> read() const;
    /**
     * Reads the configuration, applies the change and commits the result by compare-and-swap; writes nothing if
     * `differences` finds none. After a lost reply, reading the store tells whether the edit took effect. Fails with
     * ConfigError.
     */
    boost::leaf::result<Configuration> edit(
        const std::string& author, const std::string& note, const Change& change) const;
    /** The revisions that the store keeps, newest first. */
    boost::leaf::result<std::vector<Configuration>> history() const;
    /** Reads a former revision; fails with UnknownRevision if the store no longer keeps it. */
    boost::leaf::result<Configuration> readRevision(Revision revision) const;

    /** Splits rows into parts below the store's size limit, writes the missing ones and returns all digests. */
    boost::leaf::result<std::vector<std::string>> writeParts(const std::vector<SheetRow>& rows) const;
    boost::leaf::result<std::vector<SheetRow>> readParts(const std::vector<std::string>& digests) const;

private:
    boost::leaf::result<Configuration> swap(const Configuration& before, const Configuration& after,
        StoreRevision expected, const std::vector<StoreWrite>& writes) const;
    boost::leaf::result<Configuration> resolveConflict(const Configuration& before, const Configuration& after) const;

    const Store& m_store;
    StoreKeys m_keys;
};

/** A configuration with the day plan built from it. */
struct ActiveConfiguration {
    Configuration configuration;
    DayPlan plan;
};

/** The configuration in force in a process; its revision only increases. Thread-safe. */
class ConfigHolder {
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveConfiguration>&)>;

    explicit ConfigHolder(Listener listener);

    /** Replaces the current configuration and calls the listener if the candidate is newer; otherwise returns false. */
    bool replaceIfNewer(ActiveConfiguration candidate);
    std::shared_ptr<const ActiveConfiguration> current() const;
    Revision revision() const;

private:
    Listener m_listener;
    mutable std::mutex m_mutex;
    std::shared_ptr<const ActiveConfiguration> m_current;
};

/** 128-bit digest of a text (two FNV-1a hashes with different seeds), in hexadecimal. */
std::string contentDigest(const std::string& text);
/** 64-bit FNV-1a hash. */
uint64_t hashText(std::string_view text, uint64_t seed = 0xCBF29CE484222325U);

} // namespace sequoia
