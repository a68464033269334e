/** @file EntryDirectory.h The items under which entries register in the shared store, and what they say. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoia {

/** Prefix of the items of entries that place jobs by room; the entry's name follows. */
constexpr std::string_view entryItemsPrefix = "sequoia/entries/";

/** What an entry says of itself. */
struct EntryItem {
    std::string linkAddress; ///< For agents.
    std::string peerAddress; ///< For other entries.
    std::string failureDomain;
};

std::string toText(const EntryItem& item);
/** Empty if the text is not what `toText` writes. */
std::optional<EntryItem> parseEntryItem(const std::string& text);

/** Entries that are registered, from the items of the store. */
struct EntryDirectory {
    std::vector<std::string> linkAddresses; ///< In an order that all entries share: by failure domain, then key.
    std::vector<std::string> peerAddresses;
    std::vector<std::string> malformed; ///< Keys of items that can't be read.

    static EntryDirectory fromItems(const std::map<std::string, std::string>& items);
    /** Place of an entry among `linkAddresses`; their number if it is not there. */
    size_t positionOf(const std::string& linkAddress) const;
};

} // namespace sequoia
