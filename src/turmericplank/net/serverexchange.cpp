#include "turmericplank/net/serverexchange.hpp"

#include <array>
#include <cstdio>
#include <utility>

#include <boost/beast/http.hpp>

#include "turmericplank/net/beastconversion.hpp"

namespace turmericplank::net {

namespace http = boost::beast::http;

ServerExchange::ServerExchange(SinkPointer sink, HttpRequest request)
    : m_sink(std::move(sink))
    , m_request(std::move(request))
{
    m_sink->adjustExchangeCount(1);
}

ServerExchange::~ServerExchange()
{
    m_sink->adjustExchangeCount(-1);
    if (m_phase != Phase::Ended) {
        m_phase = Phase::Ended;
        m_sink->abortConnection();
    }
}

void ServerExchange::queueHeaders(int status, const Headers &headers, std::optional<std::size_t> length)
{
    http::response<http::empty_body> message;
    addHeaders(headers, message);
    if (length) {
        message.content_length(*length);
    } else if (!m_sink->isHttp10()) {
        message.chunked(true);
    }
    message.keep_alive(m_sink->wantsKeepAlive() && (length || !m_sink->isHttp10()));
    m_sink->write(serializeResponseHead(status, message));
}

void ServerExchange::respond(HttpResponse response)
{
    if (m_phase != Phase::Waiting) {
        return;
    }
    queueHeaders(response.status, response.headers, response.body.size());
    if (m_request.method != "HEAD" && !response.body.empty()) {
        m_sink->write(std::move(response.body));
    }
    finish(m_sink->wantsKeepAlive());
}

void ServerExchange::startStream(int status, Headers headers)
{
    if (m_phase != Phase::Waiting) {
        return;
    }
    m_phase = Phase::Streaming;
    queueHeaders(status, headers, std::nullopt);
}

void ServerExchange::writeChunk(std::string chunk)
{
    if (m_phase != Phase::Streaming || chunk.empty()) {
        return;
    }
    if (m_sink->isHttp10()) {
        m_sink->write(std::move(chunk));
        return;
    }
    std::array<char, 20> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", chunk.size());
    std::string framedChunk(buf.data(), static_cast<std::size_t>(n));
    framedChunk += chunk;
    framedChunk += "\r\n";
    m_sink->write(std::move(framedChunk));
}

void ServerExchange::endStream()
{
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (!m_sink->isHttp10()) {
        m_sink->write("0\r\n\r\n");
    }
    finish(m_sink->wantsKeepAlive() && !m_sink->isHttp10());
}

void ServerExchange::abort()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    m_phase = Phase::Ended;
    m_onClosed = nullptr;
    m_onWritten = nullptr;
    m_sink->abortConnection();
}

std::size_t ServerExchange::queuedBytes() const
{
    return m_sink->queuedBytes();
}

bool ServerExchange::isCallerConnected()
{
    return m_phase != Phase::Ended && m_sink->isCallerConnected();
}

void ServerExchange::finish(bool keepsAlive)
{
    m_phase = Phase::Ended;
    m_onClosed = nullptr;
    m_onWritten = nullptr;
    m_sink->endExchange(keepsAlive);
}

void ServerExchange::notifyWritten() const
{
    // The callback may end the exchange, which releases it.
    if (const auto callback = m_onWritten) {
        callback();
    }
}

void ServerExchange::notifyClosed()
{
    m_phase = Phase::Ended;
    m_onWritten = nullptr;
    if (const auto callback = std::exchange(m_onClosed, nullptr)) {
        callback();
    }
}

} // namespace turmericplank::net
