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

/// @brief Part that one daemon has in watching an endpoint.
enum class PollDuty {
    Primary, ///< polls it and passes its reports on
    Backup, ///< polls it when no report comes
    Other, ///< polls it when no report comes for long
};

/// @brief A load report in short, as the daemon that polled it passes it on.
struct ReportDigest
{
    base::EndpointId endpoint;
    base::Duration age{0}; ///< since the report was taken
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t contentHash = 0; ///< hash of all that changes seldom: incarnation, leaving mark, role, residents

    friend bool operator==(const ReportDigest &, const ReportDigest &) = default;
};

/// @brief Intervals of polling.
struct PollSchedulerOptions
{
    base::Duration primaryInterval = std::chrono::seconds(1);
    base::Duration backupAfter = std::chrono::milliseconds(2500); ///< without any report
    base::Duration otherAfter = std::chrono::seconds(6); ///< without any report
    base::Duration digestLifetime = std::chrono::milliseconds(1500); ///< age up to which an own poll is passed on
    base::Duration eventInterval = std::chrono::seconds(8); ///< least time between two polls of cache events
    double eventBytesPerSecond = 60; ///< budget of one endpoint's cache events
};

/// @brief Hash of what changes seldom in a report.
/// @param report the report
std::uint32_t contentHashOf(const LoadReport &report);

/// @brief Decides which endpoints this daemon polls when, so that the daemons of a cell poll each endpoint about once.
///
/// The primary of an endpoint polls it and passes the figures on; another daemon polls only where the content that it
/// knows differs, somebody suspects the endpoint, or no report comes.
class PollScheduler
{
public:
    explicit PollScheduler(PollSchedulerOptions options = {});

    /// @brief Takes the configured endpoints; knowledge of those that stay is kept unless they moved.
    /// @param endpoints the endpoints, and whether each is another process than before
    void setEndpoints(const std::map<base::EndpointId, bool> &endpoints);

    /// @brief Endpoints whose load is to be asked for now; each must end in noteReport() or noteFailure().
    /// @param now the present
    /// @param duty this daemon's part for an endpoint
    std::vector<base::EndpointId> takeDueLoads(base::Time now, const std::function<PollDuty(const base::EndpointId &)> &duty);

    /// @brief Endpoints whose cache events are to be asked for now.
    std::vector<base::EndpointId> takeDueEvents(base::Time now);

    /// @brief An own poll was answered.
    void noteReport(const base::EndpointId &endpoint, const LoadReport &report, base::Time now);

    /// @brief An own poll was not answered.
    void noteFailure(const base::EndpointId &endpoint, base::Time now);

    /// @brief Cache events came; a larger answer puts the next one off.
    /// @param endpoint which
    /// @param bytes size of the answer
    /// @param now the present
    void noteEvents(const base::EndpointId &endpoint, std::size_t bytes, base::Time now);

    /// @brief Another daemon passed a report on.
    /// @return the whole report, or nothing if it must be asked for, which is then due
    std::optional<LoadReport> noteDigest(const ReportDigest &digest, base::Time now);

    /// @brief Makes an endpoint due, for example because another daemon suspects it.
    void pollSoon(const base::EndpointId &endpoint, base::Time now);

    /// @brief The fresh reports of own polls, to pass on.
    std::vector<ReportDigest> ownDigests(base::Time now) const;

private:
    struct Watched
    {
        std::optional<LoadReport> report; ///< latest one, of an own poll or rebuilt from a digest
        base::Time polledAt; ///< last answered own poll
        base::Time heardAt; ///< last report of any kind
        base::Time nextLoadAt;
        base::Time nextEventsAt;
        std::uint32_t contentHash = 0;
        bool isPolling = false;
        bool isDueSoon = false;
    };

    bool isDue(const Watched &watched, PollDuty duty, base::Time now) const;

    PollSchedulerOptions m_options;
    std::map<base::EndpointId, Watched> m_endpoints;
};

} // namespace turmericplank::routing
