#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/time.hpp"

namespace turmericplank::gateway {

/// @brief Intervals and timeouts of SharedRead.
struct SharedReadOptions
{
    base::Duration timeout = std::chrono::milliseconds(300); ///< while a caller waits; a slow store takes 240 ms
    base::Duration minInterval = std::chrono::milliseconds(50); ///< between the starts of two reads, since many callers may ask at the same time
};

/// @brief Reads the store at once for calls that cannot wait for the next regular read. Calls that ask at the same time share one read.
class SharedRead
{
public:
    /// Starts a read, and calls back once with whether it succeeded.
    using Read = std::function<void(std::function<void(bool)>)>;

    SharedRead(boost::asio::io_context &context, Read read, SharedReadOptions options = {});

    /// @brief Asks for a read.
    /// @param onDone called once with whether a read that began after this call has succeeded in time
    void request(std::function<void(bool)> onDone);

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
    SharedReadOptions m_options;
    std::vector<WaiterPointer> m_waiters; ///< for the next read
    base::Time m_nextReadFrom;
    bool m_isScheduled = false;
};

} // namespace turmericplank::gateway
