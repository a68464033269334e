/** @file ControlThread.cpp Implementation of ControlThread as a CAF actor. */
#include <sequoia/ControlThread.h>

namespace sequoia::control {

/** Message that the actor sends to itself once a period. */
struct TickNow { };

} // namespace sequoia::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::control::TickNow)

namespace sequoia {

ControlThread::ControlThread(caf::actor_system& system, Milliseconds period, ControlHooks hooks, FailureGuard& guard)
    : m_system(system)
    , m_actor(system.spawn<caf::detached>(
          [period, hooks = std::move(hooks), &guard](caf::event_based_actor* self) -> caf::behavior {
              self->send(self, control::TickNow {});
              return { [hooks, &guard](ControlWork& work) {
                          guard.run("control-work", work.run);
                          guard.run("control-effects", hooks.afterEach);
                      },
                  [self, period, hooks, &guard](control::TickNow) {
                      guard.run("control-tick", hooks.tick);
                      guard.run("control-effects", hooks.afterEach);
                      self->delayed_send(self, period, control::TickNow {});
                  } };
          }))
{
}

ControlThread::~ControlThread() { stop(); }

void ControlThread::post(std::function<void()> work) const { caf::anon_send(m_actor, ControlWork { std::move(work) }); }

void ControlThread::inspect(const std::function<void()>& work) const
{
    auto signal = std::make_shared<CompletionSignal>();
    const auto ended = signal->future();
    post([&work, signal = std::move(signal)] { work(); });
    ended.wait();
}

void ControlThread::stop()
{
    caf::scoped_actor self(m_system);
    self->send_exit(m_actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_actor);
}

} // namespace sequoia
