/** @file ServerClient.h Interfaces between an agent and its backend server: calls, their results, announcements. */
#pragma once

#include <sequoia/RunGate.h>

#include <functional>

namespace sequoia {

/** Calls to the backend server; they are asynchronous and may be made on any thread. */
struct ServerClient {
    std::function<void(const StartRun&)> start;
    std::function<void(const StopRun&)> stop;
    std::function<void(const PollServer&)> poll;
};

/** Receives the results of `ServerClient` calls; hooks may be called on any thread. */
struct ServerResultHooks {
    std::function<void(RunId, StartOutcome)> startAnswered;
    std::function<void(RunId, bool isAnswered)> stopAnswered;
    std::function<void(uint64_t number, PollOutcome, Listing)> pollAnswered;
    ClockHook now; ///< Local clock, to extrapolate the clock of the server between its answers.
};

/** Receives what the backend server announces to its agent; hooks may be called on any thread. */
struct ServerReportHooks {
    /** `applied` is called once the report has taken effect. */
    std::function<void(ServerReport, std::function<void()> applied)> announced;
    std::function<void(std::string instance, std::function<void()> applied)> left;
};

} // namespace sequoia
