/** @file Effects.cpp Conversion of identifiers to and from messages, and the names of failure reasons. */
#include <sequoia/Effects.h>

#include <algorithm>
#include <array>

namespace sequoia {

namespace {

    JobKey fromWire(const wire::JobKey& key)
    {
        return { Incarnation(key.home()), SessionNumber(key.session()), JobSequence(key.sequence()) };
    }

    constexpr std::array<std::string_view, 9> reasonNames { "none", "task-failed", "outcome-unknown", "deadline-passed",
        "cancelled", "overloaded", "impossible", "retries-exhausted", "moved" };

} // namespace

std::string_view toString(FailureReason reason) { return reasonNames.at(static_cast<size_t>(reason)); }

TimePoint agentTimeOf(const wire::FrameT& frame)
{
    constexpr int64_t maxTime = toMicroseconds(TimePoint::max().time_since_epoch()).count();
    return TimePoint(Microseconds(std::clamp<int64_t>(frame.agent_time, 0, maxTime)));
}

void setAgentTime(wire::FrameT& frame, TimePoint time)
{
    frame.agent_time = toMicroseconds(time.time_since_epoch()).count();
}

std::optional<TaskKey> fromWire(const std::unique_ptr<wire::TaskKey>& key)
{
    if (!key)
        return std::nullopt;
    return TaskKey { fromWire(key->job()), TaskIndex(key->index()) };
}

std::optional<JobKey> fromWire(const std::unique_ptr<wire::JobKey>& key)
{
    if (!key)
        return std::nullopt;
    return fromWire(*key);
}

wire::JobKey toWire(const JobKey& key) { return { raw(key.owner), raw(key.session), raw(key.sequence) }; }

wire::TaskKey toWire(const TaskKey& key, Attempt attempt) { return { toWire(key.job), raw(key.index), raw(attempt) }; }

} // namespace sequoia
