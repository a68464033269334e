/** @file JobJson.cpp Reads and writes the JSON of the callers' HTTP interface. */
#include "JobJson.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sequoia/Configuration.h>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr size_t maxNameBytes = 200;
    constexpr size_t maxNesting = 16; // Of the whole body; a valid job has three levels.

    /** Reports an error within this file; parseJob returns it as a JobJsonError. */
    struct ParseFailure {
        JobJsonError error;
    };

    [[noreturn]] void fail(std::string place, std::string message)
    {
        throw ParseFailure { { std::move(place), std::move(message) } };
    }

    std::string text(const Json& value, const std::string& place, size_t maxBytes)
    {
        if (!value.is_string())
            fail(place, "expected a string");
        auto out = value.get<std::string>();
        if (out.size() > maxBytes)
            fail(place, fmt::format("longer than {} bytes", maxBytes));
        return out;
    }

    Milliseconds parseMilliseconds(
        const Json& value, const std::string& place, Milliseconds minValue, Milliseconds maxValue)
    {
        if (!value.is_number_integer() && !value.is_number_unsigned())
            fail(place, "expected an integer, in milliseconds");
        const bool isHuge = value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
        const auto n = isHuge ? INT64_MAX : value.get<int64_t>();
        if (n < minValue.count() || n > maxValue.count())
            fail(place, fmt::format("{} is not between {} and {}", value.dump(), minValue.count(), maxValue.count()));
        return Milliseconds(n);
    }

    TaskSpec parseTask(const Json& json, const std::string& place, const JobLimits& limits)
    {
        if (!json.is_object())
            fail(place, "expected an object");
        TaskSpec task;
        for (const auto& [key, value] : json.items()) {
            const auto fieldPlace = fmt::format("{}.{}", place, key);
            if (key == "payload")
                task.payload = text(value, fieldPlace, SIZE_MAX);
            else if (key == "visit")
                task.visit = text(value, fieldPlace, maxNameBytes);
            else if (key == "declaredMs")
                task.declaredRunTime = parseMilliseconds(value, fieldPlace, Milliseconds(0), limits.maxDeadline);
            else if (key == "repeatable" && value.is_boolean())
                task.repeatable = value.get<bool>();
            else if (key == "repeatable")
                fail(fieldPlace, "expected true or false");
            else
                fail(fieldPlace, "unknown field");
        }
        return task;
    }

    JobSpec readJob(const Json& json, const JobLimits& limits)
    {
        if (!json.is_object())
            fail("", "expected a JSON object");
        JobSpec job;
        bool hasDeadline = false;
        for (const auto& [key, value] : json.items()) {
            if (key == "team") {
                job.team = text(value, key, maxNameBytes);
            } else if (key == "day") {
                job.day = text(value, key, maxNameBytes);
                if (!parseDay(job.day))
                    fail(key, "expected a date such as 2026-12-08");
            } else if (key == "deadlineMs") {
                job.deadline = parseMilliseconds(value, key, Milliseconds(1), limits.maxDeadline);
                hasDeadline = true;
            } else if (key == "tasks") {
                if (!value.is_array() || value.empty())
                    fail(key, "expected an array with at least one task");
                if (value.size() > limits.maxTasks)
                    fail(key, fmt::format("{} tasks, at most {} are allowed", value.size(), limits.maxTasks));
                for (size_t i = 0; i < value.size(); ++i)
                    job.tasks.push_back(parseTask(value[i], fmt::format("tasks[{}]", i), limits));
            } else {
                fail(key, "unknown field");
            }
        }
        if (job.team.empty())
            fail("team", "missing");
        if (!hasDeadline)
            fail("deadlineMs", "missing");
        if (job.tasks.empty())
            fail("tasks", "missing");
        return job;
    }

} // namespace

leaf::result<JobSpec> parseJob(const std::string& body, const JobLimits& limits)
{
    bool isTooDeep = false;
    const auto watchDepth = [&](int depth, Json::parse_event_t, Json&) {
        isTooDeep = isTooDeep || depth > static_cast<int>(maxNesting);
        return !isTooDeep;
    };
    try {
        const auto json = Json::parse(body, watchDepth);
        if (isTooDeep)
            fail("", "nested too deeply");
        auto job = readJob(json, limits);
        // The digest is of the parsed content, so that it doesn't depend on white space and the order of keys.
        job.digest = hashText(json.dump());
        return job;
    } catch (const ParseFailure& fault) {
        return leaf::new_error(fault.error);
    } catch (const Json::exception& error) {
        return leaf::new_error(JobJsonError { "", error.what() });
    }
}

std::string answerJson(const std::string& job, const JobAnswer& answer)
{
    Json json { { "job", job } };
    if (answer.status == JobStatus::Complete) {
        json["status"] = "complete";
        json["answers"] = answer.answers;
    } else {
        json["status"] = "failed";
        json["reason"] = toString(answer.reason);
        json["notRun"] = answer.isNotRun;
        json["detail"] = answer.detail;
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string errorJson(const ApiError& error)
{
    Json json { { "code", error.code }, { "message", error.message }, { "notRun", error.isNotRun } };
    Json out { { "error", std::move(json) } };
    if (!error.session.empty())
        out["session"] = error.session;
    return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ApiError toApiError(EntryError error)
{
    switch (error) {
    case EntryError::UnknownSession:
        return { 404, "unknown-session", "this entry has not opened this session", true, "" };
    case EntryError::ContentDiffers:
        return { 409, "content-differs", "the job id was already used with other content; that job is unchanged", false,
            "" };
    case EntryError::TooManyJobs:
        return { 429, "too-many-jobs", "too many jobs are open; the job was not run", true, "" };
    case EntryError::UnknownJob:
        return { 404, "unknown-job", "no job with this id is known here", false, "" };
    case EntryError::Expired:
        return { 410, "expired",
            "the record of the job has expired, so its outcome is unknown; the job is not started again", false, "" };
    case EntryError::Acknowledged:
        return { 410, "acknowledged", "the answer was acknowledged and has been discarded", false, "" };
    case EntryError::Stopping:
        return { 503, "stopping", "the entry is stopping; open a session at another one", true, "" };
    }
    return { 500, "internal", "unexpected error", false, "" };
}

} // namespace sequoia
