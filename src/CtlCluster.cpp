/** @file CtlCluster.cpp Commands sequoiactl status, timeline, agent and log-level. */
#include "Ctl.h"
#include "HttpCommon.h"
#include "TimeLineView.h"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace sequoia {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

namespace {

    constexpr Milliseconds callTimeout { 1500 };
    constexpr Milliseconds watchPause { 1000 };
    constexpr int statusOk = 200;

    std::optional<Json> fetch(const std::string& address, const std::string& path, const std::string& token)
    {
        auto client = makeHttpClient(address, callTimeout);
        const auto reply = client.Get(path, { { tokenHeader, token } });
        if (!reply || reply->status != statusOk)
            return std::nullopt;
        auto json = Json::parse(reply->body, nullptr, false);
        if (json.is_discarded())
            return std::nullopt;
        return json;
    }

    ExitCode post(
        const std::string& address, const std::string& path, const std::string& body, const std::string& token)
    {
        auto client = makeHttpClient(address, callTimeout);
        const auto reply = client.Post(path, { { tokenHeader, token } }, body, jsonType);
        if (!reply) {
            fmt::print(stderr, "{}: no answer\n", address);
            return ExitCode::Failure;
        }
        if (reply->status != statusOk) {
            fmt::print(stderr, "{}: status {}: {}\n", address, reply->status, reply->body);
            return ExitCode::Refused;
        }
        return ExitCode::Ok;
    }

    /** Status of the cluster's processes at one time. */
    struct ClusterStatus {
        std::vector<Json> entries; ///< Status of each entry that answered.
        std::vector<std::string> silent; ///< Addresses of the entries that did not answer.
        std::map<std::string, Json> agents; ///< Status of each agent, by name.
    };

    ClusterStatus fetchClusterStatus(const CtlOptions& options)
    {
        ClusterStatus cluster;
        std::map<std::string, std::string> agents;
        for (const auto& entry : knownEntries(options)) {
            const auto status = fetch(entry.http, "/v1/status", options.token);
            if (!status) {
                cluster.silent.push_back(entry.http);
                continue;
            }
            for (const auto& agent : status->value("agents", Json::array()))
                agents[agent.value("name", "")] = agent.value("http", "");
            cluster.entries.push_back(*status);
        }
        for (const auto& [name, address] : agents) {
            auto status = fetch(address, "/v1/status", options.token)
                              .value_or(Json { { "name", name }, { "health", "no answer" } });
            status["http"] = address;
            cluster.agents[name] = std::move(status);
        }
        return cluster;
    }

    void printClusterStatus(const ClusterStatus& cluster)
    {
        std::cout << fmt::format("{:<14} {:<22} {:>9} {:>9} {:>9} {:>7}  {}\n", "ENTRY", "ADDRESS", "REVISION",
            "OPEN JOBS", "WAITING", "AGENTS", "STATE");
        for (const auto& entry : cluster.entries) {
            size_t linked = 0;
            for (const auto& agent : entry["agents"])
                linked += agent.value("linked", false) ? 1 : 0;
            const auto* state = entry.value("stopping", false) ? "stopping"
                : entry.value("ready", false)                  ? "ready"
                                                               : "not ready";
            std::cout << fmt::format("{:<14} {:<22} {:>9} {:>9} {:>9} {:>7}  {}{}\n", entry["entry"].value("name", ""),
                entry["entry"].value("http", ""), entry.value("revision", 0), entry.value("openJobs", 0),
                entry.value("queuedTasks", 0), linked, state, entry.value("storeUp", false) ? "" : ", store down");
            for (const auto& [team, n] : entry["queuedJobs"].items())
                std::cout << fmt::format("    team {:<20} {} jobs waiting\n", team, n.get<size_t>());
        }
        for (const auto& address : cluster.silent)
            std::cout << fmt::format("{:<14} {:<22} no answer\n", "?", address);
        std::cout << fmt::format(
            "\n{:<14} {:<22} {:>5} {:>7} {:>6}  {}\n", "AGENT", "ADDRESS", "SLOTS", "RUNNING", "LINKS", "STATE");
        for (const auto& [name, agent] : cluster.agents) {
            std::string state = agent.value("health", "");
            if (agent.value("draining", false))
                state = "draining";
            if (state == "quarantined")
                state += fmt::format(
                    ": {}, next trial in {} ms", agent.value("reason", ""), agent.value("nextTrialMs", 0));
            std::cout << fmt::format("{:<14} {:<22} {:>5} {:>7} {:>6}  {}\n", name, agent.value("http", ""),
                agent.value("slots", 0), agent.value("running", 0), agent.value("links", 0), state);
        }
    }

    ExitCode statusCommand(const CtlOptions& options)
    {
        do {
            const auto cluster = fetchClusterStatus(options);
            if (options.output == "json")
                std::cout << Json {
                    { "entries", cluster.entries }, { "silent", cluster.silent }, { "agents", cluster.agents }
                }.dump(1) << '\n';
            else
                printClusterStatus(cluster);
            if (cluster.entries.empty()) {
                fmt::print(stderr,
                    "no entry answered; give the address of an entry with --entry or of the store with --store\n");
                return ExitCode::Failure;
            }
            if (options.isWatching)
                std::this_thread::sleep_for(watchPause);
        } while (options.isWatching);
        return ExitCode::Ok;
    }

    void collect(const std::string& address, const CtlOptions& options, std::vector<TimeLineEvent>& events)
    {
        const httplib::Params query { { "since", fmt::to_string(options.since) }, { "filter", options.filter } };
        const auto path = httplib::append_query_params("/v1/events", query);
        const auto json = fetch(address, path, options.token);
        if (!json) {
            fmt::print(stderr, "{}: no answer; its events are missing\n", address);
            return;
        }
        for (const auto& item : *json) {
            TimeLineEvent event;
            event.stamp = item.value("stamp", uint64_t(0));
            event.level = static_cast<LogLevel>(item.value("level", 0));
            event.process = item.value("process", "");
            event.kind = item.value("event", "");
            for (const auto& [key, value] : item["fields"].items())
                event.fields.push_back({ key, value.template get<std::string>() });
            events.push_back(std::move(event));
        }
    }

    ExitCode timelineCommand(const CtlOptions& options)
    {
        const auto cluster = fetchClusterStatus(options);
        std::vector<TimeLineEvent> events;
        for (const auto& entry : cluster.entries)
            collect(entry["entry"].value("http", ""), options, events);
        for (const auto& [name, agent] : cluster.agents)
            collect(agent.value("http", ""), options, events);
        orderEvents(events);
        if (options.output == "json")
            std::cout << timeLineJson(events) << '\n';
        else if (options.output == "html")
            std::cout << timeLineHtml(events, options.filter.empty() ? "Time line" : "Time line of " + options.filter)
                      << '\n';
        else
            std::cout << timeLineText(events);
        return cluster.entries.empty() ? ExitCode::Failure : ExitCode::Ok;
    }

} // namespace

std::vector<CtlCommand> clusterCommands()
{
    return {
        { { "status" }, "", 0, "table of entries, agents, queues and quarantines; --watch to repeat it",
            statusCommand },
        { { "timeline" }, "", 0, "events of all processes in order of time; --filter, --since, --output text|json|html",
            timelineCommand },
        { { "agent", "drain" }, "ADDRESS", 1, "make an agent accept no new work",
            [](const CtlOptions& options) { return post(options.words[2], "/v1/drain", "{}", options.token); } },
        { { "agent", "resume" }, "ADDRESS", 1, "make a drained agent accept work again",
            [](const CtlOptions& options) { return post(options.words[2], "/v1/resume", "{}", options.token); } },
        { { "log-level" }, "ADDRESS LEVEL", 2, "set the log level of a process",
            [](const CtlOptions& options) {
                return post(options.words[1], "/v1/log-level", options.words[2], options.token);
            } },
    };
}

} // namespace sequoia
