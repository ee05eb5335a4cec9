#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/net/clientconnection.hpp"

namespace turmericplank::gateway {

/// @brief Timeouts of pooled connections.
struct ConnectionPoolOptions
{
    base::Duration connectTimeout = std::chrono::milliseconds(400); ///< short, since the system retransmits a lost SYN only after seconds
    base::Duration maxIdleTime = std::chrono::seconds(4); ///< upper bound; also stands in for the idle timeout of an endpoint that announces none
    double idleTimeoutShare = 0.6; ///< share of the endpoint's idle timeout in which a connection is reused; later its close may cross a request
    base::Duration maxIdleTimeAtMostOnce = std::chrono::milliseconds(1500); ///< for calls that must not run twice: a reset leaves their outcome unknown
};

/// @brief A connection taken from the pool, to one incarnation of an endpoint.
struct PooledConnection
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;
    net::ClientConnectionPointer connection;
    base::Time openedAt;
};

/// @brief Why the pool provides no connection.
enum class AcquireFailure {
    LimitReached, ///< all connections of this daemon's share are in use
    ConnectFailed, ///< the endpoint is unknown or accepts no connection
};

/// @brief Keep-alive connections to the endpoints, with a limit for each endpoint.
class ConnectionPool
{
public:
    using AcquireCallback = std::function<void(tl::expected<PooledConnection, AcquireFailure>)>;

    ConnectionPool(boost::asio::io_context &context, ConnectionPoolOptions options);
    ~ConnectionPool();

    /// @brief Adds or updates an endpoint; idle connections to an earlier address or incarnation are closed.
    /// @param limit maximum number of connections that this daemon may have open
    void setEndpoint(const base::EndpointId &id, const base::Address &address, base::Incarnation incarnation, std::uint32_t limit);

    /// @brief Removes an endpoint and closes its idle connections.
    void removeEndpoint(const base::EndpointId &id);

    /// @brief Whether a connection is idle or may be opened within the limit.
    bool hasFreeConnection(const base::EndpointId &id) const;

    /// @brief Takes an idle connection or opens one; the callback may be called before the function returns.
    /// @param isAtMostOnce whether the call must not run twice
    void acquireConnection(const base::EndpointId &id, bool isAtMostOnce, base::Time now, const AcquireCallback &callback);

    /// @brief Returns a connection, which is kept if it is still open and idle.
    /// @param idleTimeout the endpoint's idle timeout, if it announced one
    void returnConnection(const PooledConnection &pooled, std::optional<base::Duration> idleTimeout, base::Time now);

    /// @brief Closes connections that have been idle for too long.
    void closeExpired(base::Time now);

    /// @brief Number of connections that are open or being opened.
    std::size_t openConnectionCount() const;

    /// @brief Number of connections opened since the start.
    std::uint64_t openedTotal() const;

private:
    struct Idle
    {
        net::ClientConnectionPointer connection;
        base::Time openedAt;
        base::Time idleSince;
        base::Time usableUntil;
    };

    struct Endpoint
    {
        base::Address address;
        base::Incarnation incarnation;
        std::uint32_t limit = 1;
        std::uint32_t open = 0;
        bool wasRemoved = false;
        std::vector<Idle> idle; ///< the most recently used one is last
    };

    std::optional<Idle> takeIdle(Endpoint &endpoint, bool isAtMostOnce, base::Time now);
    void closeIdle(Endpoint &endpoint);
    void open(const base::EndpointId &id, Endpoint &endpoint, base::Time now, const AcquireCallback &callback);
    void removeIdle(const base::EndpointId &id, const net::ClientConnection *connection);
    void onConnectionClosed(const base::EndpointId &id);

    boost::asio::io_context &m_context;
    ConnectionPoolOptions m_options;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::map<base::EndpointId, Endpoint> m_endpoints;
    std::uint64_t m_openedTotal = 0;
};

} // namespace turmericplank::gateway
