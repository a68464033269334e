/** @file CallTimeModel.h Time-out of calls to a server, learned from its answer times. */
#pragma once

#include <sequoia/Time.h>

namespace sequoia {

/** Parameters of the model. */
struct CallTimeModelLimits {
    Milliseconds min { 25 }; ///< Shortest time-out, and the one before the first answer.
    Milliseconds max { 50 }; ///< Longest time-out.
    Milliseconds halfLife { 5000 }; ///< Time in which a long answer time loses half of its influence.
    double margin = 1.25; ///< Factor between the longest recent answer time and the time-out.
};

/**
 * Time-out of a call that may be repeated: a little above the longest answer time of the last seconds. Calls without an
 * answer are not counted: they show nothing about how long an answer takes.
 */
class CallTimeModel {
public:
    explicit CallTimeModel(const CallTimeModelLimits& limits = {});

    /** A call was answered after this time. */
    void learn(Microseconds answerTime, TimePoint now);
    /** Time after which a call without an answer should be repeated. */
    Milliseconds timeout(TimePoint now) const;

private:
    /** The longest answer time, which shrinks with its age. */
    double peakMs(TimePoint now) const;

    CallTimeModelLimits m_limits;
    double m_peakMs = 0;
    TimePoint m_peakAt {}; ///< When `m_peakMs` was observed; zero before the first answer.
};

} // namespace sequoia
