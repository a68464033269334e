/** @file FailureGuard.cpp Catches, counts and reports unexpected errors. */
#include <sequoia/FailureGuard.h>

#include <sequoia/Log.h>

#include <csignal>
#include <exception>
#include <unistd.h>

namespace sequoia {

FailureGuard::FailureGuard(FailureGuardLimits limits, FailureGuardHooks hooks)
    : m_limits(limits)
    , m_hooks(std::move(hooks))
{
}

bool FailureGuard::run(std::string_view place, const std::function<void()>& work)
{
    try {
        work();
        return true;
    } catch (const std::exception& error) {
        caught(place, error.what());
    } catch (...) {
        caught(place, "exception of unknown type"); // The HTTP and link layers throw enumerations.
    }
    return false;
}

void FailureGuard::caught(std::string_view place, const std::string& error)
{
    ++m_errors;
    m_hooks.failed(place, error);
    const auto now = m_hooks.now();
    {
        const std::lock_guard lock(m_mutex);
        m_recent.push_back(now);
        while (m_recent.front() + m_limits.window < now)
            m_recent.pop_front();
        if (m_recent.size() < m_limits.maxErrors || m_hasGivenUp)
            return;
        m_hasGivenUp = true;
    }
    m_hooks.giveUp();
}

FailureGuardHooks terminatingHooks(Log& log)
{
    return { [&log](std::string_view place, const std::string& error) {
                log.event(LogLevel::Error, "unexpected-error", { { "place", std::string(place) }, { "error", error } });
            },
        [&log] {
            log.event(LogLevel::Error, "giving-up", { { "reason", "too many unexpected errors" } });
            ::kill(::getpid(), SIGTERM);
        },
        [] { return Clock::now(); } };
}

} // namespace sequoia
