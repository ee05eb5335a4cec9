#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/store/table.hpp"
#include "turmericplank/store/virtualmachine.hpp"

namespace turmericplank::daemon {

/// @brief Where the platform's service listens and how long a call may take.
struct PlatformOptions
{
    std::vector<base::Address> addresses; ///< tried in turn while nothing was sent
    base::Duration timeout = std::chrono::seconds(4);
    std::uint64_t *byteCounter = nullptr; ///< counts the bytes of both directions; outlives the client
};

/// @brief The platform's interfaces over HTTP.
struct PlatformClient
{
    store::Table table;
    store::ObjectStore objects;
    store::ListVirtualMachines listVirtualMachines;
};

/// @brief Makes the client.
///
/// A write without an answer ends as Ambiguous; one that was not sent or was refused ends as Unavailable.
/// @param context runs all hooks
/// @param options addresses and timeout
PlatformClient makePlatformClient(boost::asio::io_context &context, PlatformOptions options);

} // namespace turmericplank::daemon
