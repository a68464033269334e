/** @file HttpCommon.h HTTP handlers that all processes share: events, log level, health. */
#pragma once

#include <sequoia/HttpService.h>
#include <sequoia/Log.h>

namespace sequoia {

constexpr auto jsonType = "application/json";
constexpr auto metricsType = "text/plain; version=0.0.4";
constexpr auto tokenHeader = "X-Sequoia-Token";

/** Registers the handlers of /healthz, /v1/events and /v1/log-level. */
void addCommonHandlers(httplib::Server& server, Log& log, const std::string& token);

/** Whether a request carries the cluster's token; if not, sets the response to an error with status 403. */
bool hasToken(const httplib::Request& request, httplib::Response& response, const std::string& token);

} // namespace sequoia
