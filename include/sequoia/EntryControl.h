/** @file EntryControl.h The control thread of an entry: a CAF actor around the core. */
#pragma once

#include <sequoia/EntryCore.h>
#include <sequoia/FailureGuard.h>
#include <sequoia/Link.h>

#include <caf/all.hpp>
#include <future>

namespace sequoia {

/** What a waiting request gets. */
struct JobReply {
    std::optional<EntryError> error;
    JobAnswerPtr answer; ///< Set unless there is an error.
};

using ReplyPromise = std::shared_ptr<std::promise<JobReply>>;

/** Request that waits for a job. */
struct PendingReply {
    WaiterId waiter {};
    ReplyPromise promise;
};

struct SubmitInput {
    JobSpec spec;
    PendingReply reply;
};
struct PollInput {
    JobKey job;
    PendingReply reply;
};
struct RecoverInput {
    JobKey job;
    bool isOwnerEnded = false;
    PendingReply reply;
};
struct CancelInput {
    JobKey job;
    std::shared_ptr<std::promise<CommandResult>> done;
};
struct AcknowledgeInput {
    JobKey job;
    std::shared_ptr<std::promise<CommandResult>> done;
};
struct DropWaiterInput {
    JobKey job;
    WaiterId waiter {};
};
struct OpenSessionInput {
    std::shared_ptr<std::promise<SessionNumber>> done;
};
struct LinkFrameInput {
    LinkId link {};
    FramePtr frame;
};
struct LinkClosedInput {
    LinkId link {};
};
/** Runs a function on the core, for settings and status. */
struct InspectInput {
    std::function<void(EntryCore&, TimePoint)> function;
};
struct TickInput { };

/** Everything that the control thread is told. */
using EntryInput = std::variant<SubmitInput, PollInput, RecoverInput, CancelInput, AcknowledgeInput, DropWaiterInput,
    OpenSessionInput, LinkFrameInput, LinkClosedInput, InspectInput, TickInput>;

/** Checks an agent's Hello and makes the Welcome; a refusal is a text. */
using HelloHook = std::function<std::variant<wire::WelcomeT, std::string>(const wire::HelloT&)>;

/** Dependencies of the control thread. */
struct EntryControlParts {
    EntryCore& core;
    LinkHub& links;
    Log& log;
    HelloHook checkHello;
    ClockHook now;
    std::function<void(const std::string& address)> askForRelink; ///< POST to an agent, on another thread.
    std::function<void(const JobKey&, const JobAnswer&)> onJobAnswered; ///< Told of each delivered answer.
    FailureGuard& guard; ///< Catches what a message makes the core throw.
};

/** The control thread as other threads see it. */
class EntryControl {
public:
    EntryControl(caf::actor_system& system, EntryControlParts parts);
    ~EntryControl();
    /** Ends the actor and waits for it; whatever it is told later is dropped. */
    void stop();
    EntryControl(const EntryControl&) = delete;
    EntryControl& operator=(const EntryControl&) = delete;

    void send(EntryInput input) const;

    std::future<JobReply> submit(JobSpec spec, WaiterId& waiter);
    std::future<JobReply> poll(const JobKey& job, WaiterId& waiter);
    std::future<JobReply> recover(const JobKey& job, bool isEnded, WaiterId& waiter);
    CommandResult cancel(const JobKey& job);
    CommandResult acknowledge(const JobKey& job);
    SessionNumber openSession();
    /** Runs a function on the core and waits for it. */
    void inspect(const std::function<void(EntryCore&, TimePoint)>& visit);

private:
    PendingReply makePendingReply(std::future<JobReply>& future);

    caf::actor_system& m_system;
    caf::actor m_actor;
    std::atomic<uint64_t> m_nextWaiter { 1 };
};

/** CAF configuration without polling threads. */
class NonPollingActorConfig : public caf::actor_system_config {
public:
    NonPollingActorConfig();
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::EntryInput)
