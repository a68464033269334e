/** @file ControlThread.h A CAF actor with a thread of its own that runs what it is told, and ticks. */
#pragma once

#include <sequoia/FailureGuard.h>
#include <sequoia/Time.h>

#include <caf/all.hpp>
#include <functional>
#include <future>

namespace sequoia {

/** Passes work to the control thread. */
using PostHook = std::function<void(std::function<void()>)>;

/** Work for the control thread. */
struct ControlWork {
    std::function<void()> run;
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::ControlWork)

namespace sequoia {

/** Tells a waiting thread that work has ended, also by an error: it is fulfilled when its last owner lets it go. */
class CompletionSignal {
public:
    ~CompletionSignal() { m_promise.set_value(); }
    std::future<void> future() { return m_promise.get_future(); }

private:
    std::promise<void> m_promise;
};

/** Hooks of a control thread; all run on it. */
struct ControlHooks {
    std::function<void()> tick; ///< Called every period.
    std::function<void()> afterEach; ///< Called after each piece of work and each tick.
};

/** The one thread that owns a process's control state. */
class ControlThread {
public:
    /** What the hooks and the work throw, the guard catches, and the thread goes on. */
    ControlThread(caf::actor_system& system, Milliseconds period, ControlHooks hooks, FailureGuard& guard);
    ~ControlThread();
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    /** Runs work later, in the order of the calls; dropped after `stop`. */
    void post(std::function<void()> work) const;
    /** Runs work and waits for its end, also if it throws. Not to be called on the control thread. */
    void inspect(const std::function<void()>& work) const;
    /** Ends the thread and waits for it. */
    void stop();

private:
    caf::actor_system& m_system;
    caf::actor m_actor;
};

} // namespace sequoia
