/** @file EntryControl.h Control thread of an entry: a CAF actor that runs the core. */
#pragma once

#include <sequoia/EntryCore.h>
#include <sequoia/FailureGuard.h>
#include <sequoia/Link.h>

#include <caf/all.hpp>
#include <future>

namespace sequoia {

/** Reply to a request that waits for a job. */
struct JobReply {
    std::optional<EntryError> error;
    JobAnswerPtr answer; ///< Set unless there is an error.
};

using ReplyPromise = std::shared_ptr<std::promise<JobReply>>;

/** A request that waits for a job. */
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
/** Runs a function on the core, to apply settings or read the status. */
struct InspectInput {
    std::function<void(EntryCore&, TimePoint)> function;
};
struct TickInput { };

/** Messages to the control thread. */
using EntryInput = std::variant<SubmitInput, PollInput, RecoverInput, CancelInput, AcknowledgeInput, DropWaiterInput,
    OpenSessionInput, LinkFrameInput, LinkClosedInput, InspectInput, TickInput>;

/** Checks the Hello of an agent; returns the Welcome, or the reason of the refusal. */
using HelloHook = std::function<std::variant<wire::WelcomeT, std::string>(const wire::HelloT&)>;

/** Dependencies of the control thread. */
struct EntryControlParts {
    EntryCore& core;
    LinkHub& links;
    Log& log;
    HelloHook checkHello;
    ClockHook now;
    /** Asks the agent at an HTTP address for a new link, by a POST from another thread. */
    std::function<void(const std::string& address)> askForRelink;
    std::function<void(const JobKey&, const JobAnswer&)> onJobAnswered; ///< Called for each delivered answer.
    FailureGuard& guard; ///< Catches exceptions thrown while a message is handled.
};

/** Interface of the control thread for other threads. */
class EntryControl {
public:
    EntryControl(caf::actor_system& system, EntryControlParts parts);
    ~EntryControl();
    /** Stops the actor and waits for it; later messages are dropped. */
    void stop();
    EntryControl(const EntryControl&) = delete;
    EntryControl& operator=(const EntryControl&) = delete;

    void send(EntryInput input) const;

    /** Submits a job without waiting for its answer; sets `waiter`, with which a DropWaiterInput withdraws the request.
     * The same holds for poll() and recover(). */
    std::future<JobReply> submit(JobSpec spec, WaiterId& waiter);
    std::future<JobReply> poll(const JobKey& job, WaiterId& waiter);
    std::future<JobReply> recover(const JobKey& job, bool isOwnerEnded, WaiterId& waiter);
    CommandResult cancel(const JobKey& job);
    CommandResult acknowledge(const JobKey& job);
    SessionNumber openSession();
    /** Runs a function on the core and waits for it. */
    void inspect(const std::function<void(EntryCore&, TimePoint)>& function);

private:
    PendingReply makePendingReply(std::future<JobReply>& future);

    caf::actor_system& m_system;
    caf::actor m_actor;
    std::atomic<uint64_t> m_nextWaiter { 1 };
};

/** CAF configuration whose worker thread blocks while idle; the default scheduler polls for work. */
class NonPollingActorConfig : public caf::actor_system_config {
public:
    NonPollingActorConfig();
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::EntryInput)
