/** @file Work.cpp Log texts and wire formats of task and run identifiers. */
#include <sequoia/Work.h>

#include <cinttypes>
#include <cstdio>
#include <fmt/format.h>
#include <sequoia/generated/Messages_generated.h>

namespace sequoia {

std::string toString(const TaskId& task)
{
    return fmt::format("{:016x}.{}.{}", raw(task.job), raw(task.step), raw(task.index));
}

std::optional<TaskId> parseTaskId(const std::string& text)
{
    uint64_t job = 0;
    uint16_t step = 0;
    uint16_t index = 0;
    int length = 0;
    const auto fields
        = std::sscanf(text.c_str(), "%16" SCNx64 ".%5" SCNu16 ".%5" SCNu16 "%n", &job, &step, &index, &length);
    if (fields != 3 || static_cast<size_t>(length) != text.size())
        return std::nullopt;
    return TaskId { WorkId(job), StepIndex(step), TaskIndex(index) };
}

std::string_view toString(WorkStatus status)
{
    switch (status) {
    case WorkStatus::Succeeded:
        return "succeeded";
    case WorkStatus::Failed:
        return "failed";
    case WorkStatus::NotRun:
        return "not-run";
    case WorkStatus::GivenUp:
        return "given-up";
    }
    return "";
}

wire::RunId toWire(const RunId& id) { return { raw(id.task.job), raw(id.task.step), raw(id.task.index), raw(id.run) }; }

RunId fromWire(const wire::RunId& id)
{
    return { { WorkId(id.job()), StepIndex(id.step()), TaskIndex(id.index()) }, RunNumber(id.run()) };
}

} // namespace sequoia
