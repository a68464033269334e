/** @file FaultProxy.cpp sequoia-fault-proxy: a TCP proxy for tests, which cuts or silences connections, and delays,
 * duplicates or reorders what they carry. */
#include "HttpCommon.h"

#include <sequoia/CommandLine.h>

#include <arpa/inet.h>
#include <boost/program_options.hpp>
#include <cstring>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoia {

namespace {

    using Json = nlohmann::json;

    constexpr size_t chunkBytes = 64U << 10U;
    constexpr int pollIntervalMs = 50;
    constexpr int listenBacklog = 256;
    constexpr uint32_t maxFrameBytes = 16U << 20U;

    /** Direction of traffic that a fault affects. */
    enum class Direction : uint8_t { Both, ToTarget, ToClient };

    /** Faults of a route; they may change while connections are open. */
    struct RouteFaults {
        std::string target; ///< `host:port`; connections are refused while it is empty.
        bool isCut = false; ///< Closes open connections, and new ones at once.
        bool isSilent = false; ///< Discards the bytes of all connections.
        uint64_t silentBelowConnection = 0; ///< Discards the bytes of connections with a lower number for good.
        Direction direction = Direction::Both;
        Milliseconds delay { 0 };
        double duplicateShare = 0; ///< Share of frames that are sent twice.
        double reorderShare = 0; ///< Share of frames that are swapped with the next one.
    };

    int connectTo(const std::string& address)
    {
        const auto parts = splitAddress(address);
        if (!parts)
            return -1;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<uint16_t>(parts->second));
        inet_pton(AF_INET, parts->first.c_str(), &to.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
            ::close(fd);
            return -1;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return fd;
    }

    bool sendAll(int fd, const std::string& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<size_t>(n);
        }
        return true;
    }

    /** A listening address with its target and faults. */
    class Route {
    public:
        Route(std::string name, const std::string& listen, uint64_t seed)
            : m_name(std::move(name))
            , m_random(seed)
        {
            const auto parts = splitAddress(listen);
            m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int one = 1;
            setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
            sockaddr_in at {};
            at.sin_family = AF_INET;
            at.sin_port = htons(static_cast<uint16_t>(parts ? parts->second : 0));
            inet_pton(AF_INET, parts ? parts->first.c_str() : "127.0.0.1", &at.sin_addr);
            if (::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0
                || ::listen(m_listener, listenBacklog) != 0)
                throw HttpError::AddressInUse;
            socklen_t n = sizeof at;
            getsockname(m_listener, reinterpret_cast<sockaddr*>(&at), &n);
            m_address = fmt::format("127.0.0.1:{}", ntohs(at.sin_port));
            m_acceptor = std::thread([this] { accept(); });
        }

        ~Route()
        {
            m_isStopped = true;
            m_acceptor.join();
            for (auto& thread : m_threads)
                thread.join();
            ::close(m_listener);
        }
        Route(const Route&) = delete;
        Route& operator=(const Route&) = delete;

        const std::string& address() const { return m_address; }

        void change(const Json& json)
        {
            const std::lock_guard lock(m_mutex);
            m_faults.target = json.value("target", m_faults.target);
            m_faults.isCut = json.value("cut", m_faults.isCut);
            m_faults.isSilent = json.value("silent", m_faults.isSilent);
            if (json.value("silenceExisting", false))
                m_faults.silentBelowConnection = m_nextConnection;
            m_faults.delay = Milliseconds(json.value("delayMs", m_faults.delay.count()));
            m_faults.duplicateShare = json.value("double", m_faults.duplicateShare);
            m_faults.reorderShare = json.value("reorder", m_faults.reorderShare);
            const auto direction = json.value("direction", "");
            if (direction == "to-target")
                m_faults.direction = Direction::ToTarget;
            else if (direction == "to-client")
                m_faults.direction = Direction::ToClient;
            else if (direction == "both")
                m_faults.direction = Direction::Both;
        }

    private:
        RouteFaults faults()
        {
            const std::lock_guard lock(m_mutex);
            return m_faults;
        }

        void accept()
        {
            while (!m_isStopped) {
                pollfd waiting { m_listener, POLLIN, 0 };
                if (::poll(&waiting, 1, pollIntervalMs) <= 0)
                    continue;
                const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0)
                    continue;
                const auto now = faults();
                const int target = now.isCut ? -1 : connectTo(now.target);
                if (target < 0) {
                    ::close(client);
                    continue;
                }
                const int one = 1;
                setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                const std::lock_guard lock(m_mutex);
                const auto number = m_nextConnection++;
                m_threads.emplace_back([this, client, target, number] { forwardConnection(client, target, number); });
            }
        }

        /** Forwards the bytes of one connection until a side closes it or the route is cut. */
        void forwardConnection(int client, int target, uint64_t number)
        {
            std::string incomplete[2];
            for (;;) {
                pollfd both[2] { { client, POLLIN, 0 }, { target, POLLIN, 0 } };
                const int ready = ::poll(both, 2, pollIntervalMs);
                if (m_isStopped || faults().isCut)
                    break;
                if (ready <= 0)
                    continue;
                bool isOpen = true;
                if (both[0].revents != 0)
                    isOpen = forwardBytes(client, target, Direction::ToTarget, number, incomplete[0]);
                if (isOpen && both[1].revents != 0)
                    isOpen = forwardBytes(target, client, Direction::ToClient, number, incomplete[1]);
                if (!isOpen)
                    break;
            }
            ::close(client);
            ::close(target);
        }

        bool forwardBytes(int from, int to, Direction direction, uint64_t number, std::string& incomplete)
        {
            std::string buf(chunkBytes, '\0');
            const auto n = ::recv(from, buf.data(), buf.size(), 0);
            const auto now = faults();
            const bool isAffected = now.direction == Direction::Both || now.direction == direction;
            const bool isSilent = isAffected && (now.isSilent || number < now.silentBelowConnection);
            if (n <= 0) {
                // While the path is silent, the other side must not see the end of the connection either.
                while (isSilentNow(direction, number) && !m_isStopped && !faults().isCut)
                    std::this_thread::sleep_for(Milliseconds(pollIntervalMs));
                return false;
            }
            if (isSilent)
                return true;
            buf.resize(static_cast<size_t>(n));
            if (isAffected && now.delay.count() > 0)
                std::this_thread::sleep_for(now.delay);
            if (isAffected && (now.duplicateShare > 0 || now.reorderShare > 0))
                return sendAll(to, duplicateAndReorder(buf, now, incomplete));
            return sendAll(to, std::exchange(incomplete, "") + buf);
        }

        bool isSilentNow(Direction direction, uint64_t number)
        {
            const auto now = faults();
            const bool isAffected = now.direction == Direction::Both || now.direction == direction;
            return isAffected && (now.isSilent || number < now.silentBelowConnection);
        }

        /** Duplicates and swaps the complete frames of `incomplete` and `bytes`; leaves the rest in `incomplete`. */
        std::string duplicateAndReorder(const std::string& bytes, const RouteFaults& now, std::string& incomplete)
        {
            incomplete += bytes;
            std::vector<std::string> frames;
            size_t at = 0;
            while (incomplete.size() - at >= sizeof(uint32_t)) {
                uint32_t size = 0;
                std::memcpy(&size, incomplete.data() + at, sizeof size);
                if (size > maxFrameBytes || incomplete.size() - at < sizeof size + size)
                    break;
                frames.push_back(incomplete.substr(at, sizeof size + size));
                at += sizeof size + size;
            }
            incomplete.erase(0, at);
            std::uniform_real_distribution<double> share(0, 1);
            const std::lock_guard lock(m_mutex);
            for (size_t i = 0; i + 1 < frames.size(); ++i) {
                if (share(m_random) < now.reorderShare)
                    std::swap(frames[i], frames[i + 1]);
            }
            std::string out;
            for (const auto& frame : frames) {
                out += frame;
                if (share(m_random) < now.duplicateShare)
                    out += frame;
            }
            return out;
        }

        std::string m_name;
        std::string m_address;
        int m_listener = -1;
        std::mutex m_mutex;
        RouteFaults m_faults;
        std::mt19937_64 m_random;
        uint64_t m_nextConnection = 1;
        std::atomic<bool> m_isStopped { false };
        std::thread m_acceptor;
        std::vector<std::thread> m_threads;
    };

    /** HTTP control interface: PUT /routes/NAME makes or changes a route. */
    class ProxyServer {
    public:
        ProxyServer(Log& log, uint64_t seed)
            : m_seed(seed)
            , m_http({})
        {
            addCommonHandlers(m_http.server(), log, "");
            m_http.server().Put(
                "/routes/([^/]+)", [this](const httplib::Request& request, httplib::Response& response) {
                    const auto json = Json::parse(request.body, nullptr, false);
                    if (!json.is_object()) {
                        response.status = 400;
                        return;
                    }
                    const auto name = request.matches[1].str();
                    const std::lock_guard lock(m_mutex);
                    auto& route = m_routes[name];
                    if (!route)
                        route = std::make_unique<Route>(
                            name, json.value("listen", "127.0.0.1:0"), m_seed + m_routes.size());
                    route->change(json);
                    response.set_content(Json { { "address", route->address() } }.dump(), jsonType);
                });
        }

        std::string start(const std::string& address) { return m_http.start(address); }
        void stop() { m_http.stop(); }

    private:
        uint64_t m_seed;
        HttpService m_http;
        std::mutex m_mutex;
        std::map<std::string, std::unique_ptr<Route>> m_routes;
    };

    int run(int argc, char** argv)
    {
        namespace options = boost::program_options;
        std::string address;
        uint64_t seed = 1;
        options::options_description all("sequoia-fault-proxy: a TCP proxy with faults for tests\n\nOptions");
        // clang-format off
    all.add_options()
        ("help,h", "show this text")
        ("listen", options::value(&address)->default_value("127.0.0.1:0"), "address of the control interface")
        ("seed", options::value(&seed)->default_value(1), "seed for the choice of duplicated and reordered frames");
        // clang-format on
        options::variables_map values;
        try {
            options::store(options::parse_command_line(argc, argv, all), values);
            options::notify(values);
        } catch (const options::error& error) {
            fmt::print(stderr, "{}: {}; see --help\n", argv[0], error.what());
            return toInt(ExitCode::Usage);
        }
        if (values.contains("help")) {
            std::cout << all;
            return toInt(ExitCode::Ok);
        }
        blockStopSignals();
        constexpr size_t ringSize = 1000;
        Log log("proxy", LogLevel::Info, ringSize);
        ProxyServer server(log, seed);
        log.event(LogLevel::Info, "listening", { { "http", server.start(address) } });
        waitForStopSignal();
        server.stop();
        return toInt(ExitCode::Ok);
    }

} // namespace

} // namespace sequoia

int main(int argc, char** argv) { return sequoia::run(argc, argv); }
