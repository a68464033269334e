/** @file Job.h Jobs, tasks and answers as an entry handles them. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Time.h>

#include <memory>
#include <string>
#include <vector>

namespace sequoia {

/** One task as submitted. */
struct TaskSpec {
    std::string payload; ///< Opaque; passed to the backend server unchanged.
    std::string visit; ///< Visit of the day plan; may be empty.
    bool repeatable = false; ///< The caller allows the task to run more than once.
    Milliseconds declaredRunTime { 0 }; ///< Declared run time; a hint, zero if unknown.
};

/** One job as submitted. */
struct JobSpec {
    JobKey key;
    std::string team;
    std::string day; ///< Working day of the visits, `YYYY-MM-DD`; may be empty.
    Milliseconds deadline { 0 }; ///< Time within which the job must be answered.
    uint64_t digest = 0; ///< Digest of the content; distinguishes a resubmission from another job.
    std::vector<TaskSpec> tasks;
};

enum class JobStatus : uint8_t { Complete, Failed };

/** Why a job failed; None for a complete one. */
enum class FailureReason : uint8_t {
    None,
    TaskFailed, ///< A backend server answered with a failure.
    OutcomeUnknown, ///< A task was started and its result is lost, such as by a restart of its agent.
    DeadlinePassed,
    Cancelled,
    Overloaded, ///< The queue is full or the expected wait exceeds the deadline.
    Impossible, ///< A task declares a longer run time than the deadline.
    RetriesExhausted, ///< Too many starts were refused.
    Moved ///< The day plan moved or cancelled a visit.
};

/** Name of a reason in answers and logs. */
std::string_view toString(FailureReason reason);

/** The final answer of a job. */
struct JobAnswer {
    JobStatus status = JobStatus::Failed;
    FailureReason reason = FailureReason::None;
    bool isNotRun = false; ///< It is certain that no task of the job ran.
    std::string detail; ///< Explanation for the caller.
    std::vector<std::string> answers; ///< By task, only if complete.
};

using JobAnswerPtr = std::shared_ptr<const JobAnswer>;

/** Whether a command is only checked or also executed. */
enum class CommandMode : uint8_t { Check, Execute };

} // namespace sequoia
