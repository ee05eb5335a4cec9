#include "endpointattempt.hpp"

#include <utility>

namespace turmericplank::daemon {

namespace {

using requests::AttemptResult;

constexpr int FirstServerError = 500;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr std::size_t MaxAnswerBytes = 4U * 1024 * 1024; ///< that is collected before it is relayed; a message between daemons holds no more
constexpr auto BackstopMargin = std::chrono::seconds(3);

AttemptResult toAttemptResult(net::CallFailure failure)
{
    switch (failure) {
    case net::CallFailure::NotSent:
        return AttemptResult::NotSent;
    case net::CallFailure::ConnectionLost:
        return AttemptResult::Lost;
    case net::CallFailure::TimedOut:
        return AttemptResult::Silent;
    case net::CallFailure::Malformed:
        return AttemptResult::Malformed;
    }
    return AttemptResult::Lost;
}

/// Whether the endpoint rejected the request before running it.
bool isRejection(int status)
{
    return status == NotFound || status == TooManyRequests || status == Unavailable || (status >= 400 && status < FirstServerError);
}

} // namespace

EndpointAttempt::EndpointAttempt(EndpointAttemptOptions options)
    : m_options(std::move(options))
{
}

EndpointAttempt::Pointer EndpointAttempt::start(boost::asio::io_context &context, EndpointAttemptOptions options)
{
    const Pointer attempt(new EndpointAttempt(std::move(options)));
    net::HttpCallOptions call;
    call.to = attempt->m_options.to;
    call.request = std::move(attempt->m_options.request);
    call.responseHeaderTimeout = attempt->m_options.progressTimeout + BackstopMargin;
    call.bodyIdleTimeout = call.responseHeaderTimeout;
    call.maxBodyBytes = attempt->m_options.isStream ? call.maxBodyBytes : MaxAnswerBytes;
    call.onHeaders = [attempt](int status, const net::Headers &headers) {
        attempt->m_status = status;
        attempt->m_answer.status = status;
        attempt->m_answer.contentType = std::string(net::header(headers, "Content-Type"));
    };
    call.onChunk = [attempt](std::string_view piece) {
        attempt->onBytes(piece);
    };
    call.onEnd = [attempt](tl::expected<void, net::CallFailure> result) {
        attempt->onClosed(result);
    };
    attempt->m_call = net::startCall(context, std::move(call));
    return attempt;
}

void EndpointAttempt::cancel()
{
    if (!std::exchange(m_isFinished, true)) {
        m_call->cancel();
        m_call.reset();
    }
}

void EndpointAttempt::onBytes(std::string_view bytes)
{
    if (m_isFinished) {
        return;
    }
    if (!m_options.isStream) {
        m_answer.body.append(bytes);
        return;
    }
    if (m_status != 200) {
        return;
    }
    const Pointer self(this);
    const auto tokens = m_events.feed(bytes);
    if (!tokens) {
        m_call->cancel();
        finish(AttemptResult::Malformed);
        return;
    }
    for (const auto &it : *tokens) {
        if (m_isFinished) {
            return;
        }
        if (it.isEnd) {
            finish(AttemptResult::Answered);
        } else {
            m_options.onChunk(it.offset, it.chunk);
        }
    }
}

void EndpointAttempt::onClosed(tl::expected<void, net::CallFailure> result)
{
    const Pointer self(this);
    if (!result) {
        finish(toAttemptResult(result.error()));
        return;
    }
    if (m_options.isStream) {
        // A stream that ends without its end marker was truncated.
        finish(m_status == 200 ? AttemptResult::Lost : isRejection(m_status) ? AttemptResult::Refused : AttemptResult::Malformed);
        return;
    }
    if (!m_isFinished) {
        m_options.onChunk(0, encode(m_answer));
    }
    finish(AttemptResult::Answered);
}

void EndpointAttempt::finish(AttemptResult result)
{
    if (std::exchange(m_isFinished, true)) {
        return;
    }
    m_call.reset();
    const auto hook = std::exchange(m_options.onEnd, nullptr);
    hook(result);
}

} // namespace turmericplank::daemon
