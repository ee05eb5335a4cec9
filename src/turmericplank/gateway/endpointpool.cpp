#include "turmericplank/gateway/endpointpool.hpp"

#include <algorithm>

namespace turmericplank::gateway {

EndpointPool::EndpointPool(boost::asio::io_context &context, PoolOptions options)
    : m_context(context)
    , m_options(options)
{
}

EndpointPool::~EndpointPool()
{
    *m_isAlive = false;
    for (auto &[id, endpoint] : m_endpoints) {
        closeIdle(endpoint);
    }
}

void EndpointPool::setEndpoint(const base::EndpointId &id, const base::Address &address, base::Incarnation incarnation, std::uint32_t limit)
{
    auto &endpoint = m_endpoints[id];
    if (endpoint.address != address || endpoint.incarnation != incarnation) {
        closeIdle(endpoint);
    }
    endpoint.address = address;
    endpoint.incarnation = incarnation;
    endpoint.limit = limit;
    endpoint.isGone = false;
}

void EndpointPool::dropEndpoint(const base::EndpointId &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    closeIdle(it->second);
    it->second.isGone = true;
    if (it->second.open == 0) {
        m_endpoints.erase(it);
    }
}

bool EndpointPool::hasRoom(const base::EndpointId &id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && !it->second.isGone && (!it->second.idle.empty() || it->second.open < it->second.limit);
}

void EndpointPool::borrow(const base::EndpointId &id, bool isOnce, base::Time now, const LoanHook &hook)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || it->second.isGone) {
        hook(tl::unexpected(LoanFailure::NoConnection));
        return;
    }
    auto &endpoint = it->second;
    if (const auto connection = takeIdle(endpoint, isOnce, now)) {
        hook(Loan{id, endpoint.incarnation, connection});
        return;
    }
    if (endpoint.open >= endpoint.limit && !endpoint.idle.empty()) {
        // What is idle is too old for this call; a new connection takes its place.
        endpoint.idle.front().connection->close();
        endpoint.idle.erase(endpoint.idle.begin());
        --endpoint.open;
    }
    if (endpoint.open >= endpoint.limit) {
        hook(tl::unexpected(LoanFailure::Full));
        return;
    }
    open(id, endpoint, now, hook);
}

net::ClientConnectionPointer EndpointPool::takeIdle(Endpoint &endpoint, bool isOnce, base::Time now)
{
    while (!endpoint.idle.empty()) {
        const auto &latest = endpoint.idle.back();
        const bool isTooOldForOnce = isOnce && now > latest.idleSince + m_options.onceIdleLimit;
        if (isTooOldForOnce) {
            return nullptr;
        }
        const auto connection = latest.connection;
        const bool isUsable = now < latest.usableUntil && connection->isIdle();
        endpoint.idle.pop_back();
        connection->setOnIdleClose(nullptr);
        if (isUsable) {
            return connection;
        }
        connection->close();
        --endpoint.open;
    }
    return nullptr;
}

void EndpointPool::open(const base::EndpointId &id, Endpoint &endpoint, base::Time now, const LoanHook &hook)
{
    ++endpoint.open;
    ++m_opened;
    const auto incarnation = endpoint.incarnation;
    net::openConnection(m_context, endpoint.address, now + m_options.connectTimeout,
                        [this, isAlive = m_isAlive, id, incarnation, hook](const net::ClientConnectionPointer &connection) {
                            if (!*isAlive) {
                                return;
                            }
                            if (connection) {
                                hook(Loan{id, incarnation, connection});
                                return;
                            }
                            noteClosed(id);
                            hook(tl::unexpected(LoanFailure::NoConnection));
                        });
}

void EndpointPool::giveBack(const Loan &loan, std::optional<base::Duration> idleTimeout, base::Time now)
{
    const auto it = m_endpoints.find(loan.endpoint);
    const bool isKept = it != m_endpoints.end() && !it->second.isGone && it->second.incarnation == loan.incarnation && loan.connection->isIdle();
    if (!isKept) {
        loan.connection->close();
        noteClosed(loan.endpoint);
        return;
    }
    const auto announced = std::chrono::duration_cast<base::Duration>(idleTimeout.value_or(m_options.idleLimit) * m_options.idleShare);
    it->second.idle.push_back({loan.connection, now, now + std::min(announced, m_options.idleLimit)});
    loan.connection->setOnIdleClose([this, isAlive = m_isAlive, id = loan.endpoint, connection = loan.connection.get()] {
        if (*isAlive) {
            forgetIdle(id, connection);
        }
    });
}

void EndpointPool::forgetIdle(const base::EndpointId &id, const net::ClientConnection *connection)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    const auto n = std::erase_if(it->second.idle, [connection](const auto &idle) { return idle.connection.get() == connection; });
    if (n > 0) {
        noteClosed(id);
    }
}

void EndpointPool::noteClosed(const base::EndpointId &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    it->second.open -= std::min(it->second.open, 1U);
    if (it->second.isGone && it->second.open == 0) {
        m_endpoints.erase(it);
    }
}

void EndpointPool::closeIdle(Endpoint &endpoint)
{
    for (const auto &it : endpoint.idle) {
        it.connection->setOnIdleClose(nullptr);
        it.connection->close();
    }
    endpoint.open -= std::min(endpoint.open, static_cast<std::uint32_t>(endpoint.idle.size()));
    endpoint.idle.clear();
}

void EndpointPool::expire(base::Time now)
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

std::size_t EndpointPool::openConnections() const
{
    std::size_t n = 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        n += endpoint.open;
    }
    return n;
}

std::uint64_t EndpointPool::opened() const
{
    return m_opened;
}

} // namespace turmericplank::gateway
