/** @file ServerPort.h How an agent reaches its backend server, and how the server reaches its agent. */
#pragma once

#include <sequoia/RunGate.h>

#include <functional>

namespace sequoia {

/** Calls of the backend server. May be made on any thread. */
struct ServerClient {
    std::function<void(const StartRun&)> start;
    std::function<void(const StopRun&)> stop;
    std::function<void(const PollServer&)> poll;
};

/** Where results of the calls go; all hooks may be called on any thread. */
struct ServerResultHooks {
    std::function<void(RunId, StartOutcome)> startAnswered;
    std::function<void(RunId, bool isAnswered)> stopAnswered;
    std::function<void(uint64_t number, PollOutcome, Listing)> pollAnswered;
    ClockHook now;
};

/** What the backend server tells its agent. May be called on any thread. */
struct ServerReportHooks {
    /** `taken` is called once the report has taken effect. */
    std::function<void(ServerReport, std::function<void()> taken)> announced;
    std::function<void(std::string instance, std::function<void()> taken)> left;
};

} // namespace sequoia
