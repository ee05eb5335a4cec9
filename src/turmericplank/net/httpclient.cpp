#include "turmericplank/net/httpclient.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "turmericplank/net/beastconversion.hpp"
#include "turmericplank/net/transfercoding.hpp"

namespace turmericplank::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

class Call final : public HttpCall
{
public:
    Call(asio::io_context &context, HttpCallOptions options)
        : m_options(std::move(options))
        , m_stream(context)
    {
        m_parser.body_limit(m_options.maxBodyBytes);
    }

    void start()
    {
        boost::system::error_code ec;
        const auto host = asio::ip::make_address(m_options.to.host, ec);
        if (ec) {
            asio::post(m_stream.get_executor(), [self = Pointer(this)] { self->finish(tl::make_unexpected(CallFailure::NotSent)); });
            return;
        }
        m_stream.expires_after(m_options.connectTimeout);
        m_stream.async_connect(tcp::endpoint(host, m_options.to.port), [self = Pointer(this)](beast::error_code error) {
            if (error) {
                self->finish(tl::make_unexpected(CallFailure::NotSent));
                return;
            }
            self->send();
        });
    }

    void cancel() override
    {
        m_isEnded = true;
        clearCallbacks();
        close();
    }

private:
    using Pointer = boost::intrusive_ptr<Call>;
    static constexpr unsigned FirstFinalStatus = 200; ///< requests ask for no interim response
    static constexpr std::size_t ReadBufferBytes = 16 * 1024;
    static constexpr std::size_t MaxBufferBytes = 64 * 1024; ///< limits chunk headers and trailers, as the parser does not

    std::string serializeRequest() const
    {
        http::request<http::string_body> message;
        message.method_string(m_options.request.method);
        message.target(m_options.request.target);
        message.version(11);
        message.set(http::field::host, toString(m_options.to));
        addHeaders(m_options.request.headers, message);
        message.keep_alive(false);
        message.body() = m_options.request.body;
        message.prepare_payload();
        std::ostringstream buf;
        buf << message;
        return buf.str();
    }

    void send()
    {
        if (m_isEnded) {
            return;
        }
        boost::system::error_code ec;
        m_stream.socket().set_option(tcp::no_delay(true), ec);
        m_requestBytes = serializeRequest();
        m_stream.expires_after(m_options.responseHeaderTimeout);
        asio::async_write(m_stream, asio::buffer(m_requestBytes), [self = Pointer(this)](beast::error_code error, std::size_t) {
            if (error) {
                self->fail(error);
                return;
            }
            self->countBytes(self->m_requestBytes.size());
            self->readHeaders();
        });
    }

    void readHeaders()
    {
        m_stream.expires_after(m_options.responseHeaderTimeout);
        http::async_read_header(m_stream, m_buffer, m_parser, [self = Pointer(this)](beast::error_code ec, std::size_t bytes) {
            self->countBytes(bytes);
            if (ec) {
                self->fail(ec);
                return;
            }
            self->onHeaders();
        });
    }

    void onHeaders()
    {
        const auto &message = m_parser.get();
        if (message.result_int() < FirstFinalStatus || checkTransferCodings(transferCodings(message), message.version() < 11)) {
            finish(tl::make_unexpected(CallFailure::Malformed));
            return;
        }
        if (m_options.bodyTimeout) {
            m_bodyDeadline = base::now() + *m_options.bodyTimeout;
        }
        if (m_options.onHeaders) {
            const auto callback = m_options.onHeaders;
            callback(static_cast<int>(m_parser.get().result_int()), toHeaders(m_parser.get()));
        }
        readBody();
    }

    void readBody()
    {
        if (m_isEnded) {
            return;
        }
        if (m_parser.is_done()) {
            finish({});
            return;
        }
        m_parser.get().body().data = m_bodyBuffer.data();
        m_parser.get().body().size = m_bodyBuffer.size();
        const auto left = m_bodyDeadline - base::now();
        if (left <= base::Duration(0)) {
            finish(tl::make_unexpected(CallFailure::TimedOut));
            return;
        }
        m_stream.expires_after(std::min(m_options.bodyIdleTimeout, left));
        http::async_read_some(m_stream, m_buffer, m_parser, [self = Pointer(this)](beast::error_code ec, std::size_t bytes) {
            self->countBytes(bytes);
            self->onBodyRead(ec);
        });
    }

    void onBodyRead(beast::error_code ec)
    {
        const auto n = m_bodyBuffer.size() - m_parser.get().body().size;
        if (n > 0 && !m_isEnded && m_options.onChunk) {
            const auto callback = m_options.onChunk;
            callback(std::string_view(m_bodyBuffer.data(), n));
        }
        if (ec && ec != http::error::need_buffer) {
            fail(ec);
            return;
        }
        readBody();
    }

    void countBytes(std::size_t n)
    {
        if (m_options.byteCounter) {
            *m_options.byteCounter += n;
        }
    }

    void fail(beast::error_code ec)
    {
        if (ec == beast::error::timeout) {
            finish(tl::make_unexpected(CallFailure::TimedOut));
        } else if (ec.category() == http::make_error_code(http::error::bad_method).category() && ec != http::error::end_of_stream
                   && ec != http::error::partial_message) {
            finish(tl::make_unexpected(CallFailure::Malformed));
        } else {
            finish(tl::make_unexpected(CallFailure::ConnectionLost));
        }
    }

    void finish(tl::expected<void, CallFailure> result)
    {
        if (std::exchange(m_isEnded, true)) {
            return;
        }
        close();
        const auto callback = std::move(m_options.onEnd);
        clearCallbacks();
        if (callback) {
            callback(result);
        }
    }

    /// Breaks reference cycles: the callbacks may hold an object that holds this call.
    void clearCallbacks()
    {
        asio::post(m_stream.get_executor(), [self = Pointer(this)] {
            self->m_options.onHeaders = nullptr;
            self->m_options.onChunk = nullptr;
            self->m_options.onEnd = nullptr;
        });
    }

    void close()
    {
        m_stream.close();
    }

    HttpCallOptions m_options;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{MaxBufferBytes};
    http::response_parser<http::buffer_body> m_parser;
    std::array<char, ReadBufferBytes> m_bodyBuffer{};
    std::string m_requestBytes;
    base::Time m_bodyDeadline = base::Time::max();
    bool m_isEnded = false;
};

} // namespace

CallPointer startCall(asio::io_context &context, HttpCallOptions options)
{
    const auto call = boost::intrusive_ptr<Call>(new Call(context, std::move(options)));
    call->start();
    return call;
}

CallPointer fetchResponse(asio::io_context &context, HttpCallOptions options, std::function<void(tl::expected<HttpResponse, CallFailure>)> onDone)
{
    constexpr int BodyTimeoutFactor = 4;
    options.bodyTimeout = options.bodyTimeout.value_or(options.bodyIdleTimeout * BodyTimeoutFactor);
    const auto response = std::make_shared<HttpResponse>();
    options.onHeaders = [response](int status, const Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    options.onChunk = [response](std::string_view chunk) {
        response->body.append(chunk);
    };
    options.onEnd = [response, onDone = std::move(onDone)](tl::expected<void, CallFailure> result) {
        if (!result) {
            onDone(tl::make_unexpected(result.error()));
            return;
        }
        onDone(std::move(*response));
    };
    return startCall(context, std::move(options));
}

} // namespace turmericplank::net
