/** @file Link.h Framed connections between entries and agents on nng streams. */
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

/** What a hub reports. All hooks are called on nng's threads. */
struct LinkHooks {
    std::function<void(LinkId)> opened; ///< A dialled or accepted connection is usable.
    std::function<void(LinkId, FramePtr)> received; ///< A verified frame arrived.
    std::function<void(LinkId, std::string reason)> closed; ///< The connection has ended, once for each opened one.
};

/** Bounds of a connection. */
struct LinkLimits {
    size_t maxFrameBytes = 4U << 20U; ///< A longer frame closes the connection.
    size_t maxSendBufferBytes = 16U << 20U; ///< A peer that reads slower than this is closed.
    Milliseconds dialTimeout { 1000 }; ///< A VM without power answers a dial with silence.
};

/** Errors of this layer. */
enum class LinkError : uint8_t { BadAddress, AddressInUse, OutOfResources };

class LinkHubState;

/**
 * All connections of a process. Frames are size-prefixed FlatBuffers, verified before they are passed on;
 * a frame that does not verify closes its connection.
 */
class LinkHub {
public:
    LinkHub(LinkHooks hooks, LinkLimits limits, HybridClock& clock);
    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    /** Accepts connections on `host:port`; port 0 picks a free one. Returns the bound port, or throws LinkError. */
    uint16_t listen(const std::string& address);

    /** Connects to `host:port`. Reports `opened`, or `closed` at once where that fails. */
    LinkId dial(const std::string& address);

    /** Queues a frame; dropped if the link is gone. */
    void send(LinkId link, Frame frame);

    /** Ends a connection; `closed` follows. */
    void close(LinkId link);

    /** Ends the listener and all connections. */
    void shutdown();

    /** Bytes of frames sent and received since the start. */
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

    /** Frees ended connections; call it now and then. */
    void freeClosedLinks();

private:
    std::shared_ptr<LinkHubState> m_state;
};

} // namespace sequoia
