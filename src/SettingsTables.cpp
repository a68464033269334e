/** @file SettingsTables.cpp Tables of all settings with default, range and help text. */
#include <sequoia/RunGate.h>
#include <sequoia/Settings.h>

namespace sequoia {

namespace {

    constexpr int64_t hourMs = 3600000;
    constexpr int64_t mebibyte = 1 << 20;

    template <typename T>
    SettingRow<T> number(
        std::string_view key, int64_t T::*field, int64_t value, int64_t low, int64_t high, std::string_view help)
    {
        return { key, field, value, low, high, {}, {}, help };
    }

    template <typename T>
    SettingRow<T> text(std::string_view key, std::string T::*field, std::string_view value, std::string_view choices,
        std::string_view help)
    {
        return { key, field, 0, 0, 0, value, choices, help };
    }

    template <typename T>
    SettingRow<T> list(std::string_view key, std::vector<std::string> T::*field, std::string_view help)
    {
        return { key, field, 0, 0, 0, {}, {}, help };
    }

    constexpr std::string_view logLevels = "debug|info|warning|error";

} // namespace

const std::vector<SettingRow<EntrySettings>>& entrySettingRows()
{
    using S = EntrySettings;
    static const std::vector<SettingRow<S>> rows {
        text<S>("name", &S::name, "entry", "", "Name of the process in logs and in the time line."),
        text<S>(
            "cluster", &S::cluster, "sequoia", "", "Name of the cluster; processes of another cluster are refused."),
        text<S>("token", &S::token, "", "", "Shared secret of the cluster's processes; empty for none."),
        text<S>("failure_domain", &S::failure_domain, "", "", "Failure domain of this VM."),
        text<S>("http_address", &S::http_address, "127.0.0.1:0", "", "Address for callers; port 0 picks a free one."),
        text<S>("link_address", &S::link_address, "127.0.0.1:0", "", "Address for agents; port 0 picks a free one."),
        text<S>("advertise_http", &S::advertise_http, "", "",
            "Address at which others reach http_address; empty if it is the same."),
        text<S>("advertise_link", &S::advertise_link, "", "",
            "Address at which agents reach link_address; empty if it is the same."),
        text<S>(
            "store_address", &S::store_address, "", "", "Address of the platform's store; empty to run without one."),
        list<S>("peers", &S::peers, "HTTP addresses of other entries, in addition to those in the store."),
        number<S>(
            "http_threads", &S::http_threads, 512, 4, 4096, "Maximum number of callers' connections served at once."),
        number<S>("http_read_timeout_ms", &S::http_read_timeout_ms, 5000, 100, 600000,
            "Maximum pause of a caller within or between requests, ms."),
        number<S>("max_body_bytes", &S::max_body_bytes, 4 * mebibyte, 1024, 64 * mebibyte,
            "Maximum size of a request body, bytes."),
        number<S>("max_trailer_bytes", &S::max_trailer_bytes, 8192, 0, mebibyte,
            "Maximum size of the trailers and chunk extensions of a request, bytes."),
        number<S>("max_tasks", &S::max_tasks, 770, 1, 10000, "Maximum number of tasks in a job."),
        number<S>("max_open_jobs", &S::max_open_jobs, 20000, 1, 1000000, "Maximum number of unanswered jobs."),
        number<S>("max_queued_tasks", &S::max_queued_tasks, 200000, 1, 10000000, "Maximum number of queued tasks."),
        number<S>("max_deadline_ms", &S::max_deadline_ms, 600000, 1, hourMs, "Maximum deadline of a job, ms."),
        number<S>("retention_ms", &S::retention_ms, 120000, 1000, 24 * hourMs,
            "How long an answer is kept for resubmissions, ms."),
        number<S>("link_silence_ms", &S::link_silence_ms, 1500, 100, 60000,
            "A link with outstanding starts is replaced when nothing arrives on it for this time, ms."),
        number<S>("beat_ms", &S::beat_ms, 3000, 100, hourMs,
            "Heartbeat interval of an idle link, ms; increases with the number of agents."),
        number<S>("agent_lost_ms", &S::agent_lost_ms, 6000, 100, hourMs,
            "When an agent is unreachable for this time, the outcome of its starts counts as unknown, ms."),
        number<S>(
            "lease_ttl_s", &S::lease_ttl_s, 10, 2, 3600, "Time to live of the registration's lease in the store, s."),
        number<S>("stop_timeout_ms", &S::stop_timeout_ms, 30000, 0, hourMs, "Maximum duration of a graceful stop, ms."),
        number<S>("retry_attempts", &S::retry_attempts, 8, 0, 1000,
            "Maximum number of refused starts of a job, beyond one per task."),
        text<S>("profile", &S::profile, "response", "response|messages",
            "What is minimized first: response time or wasted messages."),
        text<S>("policy", &S::policy, "grants", "grants|fastest-grant|random|least-outstanding|two-choices",
            "Policy that chooses an agent; all but the first are for comparison."),
        number<S>(
            "timeline_events", &S::timeline_events, 20000, 0, 1000000, "Number of events kept for the time line."),
        text<S>("log_level", &S::log_level, "info", logLevels, "Lowest level of the events that are printed."),
        number<S>("seed", &S::seed, 1, 0, INT64_MAX, "Random seed of the comparison policies."),
    };
    return rows;
}

const std::vector<SettingRow<AgentSettings>>& agentSettingRows()
{
    using S = AgentSettings;
    static const std::vector<SettingRow<S>> rows {
        text<S>("name", &S::name, "agent", "", "Name of the agent; one per backend server, kept over restarts."),
        text<S>("cluster", &S::cluster, "sequoia", "",
            "Name of the cluster; entries of another cluster refuse this agent."),
        text<S>("token", &S::token, "", "", "Shared secret of the cluster's processes; empty for none."),
        text<S>("failure_domain", &S::failure_domain, "", "", "Failure domain of this VM."),
        text<S>("http_address", &S::http_address, "127.0.0.1:0", "", "Address for the backend server and operators."),
        text<S>("advertise_http", &S::advertise_http, "", "",
            "Address at which others reach http_address; empty if it is the same."),
        list<S>("entries", &S::entries, "HTTP addresses of entries or of the load balancer in front of them."),
        number<S>("http_threads", &S::http_threads, 16, 2, 1024, "Maximum number of connections served at once."),
        number<S>("http_read_timeout_ms", &S::http_read_timeout_ms, 5000, 100, 600000,
            "Maximum pause of a peer within or between requests, ms."),
        number<S>("max_trailer_bytes", &S::max_trailer_bytes, 8192, 0, mebibyte,
            "Maximum size of the trailers and chunk extensions of a request, bytes."),
        number<S>(
            "max_connections", &S::max_connections, 64, 1, 64, "Maximum number of connections to the backend server."),
        number<S>("max_slots", &S::max_slots, 64, 1, 64, "Maximum number of slots that a backend server may announce."),
        number<S>("max_body_bytes", &S::max_body_bytes, mebibyte, 1024, 64 * mebibyte,
            "Maximum size of an answer from the backend server, bytes."),
        number<S>("retention_ms", &S::retention_ms, 120000, 1000, 24 * hourMs,
            "How long results and tombstones are kept, ms."),
        number<S>("link_silence_ms", &S::link_silence_ms, 1500, 100, 60000,
            "While tasks run, this agent sends to the entry at least every third of this time, ms."),
        number<S>("beat_ms", &S::beat_ms, 3000, 100, hourMs, "Heartbeat interval of an idle link, ms."),
        number<S>("announce_ttl_ms", &S::announce_ttl_ms, 3000, 100, hourMs,
            "An announcement that is not renewed lapses after this time, ms."),
        number<S>("stop_timeout_ms", &S::stop_timeout_ms, 30000, 0, hourMs, "Maximum duration of a graceful stop, ms."),
        number<S>("quarantine_failures", &S::quarantine_failures, 3, 1, 1000,
            "Consecutive failures, each of another job, after which the server gets no new work."),
        number<S>("quarantine_pause_ms", &S::quarantine_pause_ms, 1000, 10, hourMs,
            "Pause before the first trial, ms; doubled after each failed trial."),
        number<S>("quarantine_pause_max_ms", &S::quarantine_pause_max_ms, 4000, 10, hourMs,
            "Maximum pause between trials, ms; a recovered server gets its next trial within this time."),
        number<S>("stall_factor", &S::stall_factor, 8, 1, 1000,
            "A task that runs longer than its declared time multiplied by this counts as stalled."),
        number<S>("stall_minimum_ms", &S::stall_minimum_ms, 8000, 10, hourMs,
            "Minimum run time before a task counts as stalled, ms."),
        number<S>("revision_grace_ms", &S::revision_grace_ms, 11000, 0, hourMs,
            "How long starts under an older configuration are still accepted, ms."),
        number<S>("timeline_events", &S::timeline_events, 5000, 0, 1000000, "Number of events kept for the time line."),
        text<S>("log_level", &S::log_level, "info", logLevels, "Lowest level of the events that are printed."),
        number<S>("seed", &S::seed, 1, 0, INT64_MAX, "Random seed of the jitter."),
    };
    return rows;
}

const std::vector<SettingRow<RoomEntrySettings>>& roomEntrySettingRows()
{
    using S = RoomEntrySettings;
    static const auto shortestLapseMs = static_cast<int64_t>(RunGateLimits().shortestLapse().count());
    static const std::vector<SettingRow<S>> rows {
        text<S>("name", &S::name, "entry", "", "Name of the process in logs and in the store."),
        text<S>("failure_domain", &S::failure_domain, "", "", "Failure domain of this VM."),
        text<S>("callers_address", &S::callers_address, "127.0.0.1:0", "", "Address for callers' jobs."),
        text<S>("readiness_address", &S::readiness_address, "127.0.0.1:0", "",
            "Address for the readiness checks of the load balancer."),
        text<S>("peers_address", &S::peers_address, "127.0.0.1:0", "", "Address for other entries."),
        text<S>("link_address", &S::link_address, "127.0.0.1:0", "", "Address for agents."),
        text<S>("metrics_address", &S::metrics_address, "", "", "Address of the metrics; empty for none."),
        text<S>("store_address", &S::store_address, "", "", "Address of the store that all VMs share."),
        list<S>("seeds", &S::seeds, "Some entries' addresses for peers; they may be outdated."),
        text<S>("far_factor", &S::far_factor, "1.5", "",
            "Ratio of a task's run time far from its data to the run time near it."),
        number<S>("link_silence_ms", &S::link_silence_ms, 400, 50, 60000,
            "A link with runs is replaced when nothing arrives on it for this time, ms."),
        number<S>("run_lapse_ms", &S::run_lapse_ms, 1250, shortestLapseMs, 60000,
            "Runs at an agent that is unreachable for this time have ended, ms; must exceed the time that agents take "
            "to stop them."),
        number<S>("straggler_percent", &S::straggler_percent, 300, 110, 10000,
            "A run that takes longer than this share of its expected time is repeated elsewhere, %."),
        number<S>("max_open_jobs", &S::max_open_jobs, 4000, 1, 1000000, "Maximum number of unanswered jobs."),
        number<S>("max_queued_tasks", &S::max_queued_tasks, 40000, 1, 10000000, "Maximum number of queued tasks."),
        number<S>("max_connections", &S::max_connections, 3000, 4, 100000, "Maximum number of callers' connections."),
        number<S>("max_descriptors", &S::max_descriptors, 0, 0, 10000000,
            "File descriptors that the process may open; limits the callers' connections to what leaves 700 of them. "
            "0: unknown."),
        number<S>("max_body_bytes", &S::max_body_bytes, mebibyte, 1024, 64 * mebibyte,
            "Maximum size of a request body, bytes."),
        number<S>("max_trailer_bytes", &S::max_trailer_bytes, 8192, 0, mebibyte,
            "Maximum size of the trailers and chunk extensions of a request, bytes."),
        number<S>("caller_resend_ms", &S::caller_resend_ms, 0, 0, hourMs,
            "Minimum time between the first and the second sending of a caller's request, ms; set by the deployment."),
        number<S>("rotation_ms", &S::rotation_ms, 2300, 0, 60000,
            "Time from a stop signal until the load balancer sends no new connections, ms."),
        number<S>("stop_timeout_ms", &S::stop_timeout_ms, 5250, 0, hourMs,
            "Maximum duration of a graceful stop, ms; must be below the time after which the platform kills the "
            "process."),
        number<S>("evacuation_bound_ms", &S::evacuation_bound_ms, 0, 0, hourMs,
            "Time within which no more tasks start in a failure domain that the operators want evacuated, ms; 0: such "
            "requests are not followed. Set by the deployment."),
        text<S>("log_level", &S::log_level, "info", logLevels, "Lowest level of the events that are printed."),
    };
    return rows;
}

const std::vector<SettingRow<RoomAgentSettings>>& roomAgentSettingRows()
{
    using S = RoomAgentSettings;
    static const std::vector<SettingRow<S>> rows {
        text<S>("name", &S::name, "agent", "", "Name of the agent; one per backend server, kept over restarts."),
        text<S>("failure_domain", &S::failure_domain, "", "", "Failure domain of this VM."),
        text<S>("pings_address", &S::pings_address, "127.0.0.1:0", "", "Address to which the backend server reports."),
        text<S>("server_address", &S::server_address, "", "", "Address of the backend server."),
        text<S>("metrics_address", &S::metrics_address, "", "", "Address of the metrics; empty for none."),
        text<S>("store_address", &S::store_address, "", "", "Address of the store that all VMs share."),
        list<S>("seeds", &S::seeds, "Addresses of some entries, with any port; they may be outdated."),
        number<S>("link_port", &S::link_port, 0, 0, UINT16_MAX, "Port on which entries accept links of agents."),
        number<S>("lease_ms", &S::lease_ms, 700, 50, 60000,
            "Lease of runs at the backend server: they end by themselves this long after the last renewal, ms."),
        number<S>("longest_lease_ms", &S::longest_lease_ms, 1050, 50, 600000,
            "Maximum lease of an earlier process of this agent, ms."),
        number<S>("owner_silence_ms", &S::owner_silence_ms, 500, 50, 60000,
            "Runs of an entry from which nothing arrives for this time are stopped, ms."),
        number<S>("start_timeout_ms", &S::start_timeout_ms, 50, 5, 60000,
            "Longest time-out of a start call, ms. A call without an answer is repeated; then the run is fenced off."),
        number<S>("server_connections", &S::server_connections, 32, 4, 64,
            "Maximum number of connections to the backend server."),
        number<S>("max_trailer_bytes", &S::max_trailer_bytes, 8192, 0, mebibyte,
            "Maximum size of the trailers and chunk extensions of a request, bytes."),
        number<S>("quarantine_failures", &S::quarantine_failures, 3, 1, 1000,
            "Consecutive failures, each of another job, after which the server gets no new work."),
        number<S>("quarantine_pause_ms", &S::quarantine_pause_ms, 300, 10, hourMs,
            "Pause before the first trial, ms; doubled after each failed trial."),
        number<S>("quarantine_pause_max_ms", &S::quarantine_pause_max_ms, 1200, 10, hourMs,
            "Maximum pause between trials, ms."),
        number<S>("stop_timeout_ms", &S::stop_timeout_ms, 5500, 0, hourMs, "Maximum duration of a graceful stop, ms."),
        number<S>("urgent_share_percent", &S::urgent_share_percent, 0, 0, 50,
            "Maximum share of the server that is kept for more urgent priorities whose orders are refused, %; 0: "
            "none."),
        number<S>("floor_share_percent", &S::floor_share_percent, 0, 0, 50,
            "Share of the server that is kept for the less urgent priorities whose tasks wait, %; 0: none."),
        number<S>("share_min_entries", &S::share_min_entries, 8, 1, 1000,
            "Both shares are kept only while at least so many entries are linked: few entries order by priority "
            "alone."),
        text<S>("log_level", &S::log_level, "info", logLevels, "Lowest level of the events that are printed."),
    };
    return rows;
}

const std::vector<SettingRow<LoadSettings>>& loadSettingRows()
{
    using S = LoadSettings;
    static const std::vector<SettingRow<S>> rows {
        list<S>(
            "entries", &S::entries, "HTTP addresses of entries; callers are spread over them as by a load balancer."),
        list<S>(
            "backends", &S::backends, "HTTP addresses of backend server stand-ins, which report the number of starts."),
        list<S>("teams", &S::teams, "Teams of the jobs; empty for those of the sheet."),
        text<S>("sheet", &S::sheet, "", "", "Sheet file with the visits that the tasks name; empty for none."),
        text<S>("day", &S::day, "", "", "Day of the sheet whose visits are sent; empty for its first day."),
        text<S>("arrival", &S::arrival, "steady", "steady|burst", "Poisson arrivals, or the same with one burst."),
        number<S>("seed", &S::seed, 1, 0, INT64_MAX, "Random seed of the load."),
        number<S>("seconds", &S::seconds, 10, 1, 3600, "Duration of the load, s."),
        number<S>("callers", &S::callers, 64, 1, 2000, "Maximum number of connections that wait for answers at once."),
        number<S>("jobs_per_minute", &S::jobs_per_minute, 600, 1, 6000000, "Arrival rate, jobs per minute."),
        number<S>("burst_factor", &S::burst_factor, 3, 1, 100,
            "Ratio of the arrival rate in the burst to the rate outside it."),
        number<S>(
            "burst_at_ms", &S::burst_at_ms, 4000, 0, hourMs, "Start of the burst after the start of the load, ms."),
        number<S>("burst_ms", &S::burst_ms, 1000, 0, hourMs, "Duration of the burst, ms."),
        number<S>("tasks_min", &S::tasks_min, 1, 1, 770, "Minimum number of tasks in a job."),
        number<S>(
            "tasks_max", &S::tasks_max, 10, 1, 770, "Maximum number of tasks in a job; small jobs are more frequent."),
        number<S>("run_ms_min", &S::run_ms_min, 50, 0, 60000, "Minimum run time on the fastest backend server, ms."),
        number<S>("run_ms_max", &S::run_ms_max, 1000, 0, 60000,
            "Maximum run time of an ordinary task, ms; the distribution is log-uniform from run_ms_min."),
        number<S>("long_per_mille", &S::long_per_mille, 5, 0, 1000, "Share of long tasks, in thousandths."),
        number<S>("long_ms", &S::long_ms, 3000, 0, 60000, "Run time of a long task, ms."),
        number<S>("declared_error_percent", &S::declared_error_percent, 50, 0, 1000,
            "Maximum error of the declared run times, %."),
        number<S>("deadline_ms", &S::deadline_ms, 30000, 1, hourMs, "Deadline of a job, ms."),
        number<S>("patience_ms", &S::patience_ms, 8000, 0, hourMs,
            "How long after the deadline a caller keeps asking for the answer, ms."),
        number<S>("resubmitted_per_mille", &S::resubmitted_per_mille, 20, 0, 1000,
            "Share of jobs resubmitted to another entry, in thousandths."),
        number<S>(
            "cancelled_per_mille", &S::cancelled_per_mille, 0, 0, 1000, "Share of jobs cancelled, in thousandths."),
        number<S>("repeatable_per_mille", &S::repeatable_per_mille, 500, 0, 1000,
            "Share of repeatable tasks, in thousandths."),
    };
    return rows;
}

} // namespace sequoia
