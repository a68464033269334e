/** @file JobJson.h JSON of jobs, answers and errors in the callers' HTTP interface. */
#pragma once

#include <sequoia/EntryCore.h>

#include <boost/leaf/result.hpp>
#include <string>

namespace sequoia {

/** Limits on a submitted job. */
struct JobLimits {
    size_t maxTasks = 770;
    Milliseconds maxDeadline { 600000 };
};

/** What is wrong in the body of a submitted job, and where. */
struct JobJsonError {
    std::string place; ///< Path of the field, such as `tasks[3].declaredMs`; empty for the body as a whole.
    std::string message;
};

/** Reads a job and leaves its key empty. Fails with JobJsonError. */
boost::leaf::result<JobSpec> parseJob(const std::string& body, const JobLimits& limits);

/** Writes the answer of a job, whose id is `job`. */
std::string answerJson(const std::string& job, const JobAnswer& answer);

/** An error reply to a caller. */
struct ApiError {
    int status = 0; ///< HTTP status.
    std::string code;
    std::string message;
    bool isNotRun = false; ///< True only if it is certain that the request started no task.
    std::string session; ///< A new session for the caller, empty if it needs none.
};

/** Writes an error reply. */
std::string errorJson(const ApiError& error);
/** Returns the error reply for an error of the entry. */
ApiError toApiError(EntryError error);

} // namespace sequoia
