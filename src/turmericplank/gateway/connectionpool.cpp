#include "turmericplank/gateway/connectionpool.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/daemon/timers.hpp"

namespace turmericplank::gateway {

ConnectionPool::ConnectionPool(boost::asio::io_context &context, ConnectionPoolOptions options)
    : m_context(context)
    , m_options(std::move(options))
{
}

ConnectionPool::~ConnectionPool()
{
    *m_isAlive = false;
    for (auto &[id, endpoint] : m_endpoints) {
        closeIdle(endpoint);
    }
}

void ConnectionPool::setEndpoint(const base::EndpointId &id, const base::ServiceName &service, const base::Address &address, base::Incarnation incarnation,
                                 std::uint32_t limit)
{
    auto &endpoint = m_endpoints[id];
    if (endpoint.address != address || endpoint.incarnation != incarnation) {
        closeIdle(endpoint);
        endpoint.isOtherIncarnation = false;
    }
    endpoint.address = address;
    endpoint.incarnation = incarnation;
    endpoint.limit = limit;
    while (endpoint.open > limit && !endpoint.idle.empty()) {
        closeOldestIdle(endpoint);
    }
    endpoint.wasRemoved = false;
    m_contact.add(id, service);
    m_failures.addEndpoint(id);
}

void ConnectionPool::removeEndpoint(const base::EndpointId &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    m_contact.remove(id);
    closeIdle(it->second);
    m_failures.removeEndpoint(id, base::now());
    it->second.wasRemoved = true;
    if (it->second.open == 0) {
        m_endpoints.erase(it);
    }
}

bool ConnectionPool::hasFreeConnection(const base::EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || it->second.wasRemoved) {
        return false;
    }
    const auto &idle = it->second.idle;
    const bool hasIdle = !idle.empty() && idle.back().idleSince >= usableFrom(id);
    return hasIdle || (it->second.open < it->second.limit && !m_contact.isUnreachable(id));
}

/// From when on a connection must have become idle in order to be used: earlier ones may hang.
base::Time ConnectionPool::usableFrom(const base::EndpointId &id) const
{
    return m_contact.hangsSince(id).value_or(base::Time());
}

void ConnectionPool::acquireConnection(const base::EndpointId &id, bool isAtMostOnce, base::Time now, const AcquireCallback &callback)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || it->second.wasRemoved) {
        callback(tl::unexpected(AcquireError{AcquireFailure::ConnectFailed}));
        return;
    }
    auto &endpoint = it->second;
    const bool mayHang = !endpoint.idle.empty() && endpoint.idle.back().idleSince < usableFrom(id);
    if (const auto idle = mayHang ? std::nullopt : takeIdle(endpoint, isAtMostOnce, now)) {
        callback(PooledConnection{id, endpoint.incarnation, idle->connection, idle->openedAt, idle->isVerified});
        return;
    }
    if (m_contact.isUnreachable(id)) {
        callback(tl::unexpected(AcquireError{AcquireFailure::ConnectFailed}));
        return;
    }
    if (endpoint.open >= endpoint.limit && !endpoint.idle.empty()) {
        // The idle connections are too old for this call; a new connection replaces the oldest.
        closeOldestIdle(endpoint);
    }
    if (endpoint.open >= endpoint.limit) {
        callback(tl::unexpected(AcquireError{AcquireFailure::LimitReached}));
        return;
    }
    open(id, endpoint, now, false, callback);
}

std::optional<ConnectionPool::Idle> ConnectionPool::takeIdle(Endpoint &endpoint, bool isAtMostOnce, base::Time now)
{
    while (!endpoint.idle.empty()) {
        const auto latest = endpoint.idle.back();
        const bool isTooOldForAtMostOnce = isAtMostOnce && now > latest.idleSince + m_options.maxIdleTimeAtMostOnce;
        if (isTooOldForAtMostOnce) {
            return std::nullopt;
        }
        const bool isUsable = now < latest.usableUntil && latest.connection->isIdle();
        endpoint.idle.pop_back();
        latest.connection->setOnIdleClose(nullptr);
        if (isUsable) {
            return latest;
        }
        latest.connection->close();
        --endpoint.open;
    }
    return std::nullopt;
}

void ConnectionPool::open(const base::EndpointId &id, Endpoint &endpoint, base::Time now, bool isProbe, const AcquireCallback &callback)
{
    ++endpoint.open;
    ++m_openedTotal;
    const auto incarnation = endpoint.incarnation;
    const auto address = m_options.addressToConnect ? m_options.addressToConnect(endpoint.address) : endpoint.address;
    net::openConnection(
        m_context, address, now + m_options.connectTimeout,
        [this, isAlive = m_isAlive, id, incarnation, isProbe, callback](const tl::expected<net::ClientConnectionPointer, net::ConnectionError> &connection) {
            if (!*isAlive) {
                return;
            }
            const auto openedAt = base::now();
            m_failures.noteResult(id, connection ? net::ConnectionError::None : connection.error(), openedAt);
            if (connection) {
                if (!isProbe) {
                    m_contact.noteConnected(id, openedAt);
                }
                callback(PooledConnection{id, incarnation, *connection, openedAt});
                return;
            }
            const bool isTimeout = connection.error() == net::ConnectionError::TimedOut;
            m_contact.noteConnectFailed(id, isTimeout ? forwarding::ConnectFailure::TimedOut : forwarding::ConnectFailure::Rejected, openedAt);
            onConnectionClosed(id);
            callback(tl::unexpected(AcquireError{AcquireFailure::ConnectFailed, connection.error()}));
        });
}

void ConnectionPool::noteSent(const base::EndpointId &id, base::Time now)
{
    m_contact.noteSent(id, now);
}

void ConnectionPool::noteReceived(const base::EndpointId &id, base::Time now)
{
    m_contact.noteReceived(id, now);
}

void ConnectionPool::probeContact(base::Time now)
{
    for (const auto &it : m_contact.dueProbes(now)) {
        probe(it, now);
    }
}

void ConnectionPool::probe(const base::EndpointId &id, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    open(id, it->second, now, true, [this](const tl::expected<PooledConnection, AcquireError> &pooled) {
        if (!pooled) {
            return;
        }
        // A connection may be established and then reset on its way.
        daemon::callAt(m_context, base::now() + m_options.settleTime, [this, isAlive = m_isAlive, pooled = *pooled] {
            if (*isAlive) {
                endProbe(pooled, base::now());
            } else {
                pooled.connection->close();
            }
        });
    });
}

/// A connection that is still open is kept for the next call.
void ConnectionPool::endProbe(const PooledConnection &pooled, base::Time now)
{
    if (pooled.connection->isIdle()) {
        m_contact.noteConnected(pooled.endpoint, now);
    } else {
        m_contact.noteConnectFailed(pooled.endpoint, forwarding::ConnectFailure::Rejected, now);
    }
    returnConnection(pooled, std::nullopt, now);
}

void ConnectionPool::noteConnectionLost(const base::EndpointId &id, bool isAnswered, base::Time now)
{
    if (isAnswered) {
        m_contact.noteConnectionLost(id, now);
    } else {
        m_contact.noteConnectFailed(id, forwarding::ConnectFailure::Rejected, now);
    }
}

void ConnectionPool::noteDoubt(const base::EndpointId &id)
{
    m_contact.noteDoubt(id);
}

const forwarding::EndpointContact &ConnectionPool::contact() const
{
    return m_contact;
}

void ConnectionPool::returnConnection(const PooledConnection &pooled, std::optional<base::Duration> idleTimeout, base::Time now)
{
    if (pooled.connection->isWritingRest()) {
        // The endpoint still gets bytes of the last call, so that the connection is in use, also for the limit.
        auto returned = pooled;
        returned.connection = nullptr; // a connection whose callback holds it would never be released
        pooled.connection->setOnRestWritten([this, isAlive = m_isAlive, returned, connection = pooled.connection.get(), idleTimeout]() mutable {
            if (*isAlive) {
                returned.connection = connection;
                returnConnection(returned, idleTimeout, base::now());
            }
        });
        return;
    }
    const auto it = m_endpoints.find(pooled.endpoint);
    const bool isListed = it != m_endpoints.end() && !it->second.wasRemoved && it->second.incarnation == pooled.incarnation;
    const bool isKept = isListed && it->second.open <= it->second.limit && pooled.connection->isIdle();
    if (!isKept) {
        pooled.connection->close();
        onConnectionClosed(pooled.endpoint);
        return;
    }
    const auto announced = std::chrono::duration_cast<base::Duration>(idleTimeout.value_or(m_options.maxIdleTime) * m_options.idleTimeoutShare);
    it->second.idle.push_back({pooled.connection, pooled.openedAt, now, now + std::min(announced, m_options.maxIdleTime), pooled.isVerified});
    pooled.connection->setOnIdleClose([this, isAlive = m_isAlive, id = pooled.endpoint, connection = pooled.connection.get()] {
        if (*isAlive) {
            removeIdle(id, connection);
        }
    });
}

bool ConnectionPool::noteOtherIncarnation(const PooledConnection &pooled)
{
    const auto it = m_endpoints.find(pooled.endpoint);
    const bool isSet = it != m_endpoints.end() && it->second.incarnation == pooled.incarnation;
    return isSet && !std::exchange(it->second.isOtherIncarnation, true);
}

bool ConnectionPool::isOtherIncarnation(const base::EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && it->second.isOtherIncarnation;
}

void ConnectionPool::removeIdle(const base::EndpointId &id, const net::ClientConnection *connection)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    const auto n = std::erase_if(it->second.idle, [connection](const auto &idle) { return idle.connection.get() == connection; });
    if (n > 0) {
        m_contact.noteConnectionLost(id, base::now());
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

void ConnectionPool::closeOldestIdle(Endpoint &endpoint)
{
    const auto oldest = endpoint.idle.front().connection;
    oldest->setOnIdleClose(nullptr);
    oldest->close();
    endpoint.idle.erase(endpoint.idle.begin());
    endpoint.open -= std::min(endpoint.open, 1U);
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
            closeOldestIdle(endpoint);
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

const ConnectionFailures &ConnectionPool::failures() const
{
    return m_failures;
}

std::uint64_t ConnectionPool::openedTotal() const
{
    return m_openedTotal;
}

} // namespace turmericplank::gateway
