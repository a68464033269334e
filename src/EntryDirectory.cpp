/** @file EntryDirectory.cpp Reads and writes the items of entries. */
#include <sequoia/EntryDirectory.h>

#include <nlohmann/json.hpp>

namespace sequoia {

using Json = nlohmann::json;

std::string toText(const EntryItem& item)
{
    return Json { { "link", item.linkAddress }, { "peers", item.peerAddress } }.dump();
}

std::optional<EntryItem> parseEntryItem(const std::string& text)
{
    const auto json = Json::parse(text, nullptr, false);
    const auto textOf = [&](const char* name) {
        const auto it = json.is_object() ? json.find(name) : json.end();
        return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    EntryItem item { textOf("link"), textOf("peers") };
    return item.linkAddress.empty() ? std::nullopt : std::optional(std::move(item));
}

EntryDirectory EntryDirectory::of(const std::map<std::string, std::string>& items)
{
    EntryDirectory out;
    for (const auto& [key, value] : items) {
        auto item = parseEntryItem(value);
        if (!item) {
            out.malformed.push_back(key);
            continue;
        }
        out.linkAddresses.push_back(std::move(item->linkAddress));
        if (!item->peerAddress.empty())
            out.peerAddresses.push_back(std::move(item->peerAddress));
    }
    return out;
}

} // namespace sequoia
