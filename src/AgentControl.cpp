/** @file AgentControl.cpp Control actor of an agent. */
#include <sequoia/AgentControl.h>
#include <sequoia/ControlThread.h>
#include <sequoia/Dialer.h>
#include <sequoia/LinkEffectExecutor.h>

namespace sequoia {

namespace {

    constexpr Milliseconds tickPeriod { 20 };
    constexpr int ticksPerLinkCleanup = 50;

    /** State and message handlers of the actor; used on its thread only. */
    class AgentControlState : private LinkEffectExecutor {
    public:
        AgentControlState(caf::event_based_actor* self, AgentControlParts parts)
            : LinkEffectExecutor(parts.links, parts.log)
            , m_self(self)
            , m_parts(std::move(parts))
            , m_dialer(
                  {}, [this](const std::string& address) { return m_parts.links.dial(address); },
                  [this](LinkId link) { m_parts.links.close(link); })
        {
        }

        /** An exception drops only the message that caused it; the thread continues. */
        void handleGuarded(AgentInput& input)
        {
            m_parts.guard.run("control-message", [&] { handle(input); });
            if (std::holds_alternative<AgentTickInput>(input))
                m_self->delayed_send(m_self, tickPeriod, AgentInput(AgentTickInput {}));
        }

    private:
        void handle(AgentInput& input)
        {
            std::visit([this](auto& message) { on(message); }, input);
            performEffects();
        }

        void on(DiscoveredInput& input) { m_dialer.setAddresses(input.links, now()); }

        void on(AgentLinkOpenedInput& input)
        {
            Frame frame;
            auto hello = m_parts.hello;
            hello.newest_revision = raw(m_parts.core.newestRevision());
            frame.body.Set(std::move(hello));
            m_parts.links.send(input.link, std::move(frame));
        }

        void on(AgentLinkFrameInput& input)
        {
            const auto& body = input.frame->body;
            if (body.type != wire::Body::Welcome) {
                m_parts.core.receive(input.link, body, now());
                return;
            }
            if (m_dialer.welcomed(input.link))
                m_parts.core.entryLinked(input.link, *body.AsWelcome(), now());
        }

        void on(AgentLinkClosedInput& input)
        {
            m_parts.core.linkClosed(input.link, now());
            m_dialer.closed(input.link, now());
        }

        void on(BackendFinishedInput& input)
        {
            m_parts.core.backendFinished(input.task, std::move(input.result), now());
        }
        void on(BackendAnnouncedInput& input) { m_parts.core.backendAnnounced(input.slots, now()); }
        void on(BackendLeftInput& input) { m_parts.core.backendLeft(input.reason, now()); }
        void on(DrainInput& input)
        {
            if (input.isDraining)
                m_parts.core.drain(now());
            else
                m_parts.core.resume(now());
        }
        void on(RelinkInput& input)
        {
            if (const auto link = m_parts.core.linkOf(input.entry))
                m_parts.links.close(*link);
            m_dialer.dialNow();
        }
        void on(AgentInspectInput& input) { input.function(m_parts.core, now()); }

        void on(AgentTickInput&)
        {
            m_parts.core.tick(now());
            m_dialer.tick(now());
            if (++m_ticks % ticksPerLinkCleanup == 0)
                m_parts.links.freeClosedLinks();
        }

        TimePoint now() const { return m_parts.now(); }

        void performEffects()
        {
            for (auto& effect : m_parts.core.takeEffects())
                std::visit([this](auto& action) { apply(action); }, effect);
        }

        using LinkEffectExecutor::apply;
        void apply(DeliverAnswer&) { }
        void apply(AskForRelink&) { }
        void apply(CallBackend& action) { m_parts.call(std::move(action)); }

        caf::event_based_actor* m_self;
        AgentControlParts m_parts;
        Dialer m_dialer;
        int m_ticks = 0;
    };

} // namespace

AgentControl::AgentControl(caf::actor_system& system, AgentControlParts parts)
    : m_system(system)
{
    m_actor = system.spawn<caf::detached>([parts = std::move(parts)](caf::event_based_actor* self) -> caf::behavior {
        const auto state = std::make_shared<AgentControlState>(self, parts);
        self->send(self, AgentInput(AgentTickInput {}));
        return { [state](AgentInput& input) { state->handleGuarded(input); } };
    });
}

AgentControl::~AgentControl() { stop(); }

void AgentControl::stop()
{
    caf::scoped_actor self(m_system);
    self->send_exit(m_actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_actor);
}

void AgentControl::send(AgentInput input) const { caf::anon_send(m_actor, std::move(input)); }

void AgentControl::inspect(const std::function<void(AgentCore&, TimePoint)>& function) const
{
    auto signal = std::make_shared<CompletionSignal>();
    const auto ended = signal->future();
    send(AgentInspectInput {
        [&function, signal = std::move(signal)](AgentCore& core, TimePoint now) { function(core, now); } });
    ended.wait();
}

} // namespace sequoia
