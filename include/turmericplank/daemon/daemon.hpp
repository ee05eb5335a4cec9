#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/daemon/settings.hpp"

namespace turmericplank::daemon {

/// @brief The daemon of an entry VM: listeners, mesh, platform client and the shells of all slices.
class Daemon
{
public:
    /// @param context runs everything
    /// @param settings where to listen and whom to ask
    /// @param document configuration to serve until one is accepted, or nothing
    /// @throws boost::system::system_error if an address cannot be bound
    Daemon(boost::asio::io_context &context, Settings settings, std::shared_ptr<const configuration::Document> document);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// @brief Starts a graceful shutdown: no new callers are directed here, work in progress ends.
    /// @param onDrained called once nothing is in progress
    void beginDrain(std::function<void()> onDrained);

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace turmericplank::daemon
