#include "forwardedcall.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

} // namespace

/// Only the events of a resumable stream depend on the software version of the endpoint, and only if there may be several.
bool ForwardedCall::dependsOnVersion() const
{
    const bool isMixed = m_softwareVersion || m_forwarder.m_dependencies.streamOrigins.isMixed(m_service, base::now());
    return m_isEngine && m_route.kind.isStreamed && m_route.kind.isResumable && isMixed;
}

bool ForwardedCall::hasUsableConnection(const base::EndpointId &endpoint) const
{
    const auto &pool = m_forwarder.m_dependencies.pool;
    return pool.hasFreeConnection(endpoint) && !(dependsOnVersion() && pool.isOtherIncarnation(endpoint));
}

/// An endpoint may have started again with another software version since its entry was read, so the engine at the other end of the
/// connection is asked. Nothing of the call is sent before its answer.
void ForwardedCall::verifyConnection(std::uint64_t number, PooledConnection pooled)
{
    const auto deadline = std::min(base::now() + m_forwarder.m_options.incarnationTimeout, m_attempts.deadline());
    const auto onDone = [self = Pointer(this), isAlive = m_forwarder.m_isAlive, number, pooled](IncarnationCheck result) {
        if (*isAlive) {
            self->handleVerification(number, pooled, result);
        } else {
            pooled.connection->close();
        }
    };
    checkIncarnation(m_forwarder.m_dependencies.wire, pooled, deadline, onDone);
}

void ForwardedCall::handleVerification(std::uint64_t number, PooledConnection pooled, IncarnationCheck result)
{
    auto &dependencies = m_forwarder.m_dependencies;
    if (result == IncarnationCheck::Same) {
        pooled.isVerified = true;
        onConnection(number, std::move(pooled));
        return;
    }
    pooled.connection->close();
    dependencies.pool.returnConnection(pooled, std::nullopt, base::now());
    if (result == IncarnationCheck::Other && dependencies.pool.noteOtherIncarnation(pooled)) {
        telemetry::log(LogLevel::Info, "endpoints", "has started again, its entry is not read yet",
                       {{"endpoint", pooled.endpoint.text()}, {"incarnation", pooled.incarnation.value()}, {"request", m_call.id}});
        dependencies.metrics.count("endpoint_restarts_unread_total");
        dependencies.refreshVersions([](bool) {});
    }
    onConnection(number, tl::unexpected(AcquireError{AcquireFailure::ConnectFailed}));
}

} // namespace turmericplank::gateway
