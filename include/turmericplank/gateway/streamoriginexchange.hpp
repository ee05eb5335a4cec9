#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "turmericplank/discovery/endpointentry.hpp"
#include "turmericplank/forwarding/streamorigins.hpp"
#include "turmericplank/gateway/peers.hpp"
#include "turmericplank/peer/mesh.hpp"

namespace turmericplank::gateway {

/// @brief Intervals and timeouts of the exchange.
struct StreamOriginExchangeOptions
{
    base::Duration sendInterval = std::chrono::milliseconds(100); ///< a daemon that ends without notice takes the origins of this time with it
    base::Duration queryTimeout = std::chrono::milliseconds(150); ///< several round trips within a region; the caller waits meanwhile
};

/// @brief Tells other daemons at which software versions streams began, and asks them.
class StreamOriginExchange
{
public:
    /// @param context runs the timers
    /// @param origins is filled with what others know
    /// @param mesh gets the handlers of the messages
    /// @param peers sends the messages
    StreamOriginExchange(boost::asio::io_context &context, forwarding::StreamOrigins &origins, peer::Mesh &mesh, Peers &peers);

    /// @brief Notes the software versions of the endpoints that are listed now.
    void noteEndpoints(const std::map<base::EndpointId, discovery::EndpointEntry> &endpoints);

    /// @brief Tells a daemon that has just appeared what this one knows.
    void notePeerHeard(const base::DaemonId &id);

    /// @brief Asks other daemons for the version at which a stream began.
    /// @param onDone called once, with nothing if none of them knows it
    void findRemote(forwarding::CallDigest call, std::function<void(std::optional<std::string>)> onDone);

private:
    void handleOrigins(const base::DaemonId &from, const std::string &body);
    void answerQuery(const std::string &body, const peer::PeerResponder &answer) const;
    void sendUnsent();

    StreamOriginExchangeOptions m_options;
    forwarding::StreamOrigins &m_origins;
    Peers &m_peers;
    std::map<base::ServiceName, std::set<std::string>> m_listed; ///< versions of the endpoints that were listed last, for the log
};

} // namespace turmericplank::gateway
