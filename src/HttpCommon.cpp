/** @file HttpCommon.cpp HTTP handlers that all processes share. */
#include "HttpCommon.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace sequoia {

using Json = nlohmann::json;

namespace {

    constexpr int statusForbidden = 403;

    uint64_t numberParam(const httplib::Request& request, const char* name)
    {
        const auto text = request.get_param_value(name);
        uint64_t n = 0;
        std::from_chars(text.data(), text.data() + text.size(), n);
        return n;
    }

    std::string eventsJson(const std::vector<TimeLineEvent>& events)
    {
        auto out = Json::array();
        for (const auto& event : events) {
            auto fields = Json::object();
            for (const auto& field : event.fields)
                fields[field.key] = field.value;
            out.push_back({ { "stamp", event.stamp }, { "process", event.process }, { "event", event.kind },
                { "level", static_cast<int>(event.level) }, { "fields", std::move(fields) } });
        }
        return out.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

} // namespace

bool hasToken(const httplib::Request& request, httplib::Response& response, const std::string& token)
{
    if (request.get_header_value(tokenHeader) == token)
        return true;
    response.status = statusForbidden;
    response.set_content(
        R"({"error":{"code":"forbidden","message":"wrong or missing token","notRun":true}})", jsonType);
    return false;
}

void addCommonHandlers(httplib::Server& server, Log& log, const std::string& token)
{
    server.Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/v1/events", [&log, token](const httplib::Request& request, httplib::Response& response) {
        if (!hasToken(request, response, token))
            return;
        const auto events = log.events(numberParam(request, "since"), request.get_param_value("filter"));
        response.set_content(eventsJson(events), jsonType);
    });
    server.Post("/v1/log-level", [&log, token](const httplib::Request& request, httplib::Response& response) {
        if (!hasToken(request, response, token))
            return;
        log.setLevel(parseLogLevel(request.body));
        log.event(LogLevel::Info, "log-level", { { "level", request.body } });
        response.set_content("{}", jsonType);
    });
}

} // namespace sequoia
