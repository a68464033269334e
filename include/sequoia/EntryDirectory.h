/** @file EntryDirectory.h The items with which entries register in the shared store. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Prefix of the keys of the platform's entries; the name of the entry follows. */
constexpr std::string_view entryItemsPrefix = "sequoia/entries/";

/** Content of an entry's item. */
struct EntryItem {
    std::string linkAddress; ///< Address for agents.
    std::string peerAddress; ///< Address for other entries; may be empty.
    std::string failureDomain;
};

/** Serializes an item as JSON. */
std::string toText(const EntryItem& item);
/** Parses the output of `toText`; empty if the text is malformed. */
std::optional<EntryItem> parseEntryItem(const std::string& text);

/** Addresses of the registered entries, built from the items in the store. */
struct EntryDirectory {
    std::vector<std::string> linkAddresses; ///< By failure domain, then key, so that all entries have the same order.
    std::vector<std::string> peerAddresses;
    std::vector<std::string> malformed; ///< Keys of items that can't be parsed.

    static EntryDirectory fromItems(const std::map<std::string, std::string>& items);
    /** Index of an address in `linkAddresses`; the size of the list if it is absent. */
    size_t positionOf(const std::string& linkAddress) const;
};

} // namespace sequoia
