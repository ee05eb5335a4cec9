#include "turmericplank/peer/http2session.hpp"

#include <algorithm>
#include <array>
#include <cstring>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace turmericplank::peer {

namespace {

namespace asio = boost::asio;

constexpr std::size_t ReadSize = 32 * 1024;
constexpr std::size_t MostWriteBytes = 256 * 1024;
constexpr std::uint32_t StreamWindow = 1 << 20;
constexpr std::uint32_t MostStreams = 4096;

std::vector<nghttp2_nv> toLibraryHeaders(const Http2Headers &headers)
{
    std::vector<nghttp2_nv> fields;
    for (const auto &[name, value] : headers) {
        // The library copies both before the call returns and does not write through the pointers.
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

Http2Session::Http2Session(asio::ip::tcp::socket socket, Http2Options options, Http2Hooks hooks, std::uint64_t &byteCounter)
    : m_socket(std::move(socket))
    , m_watchTimer(m_socket.get_executor())
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_byteCounter(byteCounter)
    , m_session(nullptr, nghttp2_session_del)
    , m_readBuffer(ReadSize)
{
    nghttp2_session *session = nullptr;
    if (m_options.isServer) {
        nghttp2_session_server_new(&session, callbacks(), this);
    } else {
        nghttp2_session_client_new(&session, callbacks(), this);
    }
    m_session.reset(session);
}

Http2Session::~Http2Session() = default;

nghttp2_session_callbacks *Http2Session::callbacks()
{
    static nghttp2_session_callbacks *const shared = [] {
        nghttp2_session_callbacks *it = nullptr;
        nghttp2_session_callbacks_new(&it);
        nghttp2_session_callbacks_set_on_header_callback(it,
                                                         [](nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name, std::size_t nameLength,
                                                            const std::uint8_t *value, std::size_t valueLength, std::uint8_t, void *self) {
                                                             static_cast<Http2Session *>(self)->m_hooks.onHeader(frame->hd.stream_id, toView(name, nameLength),
                                                                                                                 toView(value, valueLength));
                                                             return 0;
                                                         });
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            it, [](nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *bytes, std::size_t size, void *self) {
                static_cast<Http2Session *>(self)->m_hooks.onData(stream, toView(bytes, size));
                return 0;
            });
        nghttp2_session_callbacks_set_on_frame_recv_callback(it, [](nghttp2_session *, const nghttp2_frame *frame, void *self) {
            const bool hasBody = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
            if (hasBody && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
                static_cast<Http2Session *>(self)->m_hooks.onRemoteEnd(frame->hd.stream_id);
            }
            return 0;
        });
        nghttp2_session_callbacks_set_on_stream_close_callback(it, [](nghttp2_session *, std::int32_t stream, std::uint32_t errorCode, void *self) {
            auto *session = static_cast<Http2Session *>(self);
            session->m_outgoing.erase(stream);
            session->m_hooks.onStreamClosed(stream, errorCode);
            return 0;
        });
        return it;
    }();
    return shared;
}

void Http2Session::start()
{
    const std::array<nghttp2_settings_entry, 2> settings = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MostStreams}, {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindow}}};
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session.get(), NGHTTP2_FLAG_NONE, 0, StreamWindow);
    const auto present = base::now();
    m_silenceDeadline = present + m_options.pingTimeout;
    m_pingDue = present + m_options.pingInterval;
    read();
    watch();
    flush();
}

std::int32_t Http2Session::openStream(const Http2Headers &headers, std::string body)
{
    const auto fields = toLibraryHeaders(headers);
    auto source = provider();
    const auto stream = nghttp2_submit_request(m_session.get(), nullptr, fields.data(), fields.size(), &source, nullptr);
    if (stream >= 0) {
        m_outgoing[stream] = Outgoing{std::move(body), 0, true};
        flushSoon();
    }
    return stream;
}

void Http2Session::startAnswer(std::int32_t stream, const Http2Headers &headers)
{
    const auto fields = toLibraryHeaders(headers);
    auto source = provider();
    m_outgoing[stream] = Outgoing{};
    nghttp2_submit_response(m_session.get(), stream, fields.data(), fields.size(), &source);
    flushSoon();
}

void Http2Session::write(std::int32_t stream, std::string piece)
{
    const auto it = m_outgoing.find(stream);
    if (it == m_outgoing.end() || m_isClosed) {
        return;
    }
    it->second.bytes += piece;
    nghttp2_session_resume_data(m_session.get(), stream);
    flushSoon();
}

void Http2Session::end(std::int32_t stream)
{
    const auto it = m_outgoing.find(stream);
    if (it == m_outgoing.end() || m_isClosed) {
        return;
    }
    it->second.hasEnded = true;
    nghttp2_session_resume_data(m_session.get(), stream);
    flushSoon();
}

void Http2Session::reset(std::int32_t stream, std::uint32_t errorCode)
{
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream, errorCode);
    flushSoon();
}

void Http2Session::beginShutdown()
{
    const auto last = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    flushSoon();
}

void Http2Session::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    const Pointer guard(this);
    m_watchTimer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
    // Leaves the library's callbacks, from which close() may have been called, before streams and session end.
    asio::post(m_socket.get_executor(), [self = Pointer(this)] { self->closeStreams(); });
}

void Http2Session::closeStreams()
{
    const auto hooks = std::exchange(m_hooks, Http2Hooks{});
    if (hooks.onClosed) {
        hooks.onClosed();
    }
}

bool Http2Session::isOpen() const
{
    return !m_isClosed && nghttp2_session_check_request_allowed(m_session.get()) != 0;
}

nghttp2_data_provider Http2Session::provider()
{
    nghttp2_data_provider it{};
    it.source.ptr = this;
    it.read_callback = &Http2Session::readOutgoing;
    return it;
}

ssize_t Http2Session::readOutgoing(nghttp2_session *, std::int32_t stream, std::uint8_t *buf, std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                                   void *self)
{
    auto &outgoing = static_cast<Http2Session *>(self)->m_outgoing[stream];
    const auto n = std::min(length, outgoing.bytes.size() - outgoing.sent);
    if (n == 0 && !outgoing.hasEnded) {
        return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buf, outgoing.bytes.data() + outgoing.sent, n);
    outgoing.sent += n;
    if (outgoing.sent == outgoing.bytes.size()) {
        outgoing.bytes.clear();
        outgoing.sent = 0;
        if (outgoing.hasEnded) {
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
        const auto present = base::now();
        self->m_byteCounter += n;
        self->m_silenceDeadline = present + self->m_options.pingTimeout;
        self->m_pingDue = present + self->m_options.pingInterval;
        if (nghttp2_session_mem_recv(self->m_session.get(), self->m_readBuffer.data(), n) < 0) {
            self->close();
            return;
        }
        if (!self->m_isClosed) {
            self->flush();
            self->read();
        }
    });
}

/// Several events of one turn leave in one write.
void Http2Session::flushSoon()
{
    if (m_isFlushPosted) {
        return;
    }
    m_isFlushPosted = true;
    asio::post(m_socket.get_executor(), [self = Pointer(this)] {
        self->m_isFlushPosted = false;
        self->flush();
    });
}

void Http2Session::flush()
{
    if (m_isWriting || m_isClosed) {
        return;
    }
    m_writeBuffer.clear();
    while (m_writeBuffer.size() < MostWriteBytes) {
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
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self = Pointer(this)](boost::system::error_code ec, std::size_t) {
        self->m_isWriting = false;
        if (ec) {
            self->close();
            return;
        }
        self->flush();
    });
}

void Http2Session::watch()
{
    m_watchTimer.expires_after(m_options.pingInterval);
    m_watchTimer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
        if (ec || self->m_isClosed) {
            return;
        }
        const auto present = base::now();
        if (present >= self->m_silenceDeadline) {
            self->close();
            return;
        }
        if (present >= self->m_pingDue) {
            nghttp2_submit_ping(self->m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
            self->flush();
        }
        self->watch();
    });
}

} // namespace turmericplank::peer
