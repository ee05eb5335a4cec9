#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/fleet.hpp"
#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

/// @brief Waiting times of the reads of the site's store.
struct SiteViewOptions
{
    base::Duration endpointsInterval = std::chrono::milliseconds(1000); ///< half of the time in which a leaving endpoint may still get calls
    base::Duration passedLimit = std::chrono::milliseconds(1450); ///< without entries from the reader; with a read still inside that time
    base::Duration tickInterval = std::chrono::milliseconds(100);
    base::Duration passingTime = std::chrono::milliseconds(500); ///< for a configuration to be passed on by who told of it; then it is read
    base::Duration retryInterval = std::chrono::milliseconds(300); ///< after a call that brought nothing, by the reader of a group
    base::Duration longestRetry =
        std::chrono::milliseconds(2000); ///< the same, by others, after doublings; within the time in which a daemon has to be up to date again
};

/// @brief Keeps the fleet's view up to date with the site's store.
class SiteView
{
public:
    struct Hooks
    {
        std::function<void()> onConfiguration; ///< another version is in force
        std::function<void(const std::vector<discovery::EndpointChange> &)> onEndpoints; ///< the entries were read or passed on
        std::function<bool()> isReader; ///< this daemon reads for others too
        std::function<void(const std::vector<discovery::EndpointEntry> &)> onRead; ///< entries for the others
        std::function<void(const std::string &)> onText; ///< a configuration for the others, as operators wrote it
    };

    SiteView(boost::asio::io_context &context, SiteStore store, Fleet &fleet, telemetry::Metrics &metrics, Hooks hooks, SiteViewOptions options = {});

    /// @brief Starts reading.
    void start();

    /// @brief Takes entries that the reader of the group has read.
    void takePassed(const std::vector<discovery::EndpointEntry> &entries);

    /// @brief Takes a configuration that another daemon has read.
    void takePassedConfiguration(const std::string &text);

    /// @brief Another daemon has a later version in force than this one.
    void heardRevision(base::Revision revision);

private:
    void readConfiguration();
    void awaitConfiguration();
    void takeConfiguration(const tl::expected<ReadConfiguration, TableFailure> &result);
    void readEndpoints();
    void takeEndpoints(const tl::expected<ReadEndpoints, TableFailure> &result);
    void tick();
    bool isReadDue(base::Time now) const;
    base::Duration retryPause(unsigned failures) const;
    void takeEntries(const std::vector<discovery::EndpointEntry> &entries);
    bool apply(const std::shared_ptr<const routes::SiteConfiguration> &configuration);
    void noteStore(bool isAnswering);

    boost::asio::io_context &m_context;
    SiteStore m_store;
    Fleet &m_fleet;
    telemetry::Metrics &m_metrics;
    Hooks m_hooks;
    SiteViewOptions m_options;
    std::uint64_t m_position = 0;
    std::size_t m_unreadable = 0;
    base::Time m_askedAt;
    base::Time m_takenAt; ///< entries were read or passed on
    base::Time m_passedAt; ///< entries were passed on
    bool m_isReading = false;
    bool m_isAwaiting = false;
    unsigned m_endpointFailures = 0; ///< in a row
    unsigned m_awaitFailures = 0; ///< in a row
    bool m_isReadingAgain = false;
    std::optional<base::Time> m_aheadSince; ///< another daemon has a later version, which it is about to pass on
    bool m_isAnswering = true;
    base::Time m_changedAt;
};

} // namespace turmericplank::gateway
