#include "turmericplank/gateway/connectionpool.hpp"

#include <algorithm>

namespace turmericplank::gateway {

ConnectionPool::ConnectionPool(boost::asio::io_context &context, ConnectionPoolOptions options)
    : m_context(context)
    , m_options(options)
{
}

ConnectionPool::~ConnectionPool()
{
    *m_isAlive = false;
    for (auto &[id, endpoint] : m_endpoints) {
        closeIdle(endpoint);
    }
}

void ConnectionPool::setEndpoint(const base::EndpointId &id, const base::Address &address, base::Incarnation incarnation, std::uint32_t limit)
{
    auto &endpoint = m_endpoints[id];
    if (endpoint.address != address || endpoint.incarnation != incarnation) {
        closeIdle(endpoint);
    }
    endpoint.address = address;
    endpoint.incarnation = incarnation;
    endpoint.limit = limit;
    endpoint.wasRemoved = false;
}

void ConnectionPool::removeEndpoint(const base::EndpointId &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    closeIdle(it->second);
    it->second.wasRemoved = true;
    if (it->second.open == 0) {
        m_endpoints.erase(it);
    }
}

bool ConnectionPool::hasFreeConnection(const base::EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && !it->second.wasRemoved && (!it->second.idle.empty() || it->second.open < it->second.limit);
}

void ConnectionPool::acquireConnection(const base::EndpointId &id, bool isAtMostOnce, base::Time now, const AcquireCallback &callback)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || it->second.wasRemoved) {
        callback(tl::unexpected(AcquireFailure::ConnectFailed));
        return;
    }
    auto &endpoint = it->second;
    if (const auto idle = takeIdle(endpoint, isAtMostOnce, now)) {
        callback(PooledConnection{id, endpoint.incarnation, idle->connection, idle->openedAt});
        return;
    }
    if (endpoint.open >= endpoint.limit && !endpoint.idle.empty()) {
        // The idle connections are too old for this call; a new connection replaces the oldest.
        endpoint.idle.front().connection->close();
        endpoint.idle.erase(endpoint.idle.begin());
        --endpoint.open;
    }
    if (endpoint.open >= endpoint.limit) {
        callback(tl::unexpected(AcquireFailure::LimitReached));
        return;
    }
    open(id, endpoint, now, callback);
}

std::optional<ConnectionPool::Idle> ConnectionPool::takeIdle(Endpoint &endpoint, bool isAtMostOnce, base::Time now)
{
    while (!endpoint.idle.empty()) {
        const auto &latest = endpoint.idle.back();
        const bool isTooOldForAtMostOnce = isAtMostOnce && now > latest.idleSince + m_options.maxIdleTimeAtMostOnce;
        if (isTooOldForAtMostOnce) {
            return std::nullopt;
        }
        const auto idle = latest;
        const bool isUsable = now < idle.usableUntil && idle.connection->isIdle();
        endpoint.idle.pop_back();
        idle.connection->setOnIdleClose(nullptr);
        if (isUsable) {
            return idle;
        }
        idle.connection->close();
        --endpoint.open;
    }
    return std::nullopt;
}

void ConnectionPool::open(const base::EndpointId &id, Endpoint &endpoint, base::Time now, const AcquireCallback &callback)
{
    ++endpoint.open;
    ++m_openedTotal;
    const auto incarnation = endpoint.incarnation;
    net::openConnection(m_context, endpoint.address, now + m_options.connectTimeout,
                        [this, isAlive = m_isAlive, id, incarnation, callback](const net::ClientConnectionPointer &connection) {
                            if (!*isAlive) {
                                return;
                            }
                            if (connection) {
                                callback(PooledConnection{id, incarnation, connection, base::now()});
                                return;
                            }
                            onConnectionClosed(id);
                            callback(tl::unexpected(AcquireFailure::ConnectFailed));
                        });
}

void ConnectionPool::returnConnection(const PooledConnection &pooled, std::optional<base::Duration> idleTimeout, base::Time now)
{
    const auto it = m_endpoints.find(pooled.endpoint);
    const bool isKept = it != m_endpoints.end() && !it->second.wasRemoved && it->second.incarnation == pooled.incarnation && pooled.connection->isIdle();
    if (!isKept) {
        pooled.connection->close();
        onConnectionClosed(pooled.endpoint);
        return;
    }
    const auto announced = std::chrono::duration_cast<base::Duration>(idleTimeout.value_or(m_options.maxIdleTime) * m_options.idleTimeoutShare);
    it->second.idle.push_back({pooled.connection, pooled.openedAt, now, now + std::min(announced, m_options.maxIdleTime)});
    pooled.connection->setOnIdleClose([this, isAlive = m_isAlive, id = pooled.endpoint, connection = pooled.connection.get()] {
        if (*isAlive) {
            removeIdle(id, connection);
        }
    });
}

void ConnectionPool::removeIdle(const base::EndpointId &id, const net::ClientConnection *connection)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    const auto n = std::erase_if(it->second.idle, [connection](const auto &idle) { return idle.connection.get() == connection; });
    if (n > 0) {
        onConnectionClosed(id);
    }
}

void ConnectionPool::onConnectionClosed(const base::EndpointId &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    it->second.open -= std::min(it->second.open, 1U);
    if (it->second.wasRemoved && it->second.open == 0) {
        m_endpoints.erase(it);
    }
}

void ConnectionPool::closeIdle(Endpoint &endpoint)
{
    for (const auto &it : endpoint.idle) {
        it.connection->setOnIdleClose(nullptr);
        it.connection->close();
    }
    endpoint.open -= std::min(endpoint.open, static_cast<std::uint32_t>(endpoint.idle.size()));
    endpoint.idle.clear();
}

void ConnectionPool::closeExpired(base::Time now)
{
    for (auto &[id, endpoint] : m_endpoints) {
        auto &idle = endpoint.idle;
        while (!idle.empty() && idle.front().usableUntil <= now) {
            idle.front().connection->setOnIdleClose(nullptr);
            idle.front().connection->close();
            idle.erase(idle.begin());
            endpoint.open -= std::min(endpoint.open, 1U);
        }
    }
}

std::size_t ConnectionPool::openConnectionCount() const
{
    std::size_t n = 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        n += endpoint.open;
    }
    return n;
}

std::uint64_t ConnectionPool::openedTotal() const
{
    return m_openedTotal;
}

} // namespace turmericplank::gateway
