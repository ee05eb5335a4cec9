#include "turmericplank/net/serverconnection.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "turmericplank/net/beastconversion.hpp"
#include "turmericplank/net/requestparser.hpp"
#include "turmericplank/net/serverexchange.hpp"

namespace turmericplank::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

HttpResponse plainTextError(int status)
{
    return {status, {{"Content-Type", "text/plain"}}, reasonPhrase(status) + '\n'};
}

bool isParseError(const beast::error_code &ec)
{
    return ec.category() == http::make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

class Connection;
using ConnectionPointer = boost::intrusive_ptr<Connection>;

class Connection final : public ExchangeSink, private BudgetMember
{
public:
    Connection(tcp::socket socket, boost::intrusive_ptr<ServerState> serverState)
        : m_serverState(std::move(serverState))
        , m_stream(std::move(socket))
        , m_requestTimer(m_stream.get_executor())
    {
    }

    /// Begins to read, unless the budget has no room for one more connection.
    void start()
    {
        if (m_serverState->options.budget && !m_serverState->options.budget->add(*this)) {
            close();
            return;
        }
        if (m_serverState->options.sendBufferBytes > 0) {
            beast::error_code ignored;
            m_stream.socket().set_option(asio::socket_base::send_buffer_size(static_cast<int>(m_serverState->options.sendBufferBytes)), ignored);
        }
        readRequest();
    }

    void readRequest()
    {
        if (m_buffer.size() > 0) {
            readMessage();
            return;
        }
        m_stream.expires_never();
        m_buffer.shrink_to_fit();
        noteProgress(m_hasServed ? ConnectionUse::Idle : ConnectionUse::Unproven);
        m_idleSince = base::now();
        armIdleTimer();
        m_stream.async_read_some(m_buffer.prepare(ReadSize), [self = ConnectionPointer(this)](beast::error_code ec, std::size_t n) {
            self->m_buffer.commit(n);
            self->m_idleSince.reset();
            self->m_requestTimer.cancel();
            if (ec || self->m_serverState->isStopping) {
                self->close();
                return;
            }
            self->readMessage();
        });
    }

    void write(std::string bytes) override
    {
        if (m_isClosed) {
            return;
        }
        setQueuedBytes(m_queuedBytes + bytes.size());
        m_queue.push_back(std::move(bytes));
        if (!m_isWriting) {
            writeNext();
        }
        noteProgress(ConnectionUse::Answering);
    }

    void endExchange(bool keepsAlive) override
    {
        m_closesAfterWrite = !keepsAlive || m_serverState->isStopping;
        m_current = nullptr;
        m_currentBytes = 0;
        m_isResponseQueued = true;
        if (!m_isWriting) {
            onResponseWritten();
        }
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        setQueuedBytes(0);
        leaveBudget();
        m_requestTimer.cancel();
        beast::error_code ec;
        if (!m_isReset) {
            m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
        }
        m_stream.close();
        if (const auto current = std::exchange(m_current, nullptr)) {
            const ExchangePointer guard(current);
            reportUnanswered(UnansweredCause::CallerDisconnected);
            current->notifyClosed();
        }
    }

    void abortConnection() override
    {
        resetIfHttp10();
        m_current = nullptr;
        if (!m_isClosed) {
            reportUnanswered(m_hasCallerLeft ? UnansweredCause::CallerDisconnected : UnansweredCause::Aborted);
        }
        close();
    }

    std::size_t queuedBytes() const override
    {
        return m_queuedBytes;
    }

    /// Reads what has arrived of later requests, since the end of the connection comes after it.
    bool isCallerConnected() override
    {
        if (m_isClosed) {
            return false;
        }
        auto &socket = m_stream.socket();
        beast::error_code ec;
        if (!socket.non_blocking()) {
            socket.non_blocking(true, ec);
        }
        while (!ec && m_buffer.size() < MaxReadAhead) {
            const auto n = socket.read_some(m_buffer.prepare(ReadSize), ec);
            m_buffer.commit(n);
        }
        m_hasCallerLeft = ec && ec != asio::error::would_block;
        return !m_hasCallerLeft;
    }

    void adjustExchangeCount(int change) override
    {
        m_serverState->exchangesInProgress += static_cast<std::size_t>(change);
    }

    bool isHttp10() const override
    {
        return m_isHttp10;
    }

    bool wantsKeepAlive() const override
    {
        return m_wantsKeepAlive && !m_serverState->isClosingAfterResponses;
    }

private:
    static constexpr std::size_t ReadSize = 8 * 1024; ///< bytes
    static constexpr std::size_t BodyReadSize = 64 * 1024; ///< bytes that are read at once of a request that did not arrive as a whole
    /// Bytes of later requests that are read during a response. The end of a caller that sends more is noticed after the response.
    static constexpr std::size_t MaxReadAhead = 64 * 1024;

    /// A response without length and chunks looks complete if its connection ends in order, so the connection is reset.
    void resetIfHttp10()
    {
        if (m_isHttp10 && !m_isClosed) {
            beast::error_code ec;
            m_stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
            m_isReset = true;
        }
    }

    /// The timeout is looked up again when it has passed, since it may have been raised meanwhile. Cancelling the read, rather than
    /// closing the socket, keeps a request that has just been received.
    void armIdleTimer()
    {
        m_requestTimer.expires_after(*m_idleSince + m_serverState->options.idleTimeout - base::now());
        m_requestTimer.async_wait([self = ConnectionPointer(this)](beast::error_code ec) {
            if (ec || self->m_isClosed || !self->m_idleSince) {
                return;
            }
            if (base::now() < *self->m_idleSince + self->m_serverState->options.idleTimeout) {
                self->armIdleTimer();
                return;
            }
            beast::error_code ignored;
            self->m_stream.socket().cancel(ignored);
        });
    }

    void readMessage()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_serverState->options.maxHeaderBytes));
        m_parser->body_limit(m_serverState->options.maxBodyBytes);
        // Headers, a line of a chunk or all trailers are parsed once they are in the buffer as a whole.
        m_buffer.max_size(std::max(m_serverState->options.maxHeaderBytes, MaxReadAhead) + 2 * ReadSize);
        m_stream.expires_never();
        m_hasTimedOut = false;
        m_requestTimer.expires_after(m_serverState->options.requestTimeout);
        m_requestTimer.async_wait([self = ConnectionPointer(this)](beast::error_code ec) { self->onRequestTimeout(ec); });
        parse();
    }

    /// Not http::async_read_some, which goes on by itself as long as a line is incomplete, so that the budget would not see what has arrived.
    void readSome()
    {
        const auto room = m_buffer.max_size() - m_buffer.size();
        if (room == 0) {
            onRead(http::error::buffer_overflow);
            return;
        }
        m_stream.async_read_some(m_buffer.prepare(std::min(room, BodyReadSize)), [self = ConnectionPointer(this)](beast::error_code ec, std::size_t n) {
            self->m_buffer.commit(n);
            const bool isCancelled = self->m_hasGivenWay || self->m_hasTimedOut;
            if (ec || isCancelled) {
                self->onRead(ec ? ec : beast::error_code(asio::error::operation_aborted));
                return;
            }
            self->parse();
        });
    }

    /// Parses what has arrived, and reads on if that is not the whole request.
    void parse()
    {
        beast::error_code ec;
        while (!ec && m_buffer.size() > 0 && !m_parser->is_done()) {
            m_buffer.consume(m_parser->parse(m_buffer.data(), ec));
        }
        const bool isIncomplete = ec == http::error::need_more || (!ec && !m_parser->is_done());
        if (!isIncomplete) {
            onRead(ec);
            return;
        }
        noteProgress(ConnectionUse::Incomplete);
        if (m_hasGivenWay) {
            onRead({});
            return;
        }
        readSome();
    }

    std::size_t requestBytes() const
    {
        return m_buffer.capacity() + m_currentBytes + (m_parser ? m_parser->get().body().capacity() : 0);
    }

    void noteProgress(ConnectionUse use)
    {
        if (m_serverState->options.budget && !m_isClosed) {
            m_serverState->options.budget->note(*this, use, requestBytes(), m_queuedBytes);
        }
    }

    /// An incomplete request has not been run and never will be, so its caller is told; a response that is not read ends unfinished.
    void giveWay(GiveWayCause cause) override
    {
        const auto guard = ConnectionPointer(this);
        m_hasGivenWay = true;
        if (cause == GiveWayCause::Memory && m_parser && !m_current) {
            beast::error_code ignored;
            m_stream.socket().cancel(ignored);
            return;
        }
        if (m_parser || m_current || m_queuedBytes > 0) {
            reportUnanswered(UnansweredCause::OverBudget);
        }
        // The response may be in the middle of being written.
        asio::post(m_stream.get_executor(), [guard] {
            if (guard->m_current || guard->m_queuedBytes > 0) {
                guard->resetIfHttp10();
            }
            guard->close();
        });
    }

    /// Cancels the read but keeps the socket open for the error response to the slow sender.
    void onRequestTimeout(beast::error_code ec)
    {
        if (ec || m_isClosed || m_current) {
            return;
        }
        m_hasTimedOut = true;
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    void onRead(beast::error_code ec)
    {
        m_requestTimer.cancel();
        if (m_hasGivenWay) {
            rejectRequest(503);
            return;
        }
        if (ec && m_hasTimedOut) {
            rejectRequest(408);
            return;
        }
        if (ec && !isParseError(ec)) {
            reportUnanswered(UnansweredCause::RequestIncomplete);
            close();
            return;
        }
        if (ec) {
            rejectRequest(m_parser->rejectionStatus(ec));
            return;
        }
        auto message = m_parser->release();
        m_parser.reset();
        m_hasServed = true;
        m_wantsKeepAlive = message.keep_alive();
        m_isHttp10 = message.version() < 11;
        HttpRequest request{std::string(message.method_string()), std::string(message.target()), toHeaders(message), std::move(message.body())};
        // The body is copied for each endpoint that the request is sent to.
        m_currentBytes = 2 * request.body.capacity();
        noteProgress(ConnectionUse::Answering);
        const auto &budget = m_serverState->options.budget;
        if (budget && budget->isExceeded() && m_currentBytes > budget->smallBytes()) {
            rejectRequest(503);
            return;
        }
        const auto exchange = boost::intrusive_ptr<ServerExchange>(new ServerExchange(SinkPointer(this), std::move(request)));
        m_current = exchange.get();
        watchForDisconnect();
        if (m_serverState->options.onRequest) {
            m_serverState->options.onRequest(exchange);
        } else {
            close();
        }
    }

    void rejectRequest(int status)
    {
        const auto &callback = m_serverState->options.onBadRequest;
        const auto response = callback ? callback(status) : plainTextError(status);
        m_parser.reset();
        m_currentBytes = 0;
        m_closesAfterWrite = true;
        m_isResponseQueued = true;
        m_isRequestRejected = true;
        http::response<http::empty_body> message;
        addHeaders(response.headers, message);
        message.keep_alive(false);
        message.content_length(response.body.size());
        write(serializeResponseHead(response.status, message) + response.body);
    }

    /// While a response is in progress, the socket becomes readable when the caller disconnects or sends its next request.
    void watchForDisconnect()
    {
        m_stream.expires_never();
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = ConnectionPointer(this)](beast::error_code ec) {
            if (ec || self->m_isClosed || !self->m_current) {
                return;
            }
            self->checkForDisconnect();
        });
    }

    void checkForDisconnect()
    {
        if (!isCallerConnected()) {
            close();
        } else if (m_buffer.size() < MaxReadAhead) {
            watchForDisconnect();
        }
    }

    /// Each write is limited in size, so that the timeout ends callers that take almost nothing, but not those that take a long response slowly.
    void writeNext()
    {
        m_isWriting = true;
        std::vector<asio::const_buffer> buffers;
        std::size_t size = 0;
        for (auto it = m_queue.begin(); it != m_queue.end() && buffers.size() < MaxBuffersPerWrite && size < MaxBytesPerWrite; ++it) {
            const auto rest = asio::buffer(*it) + (it == m_queue.begin() ? m_writtenOfFirst : 0);
            buffers.push_back(asio::buffer(rest, MaxBytesPerWrite - size));
            size += buffers.back().size();
        }
        m_stream.expires_after(m_serverState->options.writeTimeout);
        asio::async_write(m_stream, buffers, [self = ConnectionPointer(this)](beast::error_code ec, std::size_t n) {
            self->m_isWriting = false;
            self->dropWritten(n);
            if (ec) {
                self->onWriteFailed();
                return;
            }
            self->m_stream.expires_never();
            self->noteProgress(ConnectionUse::Answering);
            if (self->m_current) {
                const ExchangePointer guard(self->m_current);
                self->m_current->notifyWritten();
            }
            if (self->m_isWriting || self->m_isClosed) {
                return;
            }
            if (!self->m_queue.empty()) {
                self->writeNext();
            } else if (self->m_isResponseQueued) {
                self->onResponseWritten();
            }
        });
    }

    void setQueuedBytes(std::size_t bytes)
    {
        m_serverState->unwrittenResponses += bytes > 0 ? 1 : 0;
        m_serverState->unwrittenResponses -= m_queuedBytes > 0 ? 1 : 0;
        m_queuedBytes = bytes;
    }

    void dropWritten(std::size_t n)
    {
        setQueuedBytes(m_queuedBytes - std::min(n, m_queuedBytes));
        m_writtenOfFirst += n;
        while (!m_queue.empty() && m_writtenOfFirst >= m_queue.front().size()) {
            m_writtenOfFirst -= m_queue.front().size();
            m_queue.pop_front();
        }
    }

    void onWriteFailed()
    {
        if (!m_isClosed) {
            reportUnanswered(UnansweredCause::WriteFailed);
        }
        close();
    }

    /// Only the first cause counts: closing a connection makes its pending operations fail as well.
    void reportUnanswered(UnansweredCause cause)
    {
        const auto &callback = m_serverState->options.onUnanswered;
        if (!std::exchange(m_isUnansweredReported, true) && callback) {
            callback(cause);
        }
    }

    /// The rest of a request that was rejected early is expected; other bytes belong to a request that will get no answer.
    void noteDiscarded(std::size_t bytes)
    {
        if (bytes > 0 && !m_isRequestRejected) {
            reportUnanswered(UnansweredCause::CrossedClose);
        }
    }

    void onResponseWritten()
    {
        m_isResponseQueued = false;
        if (m_closesAfterWrite) {
            closeGracefully();
            return;
        }
        asio::post(m_stream.get_executor(), [self = ConnectionPointer(this)] {
            if (!self->m_isClosed) {
                beast::error_code ec;
                self->m_stream.socket().cancel(ec);
                self->readRequest();
            }
        });
    }

    /// Reads until the caller closes or one second passes, since closing a socket with unread bytes can discard the response.
    void closeGracefully()
    {
        noteDiscarded(m_buffer.size());
        noteProgress(ConnectionUse::Idle);
        beast::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        m_stream.expires_after(std::chrono::seconds(1));
        discardInput();
    }

    void discardInput()
    {
        m_buffer.consume(m_buffer.size());
        m_buffer.shrink_to_fit();
        m_stream.async_read_some(m_buffer.prepare(ReadSize), [self = ConnectionPointer(this)](beast::error_code ec, std::size_t n) {
            self->noteDiscarded(n);
            if (ec) {
                self->close();
                return;
            }
            self->discardInput();
        });
    }

    static constexpr std::size_t MaxBuffersPerWrite = 64;
    static constexpr std::size_t MaxBytesPerWrite = 16 * 1024;

    boost::intrusive_ptr<ServerState> m_serverState;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    asio::steady_timer m_requestTimer; ///< also for the time between two requests
    std::optional<base::Time> m_idleSince; ///< set while the next request is awaited
    ServerExchange *m_current = nullptr;
    std::deque<std::string> m_queue; ///< not written yet; a deque keeps the addresses of its elements when others are added
    std::size_t m_writtenOfFirst = 0; ///< bytes of the first element of the queue
    std::size_t m_queuedBytes = 0;
    std::size_t m_currentBytes = 0; ///< of the request that is being answered
    bool m_isWriting = false;
    bool m_hasTimedOut = false;
    bool m_hasGivenWay = false; ///< to other connections
    bool m_hasServed = false; ///< has brought a whole request
    bool m_isClosed = false;
    bool m_isResponseQueued = false;
    bool m_closesAfterWrite = false;
    bool m_wantsKeepAlive = true;
    bool m_isHttp10 = false;
    bool m_isReset = false; ///< instead of closed in order
    bool m_hasCallerLeft = false;
    bool m_isRequestRejected = false;
    bool m_isUnansweredReported = false;
};

} // namespace

void startConnection(tcp::socket socket, boost::intrusive_ptr<ServerState> serverState)
{
    const auto connection = ConnectionPointer(new Connection(std::move(socket), std::move(serverState)));
    connection->start();
}

} // namespace turmericplank::net
