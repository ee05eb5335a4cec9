#pragma once

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/peercontact.hpp"
#include "turmericplank/gateway/peers.hpp"

namespace turmericplank::gateway {

/// @brief Intervals of the exchange.
struct ContactExchangeOptions
{
    base::Duration interval = std::chrono::seconds(1); ///< between two summaries of the lease holder
};

/// @brief Tells daemons without contact to a service which daemons outside their group have some.
///
/// The holder of the placement lease gets the status of each daemon each second, so that it alone knows all of them. It sends summaries only while
/// some daemon lacks contact.
class ContactExchange
{
public:
    /// @param context runs the timer
    /// @param contact is filled with the holder's summaries
    ContactExchange(boost::asio::io_context &context, peer::Mesh &mesh, Peers &peers, PeerContact &contact);

    /// @brief Notes a peer's status; the holder answers at once if the peer has lost or regained a service.
    /// @param before the services that the peer did not reach by its status before
    void notePeerStatus(const std::set<base::ServiceName> &before, const PeerStatus &status);

private:
    void sendSummaries();
    void handleMessage(const base::DaemonId &from, const std::string &body);

    Peers &m_peers;
    PeerContact &m_contact;
    ContactExchangeOptions m_options;
    bool m_wasTold = false; ///< the last summaries named services
};

} // namespace turmericplank::gateway
