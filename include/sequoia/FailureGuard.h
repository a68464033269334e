/** @file FailureGuard.h Keeps one unexpected error from ending the thread that it occurs on. */
#pragma once

#include <sequoia/Time.h>

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace sequoia {

/** Bounds of a guard. */
struct FailureGuardLimits {
    size_t maxErrors = 20; ///< So many within `window` show that the process can't go on.
    Milliseconds window { 10000 };
};

/** Hooks of a guard; they are called on the thread on which the error occurred. */
struct FailureGuardHooks {
    std::function<void(std::string_view place, const std::string& error)> failed; ///< Each error, for the log.
    std::function<void()> giveUp; ///< Called once, when errors come too often.
    std::function<TimePoint()> now;
};

/**
 * Runs work and catches what it throws. A message that nobody expected then costs what it asked for and nothing else;
 * a process whose errors don't end gives up, so that a new one takes its place. Thread-safe.
 */
class FailureGuard {
public:
    FailureGuard(FailureGuardLimits limits, FailureGuardHooks hooks);

    /** Runs work; false if it threw. `place` names it in the log. */
    bool run(std::string_view place, const std::function<void()>& work);
    uint64_t errors() const { return m_errors; }

private:
    void caught(std::string_view place, const std::string& error);

    FailureGuardLimits m_limits;
    FailureGuardHooks m_hooks;
    std::atomic<uint64_t> m_errors { 0 };
    std::mutex m_mutex;
    std::deque<TimePoint> m_recent; ///< Times of the latest errors.
    bool m_hasGivenUp = false;
};

class Log;

/** Hooks that log errors and, when they come too often, end the process gracefully by its stop signal. */
FailureGuardHooks terminatingHooks(Log& log);

} // namespace sequoia
