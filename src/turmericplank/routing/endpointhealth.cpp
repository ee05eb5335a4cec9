#include "turmericplank/routing/endpointhealth.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::routing {

namespace {

constexpr double FailureWeight = 0.2; ///< weight of the newest attempt in the moving average
constexpr std::uint32_t MaxDoublings = 10;

bool isFailure(AttemptOutcome end)
{
    return end == AttemptOutcome::Failed || end == AttemptOutcome::Lost;
}

/// Factor by which a value has decayed since the given time.
double decayFactor(base::Time since, base::Time now, base::Duration halfLife)
{
    const double halves = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(halfLife);
    return std::exp2(-std::max(0.0, halves));
}

} // namespace

void EndpointHealth::block(base::Time now, const HealthOptions &options)
{
    const auto doublings = std::min(m_failuresInRow - options.failuresToBlock, MaxDoublings);
    const auto length = std::min(options.initialBlock * (1U << doublings), options.maxBlock);
    m_blockedUntil = std::max(m_blockedUntil, now + length);
    m_needsProbe = true;
}

void EndpointHealth::noteEnd(AttemptOutcome end, base::Time now, const HealthOptions &options)
{
    if (end == AttemptOutcome::Overloaded) {
        m_blockedUntil = std::max(m_blockedUntil, now + options.overloadBlock);
        return;
    }
    if (end == AttemptOutcome::Answered) {
        m_failuresInRow = 0;
        m_needsProbe = false;
        m_blockedUntil = base::Time();
        m_failureShare = failureShare(now, options) * (1 - FailureWeight);
        m_failureShareAt = now;
        return;
    }
    if (!isFailure(end)) {
        return;
    }
    ++m_failuresInRow;
    const double current = failureShare(now, options);
    m_failureShare = current + FailureWeight * (1 - current);
    m_failureShareAt = now;
    if (m_failuresInRow >= options.failuresToBlock) {
        block(now, options);
    }
}

void EndpointHealth::noteProbe(base::Time now, const HealthOptions &options)
{
    m_blockedUntil = now + options.initialBlock;
}

void EndpointHealth::noteFirstToken(double ratio, base::Time now, const HealthOptions &options)
{
    const double current = slowness(now, options);
    const double bounded = std::clamp(ratio, 0.2, options.maxSlowness);
    m_slowness = std::clamp(current + options.slownessWeight * (bounded - current), 1.0, options.maxSlowness);
    m_slownessAt = now;
}

HealthState EndpointHealth::healthState(base::Time now) const
{
    if (now < m_blockedUntil) {
        return HealthState::Blocked;
    }
    return m_needsProbe ? HealthState::ProbeOnly : HealthState::Healthy;
}

double EndpointHealth::slowness(base::Time now, const HealthOptions &options) const
{
    if (m_slowness <= 1) {
        return 1;
    }
    return 1 + (m_slowness - 1) * decayFactor(m_slownessAt, now, options.halfLife);
}

double EndpointHealth::failureShare(base::Time now, const HealthOptions &options) const
{
    return m_failureShare > 0 ? m_failureShare * decayFactor(m_failureShareAt, now, options.halfLife) : 0;
}

base::Time EndpointHealth::blockedUntil() const
{
    return m_blockedUntil;
}

} // namespace turmericplank::routing
