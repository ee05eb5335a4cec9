#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/connectionpool.hpp"
#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/settings.hpp"

namespace turmericplank::gateway {

/// @brief Daemon on an entry VM of a site that keeps its configuration, endpoints and directory in a shared store.
class Gateway
{
public:
    /// @param context event loop for all operations
    /// @param settings identity and addresses of the daemon
    /// @param wire message formats of callers and endpoints
    /// @param store the site's store
    /// @param poolOptions of the connections to endpoints
    /// @throws boost::system::system_error if an address cannot be bound
    Gateway(boost::asio::io_context &context, Settings settings, WireFormat wire, SiteStore store, ConnectionPoolOptions poolOptions = {});
    ~Gateway();

    /// @brief Starts a graceful shutdown.
    ///
    /// Callers are directed to other daemons and calls in progress are completed. New calls are served until the directory
    /// responses that callers may have cached have expired, and rejected after that.
    /// @param onDrained called once no new call is expected and none is left, or shortly before the shutdown time is over
    void beginDrain(std::function<void()> onDrained);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericplank::gateway
