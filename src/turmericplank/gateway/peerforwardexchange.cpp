#include "peerforwardexchange.hpp"

#include <utility>

#include "forwardedcall.hpp"
#include "turmericplank/gateway/peerforwardmessage.hpp"

namespace turmericplank::gateway {

PeerForwardExchange::PeerForwardExchange(net::HttpRequest request, peer::PeerResponder responder, std::shared_ptr<const bool> isAlive,
                                         std::function<bool()> isCutOff)
    : m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_isAlive(std::move(isAlive))
    , m_isCutOff(std::move(isCutOff))
{
    *m_responder.onCancelled = [hasEnded = m_hasEnded] {
        *hasEnded = true;
    };
}

PeerForwardExchange::~PeerForwardExchange()
{
    *m_responder.onCancelled = nullptr;
    *m_responder.onWritten = nullptr;
    abort();
}

const net::HttpRequest &PeerForwardExchange::request() const
{
    return m_request;
}

void PeerForwardExchange::respond(net::HttpResponse response)
{
    if (std::exchange(*m_hasEnded, true)) {
        return;
    }
    if (impliesNotRun(response.status) && m_isCutOff()) {
        m_responder.reject();
        return;
    }
    m_responder.write(headFrame({response.status, std::move(response.headers), false}) + bodyFrame(response.body) + endFrame());
    m_responder.end();
}

void PeerForwardExchange::startStream(int status, net::Headers headers)
{
    if (!*m_hasEnded) {
        m_responder.write(headFrame({status, std::move(headers), true}));
    }
}

void PeerForwardExchange::writeChunk(std::string chunk)
{
    if (!*m_hasEnded && !chunk.empty()) {
        m_responder.write(bodyFrame(chunk));
    }
}

void PeerForwardExchange::endStream()
{
    if (!std::exchange(*m_hasEnded, true)) {
        m_responder.write(endFrame());
        m_responder.end();
    }
}

/// The call may have run, so the peer must not be told that it was not processed: the stream ends without the end of the response.
void PeerForwardExchange::abort()
{
    if (!std::exchange(*m_hasEnded, true)) {
        m_responder.end();
    }
}

std::size_t PeerForwardExchange::queuedBytes() const
{
    return *m_hasEnded ? 0 : m_responder.queuedBytes();
}

bool PeerForwardExchange::isCallerConnected()
{
    return !*m_hasEnded;
}

void PeerForwardExchange::setOnClosed(std::function<void()> onClosed)
{
    *m_responder.onCancelled = [hasEnded = m_hasEnded, isAlive = m_isAlive, onClosed = std::move(onClosed)] {
        if (!std::exchange(*hasEnded, true) && *isAlive) {
            onClosed();
        }
    };
}

void PeerForwardExchange::setOnWritten(std::function<void()> onWritten)
{
    if (!onWritten) {
        *m_responder.onWritten = nullptr;
        return;
    }
    *m_responder.onWritten = [hasEnded = m_hasEnded, isAlive = m_isAlive, onWritten = std::move(onWritten)] {
        if (!*hasEnded && *isAlive) {
            onWritten();
        }
    };
}

} // namespace turmericplank::gateway
