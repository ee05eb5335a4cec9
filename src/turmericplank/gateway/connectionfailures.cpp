#include "turmericplank/gateway/connectionfailures.hpp"

#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using net::ConnectionError;
using telemetry::LogLevel;

} // namespace

void ConnectionFailures::addEndpoint(const base::EndpointId &id)
{
    m_endpoints.try_emplace(id);
}

void ConnectionFailures::removeEndpoint(const base::EndpointId &id, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    m_failingCount -= it->second.error == ConnectionError::None ? 0 : 1;
    m_endpoints.erase(it);
    updateAllFailing(now);
}

void ConnectionFailures::noteResult(const base::EndpointId &id, ConnectionError error, base::Time now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end()) {
        return;
    }
    auto &endpoint = it->second;
    const auto before = std::exchange(endpoint.error, error);
    const bool wasFailing = before != ConnectionError::None;
    const bool isFailing = error != ConnectionError::None;
    if (wasFailing == isFailing) {
        return;
    }
    const auto since = std::exchange(endpoint.changedAt, now);
    if (isFailing) {
        ++m_failingCount;
    } else {
        --m_failingCount;
    }
    if (m_endpointLines.tryAcquire(now)) {
        if (isFailing) {
            telemetry::log(LogLevel::Info, "endpoints", "new connections fail", {{"endpoint", id.text()}, {"connection_error", toString(error)}});
        } else {
            telemetry::log(LogLevel::Info, "endpoints", "new connections succeed again",
                           {{"endpoint", id.text()}, {"connection_error", toString(before)}, {"after_ms", base::millisecondsBetween(since, now)}});
        }
    }
    updateAllFailing(now);
}

void ConnectionFailures::updateAllFailing(base::Time now)
{
    const bool wereAllFailing = std::exchange(m_wereAllFailing, areAllFailing());
    if (wereAllFailing == m_wereAllFailing) {
        return;
    }
    const auto since = std::exchange(m_allFailingSince, now);
    if (m_wereAllFailing) {
        telemetry::log(LogLevel::Warning, "endpoints", "new connections to all endpoints fail", {{"endpoints", std::uint64_t(m_endpoints.size())}});
    } else {
        telemetry::log(LogLevel::Info, "endpoints", "new connections to some endpoints succeed again",
                       {{"endpoints", std::uint64_t(m_endpoints.size())}, {"after_ms", base::millisecondsBetween(since, now)}});
    }
}

std::size_t ConnectionFailures::failingCount() const
{
    return m_failingCount;
}

bool ConnectionFailures::areAllFailing() const
{
    return !m_endpoints.empty() && m_failingCount == m_endpoints.size();
}

} // namespace turmericplank::gateway
