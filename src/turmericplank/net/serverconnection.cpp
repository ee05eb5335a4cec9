#include "turmericplank/net/serverconnection.hpp"

#include <array>
#include <deque>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "turmericplank/net/beastconversion.hpp"

namespace turmericplank::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

class Connection;
using ConnectionPointer = boost::intrusive_ptr<Connection>;

HttpResponse plainError(int status)
{
    return {status, {{"Content-Type", "text/plain"}}, std::string(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)))) + '\n'};
}

int statusOf(const beast::error_code &ec)
{
    if (ec == http::error::header_limit) {
        return 431;
    }
    if (ec == http::error::body_limit) {
        return 413;
    }
    return 400;
}

bool isParseError(const beast::error_code &ec)
{
    return ec.category() == http::make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

/// One request of a connection; outlives the connection as long as its handler holds it.
class Exchange final : public HttpExchange
{
public:
    Exchange(ConnectionPointer connection, HttpRequest request);
    ~Exchange() override;

    const HttpRequest &request() const override
    {
        return m_request;
    }
    void respond(HttpResponse response) override;
    void startStream(int status, Headers headers) override;
    void writePiece(std::string piece) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    void setOnClosed(std::function<void()> onClosed) override
    {
        m_onClosed = std::move(onClosed);
    }

    void notifyClosed();

private:
    void finish(bool keepsAlive);
    void queueHead(int status, const Headers &headers, std::optional<std::size_t> length);

    enum class Phase { Waiting, Streaming, Ended };

    ConnectionPointer m_connection;
    HttpRequest m_request;
    std::function<void()> m_onClosed;
    Phase m_phase = Phase::Waiting;
};

class Connection : public boost::intrusive_ref_counter<Connection, boost::thread_unsafe_counter>
{
public:
    Connection(tcp::socket socket, boost::intrusive_ptr<ServerShared> shared)
        : m_shared(std::move(shared))
        , m_stream(std::move(socket))
        , m_requestTimer(m_stream.get_executor())
    {
    }

    void readRequest()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_shared->options.headerLimit));
        m_parser->body_limit(m_shared->options.bodyLimit);
        if (m_buffer.size() > 0) {
            readMessage();
            return;
        }
        m_stream.expires_after(m_shared->options.idleTimeout);
        m_stream.async_read_some(m_buffer.prepare(ReadSize), [self = ConnectionPointer(this)](beast::error_code ec, std::size_t n) {
            self->m_buffer.commit(n);
            if (ec || self->m_shared->isStopping) {
                self->close();
                return;
            }
            self->readMessage();
        });
    }

    void write(std::string bytes)
    {
        if (m_isClosed) {
            return;
        }
        m_queuedBytes += bytes.size();
        m_queue.push_back(std::move(bytes));
        if (!m_isWriting) {
            writeNext();
        }
    }

    void endExchange(bool keepsAlive)
    {
        m_closesAfterWrite = !keepsAlive || m_shared->isStopping;
        m_current = nullptr;
        m_isAnswerQueued = true;
        if (!m_isWriting) {
            afterAnswer();
        }
    }

    void close()
    {
        if (m_isClosed) {
            return;
        }
        m_isClosed = true;
        m_requestTimer.cancel();
        beast::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ec);
        m_stream.close();
        if (const auto current = std::exchange(m_current, nullptr)) {
            const ExchangePointer guard(current);
            current->notifyClosed();
        }
    }

    /// Closes without an answer; starts no operation, since the context may be going away.
    void drop()
    {
        m_current = nullptr;
        close();
    }

    std::size_t queuedBytes() const
    {
        return m_queuedBytes;
    }

    ServerShared &shared()
    {
        return *m_shared;
    }

    bool isOldHttp() const
    {
        return m_isOldHttp;
    }

    bool wantsKeepAlive() const
    {
        return m_wantsKeepAlive;
    }

private:
    static constexpr std::size_t ReadSize = 8 * 1024;

    void readMessage()
    {
        m_stream.expires_never();
        m_hasTimedOut = false;
        m_requestTimer.expires_after(m_shared->options.requestTimeout);
        m_requestTimer.async_wait([self = ConnectionPointer(this)](beast::error_code ec) { self->onRequestTimeout(ec); });
        http::async_read(m_stream, m_buffer, *m_parser, [self = ConnectionPointer(this)](beast::error_code ec, std::size_t) { self->onRead(ec); });
    }

    /// Cancels the read but keeps the socket, so that the slow sender can be told.
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
        if (ec && m_hasTimedOut) {
            refuse(408);
            return;
        }
        if (ec && !isParseError(ec)) {
            close();
            return;
        }
        if (ec) {
            refuse(statusOf(ec));
            return;
        }
        auto message = m_parser->release();
        m_wantsKeepAlive = message.keep_alive();
        m_isOldHttp = message.version() < 11;
        HttpRequest request{std::string(message.method_string()), std::string(message.target()), toHeaders(message), std::move(message.body())};
        const auto exchange = boost::intrusive_ptr<Exchange>(new Exchange(ConnectionPointer(this), std::move(request)));
        m_current = exchange.get();
        watchForClose();
        if (m_shared->options.onRequest) {
            m_shared->options.onRequest(exchange);
        } else {
            close();
        }
    }

    void refuse(int status)
    {
        const auto &hook = m_shared->options.onBadRequest;
        const auto response = hook ? hook(status) : plainError(status);
        m_closesAfterWrite = true;
        m_isAnswerQueued = true;
        http::response<http::string_body> message(http::int_to_status(static_cast<unsigned>(response.status)), 11, response.body);
        addHeaders(response.headers, message);
        message.keep_alive(false);
        message.prepare_payload();
        std::ostringstream buf;
        buf << message;
        write(buf.str());
    }

    /// While an answer is on its way the only thing to read is the caller's close or its next request's first bytes.
    void watchForClose()
    {
        m_stream.expires_never();
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = ConnectionPointer(this)](beast::error_code ec) {
            if (ec || self->m_isClosed || !self->m_current) {
                return;
            }
            self->checkForClose();
        });
    }

    void checkForClose()
    {
        std::array<char, 1> buf{};
        beast::error_code ec;
        m_stream.socket().non_blocking(true, ec);
        const auto n = m_stream.socket().receive(asio::buffer(buf), tcp::socket::message_peek, ec);
        if ((ec && ec != asio::error::would_block) || (!ec && n == 0)) {
            close();
        }
    }

    void writeNext()
    {
        m_isWriting = true;
        std::vector<asio::const_buffer> buffers;
        m_inFlight.clear();
        while (!m_queue.empty() && m_inFlight.size() < MostBuffers) {
            m_inFlight.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
        for (const auto &it : m_inFlight) {
            buffers.push_back(asio::buffer(it));
        }
        m_stream.expires_after(m_shared->options.writeTimeout);
        asio::async_write(m_stream, buffers, [self = ConnectionPointer(this)](beast::error_code ec, std::size_t n) {
            self->m_isWriting = false;
            self->m_queuedBytes -= std::min(n, self->m_queuedBytes);
            if (ec) {
                self->close();
                return;
            }
            self->m_stream.expires_never();
            if (!self->m_queue.empty()) {
                self->writeNext();
            } else if (self->m_isAnswerQueued) {
                self->afterAnswer();
            }
        });
    }

    void afterAnswer()
    {
        m_isAnswerQueued = false;
        if (m_closesAfterWrite) {
            closeGently();
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

    /// Reads on until the other side closes, since closing with unread bytes would discard the answer.
    void closeGently()
    {
        beast::error_code ec;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
        m_stream.expires_after(std::chrono::seconds(1));
        discard();
    }

    void discard()
    {
        m_buffer.consume(m_buffer.size());
        m_stream.async_read_some(m_buffer.prepare(ReadSize), [self = ConnectionPointer(this)](beast::error_code ec, std::size_t) {
            if (ec) {
                self->close();
                return;
            }
            self->discard();
        });
    }

    static constexpr std::size_t MostBuffers = 64;

    boost::intrusive_ptr<ServerShared> m_shared;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    asio::steady_timer m_requestTimer;
    Exchange *m_current = nullptr;
    std::deque<std::string> m_queue;
    std::vector<std::string> m_inFlight;
    std::size_t m_queuedBytes = 0;
    bool m_isWriting = false;
    bool m_hasTimedOut = false;
    bool m_isClosed = false;
    bool m_isAnswerQueued = false;
    bool m_closesAfterWrite = false;
    bool m_wantsKeepAlive = true;
    bool m_isOldHttp = false;
};

Exchange::Exchange(ConnectionPointer connection, HttpRequest request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
{
    ++m_connection->shared().exchangesInProgress;
}

Exchange::~Exchange()
{
    --m_connection->shared().exchangesInProgress;
    if (m_phase != Phase::Ended) {
        m_phase = Phase::Ended;
        m_connection->drop();
    }
}

void Exchange::queueHead(int status, const Headers &headers, std::optional<std::size_t> length)
{
    http::response<http::empty_body> head(http::int_to_status(static_cast<unsigned>(status)), 11);
    addHeaders(headers, head);
    if (length) {
        head.content_length(*length);
    } else if (!m_connection->isOldHttp()) {
        head.chunked(true);
    }
    head.keep_alive(m_connection->wantsKeepAlive() && (length || !m_connection->isOldHttp()));
    std::ostringstream buf;
    buf << head.base();
    m_connection->write(buf.str());
}

void Exchange::respond(HttpResponse response)
{
    if (m_phase != Phase::Waiting) {
        return;
    }
    queueHead(response.status, response.headers, response.body.size());
    if (m_request.method != "HEAD" && !response.body.empty()) {
        m_connection->write(std::move(response.body));
    }
    finish(m_connection->wantsKeepAlive());
}

void Exchange::startStream(int status, Headers headers)
{
    if (m_phase != Phase::Waiting) {
        return;
    }
    m_phase = Phase::Streaming;
    queueHead(status, headers, std::nullopt);
}

void Exchange::writePiece(std::string piece)
{
    if (m_phase != Phase::Streaming || piece.empty()) {
        return;
    }
    if (m_connection->isOldHttp()) {
        m_connection->write(std::move(piece));
        return;
    }
    std::array<char, 20> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", piece.size());
    std::string chunk(buf.data(), static_cast<std::size_t>(n));
    chunk += piece;
    chunk += "\r\n";
    m_connection->write(std::move(chunk));
}

void Exchange::endStream()
{
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (!m_connection->isOldHttp()) {
        m_connection->write("0\r\n\r\n");
    }
    finish(m_connection->wantsKeepAlive() && !m_connection->isOldHttp());
}

void Exchange::abort()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    m_phase = Phase::Ended;
    m_onClosed = nullptr;
    m_connection->drop();
}

std::size_t Exchange::queuedBytes() const
{
    return m_connection->queuedBytes();
}

void Exchange::finish(bool keepsAlive)
{
    m_phase = Phase::Ended;
    m_onClosed = nullptr;
    m_connection->endExchange(keepsAlive);
}

void Exchange::notifyClosed()
{
    m_phase = Phase::Ended;
    if (const auto hook = std::exchange(m_onClosed, nullptr)) {
        hook();
    }
}

} // namespace

void startConnection(tcp::socket socket, boost::intrusive_ptr<ServerShared> shared)
{
    const auto connection = ConnectionPointer(new Connection(std::move(socket), std::move(shared)));
    connection->readRequest();
}

} // namespace turmericplank::net
