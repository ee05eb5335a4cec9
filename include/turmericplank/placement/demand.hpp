#pragma once

#include <cstdint>
#include <map>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::placement {

/// @brief Requests of one model or adapter that a daemon counted since its start.
struct DemandCounter
{
    std::uint64_t requests = 0;
    std::uint64_t streamMilliseconds = 0; ///< time that engines spend on them

    friend auto operator<=>(const DemandCounter &, const DemandCounter &) = default;
    friend bool operator==(const DemandCounter &, const DemandCounter &) = default;
};

/// @brief All counters of one daemon.
struct DemandCounters
{
    std::map<base::ModelName, DemandCounter> models; ///< requests of adapters are counted at their base model too
    std::map<base::AdapterName, std::uint64_t> adapters; ///< requests

    friend bool operator==(const DemandCounters &, const DemandCounters &) = default;
};

/// @brief What is expected of one model until loads that start now have ended.
struct ModelDemand
{
    double requestsPerSecond = 0;
    double streams = 0; ///< streams in progress at once if none has to wait
    double steadyStreams = 0; ///< the same over the last minutes, without bursts

    friend auto operator<=>(const ModelDemand &, const ModelDemand &) = default;
    friend bool operator==(const ModelDemand &, const ModelDemand &) = default;
};

/// @brief What is expected of all models and adapters.
struct Demand
{
    std::map<base::ModelName, ModelDemand> models;
    std::map<base::AdapterName, double> adapters; ///< requests per second

    friend bool operator==(const Demand &, const Demand &) = default;
};

/// @brief Time constants of the estimate.
struct DemandOptions
{
    base::Duration fast = std::chrono::seconds(4); ///< follows bursts
    base::Duration middle = std::chrono::seconds(20); ///< its distance from the fast rate is the trend
    base::Duration slow = std::chrono::minutes(5); ///< keeps replicas after a burst
    base::Duration lead = std::chrono::seconds(6); ///< how far ahead the trend is followed
    double serviceSeconds = 2.0; ///< time of a request of a model that never ended one
};

/// @brief Estimates the demand of a cell from the counters of its daemons.
class DemandEstimator
{
public:
    explicit DemandEstimator(DemandOptions options);

    /// @brief Takes the counters of one daemon; counters that fell belong to a restarted daemon.
    /// @param daemon whose counters they are
    /// @param counters counted since its start
    /// @param now when they were taken: after a pause they tell the mean rate since the report before, not a burst
    void report(const base::DaemonId &daemon, const DemandCounters &counters, base::Time now);

    /// @brief Folds everything reported since the last call into the rates.
    /// @param now present time
    void advance(base::Time now);

    /// @brief The estimate as of the last advance().
    Demand estimate() const;

private:
    struct Rates
    {
        double fast = 0;
        double middle = 0;
        double slow = 0;
        double serviceSeconds = 0;
    };

    /// What a constant rate over some time adds to the averages.
    struct Part
    {
        double fast = 0;
        double middle = 0;
        double slow = 0;
    };
    struct Report
    {
        DemandCounters counters;
        base::Time at;
    };

    Part part(double elapsed) const;
    void addModel(const base::ModelName &model, const DemandCounter &increase, double elapsed);

    DemandOptions m_options;
    std::map<base::DaemonId, Report> m_last;
    std::map<base::ModelName, Rates> m_models;
    std::map<base::AdapterName, double> m_adapters;
    base::Time m_advanced;
};

} // namespace turmericplank::placement
