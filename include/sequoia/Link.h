/** @file Link.h Message-framed TCP connections between entries and agents, on nng streams. */
#pragma once

#include <sequoia/Ids.h>
#include <sequoia/Log.h>
#include <sequoia/Time.h>
#include <sequoia/generated/Messages_generated.h>

#include <memory>
#include <string>

namespace sequoia {

using Frame = wire::FrameT;
using FramePtr = std::shared_ptr<const Frame>;

/** Callbacks of a LinkHub. All are called on nng's threads. */
struct LinkHooks {
    std::function<void(LinkId)> opened; ///< An outgoing or incoming connection is established.
    std::function<void(LinkId, FramePtr)> received; ///< A frame arrived and passed verification.
    /** The connection has ended or could not be established. Called once for each connection, but not by a shutdown. */
    std::function<void(LinkId, std::string reason)> closed;
    /** The first frame of a process whose message this release doesn't know was ignored. */
    std::function<void(LinkId, int type)> ignored {};
};

/** Limits of a connection. */
struct LinkLimits {
    size_t maxFrameBytes = 4U << 20U; ///< A longer frame closes the connection.
    size_t maxSendBufferBytes = 16U << 20U; ///< With more unsent data, the peer reads too slowly and is disconnected.
    Milliseconds dialTimeout { 1000 }; ///< A VM that is off does not refuse connections, it never answers.
};

/** Errors of LinkHub::listen. */
enum class LinkError : uint8_t { BadAddress, AddressInUse, OutOfResources };

class LinkHubState;

/**
 * All links of a process. Frames are size-prefixed FlatBuffers that are verified before they are delivered;
 * a frame that fails verification closes its connection.
 */
class LinkHub {
public:
    LinkHub(LinkHooks hooks, LinkLimits limits, HybridClock& clock);
    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    /** Accepts connections on `host:port`; port 0 selects a free one. Returns the bound port, or throws LinkError. */
    uint16_t listen(const std::string& address);

    /** Connects to `host:port` asynchronously: calls `opened`, or `closed` on failure, possibly before it returns. */
    LinkId dial(const std::string& address);

    /** Queues a frame for sending; discards it if the link is unknown or closed. */
    void send(LinkId link, Frame frame);

    /** Closes a connection; `closed` is called. */
    void close(LinkId link);

    /** Closes the listener and all connections. */
    void shutdown();

    /** Bytes queued for sending and bytes received since the start. */
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

    /** Frees closed connections; to be called periodically, and not from a callback. */
    void freeClosedLinks();

private:
    std::shared_ptr<LinkHubState> m_state;
};

} // namespace sequoia
