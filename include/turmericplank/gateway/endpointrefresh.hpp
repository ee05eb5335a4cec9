#pragma once

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/sharedread.hpp"

namespace turmericplank::gateway {

/// @brief Intervals and timeouts of EndpointRefresh.
using EndpointRefreshOptions = SharedReadOptions;

/// @brief Reads the endpoints' entries at once for calls that cannot wait for the next regular read.
///
/// Its reads run beside the regular ones and do not replace them.
class EndpointRefresh
{
public:
    using Read = std::function<void(ReadCallback<EndpointsSnapshot>)>;

    /// @param read reads the entries
    /// @param onRead gets the entries of each read, before the callbacks of the refreshes that it ends
    EndpointRefresh(boost::asio::io_context &context, Read read, std::function<void(const std::vector<discovery::EndpointEntry> &)> onRead,
                    EndpointRefreshOptions options = {});

    /// @brief Reads the entries.
    /// @param onDone called once with whether a read that began after this call has succeeded in time
    void refresh(std::function<void(bool)> onDone);

private:
    SharedRead m_reads;
};

} // namespace turmericplank::gateway
