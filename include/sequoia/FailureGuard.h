/** @file FailureGuard.h Catches unexpected exceptions, so that they don't end the thread that they occur on. */
#pragma once

#include <sequoia/Time.h>

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace sequoia {

/** Limits of a guard. */
struct FailureGuardLimits {
    size_t maxErrors = 20; ///< So many errors within `window` show that the process can't go on.
    Milliseconds window { 10000 };
};

/** Hooks of a guard; called on the thread on which the error occurred. */
struct FailureGuardHooks {
    std::function<void(std::string_view place, const std::string& error)> failed; ///< Called for each error.
    std::function<void()> giveUp; ///< Called once, when the limit is reached.
    std::function<TimePoint()> now;
};

/**
 * Runs work and catches what it throws. An error while a message is handled then fails this message only. A process
 * with too many errors gives up, so that it is restarted. Thread-safe.
 */
class FailureGuard {
public:
    FailureGuard(FailureGuardLimits limits, FailureGuardHooks hooks);

    /** Runs `work`; returns false if it threw. `place` names the work in the log. */
    bool run(std::string_view place, const std::function<void()>& work);
    uint64_t errors() const { return m_errors; }

private:
    void caught(std::string_view place, const std::string& error);

    FailureGuardLimits m_limits;
    FailureGuardHooks m_hooks;
    std::atomic<uint64_t> m_errors { 0 };
    std::mutex m_mutex;
    std::deque<TimePoint> m_recent; ///< Times of the errors within the window.
    bool m_hasGivenUp = false;
};

class Log;

/** Hooks that log errors and, at the limit, end the process gracefully by sending it SIGTERM. */
FailureGuardHooks terminatingHooks(Log& log);

} // namespace sequoia
