/** @file AgentControl.cpp The control actor of an agent. */
#include <sequoia/AgentControl.h>

#include <fmt/format.h>
#include <future>
#include <map>

namespace sequoia {

namespace {

    constexpr Milliseconds tickPeriod { 20 };
    constexpr int ticksPerCollect = 50;
    constexpr Milliseconds firstRedialPause { 100 };
    constexpr Milliseconds longestRedialPause { 2000 };
    constexpr Milliseconds welcomeTimeout { 2000 };

    /** State and handlers of the actor; they run on its thread only. */
    class AgentState {
    public:
        AgentState(caf::event_based_actor* self, AgentControlParts parts)
            : m_self(self)
            , m_parts(std::move(parts))
        {
        }

        void handle(AgentInput& input)
        {
            std::visit([this](auto& message) { on(message); }, input);
            perform();
        }

    private:
        /** One entry that this agent should be linked to. */
        struct Dial {
            std::optional<LinkId> link;
            bool isWelcomed = false;
            TimePoint since {}; ///< When the link was dialled or ended.
            Milliseconds pause = firstRedialPause;
        };

        void on(DiscoveredInput& input)
        {
            std::map<std::string, Dial> wanted;
            for (const auto& entry : input.entries)
                wanted.try_emplace(entry.link);
            for (auto& [address, dial] : m_dials) {
                // A link in use stays, whatever discovery says: the entry may only be cut from the store.
                if (wanted.contains(address) || dial.link)
                    wanted[address] = dial;
            }
            m_dials = std::move(wanted);
        }

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
            for (auto& [address, dial] : m_dials) {
                if (dial.link != input.link)
                    continue;
                dial.isWelcomed = true;
                dial.pause = firstRedialPause;
                m_parts.core.entryLinked(input.link, *body.AsWelcome(), now());
            }
        }

        void on(AgentLinkClosedInput& input)
        {
            m_parts.core.linkClosed(input.link, now());
            for (auto& [address, dial] : m_dials) {
                if (dial.link == input.link)
                    dial = { std::nullopt, false, now(), dial.pause };
            }
        }

        void on(BackendFinishedInput& input)
        {
            m_parts.core.backendFinished(input.task, std::move(input.result), now());
        }
        void on(AnnouncedInput& input) { m_parts.core.announced(input.slots, now()); }
        void on(LeftInput& input) { m_parts.core.left(input.reason, now()); }
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
            for (auto& [address, dial] : m_dials) {
                if (!dial.link)
                    dial.since = TimePoint();
            }
        }
        void on(AgentInspectInput& input) { input.visit(m_parts.core, now()); }

        void on(AgentTickInput&)
        {
            m_parts.core.tick(now());
            redial();
            if (++m_ticks % ticksPerCollect == 0)
                m_parts.links.collect();
            m_self->delayed_send(m_self, tickPeriod, AgentInput(AgentTickInput {}));
        }

        void redial()
        {
            for (auto& [address, dial] : m_dials) {
                if (dial.link) {
                    if (!dial.isWelcomed && now() - dial.since > welcomeTimeout)
                        m_parts.links.close(*dial.link);
                    continue;
                }
                if (now() - dial.since < dial.pause)
                    continue;
                dial.pause = std::min(dial.pause * 2, longestRedialPause);
                dial.since = now();
                dial.link = m_parts.links.dial(address);
            }
        }

        TimePoint now() const { return m_parts.now(); }

        void perform()
        {
            for (auto& effect : m_parts.core.takeEffects())
                std::visit([this](auto& action) { apply(action); }, effect);
        }

        void apply(SendMessage& action)
        {
            Frame frame;
            frame.body = std::move(action.body);
            m_parts.links.send(action.link, std::move(frame));
        }
        void apply(CloseLink& action)
        {
            m_parts.log.event(LogLevel::Info, "link-closing",
                { { "link", fmt::to_string(raw(action.link)) }, { "reason", action.reason } });
            m_parts.links.close(action.link);
        }
        void apply(DeliverAnswer&) { }
        void apply(AskForRelink&) { }
        void apply(CallBackend& action) { m_parts.call(std::move(action)); }
        void apply(RecordEvent& action) { m_parts.log.event(action.level, action.kind, std::move(action.fields)); }

        caf::event_based_actor* m_self;
        AgentControlParts m_parts;
        std::map<std::string, Dial> m_dials; ///< By link address.
        int m_ticks = 0;
    };

} // namespace

AgentControl::AgentControl(caf::actor_system& system, AgentControlParts parts)
    : m_system(system)
{
    m_actor = system.spawn<caf::detached>([parts = std::move(parts)](caf::event_based_actor* self) -> caf::behavior {
        const auto state = std::make_shared<AgentState>(self, parts);
        self->send(self, AgentInput(AgentTickInput {}));
        return { [state](AgentInput& input) { state->handle(input); } };
    });
}

AgentControl::~AgentControl() { stop(); }

void AgentControl::stop()
{
    caf::scoped_actor self(m_system);
    self->send_exit(m_actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_actor);
}

void AgentControl::tell(AgentInput input) const { caf::anon_send(m_actor, std::move(input)); }

void AgentControl::inspect(const std::function<void(AgentCore&, TimePoint)>& visit) const
{
    std::promise<void> done;
    auto ended = done.get_future();
    tell(AgentInspectInput { [&](AgentCore& core, TimePoint now) {
        visit(core, now);
        done.set_value();
    } });
    ended.get();
}

} // namespace sequoia
