/** @file Fleet.h Real processes on loopback behind the fault proxy, for the integration tests. */
#pragma once

#include <nlohmann/json.hpp>
#include <sequoia/Time.h>

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sequoia::testing {

using Json = nlohmann::json;

/** A program started by a test; it is ended with the object. */
class Process {
public:
    Process(std::string name, std::string program, std::vector<std::string> arguments);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /** Waits for the `listening` event and returns a field of it. */
    std::string waitListening(const std::string& field = "http");
    void signal(int number) const;
    /** Waits for the end; the exit code, or minus the signal that ended it. */
    int wait();
    /** Everything written to standard output; read after wait(). */
    std::string output() const;
    std::string log() const;
    bool isRunning();
    pid_t pid() const { return m_pid; }

private:
    std::string m_name;
    std::string m_outPath;
    std::string m_logPath;
    pid_t m_pid = -1;
    int m_status = 0;
};

/** Size and settings of a fleet. */
struct TestClusterOptions {
    size_t entries = 2;
    size_t agents = 4;
    std::vector<std::string> entrySettings {}; ///< key=value
    std::vector<std::string> agentSettings {};
    std::vector<double> slowness { 1.0 }; ///< By backend server, repeated.
    unsigned seed = 1;
};

/**
 * A store, entries, agents and a backend server beside each agent. Callers, agents and the store's clients go through
 * the proxy: routes `http1`, `link1`, ... and `store`.
 */
class TestCluster {
public:
    explicit TestCluster(TestClusterOptions options);

    Process& process(const std::string& name) { return *m_processes.at(name); }
    void kill(const std::string& name);
    /** Starts a killed or stopped process again, with its old role and addresses. */
    void restart(const std::string& name);
    void freeze(const std::string& name) { process(name).signal(19); }
    void thaw(const std::string& name) { process(name).signal(18); }
    /** Asks for a graceful stop and returns the exit code. */
    int stop(const std::string& name);

    /** Changes the faults of a proxy route. */
    void route(const std::string& name, const Json& faults);
    void storeFault(const Json& faults);
    void backendMode(size_t number, const std::string& mode);

    /** Runs sequoiactl; standard output goes to `output` if given. */
    int runCtl(std::vector<std::string> arguments, std::string* output = nullptr);
    /** Starts sequoia-load on the whole fleet. */
    std::unique_ptr<Process> startLoad(const std::vector<std::string>& settings);
    /** Waits for a load and reads its report. */
    static Json finishLoad(Process& load, int* exitCode = nullptr);

    /** GET on a process, by name; a null value if there is no answer. */
    Json get(const std::string& name, const std::string& path);
    /** Starts that a backend server stand-in has counted. */
    size_t startsAt(size_t number);
    /** Waits until a condition holds; false after `longest`. */
    static bool waitUntil(const std::function<bool()>& condition, Milliseconds longest = Milliseconds(15000));
    /** Waits until every entry is ready and linked to every agent with grants. */
    bool waitReady();

    /** Direct address of a process. */
    const std::string& http(const std::string& name) const { return m_http.at(name); }
    /** Address of an entry as callers see it, through the proxy. */
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
