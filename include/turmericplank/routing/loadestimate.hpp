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

/// @brief Work that is believed to be on an endpoint now.
struct Work
{
    double streams = 0;
    double urgentWaiting = 0; ///< urgent requests before their first token
    double otherWaiting = 0; ///< the same of all other requests
    double urgentTokens = 0; ///< prompt tokens of urgent requests before their first token
    double otherTokens = 0; ///< the same of all other requests

    friend bool operator==(const Work &, const Work &) = default;
};

/// @brief What an attempt puts on its endpoint.
struct AttemptWork
{
    base::Priority priority = base::Priority::Normal;
    std::uint32_t promptTokens = 0; ///< without those believed to be cached
    base::Time sentAt;
    base::Time forgetAt; ///< when it no longer counts, though its end was never noted
    bool hasFirstToken = false;
};

/// @brief Load of one endpoint: own attempts exactly, other daemons' from their heartbeats or the late report.
class LoadEstimate
{
public:
    /// @brief Counts an attempt from now on.
    void noteSent(std::uint64_t ticket, AttemptWork work);

    /// @brief The attempt's prompt is done.
    void noteFirstToken(std::uint64_t ticket);

    /// @brief The attempt is over.
    void noteEnded(std::uint64_t ticket, base::Time now);

    /// @brief Takes the endpoint's late report; what this daemon had there at that time is not counted twice.
    /// @param report what it said
    /// @param averagePromptTokens stands for the prompts of requests that wait there for others
    void noteReport(const LoadReport &report, double averagePromptTokens);

    /// @brief Takes another daemon's word on its own work there.
    /// @param from the other daemon
    /// @param work its work
    void notePeer(const base::DaemonId &from, const EndpointWork &work);

    /// @brief Forgets a daemon that is gone.
    void forgetPeer(const base::DaemonId &from);

    /// @brief The estimate, at constant cost.
    /// @param isPeerWorkComplete whether all other daemons were heard lately, so that the report adds nothing
    /// @param alikeDaemons other daemons that decide by the same knowledge: each is taken to have sent here lately what this
    ///        one did, which keeps all from choosing the same endpoint until they hear of each other
    /// @param now the present
    Work estimate(bool isPeerWorkComplete, double alikeDaemons, base::Time now) const;

    /// @brief Own work, for the heartbeat.
    Work ownWork() const;

    /// @brief Drops attempts whose end was never noted.
    void expire(base::Time now);

    /// @brief When the oldest own attempt without a first token was sent; the far future if there is none.
    base::Time oldestPending() const;

private:
    struct EndedAttempt
    {
        base::Time sentAt;
        base::Time endedAt;
    };

    void add(const AttemptWork &work, double sign);
    Work recent(base::Time now) const;

    std::unordered_map<std::uint64_t, AttemptWork> m_attempts;
    std::vector<EndedAttempt> m_ended; ///< a ring of the latest
    std::size_t m_endedNext = 0;
    std::map<base::DaemonId, EndpointWork> m_peers;
    Work m_own;
    Work m_recent; ///< own work that others cannot have heard of, fading
    base::Time m_recentAt;
    Work m_peerSum;
    Work m_reported; ///< beyond own work at the time of the report
    base::Time m_reportTakenAt;
};

} // namespace turmericplank::routing
