#include "turmericplank/peer/outgoing.hpp"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace turmericplank::peer {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);

} // namespace

struct Outgoing::Pending
{
    Pending(asio::io_context &context, PeerCall peerCall)
        : call(std::move(peerCall))
        , timer(context)
    {
    }

    PeerCall call;
    asio::steady_timer timer;
    base::Time deadline; ///< for the next byte of the answer
    std::int32_t stream = 0; ///< zero while nothing was sent
    bool hasRemoteEnd = false;
    bool isEnded = false;
};

Outgoing::Outgoing(asio::io_context &context, base::Address to, const MeshOptions &options, std::uint64_t &byteCounter)
    : m_context(context)
    , m_to(std::move(to))
    , m_options(options)
    , m_byteCounter(byteCounter)
{
}

void Outgoing::call(PeerCall call)
{
    const auto pending = std::make_shared<Pending>(m_context, std::move(call));
    pending->deadline = base::now() + pending->call.timeout;
    watch(pending);
    if (m_session && m_session->isOpen()) {
        send(pending);
        return;
    }
    m_waiting.push_back(pending);
    if (!m_isConnecting) {
        connect();
    }
}

void Outgoing::close()
{
    if (m_session) {
        m_session->close();
    }
}

void Outgoing::connect()
{
    m_isConnecting = true;
    const auto socket = std::make_shared<tcp::socket>(m_context);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, ConnectTimeout);
    boost::system::error_code ec;
    const auto host = asio::ip::make_address(m_to.host, ec);
    socket->async_connect(tcp::endpoint(host, m_to.port), [self = Pointer(this), socket, timer](boost::system::error_code error) {
        timer->cancel();
        self->m_isConnecting = false;
        if (!error && socket->is_open()) {
            self->onConnected(std::move(*socket));
            return;
        }
        for (const auto &it : std::exchange(self->m_waiting, {})) {
            self->finish(it, tl::make_unexpected(PeerFailure::NotProcessed));
        }
    });
    timer->async_wait([socket](boost::system::error_code error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
}

void Outgoing::onConnected(tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    if (m_session) {
        m_session->close();
        onSessionClosed();
    }
    ++m_generation;
    const Http2Options options{false, m_options.pingInterval, m_options.pingTimeout};
    m_session.reset(new Http2Session(std::move(socket), options, makeHooks(m_generation), m_byteCounter));
    m_session->start();
    for (const auto &it : std::exchange(m_waiting, {})) {
        send(it);
    }
}

void Outgoing::send(const PendingPointer &pending)
{
    if (pending->isEnded) {
        return;
    }
    const Http2Headers headers = {
        {":method", "POST"}, {":scheme", "http"}, {":authority", toString(m_to)}, {":path", "/peer/" + pending->call.kind}, {"x-from", m_options.self.text()}};
    const auto stream = m_session->openStream(headers, std::move(pending->call.body));
    if (stream < 0) {
        finish(pending, tl::make_unexpected(PeerFailure::NotProcessed));
        return;
    }
    pending->stream = stream;
    m_streams.emplace(stream, pending);
}

void Outgoing::watch(const PendingPointer &pending)
{
    pending->timer.expires_after(pending->deadline - base::now());
    pending->timer.async_wait([self = Pointer(this), pending](boost::system::error_code ec) {
        if (ec || pending->isEnded) {
            return;
        }
        if (base::now() < pending->deadline) {
            self->watch(pending);
            return;
        }
        if (pending->stream != 0 && self->m_session) {
            self->m_session->reset(pending->stream, NGHTTP2_CANCEL);
        }
        self->m_streams.erase(pending->stream);
        self->finish(pending, tl::make_unexpected(pending->stream == 0 ? PeerFailure::NotProcessed : PeerFailure::OutcomeUnknown));
    });
}

void Outgoing::finish(const PendingPointer &pending, tl::expected<void, PeerFailure> result)
{
    if (std::exchange(pending->isEnded, true)) {
        return;
    }
    pending->timer.cancel();
    const auto hook = std::move(pending->call.onEnd);
    pending->call.onChunk = nullptr;
    if (hook) {
        hook(result);
    }
}

Http2Hooks Outgoing::makeHooks(std::uint64_t generation)
{
    Http2Hooks hooks;
    const Pointer self(this);
    const auto find = [self, generation](std::int32_t stream) -> PendingPointer {
        const auto it = self->m_streams.find(stream);
        return generation != self->m_generation || it == self->m_streams.end() ? nullptr : it->second;
    };
    hooks.onHeader = [](std::int32_t, std::string_view, std::string_view) {
    };
    hooks.onData = [find](std::int32_t stream, std::string_view piece) {
        const auto pending = find(stream);
        if (pending && !pending->isEnded) {
            pending->deadline = base::now() + pending->call.timeout;
            if (pending->call.onChunk) {
                pending->call.onChunk(piece);
            }
        }
    };
    hooks.onRemoteEnd = [find](std::int32_t stream) {
        if (const auto pending = find(stream)) {
            pending->hasRemoteEnd = true;
        }
    };
    hooks.onStreamClosed = [self, generation](std::int32_t stream, std::uint32_t errorCode) {
        if (generation == self->m_generation) {
            self->onStreamClosed(stream, errorCode);
        }
    };
    hooks.onClosed = [self, generation] {
        if (generation == self->m_generation) {
            self->onSessionClosed();
        }
    };
    return hooks;
}

void Outgoing::onStreamClosed(std::int32_t stream, std::uint32_t errorCode)
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end()) {
        return;
    }
    const auto pending = it->second;
    m_streams.erase(it);
    if (errorCode == NGHTTP2_NO_ERROR && pending->hasRemoteEnd) {
        finish(pending, {});
    } else {
        finish(pending, tl::make_unexpected(errorCode == NGHTTP2_REFUSED_STREAM ? PeerFailure::NotProcessed : PeerFailure::OutcomeUnknown));
    }
}

void Outgoing::onSessionClosed()
{
    m_session.reset();
    ++m_generation;
    for (const auto &[stream, pending] : std::exchange(m_streams, {})) {
        finish(pending, tl::make_unexpected(PeerFailure::OutcomeUnknown));
    }
}

} // namespace turmericplank::peer
