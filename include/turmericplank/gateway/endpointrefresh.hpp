#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/interface.hpp"

namespace turmericplank::gateway {

/// @brief Intervals and timeouts of EndpointRefresh.
struct EndpointRefreshOptions
{
    base::Duration timeout = std::chrono::milliseconds(300); ///< while a caller waits; a slow store takes 240 ms
    base::Duration minInterval = std::chrono::milliseconds(50); ///< between the starts of two reads, since many callers may ask at the same time
};

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
    struct Waiter
    {
        std::function<void(bool)> onDone; ///< empty after it was called
    };
    using WaiterPointer = std::shared_ptr<Waiter>;

    void startRead();
    static void end(const WaiterPointer &waiter, bool isRead);

    boost::asio::io_context &m_context;
    Read m_read;
    std::function<void(const std::vector<discovery::EndpointEntry> &)> m_onRead;
    EndpointRefreshOptions m_options;
    std::vector<WaiterPointer> m_waiters; ///< for the next read
    base::Time m_nextReadFrom;
    bool m_isScheduled = false;
};

} // namespace turmericplank::gateway
