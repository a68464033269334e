/** @file Evacuations.h Which failure domains the operators want evacuated: no task starts there. */
#pragma once

#include <sequoia/SharedStore.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Reason of a gate that is closed because its failure domain is evacuated. Entries interpret it. */
constexpr std::string_view evacuatedReason = "evacuated";

/** How the evacuated failure domains have changed. */
struct EvacuationChange {
    bool isNews = false; ///< The version is higher or the domains differ; receivers that have the old state need it.
    std::vector<std::string> begun; ///< Domains that are evacuated from now on.
    std::vector<std::string> ended; ///< Domains that are not evacuated any more.
};

/**
 * The evacuated failure domains, as of the highest store version that was told. The store counts one version for all
 * its items, so the version decides which of two states is newer, whoever tells it and in whatever order.
 */
class Evacuations {
public:
    /**
     * Takes over the domains as of a store version. Older versions are ignored. Listings of the store are no
     * snapshots, so that states of the same version may differ: all domains of both are evacuated then, until the
     * change that explains the difference arrives with a higher version.
     */
    EvacuationChange update(const std::vector<std::string>& domains, StoreVersion version);

    bool contains(const std::string& domain) const { return m_domains.contains(domain); }
    const std::set<std::string>& domains() const { return m_domains; }
    /** Empty until a state was told. */
    std::optional<StoreVersion> version() const { return m_version; }

private:
    std::optional<StoreVersion> m_version;
    std::set<std::string> m_domains;
};

/** A state of evacuations as another entry tells it. */
struct EvacuationState {
    StoreVersion version {};
    std::vector<std::string> domains;
};

/** Serialises to a JSON object; empty if no state was told. */
std::string toText(const Evacuations& evacuations);
/** Parses a text that `toText` wrote; empty if it is malformed. */
std::optional<EvacuationState> parseEvacuations(const std::string& text);

/** Domains that the keys of store items name after the prefix. Keys without the prefix, or with nothing after it, name
 * none; the values have no meaning. */
std::vector<std::string> evacuatedDomains(const std::map<std::string, std::string>& items, const std::string& prefix);

} // namespace sequoia
