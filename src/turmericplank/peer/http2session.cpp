#include "turmericplank/peer/http2session.hpp"

#include <algorithm>
#include <array>
#include <cstring>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace turmericplank::peer {

namespace {

namespace asio = boost::asio;

constexpr std::size_t ReadBufferBytes = 32 * 1024;
constexpr std::size_t MaxWriteBytes = 256 * 1024;
constexpr std::uint32_t ConnectionWindowBytes = 1 << 20; ///< flow-control window of all streams together
constexpr std::uint32_t StreamWindowBytes = 64 * 1024; ///< of each stream, and so what is held of one whose reading is paused
constexpr std::uint32_t MaxConcurrentStreams = 4096;

std::vector<nghttp2_nv> toNghttp2Headers(const Http2Headers &headers)
{
    std::vector<nghttp2_nv> fields;
    for (const auto &[name, value] : headers) {
        // nghttp2 copies name and value before the submit call returns and does not write through the pointers.
        auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
        auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
        fields.push_back({nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return fields;
}

std::string_view toView(const std::uint8_t *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

} // namespace

Http2Session::Http2Session(asio::ip::tcp::socket socket, Http2Options options, Http2Callbacks callbacks, std::uint64_t &byteCounter)
    : m_socket(std::move(socket))
    , m_keepaliveTimer(m_socket.get_executor())
    , m_options(options)
    , m_callbacks(std::move(callbacks))
    , m_byteCounter(byteCounter)
    , m_session(nullptr, nghttp2_session_del)
    , m_readBuffer(ReadBufferBytes)
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1); // noteReceived() updates the windows
    nghttp2_session *session = nullptr;
    if (m_options.isServer) {
        nghttp2_session_server_new2(&session, nghttp2Callbacks(), this, option);
    } else {
        nghttp2_session_client_new2(&session, nghttp2Callbacks(), this, option);
    }
    nghttp2_option_del(option);
    m_session.reset(session);
}

Http2Session::~Http2Session() = default;

nghttp2_session_callbacks *Http2Session::nghttp2Callbacks()
{
    static nghttp2_session_callbacks *const instance = [] {
        nghttp2_session_callbacks *it = nullptr;
        nghttp2_session_callbacks_new(&it);
        nghttp2_session_callbacks_set_on_header_callback(it,
                                                         [](nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name, std::size_t nameLength,
                                                            const std::uint8_t *value, std::size_t valueLength, std::uint8_t, void *self) {
                                                             static_cast<Http2Session *>(self)->m_callbacks.onHeader(
                                                                 frame->hd.stream_id, toView(name, nameLength), toView(value, valueLength));
                                                             return 0;
                                                         });
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            it, [](nghttp2_session *, std::uint8_t, std::int32_t streamId, const std::uint8_t *bytes, std::size_t size, void *self) {
                auto *session = static_cast<Http2Session *>(self);
                session->m_callbacks.onData(streamId, toView(bytes, size));
                session->noteReceived(streamId, size);
                return 0;
            });
        nghttp2_session_callbacks_set_on_frame_recv_callback(it, [](nghttp2_session *, const nghttp2_frame *frame, void *self) {
            const bool hasBody = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
            if (hasBody && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
                static_cast<Http2Session *>(self)->m_callbacks.onEndStream(frame->hd.stream_id);
            }
            return 0;
        });
        nghttp2_session_callbacks_set_on_stream_close_callback(it, [](nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode, void *self) {
            auto *session = static_cast<Http2Session *>(self);
            session->m_bodies.erase(streamId);
            session->m_pausedStreams.erase(streamId);
            session->m_callbacks.onStreamClosed(streamId, errorCode);
            return 0;
        });
        return it;
    }();
    return instance;
}

void Http2Session::start()
{
    const std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams}, {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes}}};
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session.get(), NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
    const auto now = base::now();
    m_receiveDeadline = now + m_options.pingTimeout;
    m_nextPingTime = now + m_options.pingInterval;
    read();
    armKeepaliveTimer();
    flush();
}

std::int32_t Http2Session::openStream(const Http2Headers &headers, std::string body)
{
    const auto fields = toNghttp2Headers(headers);
    auto source = makeDataProvider();
    const auto streamId = nghttp2_submit_request(m_session.get(), nullptr, fields.data(), fields.size(), &source, nullptr);
    if (streamId >= 0) {
        m_bodies[streamId] = OutgoingBody{std::move(body), 0, true};
        scheduleFlush();
    }
    return streamId;
}

void Http2Session::startResponse(std::int32_t streamId, const Http2Headers &headers)
{
    const auto fields = toNghttp2Headers(headers);
    auto source = makeDataProvider();
    m_bodies[streamId] = OutgoingBody{};
    nghttp2_submit_response(m_session.get(), streamId, fields.data(), fields.size(), &source);
    scheduleFlush();
}

void Http2Session::write(std::int32_t streamId, std::string chunk)
{
    const auto it = m_bodies.find(streamId);
    if (it == m_bodies.end() || m_isClosed) {
        return;
    }
    it->second.bytes += chunk;
    nghttp2_session_resume_data(m_session.get(), streamId);
    scheduleFlush();
}

void Http2Session::end(std::int32_t streamId)
{
    const auto it = m_bodies.find(streamId);
    if (it == m_bodies.end() || m_isClosed) {
        return;
    }
    it->second.hasEnded = true;
    nghttp2_session_resume_data(m_session.get(), streamId);
    scheduleFlush();
}

std::size_t Http2Session::queuedBytes(std::int32_t streamId) const
{
    const auto it = m_bodies.find(streamId);
    return it == m_bodies.end() ? 0 : it->second.bytes.size() - it->second.sent;
}

void Http2Session::setReadingPaused(std::int32_t streamId, bool isPaused)
{
    if (isPaused) {
        m_pausedStreams.try_emplace(streamId, 0);
        return;
    }
    const auto it = m_pausedStreams.find(streamId);
    if (it == m_pausedStreams.end() || m_isClosed) {
        return;
    }
    nghttp2_session_consume_stream(m_session.get(), streamId, it->second);
    m_pausedStreams.erase(it);
    scheduleFlush();
}

/// The window of the connection is updated also for a paused stream, which must not hold up the others.
void Http2Session::noteReceived(std::int32_t streamId, std::size_t size)
{
    nghttp2_session_consume_connection(m_session.get(), size);
    const auto it = m_pausedStreams.find(streamId);
    if (it != m_pausedStreams.end()) {
        it->second += size;
    } else {
        nghttp2_session_consume_stream(m_session.get(), streamId, size);
    }
}

void Http2Session::reset(std::int32_t streamId, std::uint32_t errorCode)
{
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, streamId, errorCode);
    scheduleFlush();
}

void Http2Session::beginShutdown()
{
    const auto last = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    scheduleFlush();
}

void Http2Session::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    const Pointer guard(this);
    m_keepaliveTimer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
    // Deferred, since close() may be called from a callback of nghttp2, which must return before the session is destroyed.
    asio::post(m_socket.get_executor(), [self = Pointer(this)] { self->notifyClosed(); });
}

void Http2Session::notifyClosed()
{
    const auto callbacks = std::exchange(m_callbacks, Http2Callbacks{});
    if (callbacks.onClosed) {
        callbacks.onClosed();
    }
}

bool Http2Session::isOpen() const
{
    return !m_isClosed && nghttp2_session_check_request_allowed(m_session.get()) != 0;
}

nghttp2_data_provider Http2Session::makeDataProvider()
{
    nghttp2_data_provider it{};
    it.source.ptr = this;
    it.read_callback = &Http2Session::readBody;
    return it;
}

ssize_t Http2Session::readBody(nghttp2_session *, std::int32_t streamId, std::uint8_t *buf, std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                               void *self)
{
    auto *session = static_cast<Http2Session *>(self);
    auto &body = session->m_bodies[streamId];
    const auto n = std::min(length, body.bytes.size() - body.sent);
    if (n == 0 && !body.hasEnded) {
        return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buf, body.bytes.data() + body.sent, n);
    body.sent += n;
    if (n > 0 && session->m_callbacks.onWritten) {
        session->m_writtenStreams.push_back(streamId);
    }
    if (body.sent == body.bytes.size()) {
        body.bytes.clear();
        body.sent = 0;
        if (body.hasEnded) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
    }
    return static_cast<ssize_t>(n);
}

void Http2Session::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer), [self = Pointer(this)](boost::system::error_code ec, std::size_t n) {
        if (self->m_isClosed) {
            return;
        }
        if (ec) {
            self->close();
            return;
        }
        const auto now = base::now();
        self->m_byteCounter += n;
        self->m_receiveDeadline = now + self->m_options.pingTimeout;
        self->m_nextPingTime = now + self->m_options.pingInterval;
        if (nghttp2_session_mem_recv(self->m_session.get(), self->m_readBuffer.data(), n) < 0) {
            self->close();
            return;
        }
        if (!self->m_isClosed && self->m_callbacks.onRead) {
            boost::system::error_code ignored;
            const bool isFull = n == self->m_readBuffer.size();
            self->m_callbacks.onRead(isFull && self->m_socket.available(ignored) > 0);
        }
        if (!self->m_isClosed) {
            self->flush();
            self->read();
        }
    });
}

/// Combines the frames queued in one iteration of the event loop into one write.
void Http2Session::scheduleFlush()
{
    if (m_isFlushScheduled) {
        return;
    }
    m_isFlushScheduled = true;
    asio::post(m_socket.get_executor(), [self = Pointer(this)] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (m_isWriting || m_isClosed) {
        return;
    }
    m_writeBuffer.clear();
    while (m_writeBuffer.size() < MaxWriteBytes) {
        const std::uint8_t *bytes = nullptr;
        const auto n = nghttp2_session_mem_send(m_session.get(), &bytes);
        if (n <= 0) {
            break;
        }
        m_writeBuffer.append(toView(bytes, static_cast<std::size_t>(n)));
    }
    if (m_writeBuffer.empty()) {
        if (nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0) {
            close();
        }
        return;
    }
    m_isWriting = true;
    m_byteCounter += m_writeBuffer.size();
    notifyWritten();
    if (m_isClosed) {
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self = Pointer(this)](boost::system::error_code ec, std::size_t) {
        self->m_isWriting = false;
        if (ec) {
            self->close();
            return;
        }
        self->flush();
    });
}

/// Called once nghttp2 has returned, since the callbacks may write to the session.
void Http2Session::notifyWritten()
{
    for (const auto streamId : std::exchange(m_writtenStreams, {})) {
        if (m_callbacks.onWritten) {
            m_callbacks.onWritten(streamId);
        }
    }
}

void Http2Session::armKeepaliveTimer()
{
    m_keepaliveTimer.expires_after(m_options.pingInterval);
    m_keepaliveTimer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
        if (ec || self->m_isClosed) {
            return;
        }
        const auto now = base::now();
        if (now >= self->m_receiveDeadline) {
            self->close();
            return;
        }
        if (now >= self->m_nextPingTime) {
            nghttp2_submit_ping(self->m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
            self->flush();
        }
        self->armKeepaliveTimer();
    });
}

} // namespace turmericplank::peer
