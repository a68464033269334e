/** @file TestCluster.cpp Starts and ends the processes of a test cluster, and sets their faults. */
#include "TestCluster.h"

#include <sequoia/HttpService.h>

#include <climits>
#include <condition_variable>
#include <criterion/criterion.h>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <future>
#include <mutex>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace sequoia::testing {

namespace {

    constexpr Milliseconds pollInterval { 20 };
    constexpr Milliseconds callTimeout { 2000 };
    constexpr Milliseconds startTimeout { 20000 };

    std::string readAll(const std::string& path)
    {
        std::stringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }

    std::string temporaryFile()
    {
        std::string path = "/tmp/sequoia-test-XXXXXX";
        const int fd = mkstemp(path.data());
        close(fd);
        return path;
    }

    std::string put(const std::string& address, const std::string& path, const Json& body)
    {
        auto client = makeHttpClient(address, callTimeout);
        const auto reply = client.Put(path, body.dump(), "application/json");
        cr_assert(static_cast<bool>(reply), "no reply from %s%s", address.c_str(), path.c_str());
        return reply->body;
    }

    /**
     * Starts all processes from one thread that lives as long as the test process. The kernel kills a child when the
     * thread that started it ends (PR_SET_PDEATHSIG), so that no process outlives a test that crashes.
     */
    class Spawner {
    public:
        static Spawner& instance()
        {
            static auto* spawner = new Spawner; // Never destroyed, since its thread must not end before the process.
            return *spawner;
        }

        pid_t start(char** argv, const std::string& outPath, const std::string& logPath)
        {
            std::packaged_task<pid_t()> task([&] { return fork(argv, outPath, logPath); });
            auto pid = task.get_future();
            {
                const std::lock_guard lock(m_mutex);
                m_tasks.push_back(std::move(task));
            }
            m_changed.notify_one();
            return pid.get();
        }

    private:
        Spawner()
        {
            std::thread([this] { run(); }).detach();
        }

        void run()
        {
            std::unique_lock lock(m_mutex);
            for (;;) {
                m_changed.wait(lock, [&] { return !m_tasks.empty(); });
                auto task = std::move(m_tasks.front());
                m_tasks.pop_front();
                lock.unlock();
                task();
                lock.lock();
            }
        }

        static pid_t fork(char** argv, const std::string& outPath, const std::string& logPath)
        {
            const int in = open("/dev/null", O_RDONLY | O_CLOEXEC);
            const int out = open(outPath.c_str(), O_WRONLY | O_TRUNC | O_CLOEXEC);
            const int log = open(logPath.c_str(), O_WRONLY | O_TRUNC | O_CLOEXEC);
            const pid_t pid = ::fork();
            if (pid == 0) {
                // Only async-signal-safe calls: the parent process has other threads.
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                dup2(in, STDIN_FILENO);
                dup2(out, STDOUT_FILENO);
                dup2(log, STDERR_FILENO);
                // Sockets of the test's own HTTP servers and proxies are not closed on exec.
                close_range(STDERR_FILENO + 1, UINT_MAX, 0);
                execv(argv[0], argv);
                _exit(127);
            }
            close(in);
            close(out);
            close(log);
            return pid;
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::deque<std::packaged_task<pid_t()>> m_tasks;
    };

} // namespace

Process::Process(std::string name, std::string program, std::vector<std::string> arguments)
    : m_name(std::move(name))
    , m_outPath(temporaryFile())
    , m_logPath(temporaryFile())
{
    arguments.insert(arguments.begin(), std::string(SEQUOIA_BIN) + "/" + program);
    std::vector<char*> argv;
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    m_pid = Spawner::instance().start(argv.data(), m_outPath, m_logPath);
    cr_assert_gt(m_pid, 0, "cannot start %s", argv[0]);
}

Process::~Process()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        wait();
    }
    keepLog();
    unlink(m_outPath.c_str());
    unlink(m_logPath.c_str());
}

void Process::keepLog() const
{
    const char* folder = std::getenv("SEQUOIA_KEEP_LOGS");
    if (folder == nullptr)
        return;
    const auto base
        = std::filesystem::path(folder) / (m_name + "-" + std::filesystem::path(m_logPath).filename().string());
    std::filesystem::copy_file(m_logPath, base.string() + ".log");
    std::filesystem::copy_file(m_outPath, base.string() + ".out");
}

std::string Process::waitListening(const std::string& field)
{
    const auto until = Clock::now() + startTimeout;
    const auto marker = " " + field + "=";
    while (Clock::now() < until && isRunning()) {
        const auto text = log();
        const auto at = text.find("event=listening");
        const auto end = text.find('\n', at);
        if (at != std::string::npos && end != std::string::npos) {
            const auto line = text.substr(at, end - at) + " ";
            const auto begin = line.find(marker) + marker.size();
            return line.substr(begin, line.find(' ', begin) - begin);
        }
        std::this_thread::sleep_for(pollInterval);
    }
    cr_assert_fail("%s must listen in time: %s", m_name.c_str(), log().c_str());
    return {};
}

void Process::signal(int number) const { ::kill(m_pid, number); }

int Process::wait()
{
    if (m_pid > 0) {
        waitpid(m_pid, &m_status, 0);
        m_pid = -1;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -WTERMSIG(m_status);
}

bool Process::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (waitpid(m_pid, &m_status, WNOHANG) == 0)
        return true;
    m_pid = -1;
    return false;
}

std::string Process::output() const { return readAll(m_outPath); }
std::string Process::log() const { return readAll(m_logPath); }

TestCluster::TestCluster(TestClusterOptions options)
    : m_options(std::move(options))
{
    m_processes["proxy"] = std::make_unique<Process>(
        "proxy", "sequoia-fault-proxy", std::vector<std::string> { "--seed", std::to_string(m_options.seed) });
    m_http["proxy"] = process("proxy").waitListening();
    m_processes["store"] = std::make_unique<Process>("store", "sequoia-standin-store", std::vector<std::string>());
    m_http["store"] = process("store").waitListening();
    addRoute("store");
    route("store", { { "target", m_http["store"] } });
    for (size_t i = 1; i <= m_options.entries; ++i)
        startEntry(i);
    for (size_t i = 1; i <= m_options.agents; ++i)
        startAgent(i);
    for (size_t i = 1; i <= m_options.agents; ++i)
        startBackend(i);
    cr_assert(waitReady(), "the cluster must become ready");
}

std::string TestCluster::addRoute(const std::string& name)
{
    if (!m_routes.contains(name)) {
        const auto reply = Json::parse(put(m_http.at("proxy"), "/routes/" + name, Json::object()));
        m_routes[name] = reply["address"].get<std::string>();
    }
    return m_routes[name];
}

void TestCluster::route(const std::string& name, const Json& faults)
{
    put(m_http.at("proxy"), "/routes/" + name, faults);
}

void TestCluster::startEntry(size_t number)
{
    const auto name = fmt::format("entry{}", number);
    const auto httpRoute = fmt::format("http{}", number);
    const auto linkRoute = fmt::format("link{}", number);
    std::vector<std::string> arguments { "--set", "name=" + name, "--set", "store_address=" + m_routes.at("store"),
        "--set", "advertise_http=" + addRoute(httpRoute), "--set", "advertise_link=" + addRoute(linkRoute) };
    for (const auto& setting : m_options.entrySettings) {
        arguments.emplace_back("--set");
        arguments.push_back(setting);
    }
    m_processes[name] = std::make_unique<Process>(name, "sequoia-entry", arguments);
    m_http[name] = process(name).waitListening("http");
    route(httpRoute, { { "target", m_http[name] } });
    route(linkRoute, { { "target", process(name).waitListening("link") } });
}

void TestCluster::startAgent(size_t number)
{
    const auto name = fmt::format("agent{}", number);
    std::vector<std::string> arguments { "--set", "name=" + name, "--set", "entries=" + callerAddresses() };
    // A restarted agent keeps its address, so that its backend server can announce itself again.
    if (m_http.contains(name)) {
        arguments.emplace_back("--set");
        arguments.push_back("http_address=" + m_http[name]);
    }
    for (const auto& setting : m_options.agentSettings) {
        arguments.emplace_back("--set");
        arguments.push_back(setting);
    }
    m_processes[name] = std::make_unique<Process>(name, "sequoia-agent", arguments);
    m_http[name] = process(name).waitListening();
}

void TestCluster::startBackend(size_t number)
{
    const auto name = fmt::format("backend{}", number);
    const double slowness = m_options.slowness[(number - 1) % m_options.slowness.size()];
    const std::vector<std::string> arguments { "--agent", m_http.at(fmt::format("agent{}", number)), "--slowness",
        fmt::to_string(slowness), "--listen", m_http.contains(name) ? m_http[name] : "127.0.0.1:0" };
    m_processes[name] = std::make_unique<Process>(name, "sequoia-standin-backend", arguments);
    m_http[name] = process(name).waitListening();
}

void TestCluster::kill(const std::string& name)
{
    process(name).signal(SIGKILL);
    process(name).wait();
}

void TestCluster::restart(const std::string& name)
{
    const auto digit = name.find_first_of("0123456789");
    const size_t number = digit == std::string::npos ? 0 : std::stoul(name.substr(digit));
    if (name.starts_with("entry"))
        startEntry(number);
    else if (name.starts_with("agent"))
        startAgent(number);
    else
        startBackend(number);
}

int TestCluster::stop(const std::string& name)
{
    process(name).signal(SIGTERM);
    return process(name).wait();
}

void TestCluster::storeFault(const Json& faults)
{
    auto client = makeHttpClient(m_http.at("store"), callTimeout);
    client.Post("/standin/fault", faults.dump(), "application/json");
}

void TestCluster::backendMode(size_t number, const std::string& mode)
{
    auto client = makeHttpClient(m_http.at(fmt::format("backend{}", number)), callTimeout);
    client.Post("/standin/mode", Json { { "mode", mode } }.dump(), "application/json");
}

int TestCluster::runCtl(std::vector<std::string> arguments, std::string* output)
{
    const std::vector<std::string> common { "--store", storeAddress(), "--entry", callerAddress(1), "--author", "test",
        "--today", "2026-12-07" };
    arguments.insert(arguments.end(), common.begin(), common.end());
    Process process("sequoiactl", "sequoiactl", arguments);
    const int code = process.wait();
    if (output != nullptr)
        *output = process.output() + process.log();
    return code;
}

std::string TestCluster::callerAddresses() const
{
    std::string list;
    for (size_t i = 1; i <= m_options.entries; ++i)
        list += (i > 1 ? "," : "") + callerAddress(i);
    return list;
}

std::unique_ptr<Process> TestCluster::startLoad(const std::vector<std::string>& settings)
{
    std::string backends;
    for (size_t i = 1; i <= m_options.agents; ++i)
        backends += (i > 1 ? "," : "") + m_http.at(fmt::format("backend{}", i));
    std::vector<std::string> arguments { "--report", "json", "--set", "entries=" + callerAddresses(), "--set",
        "backends=" + backends, "--set", fmt::format("seed={}", m_options.seed) };
    for (const auto& setting : settings) {
        arguments.emplace_back("--set");
        arguments.push_back(setting);
    }
    return std::make_unique<Process>("load", "sequoia-load", arguments);
}

Json TestCluster::finishLoad(Process& load, int* exitCode)
{
    const int code = load.wait();
    if (exitCode != nullptr)
        *exitCode = code;
    const auto report = Json::parse(load.output(), nullptr, false);
    cr_assert(report.is_object(), "sequoia-load must print a report: %s", load.log().c_str());
    return report;
}

Json TestCluster::get(const std::string& name, const std::string& path)
{
    auto client = makeHttpClient(m_http.at(name), callTimeout);
    const auto reply = client.Get(path);
    if (!reply || reply->status != 200)
        return {};
    auto json = Json::parse(reply->body, nullptr, false);
    return json.is_discarded() ? Json(reply->body) : json;
}

size_t TestCluster::startsAt(size_t number)
{
    const auto json = get(fmt::format("backend{}", number), "/standin/starts");
    return json.is_object() ? json["starts"].size() : 0;
}

bool TestCluster::waitUntil(const std::function<bool()>& condition, Milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

bool TestCluster::waitReady()
{
    return waitUntil([&] {
        for (size_t i = 1; i <= m_options.entries; ++i) {
            const auto name = fmt::format("entry{}", i);
            if (!get(name, "/readyz").is_string())
                return false;
            size_t usable = 0;
            const auto status = get(name, "/v1/status");
            if (!status.is_object())
                return false;
            for (const auto& agent : status["agents"])
                usable += agent.value("linked", false) && agent.value("grants", 0) > 0 ? 1 : 0;
            if (usable < m_options.agents)
                return false;
        }
        return true;
    });
}

} // namespace sequoia::testing
