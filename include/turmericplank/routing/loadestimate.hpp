#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/routing/loadreport.hpp"

namespace turmericplank::routing {

/// @brief Estimated work on an endpoint.
struct Work
{
    double streams = 0;
    double urgentWaiting = 0; ///< urgent requests without a first token
    double otherWaiting = 0; ///< other requests without a first token
    double urgentTokens = 0; ///< prompt tokens of urgent requests without a first token
    double otherTokens = 0; ///< prompt tokens of other requests without a first token

    friend bool operator==(const Work &, const Work &) = default;
};

/// @brief Work that an attempt adds to its endpoint.
struct AttemptWork
{
    base::Priority priority = base::Priority::Normal;
    std::uint32_t promptTokens = 0; ///< without the tokens expected to be cached
    base::Time sentAt;
    base::Time expiresAt; ///< when the attempt stops counting if its end is never recorded
    bool hasFirstToken = false;
};

/// @brief Load of one endpoint: exact for own attempts, from heartbeats or the endpoint's delayed report for other daemons.
class LoadEstimate
{
public:
    /// @brief Records that an attempt was sent.
    void noteSent(std::uint64_t ticket, AttemptWork work);

    /// @brief Records that the attempt's prompt has been processed.
    void noteFirstToken(std::uint64_t ticket);

    /// @brief Records the end of an attempt.
    void noteEnded(std::uint64_t ticket, base::Time now);

    /// @brief Applies the endpoint's delayed load report, without the work that this daemon had there when the report was taken.
    /// @param report the load report
    /// @param averagePromptTokens assumed prompt length of other daemons' waiting requests
    void noteReport(const LoadReport &report, double averagePromptTokens);

    /// @brief Replaces the work that another daemon reported for this endpoint.
    /// @param from the reporting daemon
    /// @param work its own work on the endpoint
    void notePeer(const base::DaemonId &from, const EndpointWork &work);

    /// @brief Removes the work of a daemon that is gone.
    void forgetPeer(const base::DaemonId &from);

    /// @brief Estimates the endpoint's work in constant time.
    /// @param isPeerWorkComplete whether all other daemons sent a heartbeat recently; the endpoint's report is then not used
    /// @param similarDaemons number of other daemons that decide from the same data: each is assumed to have sent the same
    ///        recent work here as this daemon, so that not all choose the same endpoint between two heartbeats
    /// @param now current time
    Work estimate(bool isPeerWorkComplete, double similarDaemons, base::Time now) const;

    /// @brief This daemon's own work on the endpoint, for the heartbeat.
    Work ownWork() const;

    /// @brief Work that other daemons reported for this endpoint.
    const std::map<base::DaemonId, EndpointWork> &peers() const;

    /// @brief Drops attempts that have expired without a recorded end.
    void expire(base::Time now);

    /// @brief When the oldest own attempt without a first token was sent.
    /// @return base::Time::max() if there is none
    base::Time oldestPending() const;

private:
    struct EndedAttempt
    {
        base::Time sentAt;
        base::Time endedAt;
    };

    void add(const AttemptWork &work, double sign);
    Work recentWork(base::Time now) const;

    std::unordered_map<std::uint64_t, AttemptWork> m_attempts;
    std::vector<EndedAttempt> m_ended; ///< ring buffer of the latest attempts
    std::size_t m_endedNext = 0;
    std::map<base::DaemonId, EndpointWork> m_peers;
    Work m_own;
    Work m_recentWork; ///< own work sent since the other daemons' last update, as a decaying average
    base::Time m_recentWorkAt;
    Work m_peerSum;
    Work m_reported; ///< reported work of other daemons
    base::Time m_reportTakenAt;
};

} // namespace turmericplank::routing
