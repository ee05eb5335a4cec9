#include "turmericplank/routing/fairshare.hpp"

#include <algorithm>

namespace turmericplank::routing {

namespace {

/// The demands, each capped at this level, add up to the amount. Returns the amount if the demands together are lower.
double fillLevel(std::vector<double> demands, double amount)
{
    std::ranges::sort(demands);
    double left = amount;
    for (std::size_t n = 0; n < demands.size(); ++n) {
        const double even = left / static_cast<double>(demands.size() - n);
        if (demands[n] >= even) {
            return even;
        }
        left -= demands[n];
    }
    return amount;
}

} // namespace

double fairShare(double demand, const std::vector<double> &others, double amount)
{
    std::vector<double> demands = {demand};
    demands.insert(demands.end(), others.begin(), others.end());
    const double level = fillLevel(demands, amount);
    double surplus = amount;
    for (const auto it : demands) {
        surplus -= std::min(it, level);
    }
    return std::min(demand, level) + std::max(0.0, surplus) / static_cast<double>(demands.size());
}

} // namespace turmericplank::routing
