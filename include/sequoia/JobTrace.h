/** @file JobTrace.h Trace of one job, kept in memory and logged if the job fails or is late. */
#pragma once

#include <sequoia/Effects.h>
#include <sequoia/Work.h>

#include <string>
#include <vector>

namespace sequoia {

/** One event in the life of a job. */
struct JobTraceEvent {
    std::string_view kind; ///< Name of the log event, a literal.
    TimePoint at {};
    RunId run; ///< The run that it concerns; only valid with `hasRun`.
    bool hasRun = false;
    std::string agent; ///< Empty for none.
    std::vector<LogField> inputs; ///< Figures behind the decision.
};

/**
 * Events of one job, oldest first. Logging every event would cost more than the dispatching itself; only jobs that
 * failed or were late are examined afterwards, so only their events are logged.
 */
class JobTrace {
public:
    void add(JobTraceEvent event);
    /** Logs one line for each event, with the job and the age of the event. */
    template <typename List> void record(List& effects, LogLevel level, WorkId job, TimePoint now) const
    {
        for (const auto& event : m_events)
            effects.record(level, event.kind, fieldsOf(event, job, now));
        if (m_droppedEvents > 0)
            effects.record(
                level, "job-steps-left-out", { { "job", job }, { "steps", static_cast<int64_t>(m_droppedEvents) } });
    }
    size_t size() const { return m_events.size(); }

private:
    static constexpr size_t maxEvents = 256; // About three for each task of the widest usual job.

    static std::vector<LogField> fieldsOf(const JobTraceEvent& event, WorkId job, TimePoint now);

    std::vector<JobTraceEvent> m_events;
    size_t m_droppedEvents = 0; ///< Number of events beyond the limit.
};

} // namespace sequoia
