#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::routing {

/// @brief Role of a daemon in polling an endpoint.
enum class PollDuty {
    Primary, ///< polls the endpoint regularly and passes its reports on
    Backup, ///< polls when reports stop arriving
    Other, ///< polls when reports have been missing for longer
};

/// @brief Summary of a load report, passed on by the daemon that polled the endpoint.
struct ReportDigest
{
    base::EndpointId endpoint;
    base::Duration age{0}; ///< since the report was taken
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t contentHash = 0; ///< hash of the rarely changing fields: incarnation, leaving flag, role, resident models and adapters

    friend bool operator==(const ReportDigest &, const ReportDigest &) = default;
};

/// @brief Polling intervals and limits.
struct PollSchedulerOptions
{
    base::Duration primaryInterval = std::chrono::seconds(1);
    base::Duration backupAfter = std::chrono::milliseconds(2500); ///< time without a report before the backup polls
    base::Duration otherAfter = std::chrono::seconds(6); ///< time without a report before any other daemon polls
    base::Duration digestLifetime = std::chrono::milliseconds(1500); ///< max age of an own poll to be passed on
    base::Duration eventInterval = std::chrono::seconds(8); ///< min time between two polls of cache events
    double eventBytesPerSecond = 60; ///< budget for the cache events of one endpoint
};

/// @brief Hash of the rarely changing fields of a report: incarnation, leaving flag, role, resident models and adapters.
std::uint32_t contentHashOf(const LoadReport &report);

/// @brief Decides when this daemon polls which endpoints, so that the daemons of a cell together poll each about once per interval.
///
/// The primary of an endpoint polls it and passes the results on. Another daemon polls only if the content hash in a passed-on
/// result differs from the one that it knows, if some daemon suspects the endpoint, or if no reports arrive.
class PollScheduler
{
public:
    explicit PollScheduler(PollSchedulerOptions options = {});

    /// @brief Sets the configured endpoints; keeps the state of those that remain, unless their process was replaced.
    /// @param endpoints the endpoints, and whether each is a different process than before
    void setEndpoints(const std::map<base::EndpointId, bool> &endpoints);

    /// @brief Endpoints whose load is due to be polled; marks them as being polled until noteReport() or noteFailure() is called.
    /// @param now current time
    /// @param duty returns this daemon's role for an endpoint
    std::vector<base::EndpointId> takeDueLoads(base::Time now, const std::function<PollDuty(const base::EndpointId &)> &duty);

    /// @brief Endpoints whose cache events are due to be polled; schedules their next poll.
    std::vector<base::EndpointId> takeDueEvents(base::Time now);

    /// @brief Records the answer to an own poll.
    void noteReport(const base::EndpointId &endpoint, const LoadReport &report, base::Time now);

    /// @brief Records an own poll that was not answered.
    void noteFailure(const base::EndpointId &endpoint, base::Time now);

    /// @brief Records an answer with cache events; a larger answer delays the next poll.
    /// @param endpoint the polled endpoint
    /// @param bytes size of the answer
    /// @param now current time
    void noteEvents(const base::EndpointId &endpoint, std::size_t bytes, base::Time now);

    /// @brief Applies the summary of a report that another daemon polled.
    /// @return the complete report; nothing if the summary is outdated, or if its content hash is not the known one, which makes
    ///         the endpoint due
    std::optional<LoadReport> noteDigest(const ReportDigest &digest, base::Time now);

    /// @brief Makes an endpoint due, for example because another daemon suspects it; no effect if it was polled just before.
    void pollSoon(const base::EndpointId &endpoint, base::Time now);

    /// @brief Summaries of recent own polls, to be passed on to other daemons.
    std::vector<ReportDigest> ownDigests(base::Time now) const;

private:
    struct PollState
    {
        std::optional<LoadReport> report; ///< latest report, from an own poll or updated by a digest
        base::Time polledAt; ///< last answered own poll
        base::Time heardAt; ///< last report, own or passed on
        base::Time nextLoadAt;
        base::Time nextEventsAt;
        std::uint32_t contentHash = 0;
        bool isPolling = false;
        bool isPollRequested = false;
    };

    bool isDue(const PollState &state, PollDuty duty, base::Time now) const;

    PollSchedulerOptions m_options;
    std::map<base::EndpointId, PollState> m_endpoints;
};

} // namespace turmericplank::routing
