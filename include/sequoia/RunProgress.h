/** @file RunProgress.h Tells from the progress that a server lists whether a run is stuck, long, or on a slow server.
 */
#pragma once

#include <sequoia/Time.h>

#include <cstdint>
#include <optional>

namespace sequoia {

/** Parameters of the decisions. */
struct RunProgressLimits {
    /** A run without progress for this many times its expected time, plus `margin`, shows that its server hangs or is
     * very slow. */
    double stuckFactor = 2;
    Milliseconds margin { 40 };
    double normalFactor = 1.5; ///< A run that takes no longer than this many times its expected time is a normal one.
    /** A run whose speed has fallen by this factor shows that its server has become slow: tasks progress evenly. */
    double fallFactor = 2;
    uint32_t minPercent = 5; ///< Below, a whole number is too coarse for a speed.
    Milliseconds speedWindow { 40 }; ///< The present speed is that of the last one to two of these.
    /** Jobs with slow runs, and no normal run beside them, that prove a slow server; or two jobs with `slowRuns`. */
    uint32_t slowJobs = 3;
    uint32_t slowRuns = 4;
    /** A run is stopped for a start elsewhere only if its task would end this many times sooner there: both predictions
     * may be off, and the work done so far would be lost. */
    double minGain = 1.25;
    Milliseconds minConfirmTime { 20 }; ///< The percent of a run is compared over at least this time.
    Milliseconds listingLead { 25 }; ///< How long before a run is judged a listing is asked for: a tick and a call.
};

/** Times of a run that is to be judged. All but `expected` count from its order. */
struct RunTimes {
    Microseconds expected {}; ///< Expected run time on this server.
    Microseconds elapsed {};
    Microseconds lastListed {}; ///< When the latest listing arrived; negative if that was before the order.
    bool listsPercent = false; ///< The server tells percents.
};

enum class RunPace : uint8_t {
    InTime, ///< It may take longer yet, or only another listing can tell.
    Progressing, ///< It has taken longer than a run without progress may, but makes progress.
    Stuck
};

/** Progress of one run, as the listings of its server show it. */
class RunProgress {
public:
    explicit RunProgress(const RunProgressLimits& limits = {});

    /** A listing that arrived `elapsed` after the order has the run; `percent` is empty if it doesn't tell. */
    void listed(std::optional<uint32_t> percent, Microseconds elapsed);
    RunPace judge(const RunTimes& times);
    /** From this time after the order on, a listing that arrived before is too old to judge the run. */
    Microseconds listingWanted(const RunTimes& times) const;
    /** Run time from the order to the end that the progress so far predicts; empty if there is none. */
    std::optional<Microseconds> predictedTime(Microseconds lastListed) const;
    /** Whether it progresses at the expected speed, or far below; neither if that can't be said yet. */
    bool isNormal(const RunTimes& times) const;
    bool isSlow(const RunTimes& times) const;
    /** Whether its latest listings show the expected speed, whatever it was before. */
    bool isNormalLately(const RunTimes& times) const;
    /** Whether it has progressed much faster before. */
    bool hasSlowedDown(Microseconds lastListed) const;
    /** Highest percent listed; empty if there was none. */
    std::optional<uint32_t> percent() const { return m_percent; }

private:
    /** Time that a run without progress is allowed. */
    Microseconds allowedTime(const RunTimes& times) const;
    /** Time in which the percent must have changed if the run goes on. */
    Microseconds confirmTime() const;
    bool hasSpeed(const RunTimes& times) const;

    RunProgressLimits m_limits;
    std::optional<uint32_t> m_percent;
    Microseconds m_percentAt {}; ///< When a listing first showed it.
    bool m_hasRisen = false; ///< Two listings have differed: a single one can't show that the run still goes on.
    bool m_isProgressing = false; ///< It was found to progress when the time of a run without progress was over.
    /** Percents at two earlier listings, from which the present speed is computed. */
    struct Point {
        Microseconds at {};
        uint32_t percent = 0;
    };
    Point m_earlier;
    Point m_later;
    double m_highestSpeed = 0; ///< Percent per ms from the order to a listing.
};

/** What else an agent has seen of its server while a slow run was on it. */
struct SlowRunEvidence {
    bool hasSlowedDown = false; ///< The run itself was faster before.
    bool hasNormalRun = false; ///< Another run has the expected speed now, or had it since this one was ordered.
    uint32_t slowJobs = 1; ///< Jobs with slow runs on the server now, including that of this run.
    uint32_t slowRuns = 1; ///< Their slow runs.
};

/** Why a run that progresses takes long. */
enum class SlowCause : uint8_t { Unknown, Task, Server };

SlowCause causeOf(const SlowRunEvidence& evidence, const RunProgressLimits& limits);

/** What an agent has told an entry of a run that takes long. */
struct ReportedProgress {
    Milliseconds age {}; ///< Time since the report.
    Milliseconds remaining {}; ///< Predicted time to its end, from the report on.
    Milliseconds work {}; ///< Predicted run time of its task at slowness 1.
    bool isStuck = false;
};

/**
 * Whether a run is left where it is although it takes long: it progresses, and its task wouldn't end sooner from the
 * start on the fastest other server that can take it now. `slownessElsewhere` is empty if there is none; `handover` is
 * the time from the decision to a start there.
 */
bool isBetterLeft(const ReportedProgress& progress, std::optional<double> slownessElsewhere, Milliseconds handover,
    const RunProgressLimits& limits);

} // namespace sequoia
