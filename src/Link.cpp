/** @file Link.cpp Message-framed connections on nng streams. */
#include <sequoia/Link.h>

#include <array>
#include <atomic>
#include <cstring>
#include <mutex>
#include <nng/nng.h>
#include <unordered_map>
#include <vector>

namespace sequoia {

namespace {

    constexpr size_t prefixBytes = sizeof(uint32_t);
    constexpr size_t readChunkBytes = 8U << 10U;

} // namespace

class Link;

/** State of a LinkHub. Its links refer to it. */
class LinkHubState {
public:
    LinkHubState(LinkHooks hooks, LinkLimits limits, HybridClock& clock)
        : m_hooks(std::move(hooks))
        , m_limits(limits)
        , m_clock(clock)
    {
    }

    uint16_t listen(const std::string& address);
    LinkId dial(const std::string& address);
    std::shared_ptr<Link> find(LinkId id);
    void freeClosedLinks();
    void shutdown();
    void armAccept();
    void accepted();

    LinkHooks m_hooks;
    LinkLimits m_limits;
    HybridClock& m_clock;
    std::atomic<uint64_t> m_bytesSent { 0 };
    std::atomic<uint64_t> m_bytesReceived { 0 };
    std::atomic<uint64_t> m_framesIgnored { 0 };

private:
    std::shared_ptr<Link> makeLink();

    std::mutex m_mutex;
    uint32_t m_nextLinkId = 1;
    std::unordered_map<LinkId, std::shared_ptr<Link>> m_links;
    nng_stream_listener* m_listener = nullptr;
    nng_aio* m_acceptAio = nullptr;
};

/** One connection: a receive loop and a send loop, each with at most one pending nng operation. */
class Link {
public:
    Link(LinkHubState& hub, LinkId id)
        : m_hub(hub)
        , m_id(id)
        , m_chunk(readChunkBytes)
    {
        nng_aio_alloc(
            &m_recvAio, [](void* self) { static_cast<Link*>(self)->onReceived(); }, this);
        nng_aio_alloc(
            &m_sendAio, [](void* self) { static_cast<Link*>(self)->onSent(); }, this);
        nng_aio_alloc(
            &m_dialAio, [](void* self) { static_cast<Link*>(self)->onDialed(); }, this);
    }

    /** Stops and frees the nng objects. Must not run in a callback of this link, for which nng_aio_stop would wait. */
    ~Link()
    {
        closeStream();
        for (auto* aio : { m_dialAio, m_recvAio, m_sendAio }) {
            nng_aio_stop(aio);
            nng_aio_free(aio);
        }
        if (m_stream != nullptr)
            nng_stream_free(m_stream);
        if (m_dialer != nullptr)
            nng_stream_dialer_free(m_dialer);
    }

    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    LinkId id() const { return m_id; }

    void dial(const std::string& address)
    {
        if (nng_stream_dialer_alloc(&m_dialer, ("tcp://" + address).c_str()) != 0) {
            finish("malformed address " + address);
            return;
        }
        nng_aio_set_timeout(m_dialAio, static_cast<nng_duration>(m_hub.m_limits.dialTimeout.count()));
        nng_stream_dialer_dial(m_dialer, m_dialAio);
    }

    void start(nng_stream* stream)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stream = stream;
            if (m_closed)
                return;
        }
        nng_stream_set_bool(stream, NNG_OPT_TCP_NODELAY, true);
        m_hub.m_hooks.opened(m_id);
        armReceive();
    }

    void send(const flatbuffers::FlatBufferBuilder& builder)
    {
        std::unique_lock lock(m_mutex);
        if (m_closed || m_stream == nullptr)
            return;
        const auto* data = builder.GetBufferPointer();
        m_sendBuffer.insert(m_sendBuffer.end(), data, data + builder.GetSize());
        m_hub.m_bytesSent += builder.GetSize();
        if (m_sendBuffer.size() > m_hub.m_limits.maxSendBufferBytes) {
            lock.unlock();
            finish("send buffer full: the peer reads too slowly");
            return;
        }
        if (!m_sending)
            armSend();
    }

    /** Closes the connection and calls `closed`, unless that has been done before. */
    void finish(const std::string& reason)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed)
                return;
            m_closed = true;
        }
        closeStream();
        m_hub.m_hooks.closed(m_id, reason);
    }

    bool isClosed()
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    void closeStream()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        if (m_stream != nullptr)
            nng_stream_close(m_stream);
    }

    void onDialed()
    {
        if (const int rv = nng_aio_result(m_dialAio); rv != 0) {
            finish(nng_strerror(rv));
            return;
        }
        start(static_cast<nng_stream*>(nng_aio_get_output(m_dialAio, 0)));
    }

    void armReceive()
    {
        nng_iov iov { m_chunk.data(), m_chunk.size() };
        nng_aio_set_iov(m_recvAio, 1, &iov);
        nng_stream_recv(m_stream, m_recvAio);
    }

    void onReceived()
    {
        if (const int rv = nng_aio_result(m_recvAio); rv != 0) {
            finish(nng_strerror(rv));
            return;
        }
        const auto n = static_cast<std::ptrdiff_t>(nng_aio_count(m_recvAio));
        m_receiveBuffer.insert(m_receiveBuffer.end(), m_chunk.begin(), m_chunk.begin() + n);
        m_hub.m_bytesReceived += static_cast<uint64_t>(n);
        if (!consume()) {
            finish("malformed frame");
            return;
        }
        armReceive();
    }

    /** Delivers every complete frame of the receive buffer; false if one is malformed. */
    bool consume()
    {
        size_t offset = 0;
        while (m_receiveBuffer.size() - offset >= prefixBytes) {
            const size_t size = flatbuffers::ReadScalar<uint32_t>(m_receiveBuffer.data() + offset);
            if (size > m_hub.m_limits.maxFrameBytes)
                return false;
            if (m_receiveBuffer.size() - offset < prefixBytes + size)
                break;
            if (!deliver(m_receiveBuffer.data() + offset, prefixBytes + size))
                return false;
            offset += prefixBytes + size;
        }
        m_receiveBuffer.erase(m_receiveBuffer.begin(), m_receiveBuffer.begin() + static_cast<std::ptrdiff_t>(offset));
        return true;
    }

    /** Verifies and delivers one frame; false if it is malformed. Messages of later releases are ignored. */
    bool deliver(const uint8_t* data, size_t size)
    {
        std::vector<uint64_t> aligned((size + sizeof(uint64_t) - 1) / sizeof(uint64_t));
        std::memcpy(aligned.data(), data, size);
        const auto* bytes = reinterpret_cast<const uint8_t*>(aligned.data());
        constexpr size_t minFrameBytes = 12;
        if (size < minFrameBytes)
            return false;
        flatbuffers::Verifier verifier(bytes, size);
        if (!wire::VerifySizePrefixedFrameBuffer(verifier))
            return false;
        const auto* message = wire::GetSizePrefixedFrame(bytes);
        if (message->body_type() > wire::Body::MAX) {
            m_hub.m_clock.merge(message->stamp());
            if (m_hub.m_framesIgnored++ == 0 && m_hub.m_hooks.ignored)
                m_hub.m_hooks.ignored(m_id, static_cast<int>(message->body_type()));
            return true;
        }
        auto frame = std::make_shared<Frame>();
        message->UnPackTo(frame.get());
        if (frame->body.value == nullptr)
            return false;
        m_hub.m_clock.merge(frame->stamp);
        m_hub.m_hooks.received(m_id, std::move(frame));
        return true;
    }

    /** Starts sending all queued data. The caller holds the lock. */
    void armSend()
    {
        m_sending = true;
        m_inFlight.swap(m_sendBuffer);
        m_sendBuffer.clear();
        m_sentBytes = 0;
        sendRest();
    }

    void sendRest()
    {
        nng_iov iov { m_inFlight.data() + m_sentBytes, m_inFlight.size() - m_sentBytes };
        nng_aio_set_iov(m_sendAio, 1, &iov);
        nng_stream_send(m_stream, m_sendAio);
    }

    void onSent()
    {
        if (const int rv = nng_aio_result(m_sendAio); rv != 0) {
            finish(nng_strerror(rv));
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_sentBytes += nng_aio_count(m_sendAio);
        if (m_closed)
            return;
        if (m_sentBytes < m_inFlight.size()) {
            sendRest();
            return;
        }
        m_sending = false;
        if (!m_sendBuffer.empty())
            armSend();
    }

    LinkHubState& m_hub;
    LinkId m_id;
    std::mutex m_mutex;
    nng_stream* m_stream = nullptr;
    nng_stream_dialer* m_dialer = nullptr;
    nng_aio* m_recvAio = nullptr;
    nng_aio* m_sendAio = nullptr;
    nng_aio* m_dialAio = nullptr;
    bool m_closed = false;
    bool m_sending = false;
    size_t m_sentBytes = 0;
    std::vector<uint8_t> m_chunk;
    std::vector<uint8_t> m_receiveBuffer;
    std::vector<uint8_t> m_sendBuffer;
    std::vector<uint8_t> m_inFlight;
};

std::shared_ptr<Link> LinkHubState::makeLink()
{
    const std::lock_guard lock(m_mutex);
    const LinkId id { m_nextLinkId++ };
    auto link = std::make_shared<Link>(*this, id);
    m_links.emplace(id, link);
    return link;
}

std::shared_ptr<Link> LinkHubState::find(LinkId id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_links.find(id);
    return it == m_links.end() ? nullptr : it->second;
}

uint16_t LinkHubState::listen(const std::string& address)
{
    if (nng_stream_listener_alloc(&m_listener, ("tcp://" + address).c_str()) != 0)
        throw LinkError::BadAddress;
    if (nng_stream_listener_listen(m_listener) != 0)
        throw LinkError::AddressInUse;
    int port = 0;
    nng_stream_listener_get_int(m_listener, NNG_OPT_TCP_BOUND_PORT, &port);
    if (nng_aio_alloc(
            &m_acceptAio, [](void* self) { static_cast<LinkHubState*>(self)->accepted(); }, this)
        != 0)
        throw LinkError::OutOfResources;
    armAccept();
    return static_cast<uint16_t>(port);
}

void LinkHubState::armAccept() { nng_stream_listener_accept(m_listener, m_acceptAio); }

void LinkHubState::accepted()
{
    const int rv = nng_aio_result(m_acceptAio);
    if (rv == NNG_ECLOSED || rv == NNG_ECANCELED)
        return;
    if (rv == 0)
        makeLink()->start(static_cast<nng_stream*>(nng_aio_get_output(m_acceptAio, 0)));
    armAccept();
}

LinkId LinkHubState::dial(const std::string& address)
{
    const auto link = makeLink();
    link->dial(address);
    return link->id();
}

void LinkHubState::freeClosedLinks()
{
    std::vector<std::shared_ptr<Link>> closed;
    const std::lock_guard lock(m_mutex);
    for (auto it = m_links.begin(); it != m_links.end();) {
        // A link that is still referenced elsewhere is freed by a later call, so that no callback frees its own link.
        if (it->second->isClosed() && it->second.use_count() == 1) {
            closed.push_back(std::move(it->second));
            it = m_links.erase(it);
        } else {
            ++it;
        }
    }
    // `closed` is declared before the lock, so the links are freed after the lock has been released.
}

void LinkHubState::shutdown()
{
    if (m_listener != nullptr)
        nng_stream_listener_close(m_listener);
    if (m_acceptAio != nullptr) {
        nng_aio_stop(m_acceptAio);
        nng_aio_free(m_acceptAio);
        m_acceptAio = nullptr;
    }
    if (m_listener != nullptr)
        nng_stream_listener_free(m_listener);
    m_listener = nullptr;
    std::unordered_map<LinkId, std::shared_ptr<Link>> links;
    {
        const std::lock_guard lock(m_mutex);
        links.swap(m_links);
    }
}

LinkHub::LinkHub(LinkHooks hooks, LinkLimits limits, HybridClock& clock)
    : m_state(std::make_shared<LinkHubState>(std::move(hooks), limits, clock))
{
}

LinkHub::~LinkHub() { shutdown(); }

void LinkHub::shutdown() { m_state->shutdown(); }

uint16_t LinkHub::listen(const std::string& address) { return m_state->listen(address); }

LinkId LinkHub::dial(const std::string& address) { return m_state->dial(address); }

void LinkHub::send(LinkId link, Frame frame)
{
    const auto found = m_state->find(link);
    if (!found)
        return;
    frame.stamp = m_state->m_clock.next();
    flatbuffers::FlatBufferBuilder builder;
    wire::FinishSizePrefixedFrameBuffer(builder, wire::Frame::Pack(builder, &frame));
    found->send(builder);
}

void LinkHub::close(LinkId link)
{
    if (const auto found = m_state->find(link))
        found->finish("closed by this process");
}

uint64_t LinkHub::bytesSent() const { return m_state->m_bytesSent; }

uint64_t LinkHub::bytesReceived() const { return m_state->m_bytesReceived; }

void LinkHub::freeClosedLinks() { m_state->freeClosedLinks(); }

} // namespace sequoia
