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

/// @brief Parts of a daemon that the shells of all slices share; all of them outlive the shells.
struct Environment
{
    boost::asio::io_context &context;
    const Settings &settings;
    store::Table table;
    store::ObjectStore objects;
    store::ListVirtualMachines listVirtualMachines;
    peer::Mesh &peers;
    Routes &callerRoutes; ///< routes of the listener for callers
    Routes &operatorRoutes; ///< routes of the listener for operators
    telemetry::Metrics &metrics;
    std::mt19937_64 &random;
    std::uint64_t &pollBytes; ///< bytes sent and received in polls of endpoints
};

} // namespace turmericplank::daemon
