#include "turmericplank/placement/demand.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::placement {

namespace {

constexpr double MinAdapterRate = 1e-6; // requests per second; adapters with a lower rate are dropped
constexpr double ServiceTimeWeight = 0.2; // weight of the newest service time in the moving average

/// Weight of the last seconds in an exponential moving average with the given time constant.
double averageWeight(double seconds, base::Duration timeConstant)
{
    return 1.0 - std::exp(-seconds / std::chrono::duration<double>(timeConstant).count());
}

/// Increase of a counter that starts again from zero when its daemon restarts.
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
    const auto [known, isNew] = m_lastReports.try_emplace(daemon, Report{counters, now});
    const double elapsed = isNew ? 0 : seconds(now - known->second.at);
    if (elapsed <= 0) {
        // The time over which the first counters were collected is unknown.
        return;
    }
    const auto &previous = known->second.counters;
    for (const auto &[model, counter] : counters.models) {
        const auto it = previous.models.find(model);
        const auto before = it == previous.models.end() ? DemandCounter{} : it->second;
        addModel(model, {increase(before.requests, counter.requests), increase(before.streamMilliseconds, counter.streamMilliseconds)}, elapsed);
    }
    for (const auto &[adapter, requests] : counters.adapters) {
        const auto it = previous.adapters.find(adapter);
        const auto added = increase(it == previous.adapters.end() ? 0 : it->second, requests);
        if (added > 0) {
            m_adapters[adapter] += static_cast<double>(added) / elapsed * weights(elapsed).medium;
        }
    }
    known->second = {counters, now};
}

DemandEstimator::Weights DemandEstimator::weights(double elapsedSeconds) const
{
    return {averageWeight(elapsedSeconds, m_options.fastTimeConstant), averageWeight(elapsedSeconds, m_options.mediumTimeConstant),
            averageWeight(elapsedSeconds, m_options.slowTimeConstant)};
}

void DemandEstimator::addModel(const base::ModelName &model, const DemandCounter &increase, double elapsedSeconds)
{
    if (increase.requests == 0) {
        return;
    }
    auto &rates = m_models[model];
    const double rate = static_cast<double>(increase.requests) / elapsedSeconds;
    const auto added = weights(elapsedSeconds);
    rates.fast += rate * added.fast;
    rates.medium += rate * added.medium;
    rates.slow += rate * added.slow;
    if (increase.streamMilliseconds > 0) {
        const double newest = static_cast<double>(increase.streamMilliseconds) / 1000.0 / static_cast<double>(increase.requests);
        rates.serviceSeconds = rates.serviceSeconds > 0 ? rates.serviceSeconds + ServiceTimeWeight * (newest - rates.serviceSeconds) : newest;
    }
}

void DemandEstimator::advance(base::Time now)
{
    const double elapsed = m_lastAdvance == base::Time() ? 0 : seconds(now - m_lastAdvance);
    m_lastAdvance = std::max(m_lastAdvance, now);
    if (elapsed <= 0) {
        return;
    }
    const auto decay = weights(elapsed);
    for (auto &[model, rates] : m_models) {
        rates.fast -= rates.fast * decay.fast;
        rates.medium -= rates.medium * decay.medium;
        rates.slow -= rates.slow * decay.slow;
    }
    for (auto &[adapter, rate] : m_adapters) {
        rate -= rate * decay.medium;
    }
    std::erase_if(m_adapters, [](const auto &entry) { return entry.second < MinAdapterRate; });
}

Demand DemandEstimator::estimate() const
{
    Demand demand;
    const double lagDifference = seconds(m_options.mediumTimeConstant) - seconds(m_options.fastTimeConstant);
    for (const auto &[model, rates] : m_models) {
        const double trend = std::max(0.0, (rates.fast - rates.medium) / lagDifference);
        const double forecast = rates.fast + trend * seconds(m_options.forecastTime);
        const double service = rates.serviceSeconds > 0 ? rates.serviceSeconds : m_options.defaultServiceSeconds;
        const double rate = std::max({forecast, rates.medium, rates.slow});
        demand.models.emplace(model, ModelDemand{rate, rate * service, rates.slow * service});
    }
    demand.adapters.insert(m_adapters.begin(), m_adapters.end());
    return demand;
}

} // namespace turmericplank::placement
