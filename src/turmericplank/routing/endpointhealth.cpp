#include "turmericplank/routing/endpointhealth.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::routing {

namespace {

constexpr double FailureWeight = 0.2; ///< of the newest attempt
constexpr std::uint32_t MostDoublings = 10;

bool isFailure(AttemptEnd end)
{
    return end == AttemptEnd::Failed || end == AttemptEnd::Lost;
}

/// Share that is left of a value after some time.
double faded(base::Time since, base::Time now, base::Duration halfLife)
{
    const double halves = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(halfLife);
    return std::exp2(-std::max(0.0, halves));
}

} // namespace

void EndpointHealth::block(base::Time now, const HealthOptions &options)
{
    const auto doublings = std::min(m_failuresInRow - options.failuresToBlock, MostDoublings);
    const auto length = std::min(options.firstBlock * (1U << doublings), options.longestBlock);
    m_blockedUntil = std::max(m_blockedUntil, now + length);
    m_isOnProbation = true;
}

void EndpointHealth::noteEnd(AttemptEnd end, base::Time now, const HealthOptions &options)
{
    if (end == AttemptEnd::Overloaded) {
        m_blockedUntil = std::max(m_blockedUntil, now + options.overloadBlock);
        return;
    }
    if (end == AttemptEnd::Answered) {
        m_failuresInRow = 0;
        m_isOnProbation = false;
        m_blockedUntil = base::Time();
        m_failureShare = failureShare(now, options) * (1 - FailureWeight);
        m_failureShareAt = now;
        return;
    }
    if (!isFailure(end)) {
        return;
    }
    ++m_failuresInRow;
    const double present = failureShare(now, options);
    m_failureShare = present + FailureWeight * (1 - present);
    m_failureShareAt = now;
    if (m_failuresInRow >= options.failuresToBlock) {
        block(now, options);
    }
}

void EndpointHealth::noteProbe(base::Time now, const HealthOptions &options)
{
    m_blockedUntil = now + options.firstBlock;
}

void EndpointHealth::noteFirstToken(double ratio, base::Time now, const HealthOptions &options)
{
    const double present = slowness(now, options);
    const double bounded = std::clamp(ratio, 0.2, options.highestSlowness);
    m_slowness = std::clamp(present + options.slownessWeight * (bounded - present), 1.0, options.highestSlowness);
    m_slownessAt = now;
}

Trust EndpointHealth::trust(base::Time now) const
{
    if (now < m_blockedUntil) {
        return Trust::Blocked;
    }
    return m_isOnProbation ? Trust::OneProbe : Trust::Full;
}

double EndpointHealth::slowness(base::Time now, const HealthOptions &options) const
{
    if (m_slowness <= 1) {
        return 1;
    }
    return 1 + (m_slowness - 1) * faded(m_slownessAt, now, options.halfLife);
}

double EndpointHealth::failureShare(base::Time now, const HealthOptions &options) const
{
    return m_failureShare > 0 ? m_failureShare * faded(m_failureShareAt, now, options.halfLife) : 0;
}

base::Time EndpointHealth::blockedUntil() const
{
    return m_blockedUntil;
}

} // namespace turmericplank::routing
