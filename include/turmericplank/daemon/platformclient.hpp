#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/store/table.hpp"
#include "turmericplank/store/virtualmachine.hpp"

namespace turmericplank::daemon {

/// @brief Addresses of the platform's service and limits of a call.
struct PlatformOptions
{
    std::vector<base::Address> addresses; ///< the next one is tried only if nothing was sent to the previous one
    base::Duration timeout = std::chrono::seconds(4); ///< maximum wait for the response headers and between two pieces of the body
    std::uint64_t *byteCounter = nullptr; ///< counts bytes sent and received; must outlive the client
};

/// @brief The platform's interfaces over HTTP.
struct PlatformClient
{
    store::Table table;
    store::ObjectStore objects;
    store::ListVirtualMachines listVirtualMachines;
};

/// @brief Creates the client.
///
/// A write without a response fails as Ambiguous; one that was not sent or was refused fails as Unavailable. A transaction whose
/// conditions do not hold fails as Conflict. Every failed read fails as Unavailable.
/// @param context runs all callbacks
/// @param options addresses and timeout
PlatformClient makePlatformClient(boost::asio::io_context &context, PlatformOptions options);

} // namespace turmericplank::daemon
