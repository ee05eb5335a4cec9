#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <tl/expected.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief Why a call ended without a complete response.
enum class CallFailure {
    NotSent, ///< no byte of the request was written to the connection
    ConnectionLost, ///< the connection broke after bytes were written
    TimedOut, ///< nothing was received within a timeout
    Malformed, ///< the response cannot be parsed, has no final status or exceeds a limit
};

/// @brief One outgoing request; each uses its own connection, so that a stalled connection affects only one call.
struct HttpCallOptions
{
    base::Address to;
    HttpRequest request;
    base::Duration connectTimeout = std::chrono::milliseconds(500);
    base::Duration responseHeaderTimeout = std::chrono::seconds(5); ///< for writing the request, and from its last byte to the response headers
    base::Duration bodyIdleTimeout = std::chrono::seconds(5); ///< between two chunks of the response body
    /// For the whole response body, so that one of which a byte comes now and then ends; nothing for streams, which may take any time.
    std::optional<base::Duration> bodyTimeout;
    std::size_t maxBodyBytes = 64 * 1024 * 1024; ///< of the response; a larger body fails the call as Malformed
    std::uint64_t *byteCounter = nullptr; ///< incremented by the bytes sent and received; must outlive the call
    std::function<void(int status, const Headers &headers)> onHeaders;
    std::function<void(std::string_view chunk)> onChunk;
    std::function<void(tl::expected<void, CallFailure>)> onEnd; ///< called exactly once, unless cancelled
};

/// @brief A call in progress; releasing the pointer does not cancel it.
class HttpCall : public boost::intrusive_ref_counter<HttpCall, boost::thread_unsafe_counter>
{
public:
    virtual ~HttpCall() = default;

    /// @brief Closes the connection; no callback is called afterwards.
    virtual void cancel() = 0;
};

using CallPointer = boost::intrusive_ptr<HttpCall>;

/// @brief Starts a call.
/// @param context runs the callbacks
/// @param options address, request, timeouts and callbacks
CallPointer startCall(boost::asio::io_context &context, HttpCallOptions options);

/// @brief Starts a call and collects the whole response.
/// @param context runs the callback
/// @param options as for startCall(); its callbacks are replaced, and the body has four times the idle timeout unless its timeout is set
/// @param onDone receives the response or the failure
CallPointer fetchResponse(boost::asio::io_context &context, HttpCallOptions options, std::function<void(tl::expected<HttpResponse, CallFailure>)> onDone);

} // namespace turmericplank::net
