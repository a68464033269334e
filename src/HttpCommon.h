/** @file HttpCommon.h Handlers that every process has: events, log level, health. */
#pragma once

#include <sequoia/HttpService.h>
#include <sequoia/Log.h>

namespace sequoia {

constexpr auto jsonType = "application/json";
constexpr auto metricsType = "text/plain; version=0.0.4";
constexpr auto tokenHeader = "X-Sequoia-Token";

/** Adds /healthz, /v1/events and /v1/log-level. */
void addCommonHandlers(httplib::Server& server, Log& log, const std::string& token);

/** Whether a request carries the cluster's token; writes the refusal if not. */
bool hasToken(const httplib::Request& request, httplib::Response& response, const std::string& token);

} // namespace sequoia
