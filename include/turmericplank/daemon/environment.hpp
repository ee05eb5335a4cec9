#pragma once

#include <random>

#include <boost/asio/io_context.hpp>

#include "turmericplank/daemon/routes.hpp"
#include "turmericplank/daemon/settings.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/store/table.hpp"
#include "turmericplank/store/virtualmachine.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::daemon {

/// @brief What the shells of all slices share within one daemon; everything in it outlives the shells.
struct Environment
{
    boost::asio::io_context &context;
    const Settings &settings;
    store::Table table;
    store::ObjectStore objects;
    store::ListVirtualMachines listVirtualMachines;
    peer::Mesh &peers;
    Routes &callerRoutes; ///< paths of the callers' listener
    Routes &operatorRoutes; ///< paths of the operators' listener
    telemetry::Metrics &metrics;
    std::mt19937_64 &random;
    std::uint64_t &pollBytes; ///< bytes of polls of endpoints, both directions
};

} // namespace turmericplank::daemon
