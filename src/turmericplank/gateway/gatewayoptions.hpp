#pragma once

#include "turmericplank/gateway/forwarder.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/gateway/sitestateupdater.hpp"
#include "turmericplank/net/callerbudget.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/routing/router.hpp"

namespace turmericplank::gateway {

/// @brief Options of the router of a daemon in a zone.
routing::RouterOptions routerOptions(const base::ZoneName &own);

/// @brief Intervals of reads of the store, from the times in which changes must be in force.
SiteStateUpdaterOptions updaterOptions(const SiteBounds &bounds);

/// @brief Times of the view of the site, from the endpoints' heartbeat interval, which the site may leave unset as zero, and the drain time.
SiteStateOptions siteStateOptions(const Settings &settings);

/// @brief Bounds of what callers occupy, from the memory and the descriptors of the VM.
net::CallerBudgetOptions callerBudgetOptions(const Settings &settings);

/// @brief Options of forwarding. What one slow caller may leave unread is what it may hold without ever giving way to others.
/// @param budget of all callers
ForwarderOptions forwarderOptions(const Settings &settings, const net::CallerBudgetPointer &budget);

/// @brief Options of the connections to the other daemons.
peer::MeshOptions meshOptions(const Settings &settings);

} // namespace turmericplank::gateway
