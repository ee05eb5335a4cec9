#include "turmericplank/net/clientconnection.hpp"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <netinet/tcp.h>

#include "turmericplank/net/responseparser.hpp"

namespace turmericplank::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t ReadSize = 4 * 1024; ///< bytes; enough for a few events of a streamed response
constexpr std::size_t MaxFramingBytes = 8 * 1024; ///< of a header section, a chunk header or a trailer section
constexpr int MaxSkippedResponses = 4; ///< if more late or interim responses precede a request's own, the connection is treated as corrupt
constexpr int FirstStatus = 100; ///< lower ones are not defined by HTTP
constexpr int FirstFinalStatus = 200; ///< responses with a lower status precede the final response to the same request
constexpr int TcpUserTimeoutMilliseconds = 4000; ///< TCP closes a connection whose peer acknowledges no data for this long
constexpr auto RestTimeout = std::chrono::seconds(10); ///< in which an endpoint that answers early must read the rest of the request

std::string serializeRequest(const HttpRequest &request, const std::string &host)
{
    std::string buf;
    buf.reserve(512 + request.body.size());
    buf.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (header(request.headers, "Host").empty()) {
        buf.append("Host: ").append(host).append("\r\n");
    }
    for (const auto &it : request.headers) {
        buf.append(it.name).append(": ").append(it.value).append("\r\n");
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
        buf.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    buf.append("\r\n").append(request.body);
    return buf;
}

ConnectionError connectionError(const boost::system::error_code &ec)
{
    if (ec == asio::error::connection_refused) {
        return ConnectionError::Refused;
    }
    if (ec == asio::error::connection_reset || ec == asio::error::broken_pipe) {
        return ConnectionError::Reset;
    }
    if (ec == asio::error::eof) {
        return ConnectionError::Closed;
    }
    return ec == asio::error::timed_out ? ConnectionError::TimedOut : ConnectionError::Other;
}

class Connection final : public ClientConnection
{
public:
    explicit Connection(asio::io_context &context, const base::Address &to)
        : m_socket(context)
        , m_timer(context)
        , m_host(toString(to))
    {
    }

    void open(const base::Address &to, base::Time deadline, std::function<void(tl::expected<ClientConnectionPointer, ConnectionError>)> onOpen)
    {
        boost::system::error_code ec;
        const auto host = asio::ip::make_address(to.host, ec);
        m_onOpen = std::move(onOpen);
        m_deadline = deadline;
        armDeadlineTimer();
        const auto self = Pointer(this);
        if (ec) {
            asio::post(m_socket.get_executor(), [self] { self->onConnectDone(asio::error::invalid_argument); });
            return;
        }
        m_socket.async_connect(tcp::endpoint(host, to.port), [self](boost::system::error_code error) { self->onConnectDone(error); });
    }

    void send(ClientRequest request) override
    {
        m_current = std::move(request);
        m_deadline = m_current->deadline;
        m_skippedResponses = 0;
        startParser();
        armDeadlineTimer();
        m_requestBytes = serializeRequest(m_current->request, m_host);
        m_current->request = {};
        m_isWriting = true;
        asio::async_write(m_socket, asio::buffer(m_requestBytes),
                          [self = Pointer(this)](boost::system::error_code ec, std::size_t n) { self->onWritten(ec, n); });
    }

    void setDeadline(base::Time deadline) override
    {
        const bool isEarlier = deadline < m_deadline;
        m_deadline = deadline;
        if (isEarlier) {
            stopTimer();
            armDeadlineTimer();
        }
    }

    void setReadingPaused(bool isPaused) override
    {
        m_isReadingPaused = isPaused && m_current;
        if (!m_isReadingPaused && m_isReadDue) {
            read();
        }
    }

    void close() override
    {
        m_onRestWritten = nullptr;
        closeSocket();
    }

    bool isIdle() const override
    {
        return !m_isClosed && !m_current && !m_isWriting;
    }

    bool isWritingRest() const override
    {
        return !m_isClosed && !m_current && m_isWriting;
    }

    ConnectionError error() const override
    {
        return m_error;
    }

    void setOnIdleClose(std::function<void()> callback) override
    {
        m_onIdleClose = std::move(callback);
    }

    void setOnRestWritten(std::function<void()> callback) override
    {
        m_onRestWritten = std::move(callback);
    }

private:
    using Pointer = boost::intrusive_ptr<Connection>;

    void closeSocket()
    {
        if (std::exchange(m_isClosed, true)) {
            return;
        }
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.close(ec);
        // Callbacks may hold this connection, so they are released. This is deferred because one may be running now.
        asio::post(m_socket.get_executor(), [self = Pointer(this)] {
            self->m_current.reset();
            self->m_parser.reset();
            self->m_onIdleClose = nullptr;
        });
    }

    /// Called also when a write that is under way is cancelled, since the connection was closed.
    void onWritten(boost::system::error_code ec, std::size_t n)
    {
        m_isWriting = false;
        m_requestBytes = {};
        if (ec && !m_isClosed) {
            m_error = connectionError(ec);
            if (m_current) {
                finish(n == 0 ? SendOutcome::NotSent : SendOutcome::ConnectionLost);
            } else {
                closeSocket();
            }
        }
        if (!m_current) {
            stopTimer();
        }
        if (const auto callback = std::exchange(m_onRestWritten, nullptr)) {
            callback();
        }
    }

    void stopTimer()
    {
        m_timer.cancel();
        m_isTimerArmed = false;
    }

    void onConnectDone(boost::system::error_code ec)
    {
        const auto callback = std::exchange(m_onOpen, nullptr);
        if (!callback) {
            return;
        }
        stopTimer();
        if (ec) {
            closeSocket();
            callback(tl::unexpected(connectionError(ec)));
            return;
        }
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(TcpUserTimeoutMilliseconds), ignored);
        read();
        callback(ClientConnectionPointer(this));
    }

    void startParser()
    {
        m_hasHeaders = false;
        m_isSkipping = false;
        m_parser.emplace([this] { processHeaders(); }, [this](std::string_view chunk) { processChunk(chunk); });
        m_parser->header_limit(MaxFramingBytes);
        m_parser->body_limit(MaxStreamBytes);
    }

    void processHeaders()
    {
        m_hasHeaders = true;
        if (m_parser->status() < FirstStatus) {
            finish(SendOutcome::Malformed);
            return;
        }
        const bool isInterim = m_parser->status() < FirstFinalStatus;
        auto action = isInterim ? HeaderAction::Skip : HeaderAction::Accept;
        if (!isInterim && m_current && m_current->onHeaders) {
            action = m_current->onHeaders(m_parser->status(), m_parser->headers());
        }
        m_isSkipping = action == HeaderAction::Skip;
        m_bodyBytesLeft = action == HeaderAction::Stream ? MaxStreamBytes : MaxBodyBytes;
    }

    void processChunk(std::string_view chunk)
    {
        if (chunk.size() > m_bodyBytesLeft) {
            finish(SendOutcome::Malformed);
            return;
        }
        m_bodyBytesLeft -= chunk.size();
        if (!m_isSkipping && m_current && m_current->onChunk && !m_isClosed) {
            m_current->onChunk(chunk);
        }
    }

    void read()
    {
        m_isReadDue = m_isReadingPaused;
        if (m_isReadDue || m_isClosed) {
            return;
        }
        m_socket.async_read_some(m_buffer.prepare(ReadSize), [self = Pointer(this)](boost::system::error_code ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(boost::system::error_code ec, std::size_t n)
    {
        if (m_isClosed) {
            return;
        }
        m_buffer.commit(n);
        if (!m_current) {
            closeIdle();
            return;
        }
        if (ec) {
            onReadError(ec);
            return;
        }
        if (parse()) {
            read();
        }
    }

    /// @return whether to continue reading
    bool parse()
    {
        while (m_buffer.size() > 0) {
            beast::error_code ec;
            const auto n = m_parser->put(m_buffer.data(), ec);
            m_buffer.consume(n);
            if (m_isClosed) {
                return false;
            }
            // The parser itself limits the header section, but not what it waits for between the parts of a chunked body.
            const bool isOverlong = ec == http::error::need_more && m_buffer.size() > MaxFramingBytes;
            if (ec == http::error::need_more && !isOverlong) {
                return true;
            }
            if (ec) {
                finish(SendOutcome::Malformed);
                return false;
            }
            if (m_parser->is_done()) {
                return onResponseComplete();
            }
        }
        return true;
    }

    bool onResponseComplete()
    {
        if (!m_isSkipping) {
            const bool canReuse = m_parser->keep_alive() && m_buffer.size() == 0;
            finish(SendOutcome::Complete, canReuse);
            return canReuse && !m_isClosed;
        }
        if (++m_skippedResponses > MaxSkippedResponses || !m_parser->keep_alive()) {
            finish(SendOutcome::Malformed);
            return false;
        }
        startParser();
        return m_buffer.size() == 0 || parse();
    }

    void onReadError(boost::system::error_code ec)
    {
        m_error = connectionError(ec);
        if (ec == asio::error::eof && m_parser && m_hasHeaders && !m_isSkipping) {
            beast::error_code error;
            m_parser->put_eof(error);
            if (!error && m_parser->is_done()) {
                finish(SendOutcome::CompleteByClose);
                return;
            }
        }
        finish(SendOutcome::ConnectionLost);
    }

    void closeIdle()
    {
        const auto callback = std::exchange(m_onIdleClose, nullptr);
        closeSocket();
        if (callback) {
            callback();
        }
    }

    void finish(SendOutcome outcome, bool canReuse = false)
    {
        if (!m_current) {
            return;
        }
        const auto ended = std::exchange(m_current, std::nullopt);
        m_isReadingPaused = false;
        if (!canReuse) {
            closeSocket();
        } else if (m_isWriting) {
            setDeadline(base::now() + RestTimeout);
            armDeadlineTimer();
        } else {
            stopTimer();
        }
        if (ended->onEnd) {
            ended->onEnd(outcome);
        }
    }

    void onDeadline()
    {
        if (isWritingRest()) {
            closeSocket();
            return;
        }
        const auto extendedDeadline = m_current && m_current->onTimeout ? m_current->onTimeout() : base::Time();
        if (extendedDeadline > base::now()) {
            m_deadline = extendedDeadline;
            armDeadlineTimer();
        } else {
            finish(SendOutcome::TimedOut);
        }
    }

    /// The timer is not restarted for each received chunk: if it fires before the deadline, it is armed again.
    void armDeadlineTimer()
    {
        if (std::exchange(m_isTimerArmed, true)) {
            return;
        }
        m_timer.expires_after(m_deadline - base::now());
        m_timer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
            if (ec || self->m_isClosed) {
                return;
            }
            self->m_isTimerArmed = false;
            if (base::now() < self->m_deadline) {
                self->armDeadlineTimer();
            } else if (self->m_onOpen) {
                self->onConnectDone(asio::error::timed_out);
            } else {
                self->onDeadline();
            }
        });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_host;
    std::function<void(tl::expected<ClientConnectionPointer, ConnectionError>)> m_onOpen;
    std::function<void()> m_onIdleClose;
    std::function<void()> m_onRestWritten;
    std::optional<ClientRequest> m_current;
    std::optional<ResponseParser> m_parser;
    beast::flat_buffer m_buffer;
    std::string m_requestBytes; ///< must not change while it is being written
    base::Time m_deadline;
    std::size_t m_bodyBytesLeft = 0; ///< that the response may still have
    ConnectionError m_error = ConnectionError::None;
    int m_skippedResponses = 0;
    bool m_hasHeaders = false;
    bool m_isSkipping = false;
    bool m_isTimerArmed = false;
    bool m_isWriting = false;
    bool m_isReadingPaused = false;
    bool m_isReadDue = false; ///< once reading is no longer paused
    bool m_isClosed = false;
};

} // namespace

bool isComplete(SendOutcome outcome)
{
    return outcome == SendOutcome::Complete || outcome == SendOutcome::CompleteByClose;
}

std::string_view toString(ConnectionError error)
{
    switch (error) {
    case ConnectionError::None:
        return "none";
    case ConnectionError::Refused:
        return "refused";
    case ConnectionError::Reset:
        return "reset";
    case ConnectionError::Closed:
        return "closed";
    case ConnectionError::TimedOut:
        return "timed_out";
    case ConnectionError::Other:
        break;
    }
    return "other";
}

std::string_view toString(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Complete:
        return "whole";
    case SendOutcome::CompleteByClose:
        return "whole_by_close";
    case SendOutcome::NotSent:
        return "not_sent";
    case SendOutcome::ConnectionLost:
        return "lost";
    case SendOutcome::TimedOut:
        return "silent";
    case SendOutcome::Malformed:
        return "malformed";
    }
    return "lost";
}

void openConnection(asio::io_context &context, const base::Address &to, base::Time deadline,
                    std::function<void(tl::expected<ClientConnectionPointer, ConnectionError>)> onOpen)
{
    const auto connection = boost::intrusive_ptr<Connection>(new Connection(context, to));
    connection->open(to, deadline, std::move(onOpen));
}

} // namespace turmericplank::net
