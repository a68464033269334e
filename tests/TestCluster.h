/** @file TestCluster.h Runs a cluster of real processes on the loopback interface, with a fault proxy between them. */
#pragma once

#include <nlohmann/json.hpp>
#include <sequoia/Time.h>

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sequoia::testing {

using Json = nlohmann::json;

/** A child process of the test; the destructor kills it. */
class Process {
public:
    Process(std::string name, std::string program, std::vector<std::string> arguments);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Waits until the log has the event `listening`, and returns a field of it. */
    std::string waitListening(const std::string& field = "http");
    void signal(int number) const;
    /** Waits for the end of the process; returns the exit code, or the negative number of the signal that ended it. */
    int wait();
    /** Standard output; complete after wait(). */
    std::string output() const;
    std::string log() const;
    bool isRunning();
    pid_t pid() const { return m_pid; }

private:
    /** Copies the log and the output into the folder that SEQUOIA_KEEP_LOGS names, if it is set. */
    void keepLog() const;

    std::string m_name;
    std::string m_outPath;
    std::string m_logPath;
    pid_t m_pid = -1;
    int m_status = 0;
};

/** Size and settings of a test cluster. */
struct TestClusterOptions {
    size_t entries = 2;
    size_t agents = 4;
    std::vector<std::string> entrySettings {}; ///< As `key=value`.
    std::vector<std::string> agentSettings {};
    std::vector<double> slowness { 1.0 }; ///< Of the backend servers; repeated if there are more.
    unsigned seed = 1;
};

/**
 * A store, entries, agents, and one backend server for each agent. Callers, agents and the store's clients connect
 * through the fault proxy, which has the routes `http1`, `link1`, ... and `store`.
 */
class TestCluster {
public:
    explicit TestCluster(TestClusterOptions options);

    Process& process(const std::string& name) { return *m_processes.at(name); }
    void kill(const std::string& name);
    /** Starts a killed or stopped process again, with the same settings and, behind the proxy, the same addresses. */
    void restart(const std::string& name);
    void freeze(const std::string& name) { process(name).signal(19); }
    void thaw(const std::string& name) { process(name).signal(18); }
    /** Stops a process with SIGTERM and returns the exit code. */
    int stop(const std::string& name);

    /** Sets the faults of a proxy route. */
    void route(const std::string& name, const Json& faults);
    void storeFault(const Json& faults);
    void backendMode(size_t number, const std::string& mode);

    /** Runs sequoiactl and returns its exit code; `output`, if given, gets its standard output and log. */
    int runCtl(std::vector<std::string> arguments, std::string* output = nullptr);
    /** Starts sequoia-load with all entries and backend servers. */
    std::unique_ptr<Process> startLoad(const std::vector<std::string>& settings);
    /** Waits for the end of a load and returns its report. */
    static Json finishLoad(Process& load, int* exitCode = nullptr);

    /** Sends a GET request to a process. Returns null without a reply of status 200, and a string if the body is no
     * JSON. */
    Json get(const std::string& name, const std::string& path);
    /** Number of task starts that a backend server stand-in has counted. */
    size_t startsAt(size_t number);
    /** Waits until a condition holds; returns false if it does not within `timeout`. */
    static bool waitUntil(const std::function<bool()>& condition, Milliseconds timeout = Milliseconds(15000));
    /** Waits until every entry is ready, and has links and grants of all agents. */
    bool waitReady();

    /** Address of a process itself, not of the proxy. */
    const std::string& http(const std::string& name) const { return m_http.at(name); }
    /** Address that callers use for an entry, which is the proxy's. */
    const std::string& callerAddress(size_t number) const { return m_routes.at("http" + std::to_string(number)); }
    const std::string& storeAddress() const { return m_routes.at("store"); }
    const TestClusterOptions& options() const { return m_options; }

private:
    void startEntry(size_t number);
    void startAgent(size_t number);
    void startBackend(size_t number);
    std::string addRoute(const std::string& name);
    std::string callerAddresses() const;

    TestClusterOptions m_options;
    std::map<std::string, std::string> m_http;
    std::map<std::string, std::string> m_routes;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
};

} // namespace sequoia::testing
