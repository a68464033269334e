/** @file ControlThread.h Thread that runs posted work and a periodic tick, as a CAF actor. */
#pragma once

#include <sequoia/FailureGuard.h>
#include <sequoia/Time.h>

#include <caf/all.hpp>
#include <functional>
#include <future>

namespace sequoia {

/** Posts work to the control thread. */
using PostHook = std::function<void(std::function<void()>)>;

/** Work for the control thread. */
struct ControlWork {
    std::function<void()> run;
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::ControlWork)

namespace sequoia {

/** Signals a waiting thread that work has ended, normally or by an exception: the destructor fulfils the future. */
class CompletionSignal {
public:
    ~CompletionSignal() { m_promise.set_value(); }
    std::future<void> future() { return m_promise.get_future(); }

private:
    std::promise<void> m_promise;
};

/** Callbacks of a control thread; all run on it. */
struct ControlHooks {
    std::function<void()> tick; ///< Called once a period.
    std::function<void()> afterEach; ///< Called after each piece of work and each tick.
};

/** The only thread that reads and changes the control state of a process, so that this state needs no locks. */
class ControlThread {
public:
    /** The guard catches exceptions of the hooks and of posted work; the thread continues after them. */
    ControlThread(caf::actor_system& system, Milliseconds period, ControlHooks hooks, FailureGuard& guard);
    ~ControlThread();
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    /** Queues work, which runs in the order of the calls; work posted after `stop` is discarded. */
    void post(std::function<void()> work) const;
    /** Queues work and waits until it has ended, also by an exception. Deadlocks if called on the control thread. */
    void inspect(const std::function<void()>& work) const;
    /** Stops the thread and waits for its end. */
    void stop();

private:
    caf::actor_system& m_system;
    caf::actor m_actor;
};

} // namespace sequoia
