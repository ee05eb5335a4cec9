#pragma once

#include <memory>
#include <string>

#include "turmericplank/base/time.hpp"
#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/net/httpserver.hpp"
#include "turmericplank/requests/endpointcall.hpp"

namespace turmericplank::daemon {

/// @brief How a caller wants its answer.
enum class AnswerForm {
    Stream, ///< server-sent events
    WholeChat, ///< one chat completion
    Service, ///< the service's answer as it was
};

/// @brief One caller's answer in the making.
class CallerSession
{
public:
    /// @param exchange the caller's request
    /// @param id name of the request
    /// @param model as the caller wrote it
    /// @param form how the answer is given
    CallerSession(net::ExchangePointer exchange, std::string id, std::string model, AnswerForm form);

    /// @brief Hands on the next piece.
    void deliver(const requests::DeliverPiece &piece);
    /// @brief The answer is whole.
    void complete();
    /// @brief The answer ends in an error; a started stream gets it as its last event.
    void fail(ErrorBody error);
    /// @brief Shows an idle caller that its stream is alive.
    /// @param now the present
    /// @param interval longest time without a byte
    void keepAlive(base::Time now, base::Duration interval);
    /// @brief Breaks the connection off, so that the caller sees that its answer is not whole.
    void abort();
    /// @brief Whether the caller takes its pieces too slowly to go on.
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
    bool m_isOver = false;
};

} // namespace turmericplank::daemon
