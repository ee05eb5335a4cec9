#pragma once

#include <memory>
#include <string>

#include "turmericplank/base/time.hpp"
#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/net/httpserver.hpp"
#include "turmericplank/requests/endpointcall.hpp"

namespace turmericplank::daemon {

/// @brief Form in which a caller receives its answer.
enum class AnswerForm {
    Stream, ///< server-sent events
    ChatCompletion, ///< one JSON body after the last piece
    Service, ///< the service's answer, unchanged
};

/// @brief Response to one caller while it is being produced.
class CallerSession
{
public:
    /// @param exchange the caller's request
    /// @param id id of the request, sent back in X-Request-Id
    /// @param model name of the model or service as the caller wrote it
    /// @param form form of the answer
    CallerSession(net::ExchangePointer exchange, std::string id, std::string model, AnswerForm form);

    /// @brief Passes the next piece on.
    void deliver(const requests::DeliverPiece &piece);
    /// @brief Ends the answer after its last piece.
    void complete();
    /// @brief Ends the answer with an error; in a stream that has started, the error is the last event.
    void fail(ErrorBody error);
    /// @brief Sends a keep-alive comment on a stream that has been idle.
    /// @param now current time
    /// @param interval maximum time without a byte
    void keepAlive(base::Time now, base::Duration interval);
    /// @brief Aborts the connection, so that the caller can tell that its answer is incomplete.
    void abort();
    /// @brief Whether too many bytes are queued for the caller, because it reads too slowly.
    bool isBlocked() const;

private:
    void start();
    net::Headers headers(const std::string &contentType) const;

    net::ExchangePointer m_exchange;
    std::string m_id;
    std::string m_model;
    AnswerForm m_form;
    std::string m_text;
    std::uint64_t m_tokens = 0;
    base::Time m_idleSince;
    bool m_isStarted = false;
    bool m_isFinished = false;
};

} // namespace turmericplank::daemon
