#pragma once

#include <cstdint>
#include <map>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::placement {

/// @brief Requests for one model that a daemon has counted since it started.
struct DemandCounter
{
    std::uint64_t requests = 0;
    std::uint64_t streamMilliseconds = 0; ///< engine time spent on these requests

    friend auto operator<=>(const DemandCounter &, const DemandCounter &) = default;
    friend bool operator==(const DemandCounter &, const DemandCounter &) = default;
};

/// @brief All counters of one daemon.
struct DemandCounters
{
    std::map<base::ModelName, DemandCounter> models; ///< requests for an adapter also count for its base model
    std::map<base::AdapterName, std::uint64_t> adapters; ///< number of requests

    friend bool operator==(const DemandCounters &, const DemandCounters &) = default;
};

/// @brief Demand expected for one model by the time a load that starts now has finished.
struct ModelDemand
{
    double requestsPerSecond = 0;
    double streams = 0; ///< concurrent streams if no request has to wait
    double steadyStreams = 0; ///< concurrent streams averaged over the last minutes, without bursts

    friend auto operator<=>(const ModelDemand &, const ModelDemand &) = default;
    friend bool operator==(const ModelDemand &, const ModelDemand &) = default;
};

/// @brief Demand expected for all models and adapters.
struct Demand
{
    std::map<base::ModelName, ModelDemand> models;
    std::map<base::AdapterName, double> adapters; ///< requests per second

    friend bool operator==(const Demand &, const Demand &) = default;
};

/// @brief Time constants of the demand estimate.
struct DemandOptions
{
    base::Duration fastTimeConstant = std::chrono::seconds(4); ///< time constant of the average that follows bursts
    base::Duration mediumTimeConstant = std::chrono::seconds(20); ///< time constant of the average that the fast one is compared with to find the trend
    base::Duration slowTimeConstant = std::chrono::minutes(5); ///< time constant of the average that keeps replicas loaded after a burst
    base::Duration forecastTime = std::chrono::seconds(6); ///< how far ahead the trend is extrapolated
    double defaultServiceSeconds = 2.0; ///< service time assumed for a model without a finished request
};

/// @brief Estimates the demand in a cell from the request counters of its daemons.
class DemandEstimator
{
public:
    explicit DemandEstimator(DemandOptions options);

    /// @brief Adds the counters of one daemon. Counters that have decreased mean that the daemon restarted.
    /// @param daemon daemon that reports
    /// @param counters totals since that daemon started
    /// @param now time of the report; the increase is averaged over the time since the previous report, so that a report after a
    ///            pause does not look like a burst
    void report(const base::DaemonId &daemon, const DemandCounters &counters, base::Time now);

    /// @brief Decays the averages by the time since the last call.
    /// @param now present time
    void advance(base::Time now);

    /// @brief Estimate as of the last advance().
    Demand estimate() const;

private:
    struct Rates
    {
        double fast = 0;
        double medium = 0;
        double slow = 0;
        double serviceSeconds = 0;
    };

    /// Weights with which a constant rate over some time enters the moving averages.
    struct Weights
    {
        double fast = 0;
        double medium = 0;
        double slow = 0;
    };
    struct Report
    {
        DemandCounters counters;
        base::Time at;
    };

    Weights weights(double elapsedSeconds) const;
    void addModel(const base::ModelName &model, const DemandCounter &increase, double elapsedSeconds);

    DemandOptions m_options;
    std::map<base::DaemonId, Report> m_lastReports;
    std::map<base::ModelName, Rates> m_models;
    std::map<base::AdapterName, double> m_adapters; ///< requests per second
    base::Time m_lastAdvance;
};

} // namespace turmericplank::placement
