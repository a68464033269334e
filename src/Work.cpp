/** @file Work.cpp Log texts and wire formats of task and run identifiers. */
#include <sequoia/Work.h>

#include <cinttypes>
#include <cstdio>
#include <fmt/format.h>
#include <sequoia/generated/Messages_generated.h>

namespace sequoia {

std::string toString(const TaskId& task)
{
    return fmt::format("{}.{}.{}", toString(task.job), raw(task.step), raw(task.index));
}

std::optional<TaskId> parseTaskId(const std::string& text)
{
    const auto job = parseWorkId(std::string_view(text).substr(0, text.find('.')));
    uint16_t step = 0;
    uint16_t index = 0;
    int length = 0;
    const auto fields = std::sscanf(text.c_str(), "%*16[^.].%5" SCNu16 ".%5" SCNu16 "%n", &step, &index, &length);
    if (!job || fields != 2 || static_cast<size_t>(length) != text.size())
        return std::nullopt;
    return TaskId { *job, StepIndex(step), TaskIndex(index) };
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

wire::RunId toWire(const RunId& id)
{
    return { id.task.job.number, raw(id.task.step), raw(id.task.index), raw(id.run) };
}

RunId fromWire(const wire::RunId& id, uint16_t upperCase)
{
    return { { WorkId(id.job(), upperCase), StepIndex(id.step()), TaskIndex(id.index()) }, RunNumber(id.run()) };
}

void addUpperCase(WorkId job, size_t position, std::vector<uint16_t>& list)
{
    if (job.upperCase == 0)
        return;
    list.resize(position + 1);
    list[position] = job.upperCase;
}

uint16_t upperCaseAt(const std::vector<uint16_t>& list, size_t position)
{
    return position < list.size() ? list[position] : 0;
}

void addRun(const RunId& id, std::vector<wire::RunId>& ids, std::vector<uint16_t>& upperCase)
{
    addUpperCase(id.task.job, ids.size(), upperCase);
    ids.push_back(toWire(id));
}

std::vector<RunId> runsOf(const std::vector<wire::RunId>& ids, const std::vector<uint16_t>& upperCase)
{
    std::vector<RunId> runs;
    for (size_t i = 0; i < ids.size(); ++i)
        runs.push_back(fromWire(ids[i], upperCaseAt(upperCase, i)));
    return runs;
}

} // namespace sequoia
