#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "turmericplank/base/address.hpp"

namespace turmericplank::standins::siteendpoint {

/// @brief Passes requests on to an HTTP server, and its responses back with neither a length nor chunks, so that each ends with its
/// connection.
class UnframedListener
{
public:
    /// @param listen address for callers
    /// @param upstream address of the server
    /// @throws boost::system::system_error if the address cannot be bound
    UnframedListener(boost::asio::io_context &context, const base::Address &listen, base::Address upstream);

private:
    void accept();

    boost::asio::io_context &m_context;
    base::Address m_upstream;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace turmericplank::standins::siteendpoint
