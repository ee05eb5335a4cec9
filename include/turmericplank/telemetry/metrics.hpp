#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace turmericplank::telemetry {

/// @brief Counters, gauges and histograms of one process; histograms use Boost.Histogram.
///
/// Names are those of the text exposition format: lower case with underscores, labels in braces as part of the name.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// @brief Increments a counter.
    /// @param name counter with its labels, for example requests_total{outcome="answered"}
    /// @param amount increment
    void count(const std::string &name, std::uint64_t amount = 1);

    /// @brief Sets a gauge.
    /// @param name gauge with its labels
    void setGauge(const std::string &name, double value);

    /// @brief Records a value in a histogram with logarithmic bins from 1 microsecond to 1000 seconds.
    /// @param name histogram without labels
    void observe(const std::string &name, double seconds);

    /// @brief Value of a counter; zero if it was never incremented.
    /// @param name counter with its labels
    std::uint64_t counter(const std::string &name) const;

    /// @brief Quantile of a histogram in seconds, rounded up to the end of its bin; zero if the histogram is empty.
    /// @param name histogram without labels
    /// @param fraction between 0 and 1
    double quantile(const std::string &name, double fraction) const;

    /// @brief All metrics in the text exposition format; histograms as quantiles 0.5, 0.95 and 0.99 with sum and count.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::telemetry
