#include "turmericplank/telemetry/metrics.hpp"

#include <array>
#include <cstdio>
#include <map>

#include <boost/histogram.hpp>

namespace turmericplank::telemetry {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned BinCount = 360;
constexpr double MinSeconds = 1e-6;
constexpr double MaxSeconds = 1e3;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(Axis(BinCount, MinSeconds, MaxSeconds)));

struct Distribution
{
    Histogram bins = histogram::make_histogram(Axis(BinCount, MinSeconds, MaxSeconds));
    double sum = 0;
    std::uint64_t count = 0;
};

double quantileOf(const Distribution &distribution, double fraction)
{
    const double targetCount = fraction * static_cast<double>(distribution.count);
    double cumulativeCount = 0;
    for (const auto &bin : histogram::indexed(distribution.bins, histogram::coverage::all)) {
        cumulativeCount += static_cast<double>(*bin);
        if (cumulativeCount >= targetCount && cumulativeCount > 0) {
            return bin.bin().upper();
        }
    }
    return 0;
}

std::string formatSample(const std::string &name, double value)
{
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), " %.9g\n", value);
    return name + std::string(buf.data(), static_cast<std::size_t>(n));
}

} // namespace

struct Metrics::State
{
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, Distribution> distributions;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    m_state->counters[name] += amount;
}

void Metrics::setGauge(const std::string &name, double value)
{
    m_state->gauges[name] = value;
}

void Metrics::observe(const std::string &name, double seconds)
{
    auto &it = m_state->distributions[name];
    it.bins(seconds);
    it.sum += seconds;
    ++it.count;
}

std::uint64_t Metrics::counter(const std::string &name) const
{
    const auto it = m_state->counters.find(name);
    return it == m_state->counters.end() ? 0 : it->second;
}

double Metrics::quantile(const std::string &name, double fraction) const
{
    const auto it = m_state->distributions.find(name);
    return it == m_state->distributions.end() ? 0 : quantileOf(it->second, fraction);
}

std::string Metrics::text() const
{
    std::string buf;
    for (const auto &[name, value] : m_state->counters) {
        buf += name + ' ' + std::to_string(value) + '\n';
    }
    for (const auto &[name, value] : m_state->gauges) {
        buf += formatSample(name, value);
    }
    for (const auto &[name, distribution] : m_state->distributions) {
        for (const auto *fraction : {"0.5", "0.95", "0.99"}) {
            buf += formatSample(name + "{quantile=\"" + fraction + "\"}", quantileOf(distribution, std::stod(fraction)));
        }
        buf += formatSample(name + "_sum", distribution.sum);
        buf += name + "_count " + std::to_string(distribution.count) + '\n';
    }
    return buf;
}

} // namespace turmericplank::telemetry
