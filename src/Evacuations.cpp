/** @file Evacuations.cpp Comparison of the states of evacuations by their store versions. */
#include <sequoia/Evacuations.h>
#include <sequoia/JsonNesting.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace sequoia {

EvacuationChange Evacuations::update(const std::vector<std::string>& domains, StoreVersion version)
{
    EvacuationChange change;
    if (m_version && version < *m_version)
        return change;
    std::set<std::string> next(domains.begin(), domains.end());
    next.erase(""); // Would match agents whose failure domain isn't known.
    if (m_version == version)
        next.insert(m_domains.begin(), m_domains.end());
    std::set_difference(next.begin(), next.end(), m_domains.begin(), m_domains.end(), std::back_inserter(change.begun));
    std::set_difference(m_domains.begin(), m_domains.end(), next.begin(), next.end(), std::back_inserter(change.ended));
    change.isNews = m_version != version || !change.begun.empty();
    m_version = version;
    m_domains = std::move(next);
    return change;
}

std::string toText(const Evacuations& evacuations)
{
    if (!evacuations.version())
        return "";
    return nlohmann::json {
        { "version", static_cast<uint64_t>(*evacuations.version()) }, { "domains", evacuations.domains() }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); // Names of domains may be any bytes.
}

std::optional<EvacuationState> parseEvacuations(const std::string& text)
{
    const auto json = parseUntrusted(text);
    if (!json.is_object())
        return std::nullopt;
    try {
        const auto& version = json.at("version");
        if (!version.is_number_unsigned())
            return std::nullopt;
        return EvacuationState { StoreVersion(version.get<uint64_t>()),
            json.at("domains").get<std::vector<std::string>>() };
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::vector<std::string> evacuatedDomains(const std::map<std::string, std::string>& items, const std::string& prefix)
{
    std::vector<std::string> domains;
    for (auto it = items.upper_bound(prefix); it != items.end() && it->first.starts_with(prefix); ++it)
        domains.push_back(it->first.substr(prefix.size()));
    return domains;
}

} // namespace sequoia
