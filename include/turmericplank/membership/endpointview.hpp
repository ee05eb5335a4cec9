#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/heartbeat.hpp"
#include "turmericplank/membership/platformlist.hpp"

namespace turmericplank::membership {

/// @brief Rules of the view. They can be replaced so that a test can show what fails without each of them.
struct EndpointRules
{
    /// Whether enough of the daemons that have an opinion suspect an endpoint that did not answer this daemon recently.
    std::function<bool(std::size_t suspecting, std::size_t voters)> hasQuorum = [](std::size_t suspecting, std::size_t voters) {
        return suspecting * 2 > voters;
    };
    /// Whether an entry in the platform's list keeps a failed endpoint in use.
    std::function<bool(base::Time fetchedAt, base::Time failedAt)> doesListOverride = [](base::Time, base::Time) {
        return false;
    };
    /// Whether leaving marks from this number of sources are enough to treat an endpoint as leaving.
    std::function<bool(int sources)> isMarkEnough = [](int sources) {
        return sources >= 1;
    };
    /// Whether a leaving mark for one incarnation applies to the current one.
    std::function<bool(base::Incarnation marked, base::Incarnation current)> appliesTo = [](base::Incarnation marked, base::Incarnation current) {
        return marked >= current;
    };
};

/// @brief Options of the view of endpoints.
struct EndpointViewOptions
{
    std::uint32_t failuresToSuspect = 2; ///< number of consecutive failures after which an endpoint is suspect
    base::Duration ownAnswerLifetime = std::chrono::milliseconds(2500); ///< max age of an answer to this daemon that overrides the suspicion of others
    base::Duration goneAfter = std::chrono::seconds(10); ///< time without an answer; the majority must suspect it too, or its VM must have left the list
    EndpointRules rules;
};

/// @brief State of the endpoints as seen by one daemon, from their answers, the platform's list and other daemons' heartbeats.
class EndpointView
{
public:
    explicit EndpointView(EndpointViewOptions options = {});

    /// @brief Sets the configured endpoints; keeps the state of those that remain.
    void setEndpoints(const std::vector<base::EndpointId> &endpoints, base::Time now);

    /// @brief Records an endpoint's answer to a poll.
    /// @param endpoint the endpoint
    /// @param incarnation increases when the process is restarted or the VM replaced
    /// @param isLeaving whether the endpoint reports that it is leaving
    /// @param now current time
    void noteAnswer(const base::EndpointId &endpoint, base::Incarnation incarnation, bool isLeaving, base::Time now);

    /// @brief Records a poll or call that was not answered.
    void noteFailure(const base::EndpointId &endpoint, base::Time now);

    /// @brief Applies the platform's list of VMs.
    void noteList(const std::vector<ListedVm> &vms, base::Time now);

    /// @brief Records the opinions on endpoints in another daemon's heartbeat; replaces those of its earlier heartbeats.
    void noteHeartbeat(const Heartbeat &heartbeat);

    /// @brief Removes the opinions of a daemon.
    void forgetDaemon(const base::DaemonId &daemon);

    /// @brief State of an endpoint; Gone if it is not configured.
    /// @param endpoint the endpoint
    /// @param heard daemons that were heard recently; only their opinions count as votes
    /// @param now current time
    LiveState state(const base::EndpointId &endpoint, const std::vector<base::DaemonId> &heard, base::Time now) const;

    /// @brief Adds this daemon's own suspicions and leaving marks on endpoints to a heartbeat.
    void fill(Heartbeat &heartbeat) const;

private:
    struct EndpointState
    {
        ShortName name = 0;
        base::Incarnation incarnation;
        bool reportsLeaving = false;
        base::Time answeredAt; ///< time of the last answer; the epoch if there was none
        base::Time watchedFrom;
        base::Time failedAt;
        std::uint32_t failuresInRow = 0;
    };

    struct PeerOpinions
    {
        std::vector<EndpointOpinion> suspects;
        std::vector<LeavingMark> leaving;
    };

    bool isSuspected(const EndpointState &known) const;
    int leavingSources(const base::EndpointId &endpoint, const EndpointState &known) const;
    bool hasQuorum(const EndpointState &known, const std::vector<base::DaemonId> &heard, std::size_t ownVote) const;

    EndpointViewOptions m_options;
    std::map<base::EndpointId, EndpointState> m_endpoints;
    std::map<base::DaemonId, PeerOpinions> m_peerOpinions;
    PlatformList m_list;
};

} // namespace turmericplank::membership
