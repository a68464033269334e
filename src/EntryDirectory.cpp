/** @file EntryDirectory.cpp Parses and serializes the items of entries. */
#include <sequoia/EntryDirectory.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sequoia/Address.h>
#include <sequoia/JsonNesting.h>

namespace sequoia {

using Json = nlohmann::json;

std::string toText(const EntryItem& item)
{
    return Json {
        { "link", item.linkAddress }, { "peers", item.peerAddress }, { "domain", item.failureDomain }
    }.dump();
}

std::optional<EntryItem> parseEntryItem(const std::string& text)
{
    const auto json = parseUntrusted(text);
    const auto textOf = [&](const char* name) {
        const auto it = json.is_object() ? json.find(name) : json.end();
        return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    EntryItem item { textOf("link"), textOf("peers"), textOf("domain") };
    const bool isValid = isDialable(item.linkAddress) && (item.peerAddress.empty() || isDialable(item.peerAddress));
    return isValid ? std::optional(std::move(item)) : std::nullopt;
}

EntryDirectory EntryDirectory::fromItems(const std::map<std::string, std::string>& items)
{
    EntryDirectory out;
    std::map<std::pair<std::string, std::string>, EntryItem> entries; // By failure domain and key.
    for (const auto& [key, value] : items) {
        if (auto item = parseEntryItem(value))
            entries.emplace(std::pair(item->failureDomain, key), std::move(*item));
        else
            out.malformed.push_back(key);
    }
    for (auto& [sortKey, item] : entries) {
        out.linkAddresses.push_back(std::move(item.linkAddress));
        if (!item.peerAddress.empty())
            out.peerAddresses.push_back(std::move(item.peerAddress));
    }
    return out;
}

size_t EntryDirectory::positionOf(const std::string& linkAddress) const
{
    const auto it = std::find(linkAddresses.begin(), linkAddresses.end(), linkAddress);
    return static_cast<size_t>(it - linkAddresses.begin());
}

} // namespace sequoia
