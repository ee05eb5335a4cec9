#include "turmericplank/net/clientconnection.hpp"

#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <netinet/tcp.h>

#include "turmericplank/net/answerparser.hpp"

namespace turmericplank::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t ReadSize = 4 * 1024; ///< bytes; a few events of a stream
constexpr std::uint64_t BodyLimit = 64 * 1024 * 1024; ///< bytes; a stream's answer has no length of its own
constexpr int MostSkipped = 4; ///< late answers read past before the connection is taken for garbled
constexpr int UnacknowledgedMilliseconds = 4000; ///< TCP gives a peer up that acknowledges nothing for this long

std::string serialized(const HttpRequest &request, const std::string &host)
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

class Connection final : public ClientConnection
{
public:
    explicit Connection(asio::io_context &context, const base::Address &to)
        : m_socket(context)
        , m_timer(context)
        , m_host(toString(to))
    {
    }

    void open(const base::Address &to, base::Time deadline, std::function<void(ClientConnectionPointer)> onOpen)
    {
        boost::system::error_code ec;
        const auto host = asio::ip::make_address(to.host, ec);
        m_onOpen = std::move(onOpen);
        m_deadline = deadline;
        watchDeadline();
        const auto self = Pointer(this);
        if (ec) {
            asio::post(m_socket.get_executor(), [self] { self->opened(asio::error::invalid_argument); });
            return;
        }
        m_socket.async_connect(tcp::endpoint(host, to.port), [self](boost::system::error_code error) { self->opened(error); });
    }

    void send(ClientRequest send) override
    {
        m_send = std::move(send);
        m_deadline = m_send->deadline;
        m_skipped = 0;
        startParser();
        watchDeadline();
        m_bytes = serialized(m_send->request, m_host);
        m_send->request = {};
        asio::async_write(m_socket, asio::buffer(m_bytes), [self = Pointer(this)](boost::system::error_code ec, std::size_t n) {
            if (ec && !self->m_isClosed) {
                self->finish(n == 0 ? SendOutcome::NotSent : SendOutcome::ConnectionLost);
            }
        });
    }

    void setDeadline(base::Time deadline) override
    {
        const bool isEarlier = deadline < m_deadline;
        m_deadline = deadline;
        if (isEarlier) {
            m_timer.cancel();
            m_isWatching = false;
            watchDeadline();
        }
    }

    void close() override
    {
        if (std::exchange(m_isClosed, true)) {
            return;
        }
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.close(ec);
        // A hook may be what is running now, and hooks may hold this connection.
        asio::post(m_socket.get_executor(), [self = Pointer(this)] {
            self->m_send.reset();
            self->m_parser.reset();
            self->m_onIdleEnd = nullptr;
        });
    }

    bool isIdle() const override
    {
        return !m_isClosed && !m_send;
    }

    void setOnIdleClose(std::function<void()> hook) override
    {
        m_onIdleEnd = std::move(hook);
    }

private:
    using Pointer = boost::intrusive_ptr<Connection>;

    void opened(boost::system::error_code ec)
    {
        const auto hook = std::exchange(m_onOpen, nullptr);
        if (!hook) {
            return;
        }
        m_timer.cancel();
        m_isWatching = false;
        if (ec) {
            close();
            hook(nullptr);
            return;
        }
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(UnacknowledgedMilliseconds), ignored);
        read();
        hook(Pointer(this));
    }

    void startParser()
    {
        m_hasHead = false;
        m_isSkipping = false;
        m_parser.emplace([this] { takeHead(); }, [this](std::string_view piece) { takePiece(piece); });
        m_parser->body_limit(BodyLimit);
    }

    void takeHead()
    {
        m_hasHead = true;
        m_isSkipping = m_send && m_send->onHeaders && m_send->onHeaders(m_parser->status(), m_parser->headers()) == HeaderAction::Skip;
    }

    void takePiece(std::string_view piece)
    {
        if (!m_isSkipping && m_send && m_send->onChunk && !m_isClosed) {
            m_send->onChunk(piece);
        }
    }

    void read()
    {
        m_socket.async_read_some(m_buffer.prepare(ReadSize), [self = Pointer(this)](boost::system::error_code ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(boost::system::error_code ec, std::size_t n)
    {
        if (m_isClosed) {
            return;
        }
        m_buffer.commit(n);
        if (!m_send) {
            endIdle();
            return;
        }
        if (ec) {
            onEndOfBytes(ec);
            return;
        }
        if (parse()) {
            read();
        }
    }

    /// @return whether to read on
    bool parse()
    {
        while (m_buffer.size() > 0) {
            beast::error_code ec;
            const auto n = m_parser->put(m_buffer.data(), ec);
            m_buffer.consume(n);
            if (m_isClosed) {
                return false;
            }
            if (ec == http::error::need_more) {
                return true;
            }
            if (ec) {
                finish(SendOutcome::Malformed);
                return false;
            }
            if (m_parser->is_done()) {
                return answerDone();
            }
        }
        return true;
    }

    bool answerDone()
    {
        if (!m_isSkipping) {
            const bool mayStay = m_parser->keep_alive() && m_buffer.size() == 0;
            finish(SendOutcome::Complete, mayStay);
            return mayStay && !m_isClosed;
        }
        if (++m_skipped > MostSkipped || !m_parser->keep_alive()) {
            finish(SendOutcome::Malformed);
            return false;
        }
        startParser();
        return m_buffer.size() == 0 || parse();
    }

    void onEndOfBytes(boost::system::error_code ec)
    {
        if (ec == asio::error::eof && m_parser && m_hasHead && !m_isSkipping) {
            beast::error_code error;
            m_parser->put_eof(error);
            if (!error && m_parser->is_done()) {
                finish(SendOutcome::Complete);
                return;
            }
        }
        finish(SendOutcome::ConnectionLost);
    }

    void endIdle()
    {
        const auto hook = std::exchange(m_onIdleEnd, nullptr);
        close();
        if (hook) {
            hook();
        }
    }

    void finish(SendOutcome outcome, bool mayStay = false)
    {
        if (!m_send) {
            return;
        }
        const auto send = std::exchange(m_send, std::nullopt);
        if (!mayStay) {
            close();
        } else {
            m_timer.cancel();
            m_isWatching = false;
        }
        if (send->onEnd) {
            send->onEnd(outcome);
        }
    }

    void onSilence()
    {
        const auto later = m_send && m_send->onTimeout ? m_send->onTimeout() : base::Time();
        if (later > base::now()) {
            m_deadline = later;
            watchDeadline();
        } else {
            finish(SendOutcome::TimedOut);
        }
    }

    /// The timer is not moved at each byte: when it fires early it is set again.
    void watchDeadline()
    {
        if (std::exchange(m_isWatching, true)) {
            return;
        }
        m_timer.expires_after(m_deadline - base::now());
        m_timer.async_wait([self = Pointer(this)](boost::system::error_code ec) {
            if (ec || self->m_isClosed) {
                return;
            }
            self->m_isWatching = false;
            if (base::now() < self->m_deadline) {
                self->watchDeadline();
            } else if (self->m_onOpen) {
                self->opened(asio::error::timed_out);
            } else {
                self->onSilence();
            }
        });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_host;
    std::function<void(ClientConnectionPointer)> m_onOpen;
    std::function<void()> m_onIdleEnd;
    std::optional<ClientRequest> m_send;
    std::optional<AnswerParser> m_parser;
    beast::flat_buffer m_buffer;
    std::string m_bytes;
    base::Time m_deadline;
    int m_skipped = 0;
    bool m_hasHead = false;
    bool m_isSkipping = false;
    bool m_isWatching = false;
    bool m_isClosed = false;
};

} // namespace

std::string_view toString(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Complete:
        return "whole";
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

void openConnection(asio::io_context &context, const base::Address &to, base::Time deadline, std::function<void(ClientConnectionPointer)> onOpen)
{
    const auto connection = boost::intrusive_ptr<Connection>(new Connection(context, to));
    connection->open(to, deadline, std::move(onOpen));
}

} // namespace turmericplank::net
