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
#include "turmericplank/forwarding/endpointcontact.hpp"
#include "turmericplank/gateway/connectionfailures.hpp"
#include "turmericplank/net/clientconnection.hpp"

namespace turmericplank::gateway {

/// @brief Timeouts of pooled connections.
struct ConnectionPoolOptions
{
    base::Duration connectTimeout = std::chrono::milliseconds(400); ///< short, since the system retransmits a lost SYN only after seconds
    base::Duration maxIdleTime = std::chrono::seconds(4); ///< upper bound; also stands in for the idle timeout of an endpoint that announces none
    double idleTimeoutShare = 0.6; ///< share of the endpoint's idle timeout in which a connection is reused; later its close may cross a request
    base::Duration settleTime = std::chrono::milliseconds(50); ///< in which a connection that is opened as a probe must not be reset; several round trips
    std::function<base::Address(const base::Address &)> addressToConnect = {}; ///< where to connect to reach an endpoint's address, if through a relay
    base::Duration maxIdleTimeAtMostOnce = std::chrono::milliseconds(1500); ///< for calls that must not run twice: a reset leaves their outcome unknown
};

/// @brief A connection taken from the pool, to one incarnation of an endpoint.
struct PooledConnection
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;
    net::ClientConnectionPointer connection;
    base::Time openedAt;
    bool isVerified = false; ///< the endpoint has said over it that it is this incarnation
};

/// @brief Why the pool provides no connection.
enum class AcquireFailure {
    LimitReached, ///< all connections of this daemon's share are in use
    ConnectFailed, ///< the endpoint is unknown or accepts no connection
};

/// @brief Failure of the pool to provide a connection.
struct AcquireError
{
    AcquireFailure failure = AcquireFailure::ConnectFailed;
    net::ConnectionError connectionError = net::ConnectionError::None; ///< if a connection was tried
};

/// @brief Keep-alive connections to the endpoints, with a limit for each endpoint.
class ConnectionPool
{
public:
    using AcquireCallback = std::function<void(tl::expected<PooledConnection, AcquireError>)>;

    ConnectionPool(boost::asio::io_context &context, ConnectionPoolOptions options);
    ~ConnectionPool();

    /// @brief Adds or updates an endpoint; idle connections to an earlier address or incarnation are closed.
    /// @param limit maximum number of connections that this daemon may have open; idle ones beyond it are closed
    void setEndpoint(const base::EndpointId &id, const base::ServiceName &service, const base::Address &address, base::Incarnation incarnation,
                     std::uint32_t limit);

    /// @brief Removes an endpoint and closes its idle connections.
    void removeEndpoint(const base::EndpointId &id);

    /// @brief Whether a connection is idle or may be opened within the limit; false for an endpoint that cannot be reached.
    bool hasFreeConnection(const base::EndpointId &id) const;

    /// @brief Takes an idle connection or opens one; the callback may be called before the function returns.
    /// @param isAtMostOnce whether the call must not run twice
    void acquireConnection(const base::EndpointId &id, bool isAtMostOnce, base::Time now, const AcquireCallback &callback);

    /// @brief Returns a connection, which is kept if it is still open and idle, or once it is idle while the rest of a request is being written.
    /// @param idleTimeout the endpoint's idle timeout, if it announced one
    void returnConnection(const PooledConnection &pooled, std::optional<base::Duration> idleTimeout, base::Time now);

    /// @brief Notes that a call was sent to an endpoint, so that bytes are expected from it.
    void noteSent(const base::EndpointId &id, base::Time now);

    /// @brief Notes that bytes of a response came from an endpoint.
    void noteReceived(const base::EndpointId &id, base::Time now);

    /// @brief Notes that a connection ended while it carried a call.
    /// @param isAnswered whether a response had begun; otherwise the endpoint counts as unreachable although it had accepted the connection
    void noteConnectionLost(const base::EndpointId &id, bool isAnswered, base::Time now);

    /// @brief Finds out whether other endpoints of the service of an endpoint are reached.
    void noteDoubt(const base::EndpointId &id);

    /// @brief Opens connections to endpoints whose contact is in doubt; to be called regularly.
    void probeContact(base::Time now);

    /// @brief Which endpoints can be reached.
    const forwarding::EndpointContact &contact() const;

    /// @brief Applies that an endpoint has said over a connection that it is another incarnation than the one set.
    /// @return whether this was not known
    bool noteOtherIncarnation(const PooledConnection &pooled);

    /// @brief Whether an endpoint is known to be another incarnation than the one set, until the next one is set.
    bool isOtherIncarnation(const base::EndpointId &id) const;

    /// @brief Closes connections that have been idle for too long.
    void closeExpired(base::Time now);

    /// @brief Number of connections that are open or being opened.
    std::size_t openConnectionCount() const;

    /// @brief Whether the endpoints accept connections.
    const ConnectionFailures &failures() const;

    /// @brief Number of connections opened since the start.
    std::uint64_t openedTotal() const;

private:
    struct Idle
    {
        net::ClientConnectionPointer connection;
        base::Time openedAt;
        base::Time idleSince;
        base::Time usableUntil;
        bool isVerified = false;
    };

    struct Endpoint
    {
        base::Address address;
        base::Incarnation incarnation;
        std::uint32_t limit = 1;
        std::uint32_t open = 0;
        bool wasRemoved = false;
        bool isOtherIncarnation = false; ///< by its own statement
        std::vector<Idle> idle; ///< the most recently used one is last
    };

    std::optional<Idle> takeIdle(Endpoint &endpoint, bool isAtMostOnce, base::Time now);
    void closeOldestIdle(Endpoint &endpoint);
    void closeIdle(Endpoint &endpoint);
    void open(const base::EndpointId &id, Endpoint &endpoint, base::Time now, bool isProbe, const AcquireCallback &callback);
    void removeIdle(const base::EndpointId &id, const net::ClientConnection *connection);
    void onConnectionClosed(const base::EndpointId &id);
    void probe(const base::EndpointId &id, base::Time now);
    void endProbe(const PooledConnection &pooled, base::Time now);
    base::Time usableFrom(const base::EndpointId &id) const;

    boost::asio::io_context &m_context;
    ConnectionPoolOptions m_options;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::map<base::EndpointId, Endpoint> m_endpoints;
    forwarding::EndpointContact m_contact;
    ConnectionFailures m_failures;
    std::uint64_t m_openedTotal = 0;
};

} // namespace turmericplank::gateway
