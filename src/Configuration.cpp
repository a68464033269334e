/** @file Configuration.cpp Parses, serializes and compares the documents of the configuration. */
#include <sequoia/Configuration.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sequoia/JsonNesting.h>
#include <sequoia/Settings.h>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::ordered_json;

namespace {

    constexpr uint64_t fnvPrime = 0x100000001B3U;
    constexpr double maxWeight = 1e6;

    /** Parses JSON documents by their schema and collects the problems. */
    class DocumentReader {
    public:
        std::vector<std::string> problems;

        void addProblem(const std::string& path, const std::string& message)
        {
            problems.push_back(path + ": " + message);
        }

        void checkKeys(const Json& object, const std::string& path, const std::vector<std::string>& allowed)
        {
            for (const auto& [key, value] : object.items()) {
                if (std::find(allowed.begin(), allowed.end(), key) != allowed.end())
                    continue;
                const auto suggestion = nearestWord(key, allowed);
                addProblem(fmt::format("{}.{}", path, key),
                    suggestion.empty() ? "unknown key" : "unknown key, did you mean " + suggestion + "?");
            }
        }

        std::vector<TeamConfig> parseTeams(const Json& document)
        {
            std::vector<TeamConfig> out;
            if (!document.is_array()) {
                addProblem("teams", "expected a list of teams");
                return out;
            }
            for (size_t i = 0; i < document.size(); ++i)
                out.push_back(parseTeam(document[i], fmt::format("teams[{}]", i)));
            for (size_t i = 0; i < out.size(); ++i) {
                const auto isSame = [&](const TeamConfig& other) { return other.name == out[i].name; };
                if (std::any_of(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(i), isSame))
                    addProblem(fmt::format("teams[{}].name", i), "\"" + out[i].name + "\" stands twice");
            }
            return out;
        }

        std::string parseProfile(const Json& document)
        {
            auto text = document.is_string() ? document.get<std::string>() : std::string("?");
            if (!text.empty() && text != "response" && text != "messages")
                addProblem("profile", "expected \"response\" or \"messages\"");
            return text;
        }

        PlanConfig parsePlan(const Json& document)
        {
            PlanConfig out;
            if (!document.is_object()) {
                addProblem("plan", "expected an object");
                return out;
            }
            checkKeys(document, "plan", { "parts", "holidays" });
            for (const auto& part : document.value("parts", Json::array()))
                out.parts.push_back(part.is_string() ? part.get<std::string>() : "");
            for (const auto& text : document.value("holidays", Json::array())) {
                const auto day = text.is_string() ? parseDay(text.get<std::string>()) : std::nullopt;
                if (!day)
                    addProblem("plan.holidays", "expected dates such as \"2026-12-08\", found " + text.dump());
                else
                    out.holidays.insert(*day);
            }
            return out;
        }

    private:
        TeamConfig parseTeam(const Json& object, const std::string& path)
        {
            TeamConfig out;
            if (!object.is_object()) {
                addProblem(path, "expected an object");
                return out;
            }
            checkKeys(object, path, { "name", "weight", "quota" });
            const auto name = object.value("name", Json());
            if (!name.is_string() || name.get<std::string>().empty())
                addProblem(path + ".name", "expected a name");
            else
                out.name = name.get<std::string>();
            const auto weight = object.value("weight", Json(1.0));
            if (!weight.is_number() || weight.get<double>() <= 0 || weight.get<double>() > maxWeight)
                addProblem(path + ".weight", "expected a number above 0, found " + weight.dump());
            else
                out.weight = weight.get<double>();
            const auto quota = object.value("quota", Json(0U));
            if (!quota.is_number_unsigned() || quota.get<uint64_t>() > UINT32_MAX)
                addProblem(path + ".quota", "expected a whole number from 0, found " + quota.dump());
            else
                out.quota = quota.get<uint32_t>();
            return out;
        }
    };

    Json teamsJson(const Configuration& configuration)
    {
        Json out = Json::array();
        for (const auto& team : configuration.teams)
            out.push_back({ { "name", team.name }, { "weight", team.weight }, { "quota", team.quota } });
        return out;
    }

    Json planJson(const Configuration& configuration)
    {
        Json holidays = Json::array();
        for (const auto day : configuration.plan.holidays)
            holidays.push_back(toString(day));
        return { { "parts", configuration.plan.parts }, { "holidays", std::move(holidays) } };
    }

    leaf::error_id invalid(std::vector<std::string> details)
    {
        return leaf::new_error(ConfigError { ConfigErrorKind::Invalid, std::move(details) });
    }

    std::vector<std::string> splitLines(const std::string& text)
    {
        std::vector<std::string> out;
        size_t at = 0;
        while (at < text.size()) {
            const size_t end = std::min(text.find('\n', at), text.size());
            out.push_back(text.substr(at, end - at));
            at = end + 1;
        }
        return out;
    }

} // namespace

uint64_t hashText(std::string_view text, uint64_t seed)
{
    uint64_t n = seed;
    for (const char c : text)
        n = (n ^ static_cast<unsigned char>(c)) * fnvPrime;
    return n;
}

std::string contentDigest(const std::string& text)
{
    constexpr uint64_t secondSeed = 0x9E3779B97F4A7C15U;
    return fmt::format("{:016x}{:016x}", hashText(text), hashText(text, secondSeed));
}

const std::vector<std::string>& documentNames()
{
    static const std::vector<std::string> names { "teams", "profile", "plan" };
    return names;
}

leaf::result<Configuration> parseConfiguration(const std::string& text)
{
    if (isNestedTooDeeply(text))
        return invalid({ "configuration: nested too deeply" });
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return invalid({ "configuration: not a JSON object" });
    Configuration out;
    DocumentReader reader;
    reader.checkKeys(json, "configuration", { "revision", "editId", "author", "note", "teams", "profile", "plan" });
    const auto revision = json.value("revision", Json());
    if (!revision.is_number_unsigned())
        reader.addProblem("revision", "expected a whole number from 0");
    else
        out.revision = Revision(revision.get<uint64_t>());
    const auto readText = [&](const char* name, std::string& field) {
        const auto value = json.value(name, Json(""));
        if (value.is_string())
            field = value.get<std::string>();
        else
            reader.addProblem(name, "expected a string");
    };
    readText("editId", out.editId);
    readText("author", out.author);
    readText("note", out.note);
    out.teams = reader.parseTeams(json.value("teams", Json::array()));
    out.profile = reader.parseProfile(json.value("profile", Json("")));
    out.plan = reader.parsePlan(json.value("plan", Json::object()));
    if (!reader.problems.empty())
        return invalid(std::move(reader.problems));
    return out;
}

std::string toJson(const Configuration& configuration)
{
    const Json json { { "revision", raw(configuration.revision) }, { "editId", configuration.editId },
        { "author", configuration.author }, { "note", configuration.note }, { "teams", teamsJson(configuration) },
        { "profile", configuration.profile }, { "plan", planJson(configuration) } };
    return json.dump();
}

leaf::result<Configuration> withDocument(
    const Configuration& configuration, const std::string& name, const std::string& text)
{
    if (isNestedTooDeeply(text))
        return invalid({ name + ": nested too deeply" });
    Json json;
    try {
        json = Json::parse(text);
    } catch (const Json::parse_error& error) {
        const auto line = std::count(text.begin(),
                              text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size())), '\n')
            + 1;
        return invalid({ fmt::format("line {}: not JSON: {}", line, error.what()) });
    }
    DocumentReader reader;
    auto out = configuration;
    if (name == "teams")
        out.teams = reader.parseTeams(json);
    else if (name == "profile")
        out.profile = reader.parseProfile(json);
    else if (name == "plan")
        out.plan = reader.parsePlan(json);
    else
        reader.addProblem(name, fmt::format("no such document, expected one of {}", fmt::join(documentNames(), ", ")));
    if (!reader.problems.empty())
        return invalid(std::move(reader.problems));
    return out;
}

std::string documentText(const Configuration& configuration, const std::string& name)
{
    constexpr int indent = 2;
    if (name == "teams")
        return teamsJson(configuration).dump(indent);
    if (name == "plan")
        return planJson(configuration).dump(indent);
    return Json(configuration.profile).dump();
}

std::vector<std::string> differences(const Configuration& before, const Configuration& after)
{
    std::vector<std::string> out;
    for (const auto& name : documentNames()) {
        const auto oldLines = splitLines(documentText(before, name));
        const auto newLines = splitLines(documentText(after, name));
        for (const auto& line : oldLines) {
            if (std::find(newLines.begin(), newLines.end(), line) == newLines.end())
                out.push_back(fmt::format("- {}: {}", name, line));
        }
        for (const auto& line : newLines) {
            if (std::find(oldLines.begin(), oldLines.end(), line) == oldLines.end())
                out.push_back(fmt::format("+ {}: {}", name, line));
        }
    }
    return out;
}

ConfigHolder::ConfigHolder(Listener listener)
    : m_listener(std::move(listener))
{
}

bool ConfigHolder::replaceIfNewer(ActiveConfiguration candidate)
{
    std::shared_ptr<const ActiveConfiguration> replacement;
    {
        const std::lock_guard lock(m_mutex);
        if (m_current && candidate.configuration.revision <= m_current->configuration.revision)
            return false;
        m_current = std::make_shared<const ActiveConfiguration>(std::move(candidate));
        replacement = m_current;
    }
    m_listener(replacement);
    return true;
}

std::shared_ptr<const ActiveConfiguration> ConfigHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

Revision ConfigHolder::revision() const
{
    const auto active = current();
    return active ? active->configuration.revision : Revision();
}

} // namespace sequoia
