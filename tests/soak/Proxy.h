/** @file Proxy.h A TCP proxy for the soak, on the test's own event loop: resets, silent connections, cuts one way,
 * delays that grow. */
#pragma once

#include <sequoia/Address.h>
#include <sequoia/Time.h>

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>

namespace sequoia::testing {

using Random = std::mt19937_64;

inline bool chance(Random& random, double share) { return std::uniform_real_distribution<>(0, 1)(random) < share; }
inline int64_t draw(Random& random, int64_t least, int64_t most)
{
    return std::uniform_int_distribution<int64_t>(least, most)(random);
}

/**
 * Forwards connections to a target. What a cut holds back arrives when the cut ends, as over TCP, unless the connection
 * was reset meanwhile.
 */
class SoakProxy {
public:
    enum Way : size_t { ToTarget, ToClient };

    SoakProxy(boost::asio::io_context& context, std::string listen, std::string target)
        : m_context(context)
        , m_listen(std::move(listen))
        , m_target(std::move(target))
        , m_acceptor(context)
    {
        open();
    }
    ~SoakProxy() { close(); }
    SoakProxy(const SoakProxy&) = delete;
    SoakProxy& operator=(const SoakProxy&) = delete;

    void open()
    {
        if (m_acceptor.is_open())
            return;
        m_acceptor.open(Tcp::v4());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpointOf(m_listen));
        m_acceptor.listen();
        accept();
    }

    /** Resets all connections and refuses new ones. */
    void close()
    {
        m_acceptor.close();
        for (const auto& pair : std::exchange(m_pairs, {}))
            pair->reset();
    }

    /** Begins or ends a cut, which holds back the bytes of all connections in one direction. */
    void hold(Way way, bool isHeld)
    {
        m_cuts[way] += isHeld ? 1 : -1;
        for (const auto& pair : std::list(m_pairs))
            forward(pair, way);
    }

    /** Delays each message of a direction by `growth` more than the one before it; 0 ends that. */
    void delay(Way way, Milliseconds growth) { m_growth[way] = growth; }

    /** Begins a cut that holds back what a share of the clients, and all that connect meanwhile, send. */
    void cutClients(Random& random, double share)
    {
        ++m_clientCuts;
        for (const auto& pair : m_pairs)
            pair->isCut = pair->isCut || chance(random, share);
    }
    void endClientCut()
    {
        if (--m_clientCuts > 0)
            return;
        for (const auto& pair : std::list(m_pairs)) {
            pair->isCut = false;
            forward(pair, ToTarget);
        }
    }

    /** Silences a share of the open connections for good. */
    void silence(Random& random, double share)
    {
        for (const auto& pair : m_pairs)
            pair->isSilent = pair->isSilent || chance(random, share);
    }

    /** Resets a share of the connections on which bytes reach the target, a moment later; 0 ends that. */
    void resetArrivals(Random& random, double share)
    {
        m_resetArrival = [&random, share] { return chance(random, share); };
    }

    void reset(Random& random, double share)
    {
        std::erase_if(m_pairs, [&](const auto& pair) {
            const bool isHit = chance(random, share);
            if (isHit)
                pair->reset();
            return isHit;
        });
    }

private:
    static constexpr Milliseconds maxDelay { 1000 };
    static constexpr size_t maxMessages = 64; ///< That wait in one direction of a connection.

    using Tcp = boost::asio::ip::tcp;

    /** Bytes that were read at once, or the end of a connection. */
    struct Message {
        TimePoint due;
        std::string bytes;
        boost::system::error_code end;
    };

    /** One direction of a connection. */
    struct Stream {
        Stream(Tcp::socket from, boost::asio::io_context& context)
            : source(std::move(from))
            , timer(context)
        {
        }

        Tcp::socket source;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buf {};
        std::deque<Message> messages; ///< Read, but not forwarded yet.
        Milliseconds delay { 0 };
        bool isReading = false;
        bool isWriting = false;
        bool hasEnded = false; ///< By what was read.
        bool isEnded = false; ///< By what was forwarded.
    };

    struct Pair {
        Pair(Tcp::socket accepted, boost::asio::io_context& context)
            : streams { Stream(std::move(accepted), context), Stream(Tcp::socket(context), context) }
        {
        }
        void reset()
        {
            isClosed = true;
            boost::system::error_code ec;
            for (auto& stream : streams) {
                stream.timer.cancel();
                stream.source.set_option(boost::asio::socket_base::linger(true, 0), ec);
                stream.source.close(ec);
            }
        }

        std::array<Stream, 2> streams; ///< From the client, from the target.
        bool isSilent = false;
        bool isCut = false; ///< Holds back what the client sends.
        bool isClosed = false;
    };
    using PairPtr = std::shared_ptr<Pair>;

    static Tcp::endpoint endpointOf(const std::string& address)
    {
        const auto parts = splitAddress(address);
        return { boost::asio::ip::make_address(parts->first), static_cast<uint16_t>(parts->second) };
    }

    void accept()
    {
        m_acceptor.async_accept([this](const auto& ec, Tcp::socket socket) {
            if (ec)
                return;
            const auto pair = std::make_shared<Pair>(std::move(socket), m_context);
            pair->isCut = m_clientCuts > 0;
            m_pairs.push_back(pair);
            pair->streams[1].source.async_connect(endpointOf(m_target), [this, pair](const auto& failed) {
                if (failed)
                    return drop(pair);
                for (auto& stream : pair->streams) {
                    boost::system::error_code ignored; // Set on a connection that was reset meanwhile.
                    stream.source.set_option(Tcp::no_delay(true), ignored);
                }
                read(pair, ToTarget);
                read(pair, ToClient);
            });
            accept();
        });
    }

    void read(const PairPtr& pair, size_t way)
    {
        auto& stream = pair->streams[way];
        if (stream.messages.size() >= maxMessages || std::exchange(stream.isReading, true))
            return;
        stream.source.async_read_some(
            boost::asio::buffer(stream.buf), [this, pair, way, &stream](const auto& ec, size_t n) {
                stream.isReading = false;
                if (pair->isClosed)
                    return;
                stream.delay
                    = m_growth[way].count() == 0 ? m_growth[way] : std::min(stream.delay + m_growth[way], maxDelay);
                const auto due = Clock::now() + stream.delay;
                stream.messages.push_back({ stream.messages.empty() ? due : std::max(due, stream.messages.back().due),
                    std::string(stream.buf.data(), n), ec });
                stream.hasEnded = ec.failed();
                if (!ec)
                    read(pair, way);
                forward(pair, way);
            });
    }

    /** Forwards the next message of a direction if it is due, or waits until it is. */
    void forward(const PairPtr& pair, size_t way)
    {
        auto& stream = pair->streams[way];
        if (pair->isClosed || pair->isSilent || (way == ToTarget && pair->isCut) || m_cuts[way] > 0 || stream.isWriting
            || stream.messages.empty())
            return;
        if (const auto due = stream.messages.front().due; due > Clock::now()) {
            stream.timer.expires_at(due);
            stream.timer.async_wait([this, pair, way](const auto& ec) {
                if (!ec)
                    forward(pair, way);
            });
            return;
        }
        const auto message = std::make_shared<Message>(std::move(stream.messages.front()));
        stream.messages.pop_front();
        auto& to = pair->streams[1 - way];
        if (message->end == boost::asio::error::eof) {
            boost::system::error_code ec;
            to.source.shutdown(Tcp::socket::shutdown_send, ec);
            stream.isEnded = true;
            if (ec || to.isEnded)
                m_pairs.remove(pair);
            return;
        }
        if (message->end)
            return drop(pair);
        stream.isWriting = true;
        boost::asio::async_write(to.source, boost::asio::buffer(message->bytes),
            [this, pair, way, &stream, message](const auto& ec, size_t) {
                stream.isWriting = false;
                if (pair->isClosed)
                    return;
                if (ec)
                    return drop(pair);
                if (way == ToTarget && m_resetArrival()) {
                    stream.timer.expires_after(Milliseconds(1));
                    stream.timer.async_wait([this, pair](const auto&) { drop(pair); });
                    return;
                }
                if (!stream.hasEnded)
                    read(pair, way);
                forward(pair, way);
            });
    }

    void drop(const PairPtr& pair)
    {
        pair->reset();
        m_pairs.remove(pair);
    }

    boost::asio::io_context& m_context;
    std::string m_listen;
    std::string m_target;
    Tcp::acceptor m_acceptor;
    std::array<int, 2> m_cuts {}; ///< Cuts in force, which may overlap.
    int m_clientCuts = 0;
    std::function<bool()> m_resetArrival = [] { return false; };
    std::array<Milliseconds, 2> m_growth {}; ///< Of the delay, with each message.
    std::list<PairPtr> m_pairs;
};

} // namespace sequoia::testing
