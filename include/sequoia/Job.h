/** @file Job.h Jobs, their tasks and their answers, as an entry knows them. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Time.h>

#include <memory>
#include <string>
#include <vector>

namespace sequoia {

/** One task as submitted. */
struct TaskSpec {
    std::string payload; ///< Passed to the backend server unread.
    std::string visit; ///< Visit of the day plan; may be empty.
    bool repeatable = false; ///< The caller allows a second run.
    Milliseconds declaredRunTime { 0 }; ///< Declared run time; a hint, zero if unknown.
};

/** One job as submitted. */
struct JobSpec {
    JobKey key;
    std::string team;
    std::string day; ///< Working day of the visits, `YYYY-MM-DD`; may be empty.
    Milliseconds deadline { 0 }; ///< Longest time to the answer.
    uint64_t digest = 0; ///< Digest of the content; tells a resubmission from another job.
    std::vector<TaskSpec> tasks;
};

enum class JobStatus : uint8_t { Complete, Failed };

/** Why a job failed; None for a complete one. */
enum class FailureReason : uint8_t {
    None,
    TaskFailed, ///< A backend server answered with a failure.
    OutcomeUnknown, ///< A task was started and its agent has ended.
    DeadlinePassed,
    Cancelled,
    Overloaded, ///< The queue is full or the deadline can't be met.
    Impossible, ///< No backend server could run it within its deadline.
    RetriesExhausted, ///< Starts were refused until the attempts ran out.
    Moved ///< The day plan moved or cancelled a visit.
};

/** Text of a reason, as callers see it. */
std::string_view toString(FailureReason reason);

/** The one answer of a job. */
struct JobAnswer {
    JobStatus status = JobStatus::Failed;
    FailureReason reason = FailureReason::None;
    bool isNotRun = false; ///< Proved that no task of the job was started.
    std::string detail; ///< Explanation for people.
    std::vector<std::string> answers; ///< By task, only if complete.
};

using JobAnswerPtr = std::shared_ptr<const JobAnswer>;

/** Whether a command only checks or also takes effect. */
enum class CommandMode : uint8_t { Check, Execute };

} // namespace sequoia
