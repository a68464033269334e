/** @file ControlThread.cpp The actor behind a control thread. */
#include <sequoia/ControlThread.h>

#include <future>

namespace sequoia::control {

/** Sent by the actor to itself. */
struct TickNow { };

} // namespace sequoia::control

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::control::TickNow)

namespace sequoia {

ControlThread::ControlThread(caf::actor_system& system, Milliseconds period, ControlHooks hooks)
    : m_system(system)
    , m_actor(system.spawn<caf::detached>(
          [period, hooks = std::move(hooks)](caf::event_based_actor* self) -> caf::behavior {
              self->send(self, control::TickNow {});
              return { [hooks](ControlWork& work) {
                          work.run();
                          hooks.afterEach();
                      },
                  [self, period, hooks](control::TickNow) {
                      hooks.tick();
                      hooks.afterEach();
                      self->delayed_send(self, period, control::TickNow {});
                  } };
          }))
{
}

ControlThread::~ControlThread() { stop(); }

void ControlThread::post(std::function<void()> work) const { caf::anon_send(m_actor, ControlWork { std::move(work) }); }

void ControlThread::inspect(const std::function<void()>& work) const
{
    std::promise<void> done;
    auto ended = done.get_future();
    post([&] {
        work();
        done.set_value();
    });
    ended.get();
}

void ControlThread::stop()
{
    caf::scoped_actor self(m_system);
    self->send_exit(m_actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_actor);
}

} // namespace sequoia
