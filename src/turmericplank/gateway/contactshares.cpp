#include "turmericplank/gateway/contactshares.hpp"

#include <algorithm>

namespace turmericplank::gateway {

namespace {

constexpr double ConnectionShare = 0.9; ///< of an endpoint's connections; the rest is reserved for daemons that are not heard
constexpr std::uint32_t MinConnections = 4; ///< from one daemon to one endpoint

double daemonsWith(const ServiceDaemons &daemons)
{
    return static_cast<double>(daemons.onSite - std::min(daemons.without, daemons.onSite - 1));
}

} // namespace

std::uint32_t connectionShare(double serviceLimit, const ServiceDaemons &daemons, bool isSettled)
{
    if (!isSettled) {
        return MinConnections;
    }
    const auto all = serviceLimit * ConnectionShare;
    const auto equal = all / static_cast<double>(daemons.onSite);
    const auto reserved = static_cast<double>(MinConnections) * static_cast<double>(daemons.without);
    const auto share = std::max(equal, (all - reserved) / daemonsWith(daemons));
    return std::max(MinConnections, static_cast<std::uint32_t>(share));
}

double unreportedWorkFactor(const ServiceDaemons &daemons)
{
    return std::max(1.0, daemonsWith(daemons) / static_cast<double>(std::max<std::size_t>(1, daemons.reportingWork)));
}

} // namespace turmericplank::gateway
