#pragma once

#include <random>

#include <boost/asio/io_context.hpp>

#include "turmericplank/daemon/routes.hpp"
#include "turmericplank/daemon/settings.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/platform/table.hpp"
#include "turmericplank/platform/virtualmachine.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::daemon {

/// @brief What the shells of all slices share within one daemon; everything in it outlives the shells.
struct Environment
{
    boost::asio::io_context &context;
    const Settings &settings;
    platform::Table table;
    platform::ObjectStore objects;
    platform::ListVirtualMachines listVirtualMachines;
    peer::Mesh &peers;
    Routes &callerRoutes; ///< paths of the callers' listener
    Routes &operatorRoutes; ///< paths of the operators' listener
    telemetry::Metrics &metrics;
    std::mt19937_64 &random;
    std::uint64_t &pollBytes; ///< bytes of polls of endpoints, both directions
};

} // namespace turmericplank::daemon
