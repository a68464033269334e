/** @file EntryControl.cpp Control actor of an entry. */
#include <sequoia/ControlThread.h>
#include <sequoia/EntryControl.h>
#include <sequoia/LinkEffectExecutor.h>

#include <fmt/format.h>

namespace sequoia {

namespace {

    constexpr Milliseconds tickPeriod { 10 };
    constexpr int ticksPerLinkCleanup = 100;

    /** State and message handlers of the actor; used on its thread only. */
    class EntryControlState : private LinkEffectExecutor {
    public:
        EntryControlState(caf::event_based_actor* self, EntryControlParts parts)
            : LinkEffectExecutor(parts.links, parts.log)
            , m_self(self)
            , m_parts(std::move(parts))
        {
        }

        /** An exception drops only the message that caused it; the thread continues. */
        void handleGuarded(EntryInput& input)
        {
            m_parts.guard.run("control-message", [&] { handle(input); });
            if (std::holds_alternative<TickInput>(input))
                m_self->delayed_send(m_self, tickPeriod, EntryInput(TickInput {}));
        }

    private:
        void handle(EntryInput& input)
        {
            std::visit([this](auto& message) { on(message); }, input);
            performEffects();
        }

        void on(SubmitInput& input)
        {
            const auto job = input.spec.key;
            registerWaiter(input.reply,
                m_parts.core.submit(std::move(input.spec), input.reply.waiter, now(), CommandMode::Execute), job);
        }
        void on(PollInput& input)
        {
            registerWaiter(input.reply, m_parts.core.poll(input.job, input.reply.waiter, now()), input.job);
        }
        void on(RecoverInput& input)
        {
            m_waiters.emplace(input.reply.waiter, input.reply.promise);
            m_parts.core.recover(input.job, input.isOwnerEnded, input.reply.waiter, now());
        }
        void on(CancelInput& input)
        {
            input.done->set_value(m_parts.core.cancel(input.job, now(), CommandMode::Execute));
        }
        void on(AcknowledgeInput& input)
        {
            input.done->set_value(m_parts.core.acknowledge(input.job, CommandMode::Execute));
        }
        void on(DropWaiterInput& input)
        {
            m_parts.core.dropWaiter(input.job, input.waiter);
            m_waiters.erase(input.waiter);
        }
        void on(OpenSessionInput& input) { input.done->set_value(m_parts.core.openSession(now())); }
        void on(LinkFrameInput& input)
        {
            const auto& body = input.frame->body;
            if (body.type != wire::Body::Hello) {
                m_parts.core.receive(input.link, body, now());
                return;
            }
            const auto reply = m_parts.checkHello(*body.AsHello());
            if (const auto* refusal = std::get_if<std::string>(&reply)) {
                m_parts.log.event(
                    LogLevel::Warning, "agent-refused", { { "agent", body.AsHello()->agent }, { "reason", *refusal } });
                m_parts.links.close(input.link);
                return;
            }
            auto welcome = std::get<wire::WelcomeT>(reply);
            welcome.beat_ms = static_cast<uint32_t>(m_parts.core.heartbeatInterval().count());
            Frame frame;
            frame.body.Set(std::move(welcome));
            m_parts.links.send(input.link, std::move(frame));
            m_parts.core.agentLinked(input.link, *body.AsHello(), now());
        }
        void on(LinkClosedInput& input) { m_parts.core.linkClosed(input.link, now()); }
        void on(InspectInput& input) { input.function(m_parts.core, now()); }
        void on(TickInput&)
        {
            m_parts.core.tick(now());
            if (++m_ticks % ticksPerLinkCleanup == 0)
                m_parts.links.freeClosedLinks();
        }

        void registerWaiter(PendingReply& reply, CommandResult result, const JobKey&)
        {
            if (result)
                reply.promise->set_value({ result, nullptr });
            else
                m_waiters.emplace(reply.waiter, reply.promise);
        }

        TimePoint now() const { return m_parts.now(); }

        void performEffects()
        {
            for (auto& effect : m_parts.core.takeEffects())
                std::visit([this](auto& action) { apply(action); }, effect);
        }

        using LinkEffectExecutor::apply;
        void apply(DeliverAnswer& action)
        {
            m_parts.onJobAnswered(action.job, *action.answer);
            for (const auto waiter : action.waiters) {
                const auto it = m_waiters.find(waiter);
                if (it == m_waiters.end())
                    continue;
                it->second->set_value({ std::nullopt, action.answer });
                m_waiters.erase(it);
            }
        }
        void apply(CallBackend&) { }
        void apply(AskForRelink& action) { m_parts.askForRelink(action.agentAddress); }

        caf::event_based_actor* m_self;
        EntryControlParts m_parts;
        std::unordered_map<WaiterId, ReplyPromise> m_waiters;
        int m_ticks = 0;
    };

} // namespace

NonPollingActorConfig::NonPollingActorConfig()
{
    set("scheduler.max-threads", 1);
    set("scheduler.policy", caf::atom("sharing"));
}

EntryControl::EntryControl(caf::actor_system& system, EntryControlParts parts)
    : m_system(system)
{
    m_actor = system.spawn<caf::detached>([parts = std::move(parts)](caf::event_based_actor* self) -> caf::behavior {
        const auto state = std::make_shared<EntryControlState>(self, parts);
        self->send(self, EntryInput(TickInput {}));
        return { [state](EntryInput& input) { state->handleGuarded(input); } };
    });
}

EntryControl::~EntryControl() { stop(); }

void EntryControl::stop()
{
    caf::scoped_actor self(m_system);
    self->send_exit(m_actor, caf::exit_reason::user_shutdown);
    self->wait_for(m_actor);
}

void EntryControl::send(EntryInput input) const { caf::anon_send(m_actor, std::move(input)); }

PendingReply EntryControl::makePendingReply(std::future<JobReply>& future)
{
    PendingReply reply { WaiterId(m_nextWaiter++), std::make_shared<std::promise<JobReply>>() };
    future = reply.promise->get_future();
    return reply;
}

std::future<JobReply> EntryControl::submit(JobSpec spec, WaiterId& waiter)
{
    std::future<JobReply> future;
    auto reply = makePendingReply(future);
    waiter = reply.waiter;
    send(SubmitInput { std::move(spec), std::move(reply) });
    return future;
}

std::future<JobReply> EntryControl::poll(const JobKey& job, WaiterId& waiter)
{
    std::future<JobReply> future;
    auto reply = makePendingReply(future);
    waiter = reply.waiter;
    send(PollInput { job, std::move(reply) });
    return future;
}

std::future<JobReply> EntryControl::recover(const JobKey& job, bool isOwnerEnded, WaiterId& waiter)
{
    std::future<JobReply> future;
    auto reply = makePendingReply(future);
    waiter = reply.waiter;
    send(RecoverInput { job, isOwnerEnded, std::move(reply) });
    return future;
}

CommandResult EntryControl::cancel(const JobKey& job)
{
    const auto done = std::make_shared<std::promise<CommandResult>>();
    send(CancelInput { job, done });
    return done->get_future().get();
}

CommandResult EntryControl::acknowledge(const JobKey& job)
{
    const auto done = std::make_shared<std::promise<CommandResult>>();
    send(AcknowledgeInput { job, done });
    return done->get_future().get();
}

SessionNumber EntryControl::openSession()
{
    const auto done = std::make_shared<std::promise<SessionNumber>>();
    send(OpenSessionInput { done });
    return done->get_future().get();
}

void EntryControl::inspect(const std::function<void(EntryCore&, TimePoint)>& function)
{
    auto signal = std::make_shared<CompletionSignal>();
    const auto ended = signal->future();
    send(InspectInput {
        [&function, signal = std::move(signal)](EntryCore& core, TimePoint now) { function(core, now); } });
    ended.wait();
}

} // namespace sequoia
