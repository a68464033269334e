/** @file JobJson.h JSON forms of jobs, answers and errors on the callers' interface. */
#pragma once

#include <sequoia/EntryCore.h>

#include <boost/leaf/result.hpp>
#include <string>

namespace sequoia {

/** Bounds on a submitted job. */
struct JobLimits {
    size_t maxTasks = 770;
    Milliseconds maxDeadline { 600000 };
};

/** Error of this layer: what in the body is wrong, by place. */
struct JobJsonError {
    std::string place; ///< Such as `tasks[3].declaredMs`.
    std::string message;
};

/** Reads a job; the key is left empty. Fails with JobJsonError. */
boost::leaf::result<JobSpec> parseJob(const std::string& body, const JobLimits& limits);

/** Writes an answer. */
std::string answerJson(const std::string& job, const JobAnswer& answer);

/** An error as callers get it. */
struct ApiError {
    int status = 0; ///< HTTP status.
    std::string code;
    std::string message;
    bool isNotRun = false; ///< True only if the request certainly started nothing.
    std::string session; ///< A new session for the caller, if it needs one.
};

/** Writes an error. */
std::string errorJson(const ApiError& error);
/** The error for a refused command. */
ApiError toApiError(EntryError error);

} // namespace sequoia
