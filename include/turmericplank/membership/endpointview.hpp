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

/// @brief The rules of the view, as hooks so that a test can show what each is for.
struct EndpointRules
{
    /// Whether enough daemons with an opinion suspect an endpoint that this daemon knows nothing of.
    std::function<bool(std::size_t suspecting, std::size_t asked)> isAgreed = [](std::size_t suspecting, std::size_t asked) {
        return suspecting * 2 > asked;
    };
    /// Whether a list entry keeps an endpoint in use that failed.
    std::function<bool(base::Time fetchedAt, base::Time failedAt)> doesListOverrule = [](base::Time, base::Time) {
        return false;
    };
    /// Whether leaving marks of several sources add up to leaving.
    std::function<bool(int sources)> isMarkEnough = [](int sources) {
        return sources >= 1;
    };
    /// Whether a mark of one incarnation applies to another.
    std::function<bool(base::Incarnation marked, base::Incarnation present)> appliesTo = [](base::Incarnation marked, base::Incarnation present) {
        return marked >= present;
    };
};

/// @brief Options of the view of endpoints.
struct EndpointViewOptions
{
    std::uint32_t failuresToSuspect = 2; ///< in a row
    base::Duration evidenceLifetime = std::chrono::milliseconds(2500); ///< age up to which an own answer outweighs others' suspicion
    base::Duration goneAfter = std::chrono::seconds(10); ///< without any answer, and suspected by the majority
    EndpointRules rules;
};

/// @brief The endpoints as one daemon believes them to be, from their own answers, the list and what other daemons say.
class EndpointView
{
public:
    explicit EndpointView(EndpointViewOptions options = {});

    /// @brief Takes the configured endpoints; what is known of those that stay is kept.
    void setEndpoints(const std::vector<base::EndpointId> &endpoints, base::Time now);

    /// @brief An endpoint answered a poll.
    /// @param endpoint which
    /// @param incarnation grows when the process was restarted or the VM replaced
    /// @param isLeaving its own word
    /// @param now the present
    void noteAnswer(const base::EndpointId &endpoint, base::Incarnation incarnation, bool isLeaving, base::Time now);

    /// @brief A poll or a call found no answer.
    void noteFailure(const base::EndpointId &endpoint, base::Time now);

    /// @brief Takes the platform's list.
    void noteList(const std::vector<ListedVm> &machines, base::Time now);

    /// @brief Takes what another daemon says of endpoints; its earlier words are replaced.
    void noteHeartbeat(const Heartbeat &heartbeat);

    /// @brief Forgets what a daemon said.
    void forgetDaemon(const base::DaemonId &daemon);

    /// @brief What is believed of an endpoint.
    /// @param endpoint which
    /// @param heard daemons whose words are fresh
    /// @param now the present
    LiveState state(const base::EndpointId &endpoint, const std::vector<base::DaemonId> &heard, base::Time now) const;

    /// @brief Adds the endpoints' part to a heartbeat: suspicions and leaving marks at first hand.
    void fill(Heartbeat &heartbeat) const;

private:
    struct Known
    {
        ShortName name = 0;
        base::Incarnation incarnation;
        bool saysLeaving = false;
        base::Time answeredAt; ///< the epoch if it never did
        base::Time watchedFrom;
        base::Time failedAt;
        std::uint32_t failuresInRow = 0;
    };

    struct Words
    {
        std::vector<EndpointOpinion> suspects;
        std::vector<LeavingMark> leaving;
    };

    bool isSuspected(const Known &known) const;
    int leavingSources(const base::EndpointId &endpoint, const Known &known) const;
    bool isAgreed(const Known &known, const std::vector<base::DaemonId> &heard, std::size_t ownVote) const;

    EndpointViewOptions m_options;
    std::map<base::EndpointId, Known> m_endpoints;
    std::map<base::DaemonId, Words> m_words;
    PlatformList m_list;
};

} // namespace turmericplank::membership
