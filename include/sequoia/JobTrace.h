/** @file JobTrace.h What an entry did with one job, kept in memory and logged if the job did not go well. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/Work.h>

#include <string>
#include <vector>

namespace sequoia {

/** One decision about a job, or one thing that it learned. */
struct JobTraceEvent {
    std::string_view kind; ///< Event kind, a literal.
    TimePoint at {};
    RunId run; ///< Of which task and run, if any.
    bool hasRun = false;
    std::string agent; ///< Empty for none.
    std::vector<LogField> inputs; ///< What decided it.
};

/**
 * Decisions about one job in order. Logging them all would cost more than the dispatching; logging them only where a
 * job failed or was late says all that is asked afterwards.
 */
class JobTrace {
public:
    void add(JobTraceEvent step);
    /** Logs all of it, in lines that name the job and how long ago each decision was. */
    template <typename List> void record(List& effects, LogLevel level, WorkId job, TimePoint now) const
    {
        for (const auto& step : m_events)
            effects.record(level, step.kind, fieldsOf(step, job, now));
        if (m_droppedEvents > 0)
            effects.record(
                level, "job-steps-left-out", { { "job", job }, { "steps", static_cast<int64_t>(m_droppedEvents) } });
    }
    size_t size() const { return m_events.size(); }

private:
    static constexpr size_t maxEvents = 256; // About three for each task of the widest ordinary job.

    static std::vector<LogField> fieldsOf(const JobTraceEvent& step, WorkId job, TimePoint now);

    std::vector<JobTraceEvent> m_events;
    size_t m_droppedEvents = 0; ///< Further steps, not kept.
};

} // namespace sequoia
