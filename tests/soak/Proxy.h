/** @file Proxy.h A TCP proxy for the soak, on the test's own event loop: resets, silent connections, cuts one way. */
#pragma once

#include <sequoia/Address.h>

#include <array>
#include <boost/asio.hpp>
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
        for (const auto& pair : std::list(m_pairs)) {
            if (pair->isWaiting[way])
                forward(pair, way);
        }
    }

    /** Silences a share of the open connections for good. */
    void silence(Random& random, double share)
    {
        for (const auto& pair : m_pairs)
            pair->isSilent = pair->isSilent || chance(random, share);
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
    using Tcp = boost::asio::ip::tcp;

    struct Pair {
        explicit Pair(Tcp::socket accepted, boost::asio::io_context& context)
            : sockets { std::move(accepted), Tcp::socket(context) }
        {
        }
        void reset()
        {
            boost::system::error_code ec;
            for (auto& socket : sockets) {
                socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
                socket.close(ec);
            }
        }

        std::array<Tcp::socket, 2> sockets; ///< Source of the bytes of a direction: the client's, the target's.
        std::array<std::array<char, 16384>, 2> buf {};
        std::array<size_t, 2> size {};
        std::array<boost::system::error_code, 2> end {};
        std::array<bool, 2> isWaiting {};
        bool isSilent = false;
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
            m_pairs.push_back(pair);
            pair->sockets[1].async_connect(endpointOf(m_target), [this, pair](const auto& failed) {
                if (failed)
                    return drop(pair);
                for (auto& end : pair->sockets) {
                    boost::system::error_code ignored; // Set on a connection that was reset meanwhile.
                    end.set_option(Tcp::no_delay(true), ignored);
                }
                read(pair, ToTarget);
                read(pair, ToClient);
            });
            accept();
        });
    }

    void read(const PairPtr& pair, size_t way)
    {
        pair->sockets[way].async_read_some(
            boost::asio::buffer(pair->buf[way]), [this, pair, way](const auto& ec, size_t n) {
                if (ec == boost::asio::error::operation_aborted || ec == boost::asio::error::bad_descriptor)
                    return;
                pair->end[way] = ec;
                pair->size[way] = n;
                forward(pair, way);
            });
    }

    void forward(const PairPtr& pair, size_t way)
    {
        pair->isWaiting[way] = pair->isSilent || m_cuts[way] > 0;
        if (pair->isWaiting[way])
            return;
        auto& to = pair->sockets[1 - way];
        if (pair->end[way] == boost::asio::error::eof) {
            boost::system::error_code ec;
            to.shutdown(Tcp::socket::shutdown_send, ec);
            if (ec || pair->end[1 - way])
                m_pairs.remove(pair);
            return;
        }
        if (pair->end[way])
            return drop(pair);
        boost::asio::async_write(
            to, boost::asio::buffer(pair->buf[way], pair->size[way]), [this, pair, way](const auto& ec, size_t) {
                if (ec == boost::asio::error::operation_aborted || ec == boost::asio::error::bad_descriptor)
                    return;
                if (ec)
                    return drop(pair);
                read(pair, way);
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
    std::list<PairPtr> m_pairs;
};

} // namespace sequoia::testing
