#include "unframedlistener.hpp"

#include <string>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::standins::siteendpoint {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

bool isFraming(const std::string &name)
{
    const boost::beast::string_view view(name);
    return boost::beast::iequals(view, "Content-Length") || boost::beast::iequals(view, "Transfer-Encoding") || boost::beast::iequals(view, "Connection");
}

/// One request and its response.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay(asio::io_context &context, tcp::socket socket, base::Address upstream)
        : m_context(context)
        , m_socket(std::move(socket))
        , m_upstream(std::move(upstream))
    {
    }

    void start()
    {
        http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
            if (!ec) {
                self->passOn();
            }
        });
    }

private:
    void passOn()
    {
        net::HttpCallOptions call;
        call.to = m_upstream;
        call.request = {std::string(m_request.method_string()), std::string(m_request.target()), {}, m_request.body()};
        for (const auto &it : m_request) {
            std::string name(it.name_string());
            if (!isFraming(name)) {
                call.request.headers.push_back({std::move(name), std::string(it.value())});
            }
        }
        call.onHeaders = [self = shared_from_this()](int status, const net::Headers &headers) {
            std::string head = "HTTP/1.1 " + std::to_string(status) + " \r\nConnection: close\r\n";
            for (const auto &it : headers) {
                head += isFraming(it.name) ? "" : it.name + ": " + it.value + "\r\n";
            }
            self->write(head + "\r\n");
        };
        call.onChunk = [self = shared_from_this()](std::string_view chunk) {
            self->write(std::string(chunk));
        };
        call.onEnd = [self = shared_from_this()](const auto &) {
            self->m_hasEnded = true;
            self->flush();
        };
        net::startCall(m_context, std::move(call));
    }

    void write(std::string bytes)
    {
        m_unsent += bytes;
        flush();
    }

    void flush()
    {
        if (m_isWriting) {
            return;
        }
        if (m_unsent.empty()) {
            if (m_hasEnded) {
                boost::system::error_code ec;
                m_socket.shutdown(tcp::socket::shutdown_send, ec);
                m_socket.close(ec);
            }
            return;
        }
        m_isWriting = true;
        const auto bytes = std::make_shared<std::string>(std::exchange(m_unsent, {}));
        asio::async_write(m_socket, asio::buffer(*bytes), [self = shared_from_this(), bytes](boost::system::error_code ec, std::size_t) {
            self->m_isWriting = false;
            if (!ec) {
                self->flush();
            }
        });
    }

    asio::io_context &m_context;
    tcp::socket m_socket;
    base::Address m_upstream;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::string m_unsent;
    bool m_isWriting = false;
    bool m_hasEnded = false; ///< the server has sent its whole response, or broken it off
};

} // namespace

UnframedListener::UnframedListener(asio::io_context &context, const base::Address &listen, base::Address upstream)
    : m_context(context)
    , m_upstream(std::move(upstream))
    , m_acceptor(context, tcp::endpoint(asio::ip::make_address(listen.host), listen.port))
{
    accept();
}

void UnframedListener::accept()
{
    m_acceptor.async_accept(m_context, [this](boost::system::error_code ec, tcp::socket socket) {
        if (!ec) {
            std::make_shared<Relay>(m_context, std::move(socket), m_upstream)->start();
        }
        accept();
    });
}

} // namespace turmericplank::standins::siteendpoint
