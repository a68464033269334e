/** @file Learned.cpp Serialisation and merging of the learned models. */
#include <sequoia/Learned.h>

#include <nlohmann/json.hpp>
#include <sequoia/JsonNesting.h>

namespace sequoia {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LearnedRunTimes, weight, meanX, meanY, sumXX, sumXY, sumResidual)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LearnedCallerTimeouts, requests, mean, squares, shortShare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LearnedSpeed, life, slowness, samples)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LearnedSuspicion, total, crashes, blamed, hasCrashedAsSuspect, ageMs)

namespace {

    /** Copies the keys that `own` lacks, and those for which `isBetter(other, own)` holds. */
    template <typename T, typename IsBetter>
    void mergeMaps(std::map<std::string, T>& own, const std::map<std::string, T>& others, IsBetter isBetter)
    {
        for (const auto& [key, other] : others) {
            const auto [it, isNew] = own.try_emplace(key, other);
            if (!isNew && isBetter(other, it->second))
                it->second = other;
        }
    }

} // namespace

void Learned::merge(const Learned& other)
{
    const auto hasMoreJobs = [](const LearnedRunTimes& a, const LearnedRunTimes& b) { return a.weight > b.weight; };
    mergeMaps(declared, other.declared, hasMoreJobs);
    mergeMaps(undeclared, other.undeclared, hasMoreJobs);
    mergeMaps(callerTimeouts, other.callerTimeouts,
        [](const LearnedCallerTimeouts& a, const LearnedCallerTimeouts& b) { return a.requests > b.requests; });
    mergeMaps(speeds, other.speeds, [](const LearnedSpeed& a, const LearnedSpeed& b) {
        return std::pair(a.life, a.samples) > std::pair(b.life, b.samples);
    });
    mergeMaps(suspicions, other.suspicions,
        [](const LearnedSuspicion& a, const LearnedSuspicion& b) { return a.total > b.total; });
}

std::string toText(const Learned& learned)
{
    return Json {
        { "declared", learned.declared }, { "undeclared", learned.undeclared }, { "patience", learned.callerTimeouts },
        { "speeds", learned.speeds }, { "suspicions", learned.suspicions }
    }.dump();
}

std::optional<Learned> parseLearned(const std::string& text)
{
    if (isNestedTooDeeply(text))
        return std::nullopt;
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        Learned out;
        json.at("declared").get_to(out.declared);
        json.at("undeclared").get_to(out.undeclared);
        json.at("patience").get_to(out.callerTimeouts);
        json.at("speeds").get_to(out.speeds);
        if (json.contains("suspicions")) // Items of earlier releases have none.
            json.at("suspicions").get_to(out.suspicions);
        return out;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace sequoia
