#include "callersession.hpp"

#include <utility>

#include "turmericplank/requests/bookingrow.hpp"
#include "turmericplank/requests/eventstream.hpp"

namespace turmericplank::daemon {

namespace {

constexpr std::size_t MaxQueuedBytes = 8 * 1024 * 1024; ///< bytes queued for a slow caller; beyond them its connection is aborted

} // namespace

CallerSession::CallerSession(net::ExchangePointer exchange, std::string id, std::string model, AnswerForm form)
    : m_exchange(std::move(exchange))
    , m_id(std::move(id))
    , m_model(std::move(model))
    , m_form(form)
    , m_idleSince(base::now())
{
}

net::Headers CallerSession::headers(const std::string &contentType) const
{
    return {{"Content-Type", contentType}, {"X-Request-Id", m_id}};
}

void CallerSession::start()
{
    if (!std::exchange(m_isStarted, true)) {
        auto fields = headers("text/event-stream");
        fields.push_back({"Cache-Control", "no-store"});
        m_exchange->startStream(200, std::move(fields));
    }
}

void CallerSession::deliver(const requests::DeliverPiece &piece)
{
    ++m_tokens;
    m_idleSince = base::now();
    switch (m_form) {
    case AnswerForm::Stream:
        start();
        m_exchange->writeChunk("data: " + requests::chunkWithId(piece.text, m_id) + "\n\n");
        return;
    case AnswerForm::ChatCompletion:
        m_text += requests::chunkText(piece.text);
        return;
    case AnswerForm::Service:
        m_text = piece.text;
        return;
    }
}

void CallerSession::complete()
{
    if (std::exchange(m_isFinished, true)) {
        return;
    }
    if (m_form == AnswerForm::Stream) {
        start();
        m_exchange->writeChunk("data: [DONE]\n\n");
        m_exchange->endStream();
        return;
    }
    if (m_form == AnswerForm::ChatCompletion) {
        m_exchange->respond({200, headers("application/json"), requests::chatCompletionBody(m_id, m_model, m_text, m_tokens)});
        return;
    }
    const auto answer = requests::decodeAnswer(m_text).value_or(requests::StoredAnswer{502, "text/plain", {}});
    m_exchange->respond({answer.status, headers(answer.contentType), answer.body});
}

void CallerSession::fail(ErrorBody error)
{
    if (std::exchange(m_isFinished, true)) {
        return;
    }
    if (m_isStarted) {
        m_exchange->writeChunk("event: error\ndata: " + toJson(error) + "\n\n");
        m_exchange->endStream();
        return;
    }
    auto response = errorResponse(error);
    response.headers.push_back({"X-Request-Id", m_id});
    m_exchange->respond(std::move(response));
}

void CallerSession::keepAlive(base::Time now, base::Duration interval)
{
    if (m_form != AnswerForm::Stream || m_isFinished || now < m_idleSince + interval) {
        return;
    }
    m_idleSince = now;
    start();
    m_exchange->writeChunk(": keep-alive\n\n");
}

void CallerSession::abort()
{
    if (!std::exchange(m_isFinished, true)) {
        m_exchange->setOnClosed(nullptr);
        m_exchange->abort();
    }
}

bool CallerSession::isBlocked() const
{
    return m_exchange->queuedBytes() > MaxQueuedBytes;
}

} // namespace turmericplank::daemon
