#pragma once

#include "turmericplank/net/httpserver.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::gateway {

/// @brief A call that a peer has forwarded; the response goes back to that peer.
class PeerForwardExchange final : public net::HttpExchange
{
public:
    /// @param isAlive whether the forwarder that has the call still exists
    /// @param isCutOff whether this daemon reaches no endpoint of the call's service, so that another peer may serve a call that has not run here
    PeerForwardExchange(net::HttpRequest request, peer::PeerResponder responder, std::shared_ptr<const bool> isAlive, std::function<bool()> isCutOff);
    ~PeerForwardExchange() override;

    const net::HttpRequest &request() const override;
    void respond(net::HttpResponse response) override;
    void startStream(int status, net::Headers headers) override;
    void writeChunk(std::string chunk) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    bool isCallerConnected() override;
    void setOnClosed(std::function<void()> onClosed) override;
    void setOnWritten(std::function<void()> onWritten) override;

private:
    net::HttpRequest m_request;
    peer::PeerResponder m_responder;
    std::shared_ptr<const bool> m_isAlive;
    std::function<bool()> m_isCutOff;
    std::shared_ptr<bool> m_hasEnded = std::make_shared<bool>(false); ///< or the peer has cancelled the call
};

} // namespace turmericplank::gateway
