#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/settings.hpp"

namespace turmericplank::daemon {

/// @brief The daemon of an entry VM: its listeners, the mesh of peers, the platform client and the shells of all slices.
///
/// Slices decide without doing I/O. A slice's shell feeds it events and performs the actions that it returns.
class Daemon
{
public:
    /// @param context runs all handlers
    /// @param settings identity of the daemon and addresses
    /// @param document configuration to serve until one is accepted, or null
    /// @throws boost::system::system_error if an address cannot be bound
    Daemon(boost::asio::io_context &context, Settings settings, std::shared_ptr<const configuration::Document> document);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// @brief Starts a graceful shutdown: callers are directed to other daemons, and requests in progress are completed. Later calls
    /// have no effect.
    /// @param onDrained called once no request is in progress
    void beginDrain(std::function<void()> onDrained);

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace turmericplank::daemon
