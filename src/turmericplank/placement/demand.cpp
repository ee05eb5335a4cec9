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

void DemandEstimator::report(const base::DaemonId &daemon, const DemandCounters &counters, base::Time now)
{
    const auto [known, isNew] = m_last.try_emplace(daemon, Report{counters, now});
    const double elapsed = isNew ? 0 : seconds(now - known->second.at);
    if (elapsed <= 0) {
        // What was counted before it was first heard belongs to no known time.
        return;
    }
    const auto &last = known->second.counters;
    for (const auto &[model, counter] : counters.models) {
        const auto it = last.models.find(model);
        const auto before = it == last.models.end() ? DemandCounter{} : it->second;
        addModel(model, {increase(before.requests, counter.requests), increase(before.streamMilliseconds, counter.streamMilliseconds)}, elapsed);
    }
    for (const auto &[adapter, requests] : counters.adapters) {
        const auto it = last.adapters.find(adapter);
        const auto added = increase(it == last.adapters.end() ? 0 : it->second, requests);
        if (added > 0) {
            m_adapters[adapter] += static_cast<double>(added) / elapsed * part(elapsed).middle;
        }
    }
    known->second = {counters, now};
}

DemandEstimator::Part DemandEstimator::part(double elapsed) const
{
    return {share(elapsed, m_options.fast), share(elapsed, m_options.middle), share(elapsed, m_options.slow)};
}

void DemandEstimator::addModel(const base::ModelName &model, const DemandCounter &increase, double elapsed)
{
    if (increase.requests == 0) {
        return;
    }
    auto &rates = m_models[model];
    const double rate = static_cast<double>(increase.requests) / elapsed;
    const auto added = part(elapsed);
    rates.fast += rate * added.fast;
    rates.middle += rate * added.middle;
    rates.slow += rate * added.slow;
    if (increase.streamMilliseconds > 0) {
        const double newest = static_cast<double>(increase.streamMilliseconds) / 1000.0 / static_cast<double>(increase.requests);
        rates.serviceSeconds = rates.serviceSeconds > 0 ? rates.serviceSeconds + ServiceShare * (newest - rates.serviceSeconds) : newest;
    }
}

void DemandEstimator::advance(base::Time now)
{
    const double elapsed = m_advanced == base::Time() ? 0 : seconds(now - m_advanced);
    m_advanced = std::max(m_advanced, now);
    if (elapsed <= 0) {
        return;
    }
    const auto lost = part(elapsed);
    for (auto &[model, rates] : m_models) {
        rates.fast -= rates.fast * lost.fast;
        rates.middle -= rates.middle * lost.middle;
        rates.slow -= rates.slow * lost.slow;
    }
    for (auto &[adapter, rate] : m_adapters) {
        rate -= rate * lost.middle;
    }
    std::erase_if(m_adapters, [](const auto &entry) { return entry.second < ForgottenRate; });
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
