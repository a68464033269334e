/** @file Work.h Jobs that take room: their steps, the route that they came on, their answers, and names of runs. */
#pragma once

#include <sequoia/Job.h>
#include <sequoia/Resources.h>

#include <compare>
#include <optional>

namespace sequoia {

namespace wire {
    struct RunId;
}

/** Position of a step within its job. */
enum class StepIndex : uint16_t {};

/** Which run of a task, counted from 1; a run follows another one only after that is proved to be over. */
enum class RunNumber : uint32_t {};

/** A task, the same at every entry. */
struct TaskId {
    WorkId job {};
    StepIndex step {};
    TaskIndex index {}; ///< Position in the step.
    auto operator<=>(const TaskId&) const = default;
};

/** One run of a task. */
struct RunId {
    TaskId task;
    RunNumber run {};
    auto operator<=>(const RunId&) const = default;
};

/** Tasks of one kind; they run beside one another. */
struct StepSpec {
    uint32_t count = 1;
    Resources resources; ///< What each task takes.
    Milliseconds estimate { 0 }; ///< Rough run time of a task; zero if unknown.
    std::vector<uint32_t> dependsOn; ///< Steps that must be done first.
    std::string requiredLabel; ///< Label that the backend server must have; empty for any.
    std::string preferredLabel; ///< Label of the servers near the data; empty for any.
    uint32_t maxPerServer = 0; ///< Most tasks of this step on one server; 0 for any number.
};

/** A job as submitted. */
struct WorkSpec {
    WorkId id {};
    std::string payload; ///< Passed to the backend server unread.
    std::vector<StepSpec> steps;
};

/** How jobs of a route are treated; from the configuration in force. */
struct RoutePolicy {
    std::string name;
    std::string service; ///< Backend servers of this service run the tasks.
    uint32_t priority = 0; ///< 0 comes first.
    uint32_t maxFailures = 1; ///< The job fails with this many failed runs of one task.
    double stretch = 1; ///< The latency objective is this many times the longest chain of estimates, and `objective`.
    Milliseconds objective { 0 };
};

enum class WorkStatus : uint8_t {
    Succeeded,
    Failed, ///< A task failed as often as the route allows.
    NotRun, ///< Refused, and none of its tasks was started.
    GivenUp ///< Not finished in time, and some of its tasks may have run.
};

/** The one answer of a job. */
struct WorkAnswer {
    WorkStatus status = WorkStatus::NotRun;
    std::string_view reason; ///< A literal for logs and metrics.
    Milliseconds retryAfter { 0 }; ///< When another try makes sense; zero if it doesn't.
};

std::string toString(const TaskId& task);
std::string_view toString(WorkStatus status);

wire::RunId toWire(const RunId& id);
RunId fromWire(const wire::RunId& id);

} // namespace sequoia

template <> struct std::hash<sequoia::RunId> {
    size_t operator()(const sequoia::RunId& id) const noexcept
    {
        constexpr uint64_t mix = 0x9E3779B97F4A7C15U;
        uint64_t n = (sequoia::raw(id.task.job) ^ sequoia::raw(id.run)) * mix;
        n = (n ^ (n >> 29U) ^ (uint64_t(sequoia::raw(id.task.step)) << 16U) ^ sequoia::raw(id.task.index)) * mix;
        return n ^ (n >> 32U);
    }
};
