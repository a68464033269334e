/** @file AgentControl.h The control thread of an agent: a CAF actor around the core, and its links to entries. */
#pragma once

#include <sequoia/AgentCore.h>
#include <sequoia/FailureGuard.h>
#include <sequoia/Link.h>

#include <caf/all.hpp>

namespace sequoia {

/** Link addresses of the entries that discovery found. */
struct DiscoveredInput {
    std::vector<std::string> links;
};
struct AgentLinkOpenedInput {
    LinkId link {};
};
struct AgentLinkFrameInput {
    LinkId link {};
    FramePtr frame;
};
struct AgentLinkClosedInput {
    LinkId link {};
};
struct BackendFinishedInput {
    TaskKey task;
    BackendResult result;
};
struct BackendAnnouncedInput {
    uint32_t slots = 0;
};
struct BackendLeftInput {
    std::string reason;
};
struct DrainInput {
    bool isDraining = true;
};
/** An entry asks for a new link, because the one to it has gone silent. */
struct RelinkInput {
    Incarnation entry {};
};
struct AgentInspectInput {
    std::function<void(AgentCore&, TimePoint)> function;
};
struct AgentTickInput { };

/** Everything that the control thread is told. */
using AgentInput = std::variant<DiscoveredInput, AgentLinkOpenedInput, AgentLinkFrameInput, AgentLinkClosedInput,
    BackendFinishedInput, BackendAnnouncedInput, BackendLeftInput, DrainInput, RelinkInput, AgentInspectInput,
    AgentTickInput>;

/** Dependencies of the control thread. */
struct AgentControlParts {
    AgentCore& core;
    LinkHub& links;
    Log& log;
    wire::HelloT hello; ///< Sent on every new link.
    ClockHook now;
    std::function<void(CallBackend)> call; ///< Calls the backend server on a thread of its own.
    FailureGuard& guard; ///< Catches what a message makes the core throw.
};

/** The control thread as other threads see it. */
class AgentControl {
public:
    AgentControl(caf::actor_system& system, AgentControlParts parts);
    ~AgentControl();
    /** Ends the actor and waits for it; whatever it is told later is dropped. */
    void stop();
    AgentControl(const AgentControl&) = delete;
    AgentControl& operator=(const AgentControl&) = delete;

    void send(AgentInput input) const;
    /** Runs a function on the core and waits for it. */
    void inspect(const std::function<void(AgentCore&, TimePoint)>& visit) const;

private:
    caf::actor_system& m_system;
    caf::actor m_actor;
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::AgentInput)
