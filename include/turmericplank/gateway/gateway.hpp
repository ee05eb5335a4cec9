#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/settings.hpp"

namespace turmericplank::gateway {

/// @brief The daemon of an entry VM of a site whose configuration, endpoints and directory lie in a shared store.
class Gateway
{
public:
    /// @param context runs everything
    /// @param settings who and where it is
    /// @param wire names and formats of callers and endpoints
    /// @param store the site's store
    /// @throws boost::system::system_error if an address cannot be bound
    Gateway(boost::asio::io_context &context, Settings settings, WireFormat wire, SiteStore store);
    ~Gateway();

    /// @brief Leaves gracefully: callers are sent elsewhere, calls in progress are ended, then the hook is called.
    void beginDrain(std::function<void()> onDrained);

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace turmericplank::gateway
