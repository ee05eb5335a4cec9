#include "turmericplank/placement/demand.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::placement {

namespace {

constexpr double ForgottenRate = 1e-6; // requests per second
constexpr double ServiceShare = 0.2; // weight of the newest service time

double share(double seconds, base::Duration constant)
{
    return 1.0 - std::exp(-seconds / std::chrono::duration<double>(constant).count());
}

std::uint64_t increase(std::uint64_t before, std::uint64_t after)
{
    return after >= before ? after - before : after;
}

double seconds(base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

DemandEstimator::DemandEstimator(DemandOptions options)
    : m_options(options)
{
}

void DemandEstimator::report(const base::DaemonId &daemon, const DemandCounters &counters)
{
    const auto [known, isNew] = m_last.try_emplace(daemon, counters);
    if (isNew) {
        // What was counted before it was first heard belongs to no known time.
        return;
    }
    const auto &last = known->second;
    for (const auto &[model, counter] : counters.models) {
        const auto it = last.models.find(model);
        const auto before = it == last.models.end() ? DemandCounter{} : it->second;
        auto &sum = m_new.models[model];
        sum.requests += increase(before.requests, counter.requests);
        sum.streamMilliseconds += increase(before.streamMilliseconds, counter.streamMilliseconds);
    }
    for (const auto &[adapter, requests] : counters.adapters) {
        const auto it = last.adapters.find(adapter);
        m_new.adapters[adapter] += increase(it == last.adapters.end() ? 0 : it->second, requests);
    }
    m_last[daemon] = counters;
}

void DemandEstimator::advance(base::Time now)
{
    if (m_advanced == base::Time()) {
        m_advanced = now;
        return;
    }
    const double elapsed = seconds(now - m_advanced);
    if (elapsed <= 0) {
        return;
    }
    m_advanced = now;
    for (const auto &[model, counter] : m_new.models) {
        auto &rates = m_models[model];
        if (counter.requests > 0 && counter.streamMilliseconds > 0) {
            const double newest = static_cast<double>(counter.streamMilliseconds) / 1000.0 / static_cast<double>(counter.requests);
            rates.serviceSeconds = rates.serviceSeconds > 0 ? rates.serviceSeconds + ServiceShare * (newest - rates.serviceSeconds) : newest;
        }
    }
    for (auto it = m_models.begin(); it != m_models.end(); ++it) {
        auto &rates = it->second;
        const auto found = m_new.models.find(it->first);
        const double rate = found == m_new.models.end() ? 0 : static_cast<double>(found->second.requests) / elapsed;
        rates.fast += share(elapsed, m_options.fast) * (rate - rates.fast);
        rates.middle += share(elapsed, m_options.middle) * (rate - rates.middle);
        rates.slow += share(elapsed, m_options.slow) * (rate - rates.slow);
    }
    for (const auto &[adapter, requests] : m_new.adapters) {
        m_adapters.emplace(adapter, 0.0);
    }
    for (auto &[adapter, average] : m_adapters) {
        const auto found = m_new.adapters.find(adapter);
        const double rate = found == m_new.adapters.end() ? 0 : static_cast<double>(found->second) / elapsed;
        average += share(elapsed, m_options.middle) * (rate - average);
    }
    std::erase_if(m_adapters, [](const auto &entry) { return entry.second < ForgottenRate; });
    m_new = {};
}

Demand DemandEstimator::estimate() const
{
    Demand demand;
    const double distance = seconds(m_options.middle) - seconds(m_options.fast);
    for (const auto &[model, rates] : m_models) {
        const double trend = std::max(0.0, (rates.fast - rates.middle) / distance);
        const double ahead = rates.fast + trend * seconds(m_options.lead);
        const double service = rates.serviceSeconds > 0 ? rates.serviceSeconds : m_options.serviceSeconds;
        const double rate = std::max({ahead, rates.middle, rates.slow});
        demand.models.emplace(model, ModelDemand{rate, rate * service, rates.slow * service});
    }
    demand.adapters.insert(m_adapters.begin(), m_adapters.end());
    return demand;
}

} // namespace turmericplank::placement
