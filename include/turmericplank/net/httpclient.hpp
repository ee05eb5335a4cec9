#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <tl/expected.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief Why a call did not end with a whole answer.
enum class CallFailure {
    NotSent, ///< no byte of the request was handed to the connection
    ConnectionLost, ///< the connection broke after bytes were sent
    TimedOut, ///< nothing came within the deadline
    Malformed, ///< the answer cannot be parsed or breaks a limit
};

/// @brief One outgoing request; each uses a connection of its own, so a silent connection hurts one call only.
struct HttpCallOptions
{
    base::Address to;
    HttpRequest request;
    base::Duration connectTimeout = std::chrono::milliseconds(500);
    base::Duration responseHeaderTimeout = std::chrono::seconds(5); ///< from the request's last byte to the answer's head
    base::Duration bodyIdleTimeout = std::chrono::seconds(5); ///< between two pieces of the answer
    std::size_t maxBodyBytes = 64 * 1024 * 1024; ///< bytes
    std::uint64_t *byteCounter = nullptr; ///< counts the bytes of both directions; outlives the call
    std::function<void(int status, const Headers &headers)> onHeaders;
    std::function<void(std::string_view piece)> onChunk;
    std::function<void(tl::expected<void, CallFailure>)> onEnd; ///< called exactly once, unless cancelled
};

/// @brief A call in progress; dropping the pointer does not cancel it.
class HttpCall : public boost::intrusive_ref_counter<HttpCall, boost::thread_unsafe_counter>
{
public:
    virtual ~HttpCall() = default;

    /// @brief Closes the connection; no hook is called afterwards.
    virtual void cancel() = 0;
};

using CallPointer = boost::intrusive_ptr<HttpCall>;

/// @brief Starts a call.
/// @param context runs its hooks
/// @param options where to, what, timeouts and hooks
CallPointer startCall(boost::asio::io_context &context, HttpCallOptions options);

/// @brief Starts a call and collects its whole answer.
/// @param context runs the hook
/// @param options as for startCall(); its hooks are replaced
/// @param onDone gets the answer or the failure
CallPointer fetchResponse(boost::asio::io_context &context, HttpCallOptions options, std::function<void(tl::expected<HttpResponse, CallFailure>)> onDone);

} // namespace turmericplank::net
