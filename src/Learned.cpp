/** @file Learned.cpp Serialisation and merging of the learned models. */
#include <sequoia/Learned.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <sequoia/InputBounds.h>
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

    /** Whether a number can be the logarithm of a time in ms. The bounds keep the powers of sums of two in range. */
    bool isLogMs(double x)
    {
        constexpr double minLogMs = -3; // 50 µs.
        constexpr double maxLogMs = 20; // Five days.
        return x >= minLogMs && x <= maxLogMs;
    }

    bool isValid(const LearnedRunTimes& times)
    {
        constexpr double maxSum = 1e9;
        const auto isSum = [](double sum) { return sum >= 0 && sum <= maxSum; };
        return isSum(times.weight) && isLogMs(times.meanX) && isLogMs(times.meanY) && isSum(times.sumXX)
            && isSum(std::abs(times.sumXY)) && isSum(times.sumResidual);
    }

    bool isValid(const LearnedCallerTimeouts& timeouts)
    {
        constexpr double maxSum = 1e9;
        return timeouts.requests >= 0 && timeouts.requests <= maxSum && isLogMs(timeouts.mean) && timeouts.squares >= 0
            && timeouts.squares <= maxSum && timeouts.shortShare >= 0 && timeouts.shortShare <= 1;
    }

    bool isValid(const LearnedSpeed& speed)
    {
        constexpr double maxSlowness = 1000;
        return speed.life >= 0 && speed.life <= maxTimeMs && speed.slowness > 0 && speed.slowness <= maxSlowness;
    }

    bool isValid(const LearnedSuspicion&) { return true; }

    /** Whether the fields kept the values of the text; integers are cut silently. */
    template <typename T> bool isExact(const T& value, const Json& json)
    {
        const Json fields = value;
        for (const auto& [name, field] : fields.items()) {
            if (json.at(name) != field)
                return false;
        }
        return true;
    }

    /** Reads the values of a section that are valid; adds the places of the others to `problems`. */
    template <typename T>
    void readSection(
        const Json& json, const char* name, std::map<std::string, T>& out, std::vector<std::string>& problems)
    {
        const auto& section = json.at(name).get_ref<const Json::object_t&>();
        for (const auto& [key, item] : section) {
            try {
                const auto value = item.template get<T>();
                if (isValid(value) && isExact(value, item)) {
                    out.emplace(key, value);
                    continue;
                }
            } catch (const Json::exception&) { // NOLINT(bugprone-empty-catch): reported below.
            }
            problems.push_back(std::string(name) + "." + key);
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
    }.dump(-1, ' ', false, Json::error_handler_t::replace); // Agents' names may be any bytes.
}

std::optional<Learned> parseLearned(const std::string& text, std::vector<std::string>* problems)
{
    const auto json = parseUntrusted(text);
    if (!json.is_object())
        return std::nullopt;
    try {
        Learned out;
        std::vector<std::string> skipped;
        readSection(json, "declared", out.declared, skipped);
        readSection(json, "undeclared", out.undeclared, skipped);
        readSection(json, "patience", out.callerTimeouts, skipped);
        readSection(json, "speeds", out.speeds, skipped);
        if (json.contains("suspicions")) // Items of earlier releases have none.
            readSection(json, "suspicions", out.suspicions, skipped);
        if (problems != nullptr)
            *problems = std::move(skipped);
        return out;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace sequoia
