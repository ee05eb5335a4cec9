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

/// @brief Waiting times of kept connections.
struct PoolOptions
{
    base::Duration connectTimeout = std::chrono::milliseconds(400); ///< a lost opening packet is sent again only after seconds
    base::Duration idleLimit = std::chrono::seconds(4); ///< where the endpoint does not say how long it keeps a connection
    double idleShare = 0.6; ///< of the time that the endpoint says; beyond it the close may cross a request
    base::Duration onceIdleLimit = std::chrono::milliseconds(1500); ///< for calls that may run once: a reset would leave their outcome unknown
};

/// @brief A connection that is on loan, tied to one incarnation of its endpoint.
struct Loan
{
    base::EndpointId endpoint;
    base::Incarnation incarnation;
    net::ClientConnectionPointer connection;
};

/// @brief Why there is no connection.
enum class LoanFailure {
    Full, ///< this daemon's part of the endpoint's connections is in use
    NoConnection, ///< the endpoint does not accept one
};

/// @brief Kept connections to the endpoints, at most so many each.
class EndpointPool
{
public:
    using LoanHook = std::function<void(tl::expected<Loan, LoanFailure>)>;

    EndpointPool(boost::asio::io_context &context, PoolOptions options);
    ~EndpointPool();

    /// @brief Takes an endpoint as it is now; connections to an earlier address or incarnation are closed.
    /// @param limit connections that this daemon may have open
    void setEndpoint(const base::EndpointId &id, const base::Address &address, base::Incarnation incarnation, std::uint32_t limit);

    /// @brief Closes the idle connections of an endpoint that is gone.
    void dropEndpoint(const base::EndpointId &id);

    /// @brief Whether a connection could be lent without waiting for another one to come back.
    bool hasRoom(const base::EndpointId &id) const;

    /// @brief Lends a connection; the hook may be called before the function returns.
    /// @param isOnce whether the call may run once only
    void borrow(const base::EndpointId &id, bool isOnce, base::Time now, const LoanHook &hook);

    /// @brief Takes a connection back, to be kept if it is still open and idle.
    /// @param idleTimeout how long the endpoint keeps it, where it said so
    void giveBack(const Loan &loan, std::optional<base::Duration> idleTimeout, base::Time now);

    /// @brief Closes connections that were idle for too long.
    void expire(base::Time now);

    /// @brief Connections that are open or being opened.
    std::size_t openConnections() const;

    /// @brief Connections opened so far.
    std::uint64_t opened() const;

private:
    struct Idle
    {
        net::ClientConnectionPointer connection;
        base::Time idleSince;
        base::Time usableUntil;
    };

    struct Endpoint
    {
        base::Address address;
        base::Incarnation incarnation;
        std::uint32_t limit = 1;
        std::uint32_t open = 0;
        bool isGone = false;
        std::vector<Idle> idle; ///< the latest used last
    };

    net::ClientConnectionPointer takeIdle(Endpoint &endpoint, bool isOnce, base::Time now);
    void closeIdle(Endpoint &endpoint);
    void open(const base::EndpointId &id, Endpoint &endpoint, base::Time now, const LoanHook &hook);
    void forgetIdle(const base::EndpointId &id, const net::ClientConnection *connection);
    void noteClosed(const base::EndpointId &id);

    boost::asio::io_context &m_context;
    PoolOptions m_options;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::map<base::EndpointId, Endpoint> m_endpoints;
    std::uint64_t m_opened = 0;
};

} // namespace turmericplank::gateway
