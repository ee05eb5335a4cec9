#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/requests/lossreview.hpp"

namespace turmericplank::forwarding {

/// @brief How an attempt to open a connection failed.
enum class ConnectFailure {
    Rejected, ///< refused, or reset before any answer; other connections that are open may still work
    TimedOut, ///< no answer; connections that are open may hang as well
};

/// @brief Limits of EndpointContact.
struct EndpointContactOptions
{
    base::Duration silenceTime = std::chrono::milliseconds(600); ///< without a byte of a service, while calls wait, before the contact is checked
    base::Duration firstProbeDelay = std::chrono::milliseconds(100); ///< after a failure; doubles with each further one, since a lost packet is no cut
    base::Duration maxProbeDelay = std::chrono::milliseconds(800); ///< contact must be regained well within the 3 s that a change of it may take
    base::Duration maxTickGap = std::chrono::milliseconds(300); ///< after a longer gap between two ticks this process itself was paused
    std::size_t maxProbes = 4; ///< started by one tick
    base::Duration sameMoment = std::chrono::milliseconds(100); ///< between losses by one cause, as noticed by a process short of processor time
    base::Duration lossMemory = std::chrono::seconds(2); ///< how long losses of connections are remembered
    std::size_t failuresOfAll = 2; ///< endpoints of a service without an answer after which all count as unreachable, if none has been heard meanwhile
    std::size_t rejectionsOfAll = 3; ///< the same for endpoints that reject connections; two may crash at the same moment
};

/// @brief Which endpoints this daemon can reach, by the connections that it opens and the bytes that it receives.
///
/// The contact to the endpoints of one service says nothing of another service, whose endpoints may be reached over other paths. An endpoint is unreachable
/// from a connection that could not be opened until one could. An endpoint that is silent is not: its host still accepts connections. Deterministic; time is
/// passed in.
class EndpointContact
{
public:
    explicit EndpointContact(EndpointContactOptions options = {});

    /// @brief Adds an endpoint of a service, which counts as reachable until a connection fails.
    void add(const base::EndpointId &id, const base::ServiceName &service);
    void remove(const base::EndpointId &id);

    /// @brief Notes that a call was sent to an endpoint.
    void noteSent(const base::EndpointId &id, base::Time now);
    /// @brief Notes that bytes came from an endpoint.
    void noteReceived(const base::EndpointId &id, base::Time now);
    void noteConnected(const base::EndpointId &id, base::Time now);
    void noteConnectFailed(const base::EndpointId &id, ConnectFailure failure, base::Time now);
    /// @brief Notes that an open connection ended without having been closed by this daemon.
    void noteConnectionLost(const base::EndpointId &id, base::Time now);

    /// @brief Endpoints to which a connection is to be opened now, in order to learn whether they can be reached.
    ///
    /// To be called regularly. Each of them is to be followed by noteConnected() or noteConnectFailed().
    std::vector<base::EndpointId> dueProbes(base::Time now);

    /// @brief Whether no connection can be opened.
    bool isUnreachable(const base::EndpointId &id) const;

    /// @brief Since when connections that were idle may hang; nothing if they may be used.
    std::optional<base::Time> hangsSince(const base::EndpointId &id) const;

    /// @brief Whether all endpoints of a service are unreachable; false if it has none.
    bool isCutOff(const base::ServiceName &service) const;

    /// @brief The services of which all endpoints are unreachable.
    std::set<base::ServiceName> cutOffServices() const;

    /// @brief Why connections to an endpoint were lost.
    /// @param at when they were lost; to be asked a moment later, since other losses by the same cause may be noticed after it
    requests::LossCause lossCause(const base::EndpointId &id, base::Time at) const;

    /// @brief Lets the next probes find out whether other endpoints of the service of an endpoint are reached.
    void noteDoubt(const base::EndpointId &id);

    /// @brief Number of endpoints that are unreachable.
    std::size_t unreachableCount() const;

    /// @brief Number of endpoints of a service.
    std::size_t endpointCount(const base::ServiceName &service) const;

    /// @brief Number of endpoints of a service that are unreachable.
    std::size_t unreachableCount(const base::ServiceName &service) const;

private:
    struct State
    {
        base::ServiceName service;
        std::optional<base::Time> failedAt; ///< set while unreachable
        base::Time heardAt; ///< last bytes or accepted connection, unless a connection was lost since
        bool isHanging = false;
        bool isAssumed = false; ///< unreachable by what was seen of other endpoints of the service
        bool isProbed = false; ///< a probe is in progress
        unsigned failures = 0; ///< in a row
        base::Time nextProbeAt;
        std::optional<base::Time> waitsSince; ///< a call was sent, and no byte has come since
    };

    void fail(State &state, ConnectFailure failure, base::Time now) const;
    bool haveAllFailed(const base::ServiceName &service, ConnectFailure failure, base::Time now) const;
    void failAll(const base::ServiceName &service, ConnectFailure failure, base::Time now);
    void clearAssumed(const base::ServiceName &service);
    void probeDoubted(std::vector<base::EndpointId> &probes);
    void probeSilent(const base::ServiceName &service, base::Time now, std::vector<base::EndpointId> &probes);

    EndpointContactOptions m_options;
    std::map<base::EndpointId, State> m_endpoints;
    std::vector<std::pair<base::Time, base::EndpointId>> m_losses; ///< of connections, within the memory
    std::map<base::ServiceName, base::Time> m_heardAt; ///< when any endpoint of a service sent a byte or accepted a connection
    std::map<base::ServiceName, base::EndpointId> m_doubted; ///< services of which others than this endpoint are to be probed
    base::Time m_lastTick;
};

} // namespace turmericplank::forwarding
