#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/requests/attemptresult.hpp"
#include "turmericplank/requests/bookingrow.hpp"
#include "turmericplank/requests/eventstream.hpp"

namespace turmericplank::daemon {

/// @brief Request of an attempt and its callbacks.
struct EndpointAttemptOptions
{
    base::Address to;
    net::HttpRequest request;
    bool isStream = false; ///< whether the answer is an engine's stream; otherwise it is a service's complete answer
    base::Duration progressTimeout{0}; ///< timeout without progress; enforced with a margin, since the dispatcher applies it first
    /// Called for each chunk of a stream with the index of its token, or once with offset 0 for a service's answer, encoded as a StoredAnswer.
    std::function<void(std::uint64_t offset, std::string text)> onChunk;
    std::function<void(requests::AttemptResult)> onEnd; ///< called once, unless cancelled
};

/// @brief Connection of one attempt to an endpoint.
class EndpointAttempt : public boost::intrusive_ref_counter<EndpointAttempt, boost::thread_unsafe_counter>
{
public:
    using Pointer = boost::intrusive_ptr<EndpointAttempt>;

    /// @brief Connects and sends the request.
    static Pointer start(boost::asio::io_context &context, EndpointAttemptOptions options);

    /// @brief Closes the connection; no callback is called afterwards.
    void cancel();

private:
    explicit EndpointAttempt(EndpointAttemptOptions options);

    void onBytes(std::string_view bytes);
    void onClosed(tl::expected<void, net::CallFailure> result);
    void finish(requests::AttemptResult result);

    EndpointAttemptOptions m_options;
    net::CallPointer m_call;
    requests::EventStream m_events;
    requests::StoredAnswer m_answer;
    int m_status = 0;
    bool m_isFinished = false;
};

} // namespace turmericplank::daemon
