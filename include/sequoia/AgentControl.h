/** @file AgentControl.h Control thread of an agent: a CAF actor that runs the core and its links to entries. */
#pragma once

#include <sequoia/AgentCore.h>
#include <sequoia/FailureGuard.h>
#include <sequoia/Link.h>

#include <caf/all.hpp>

namespace sequoia {

/** Link addresses of the entries that were discovered. */
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
/** An entry requests a new link because its current one is silent. */
struct RelinkInput {
    Incarnation entry {};
};
struct AgentInspectInput {
    std::function<void(AgentCore&, TimePoint)> function;
};
struct AgentTickInput { };

/** Messages to the control thread. */
using AgentInput = std::variant<DiscoveredInput, AgentLinkOpenedInput, AgentLinkFrameInput, AgentLinkClosedInput,
    BackendFinishedInput, BackendAnnouncedInput, BackendLeftInput, DrainInput, RelinkInput, AgentInspectInput,
    AgentTickInput>;

/** Dependencies of the control thread. */
struct AgentControlParts {
    AgentCore& core;
    LinkHub& links;
    Log& log;
    wire::HelloT hello; ///< Template of the Hello that is sent on every new link.
    ClockHook now;
    std::function<void(CallBackend)> call; ///< Calls the backend server on another thread.
    FailureGuard& guard; ///< Catches exceptions thrown while a message is handled.
};

/** Interface of the control thread for other threads. */
class AgentControl {
public:
    AgentControl(caf::actor_system& system, AgentControlParts parts);
    ~AgentControl();
    /** Stops the actor and waits for it; later messages are dropped. */
    void stop();
    AgentControl(const AgentControl&) = delete;
    AgentControl& operator=(const AgentControl&) = delete;

    void send(AgentInput input) const;
    /** Runs a function on the core and waits for it. */
    void inspect(const std::function<void(AgentCore&, TimePoint)>& function) const;

private:
    caf::actor_system& m_system;
    caf::actor m_actor;
};

} // namespace sequoia

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sequoia::AgentInput)
