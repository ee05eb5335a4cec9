#include "gatewayoptions.hpp"

#include <algorithm>

namespace turmericplank::gateway {

namespace {

constexpr double StreamPenaltyMilliseconds = 2; ///< for each stream; without it near ties send all prompts with the same first part to one engine
constexpr auto CrossZoneLatency = std::chrono::microseconds(1250); ///< one way, between zones of one region

/// Initial estimates for engines of this kind, used until measurements are available.
routing::EngineSpeed engineSpeed()
{
    routing::EngineSpeed speed;
    speed.promptMillisecondsPerToken = 0.03; // about 30 prompt tokens per millisecond
    speed.stepMilliseconds = 5;
    speed.stepMillisecondsPerStream = 0.1;
    speed.averageAnswerTokens = 250;
    return speed;
}

} // namespace

routing::RouterOptions routerOptions(const base::ZoneName &own)
{
    routing::RouterOptions options;
    options.zoneDistance = [own](const base::ZoneName &zone) {
        return zone == own ? base::Duration(0) : base::Duration(CrossZoneLatency);
    };
    options.speed = engineSpeed();
    options.streamPenaltyMilliseconds = StreamPenaltyMilliseconds;
    options.health.failuresToBlock = 4; // a healthy plain service may fail a seventh of its calls
    return options;
}

SiteStateUpdaterOptions updaterOptions(const SiteBounds &bounds)
{
    // A daemon to which nothing is relayed learns of endpoints and of changes of the configuration by itself.
    const auto shortest = std::min(bounds.drainTime, bounds.configurationTime);
    SiteStateUpdaterOptions options;
    options.endpointsInterval = shortest / 2;
    options.relayTimeout = shortest * 72 / 100;
    options.awaitTimeout = bounds.configurationTime * 75 / 100;
    return options;
}

SiteStateOptions siteStateOptions(const Settings &settings)
{
    constexpr auto ReportMargin = std::chrono::seconds(1); ///< two status messages and a retried read
    SiteStateOptions options;
    if (settings.endpointHeartbeatInterval > base::Duration(0)) {
        options.catalog.heartbeatInterval = settings.endpointHeartbeatInterval;
    }
    options.maxEntryLag = options.catalog.heartbeatInterval + settings.bounds.drainTime;
    options.reportLifetime = settings.bounds.drainTime + ReportMargin;
    return options;
}

net::CallerBudgetOptions callerBudgetOptions(const Settings &settings)
{
    constexpr std::size_t MemoryPart = 4; ///< the rest is for answers, other daemons and the process itself
    constexpr std::size_t DescriptorPart = 2; ///< the rest is for endpoints and other daemons
    net::CallerBudgetOptions options;
    if (settings.memoryBytes) {
        options.maxBytes = *settings.memoryBytes / MemoryPart;
    }
    if (settings.maxDescriptors) {
        options.maxConnections = std::max<std::size_t>(1, *settings.maxDescriptors / DescriptorPart);
    }
    constexpr std::size_t MinSmallBytes = 16U * 1024; // the largest headers
    options.smallBytes = std::clamp(options.maxBytes / 2 / options.maxConnections, MinSmallBytes, options.smallBytes);
    return options;
}

ForwarderOptions forwarderOptions(const Settings &settings, const net::CallerBudgetPointer &budget)
{
    ForwarderOptions options;
    options.maxUnreadBytes = callerBudgetOptions(settings).smallBytes;
    constexpr std::size_t MemoryPart = 8; ///< callers occupy up to a quarter
    if (settings.memoryBytes) {
        options.maxCollectedBytes = std::min(options.maxCollectedBytes, *settings.memoryBytes / MemoryPart);
    }
    options.hasRoomForUnread = [budget] {
        return budget->hasAmpleRoom();
    };
    return options;
}

peer::MeshOptions meshOptions(const Settings &settings)
{
    peer::MeshOptions options;
    options.listen = settings.peerAddress;
    options.self = settings.id;
    return options;
}

} // namespace turmericplank::gateway
