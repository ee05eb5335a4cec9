#include "turmericplank/peer/outgoingconnection.hpp"

#include <utility>

namespace turmericplank::peer {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);

} // namespace

struct OutgoingConnection::Pending
{
    Pending(asio::io_context &context, PeerCall peerCall)
        : call(std::move(peerCall))
        , timer(context)
    {
    }

    PeerCall call;
    asio::steady_timer timer;
    base::Time deadline; ///< for the next chunk of the response
    std::int32_t streamId = 0; ///< zero until the call is sent
    bool hasReceivedEndStream = false;
    bool isFinished = false;
};

OutgoingConnection::OutgoingConnection(asio::io_context &context, base::Address to, const MeshOptions &options, std::uint64_t &byteCounter)
    : m_context(context)
    , m_to(std::move(to))
    , m_options(options)
    , m_byteCounter(byteCounter)
    , m_idleTimer(context)
{
}

void OutgoingConnection::call(PeerCall call)
{
    const auto pending = std::make_shared<Pending>(m_context, std::move(call));
    m_lastCallAt = base::now();
    pending->deadline = m_lastCallAt + pending->call.timeout;
    armTimer(pending);
    if (pending->call.cancel) {
        *pending->call.cancel = [self = Pointer(this), weak = std::weak_ptr<Pending>(pending)] {
            if (const auto it = weak.lock()) {
                self->cancel(it);
            }
        };
    }
    if (pending->call.setReadingPaused) {
        *pending->call.setReadingPaused = [self = Pointer(this), weak = std::weak_ptr<Pending>(pending)](bool isPaused) {
            const auto it = weak.lock();
            if (it && !it->isFinished && it->streamId != 0 && self->m_session) {
                self->m_session->setReadingPaused(it->streamId, isPaused);
            }
        };
    }
    if (m_session && m_session->isOpen()) {
        send(pending);
        return;
    }
    m_queuedCalls.push_back(pending);
    if (!m_isConnecting) {
        connect();
    }
}

void OutgoingConnection::close()
{
    m_idleTimer.cancel();
    if (m_session) {
        m_session->close();
    }
}

void OutgoingConnection::connect()
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
        for (const auto &it : std::exchange(self->m_queuedCalls, {})) {
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

void OutgoingConnection::onConnected(tcp::socket socket)
{
    boost::system::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    if (m_session) {
        m_session->close();
        onSessionClosed();
    }
    ++m_generation;
    const Http2Options options{false, m_options.pingInterval, m_options.pingTimeout};
    m_session.reset(new Http2Session(std::move(socket), options, makeCallbacks(m_generation), m_byteCounter));
    m_session->start();
    armIdleTimer();
    for (const auto &it : std::exchange(m_queuedCalls, {})) {
        send(it);
    }
}

void OutgoingConnection::send(const PendingPointer &pending)
{
    if (pending->isFinished) {
        return;
    }
    const Http2Headers headers = {
        {":method", "POST"}, {":scheme", "http"}, {":authority", toString(m_to)}, {":path", "/peer/" + pending->call.kind}, {"x-from", m_options.self.text()}};
    const auto streamId = m_session->openStream(headers, std::move(pending->call.body));
    if (streamId < 0) {
        finish(pending, tl::make_unexpected(PeerFailure::NotProcessed));
        return;
    }
    pending->streamId = streamId;
    m_streams.emplace(streamId, pending);
}

void OutgoingConnection::cancel(const PendingPointer &pending)
{
    if (pending->isFinished) {
        return;
    }
    pending->call.onEnd = nullptr;
    if (pending->streamId != 0 && m_session) {
        m_session->reset(pending->streamId, NGHTTP2_CANCEL);
    }
    m_streams.erase(pending->streamId);
    finish(pending, tl::make_unexpected(PeerFailure::OutcomeUnknown));
}

void OutgoingConnection::armTimer(const PendingPointer &pending)
{
    pending->timer.expires_after(pending->deadline - base::now());
    pending->timer.async_wait([self = Pointer(this), pending](boost::system::error_code ec) {
        if (ec || pending->isFinished) {
            return;
        }
        if (base::now() < pending->deadline) {
            self->armTimer(pending);
            return;
        }
        if (pending->streamId != 0 && self->m_session) {
            self->m_session->reset(pending->streamId, NGHTTP2_CANCEL);
        }
        self->m_streams.erase(pending->streamId);
        self->finish(pending, tl::make_unexpected(pending->streamId == 0 ? PeerFailure::NotProcessed : PeerFailure::OutcomeUnknown));
    });
}

/// Ends with the session.
void OutgoingConnection::armIdleTimer()
{
    m_idleTimer.expires_after(m_options.maxIdleTime);
    m_idleTimer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
        if (ec || !self->m_session) {
            return;
        }
        if (self->m_streams.empty() && base::now() >= self->m_lastCallAt + self->m_options.maxIdleTime) {
            self->close();
        } else {
            self->armIdleTimer();
        }
    });
}

void OutgoingConnection::finish(const PendingPointer &pending, tl::expected<void, PeerFailure> result)
{
    if (std::exchange(pending->isFinished, true)) {
        return;
    }
    pending->timer.cancel();
    const auto callback = std::move(pending->call.onEnd);
    pending->call.onChunk = nullptr;
    if (callback) {
        callback(result);
    }
}

Http2Callbacks OutgoingConnection::makeCallbacks(std::uint64_t generation)
{
    Http2Callbacks callbacks;
    const Pointer self(this);
    const auto find = [self, generation](std::int32_t streamId) -> PendingPointer {
        const auto it = self->m_streams.find(streamId);
        return generation != self->m_generation || it == self->m_streams.end() ? nullptr : it->second;
    };
    callbacks.onHeader = [](std::int32_t, std::string_view, std::string_view) {
    };
    callbacks.onData = [find](std::int32_t streamId, std::string_view chunk) {
        const auto pending = find(streamId);
        if (pending && !pending->isFinished) {
            pending->deadline = base::now() + pending->call.timeout;
            if (pending->call.onChunk) {
                pending->call.onChunk(chunk);
            }
        }
    };
    callbacks.onEndStream = [find](std::int32_t streamId) {
        if (const auto pending = find(streamId)) {
            pending->hasReceivedEndStream = true;
        }
    };
    callbacks.onStreamClosed = [self, generation](std::int32_t streamId, std::uint32_t errorCode) {
        if (generation == self->m_generation) {
            self->onStreamClosed(streamId, errorCode);
        }
    };
    callbacks.onClosed = [self, generation] {
        if (generation == self->m_generation) {
            self->onSessionClosed();
        }
    };
    return callbacks;
}

void OutgoingConnection::onStreamClosed(std::int32_t streamId, std::uint32_t errorCode)
{
    const auto it = m_streams.find(streamId);
    if (it == m_streams.end()) {
        return;
    }
    const auto pending = it->second;
    m_streams.erase(it);
    if (errorCode == NGHTTP2_NO_ERROR && pending->hasReceivedEndStream) {
        finish(pending, {});
    } else {
        finish(pending, tl::make_unexpected(errorCode == NGHTTP2_REFUSED_STREAM ? PeerFailure::NotProcessed : PeerFailure::OutcomeUnknown));
    }
}

void OutgoingConnection::onSessionClosed()
{
    m_session.reset();
    ++m_generation;
    for (const auto &[streamId, pending] : std::exchange(m_streams, {})) {
        finish(pending, tl::make_unexpected(PeerFailure::OutcomeUnknown));
    }
}

} // namespace turmericplank::peer
