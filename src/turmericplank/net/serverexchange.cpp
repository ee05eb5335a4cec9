#include "turmericplank/net/serverexchange.hpp"

#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

#include <boost/beast/http.hpp>

#include "turmericplank/net/beastconversion.hpp"

namespace turmericplank::net {

namespace http = boost::beast::http;

ServerExchange::ServerExchange(SinkPointer sink, HttpRequest request)
    : m_sink(std::move(sink))
    , m_request(std::move(request))
{
    m_sink->countExchange(1);
}

ServerExchange::~ServerExchange()
{
    m_sink->countExchange(-1);
    if (m_phase != Phase::Ended) {
        m_phase = Phase::Ended;
        m_sink->drop();
    }
}

void ServerExchange::queueHead(int status, const Headers &headers, std::optional<std::size_t> length)
{
    http::response<http::empty_body> head(http::int_to_status(static_cast<unsigned>(status)), 11);
    addHeaders(headers, head);
    if (length) {
        head.content_length(*length);
    } else if (!m_sink->isOldHttp()) {
        head.chunked(true);
    }
    head.keep_alive(m_sink->wantsKeepAlive() && (length || !m_sink->isOldHttp()));
    std::ostringstream buf;
    buf << head.base();
    m_sink->write(buf.str());
}

void ServerExchange::respond(HttpResponse response)
{
    if (m_phase != Phase::Waiting) {
        return;
    }
    queueHead(response.status, response.headers, response.body.size());
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
    queueHead(status, headers, std::nullopt);
}

void ServerExchange::writeChunk(std::string piece)
{
    if (m_phase != Phase::Streaming || piece.empty()) {
        return;
    }
    if (m_sink->isOldHttp()) {
        m_sink->write(std::move(piece));
        return;
    }
    std::array<char, 20> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", piece.size());
    std::string chunk(buf.data(), static_cast<std::size_t>(n));
    chunk += piece;
    chunk += "\r\n";
    m_sink->write(std::move(chunk));
}

void ServerExchange::endStream()
{
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (!m_sink->isOldHttp()) {
        m_sink->write("0\r\n\r\n");
    }
    finish(m_sink->wantsKeepAlive() && !m_sink->isOldHttp());
}

void ServerExchange::abort()
{
    if (m_phase == Phase::Ended) {
        return;
    }
    m_phase = Phase::Ended;
    m_onClosed = nullptr;
    m_sink->drop();
}

std::size_t ServerExchange::queuedBytes() const
{
    return m_sink->queuedBytes();
}

void ServerExchange::finish(bool keepsAlive)
{
    m_phase = Phase::Ended;
    m_onClosed = nullptr;
    m_sink->endExchange(keepsAlive);
}

void ServerExchange::notifyClosed()
{
    m_phase = Phase::Ended;
    if (const auto hook = std::exchange(m_onClosed, nullptr)) {
        hook();
    }
}

} // namespace turmericplank::net
