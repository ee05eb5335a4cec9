#pragma once

#include <functional>
#include <map>
#include <string_view>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/membership/failuredetector.hpp"
#include "turmericplank/membership/heartbeat.hpp"
#include "turmericplank/membership/platformlist.hpp"

namespace turmericplank::membership {

/// @brief What is believed of a daemon or an endpoint.
enum class LiveState {
    Live,
    Suspect, ///< silent for everybody for a while, or unable to hear
    Leaving, ///< gets nothing new, still serves what it has
    Gone, ///< silent for long; comes back as soon as it is heard
};

/// @brief The word that stands in logs and answers.
std::string_view toString(LiveState state);

/// @brief How to reach a daemon; each daemon registers its own under its name.
struct DaemonRecord
{
    base::DaemonId id;
    base::ZoneName zone;
    base::Address callerAddress;
    base::Address peerAddress;

    friend auto operator<=>(const DaemonRecord &, const DaemonRecord &) = default;
    friend bool operator==(const DaemonRecord &, const DaemonRecord &) = default;
};

/// @brief A daemon as it is believed to be.
struct Member
{
    DaemonRecord record;
    LiveState state = LiveState::Live;
    bool isReachable = true; ///< heard by this daemon and hearing it
    base::Incarnation incarnation;
    std::uint32_t load = 0; ///< streams of callers
    base::Revision revision;

    friend bool operator==(const Member &, const Member &) = default;
};

/// @brief The rules of the view, as hooks so that a test can show what each is for.
struct DaemonRules
{
    /// Whether a heartbeat of one incarnation may replace what is known of another.
    std::function<bool(base::Incarnation known, base::Incarnation heard)> isNewer = [](base::Incarnation known, base::Incarnation heard) {
        return heard > known;
    };
    /// Whether a daemon that hears too few others may declare some of them gone.
    std::function<bool(bool isIsolated)> mayDeclareGone = [](bool isIsolated) {
        return !isIsolated;
    };
    /// Whether a list entry keeps a silent daemon in use.
    std::function<bool(base::Time fetchedAt, base::Time lastHeardAt)> doesListOverrule = [](base::Time, base::Time) {
        return false;
    };
    /// Whether leaving marks of several sources add up to leaving.
    std::function<bool(int sources)> isMarkEnough = [](int sources) {
        return sources >= 1;
    };
};

/// @brief Options of the view of daemons.
struct DaemonViewOptions
{
    DetectorOptions detector;
    DaemonRules rules;
};

/// @brief The daemons of a cell as one of them believes them to be.
class DaemonView
{
public:
    /// @param self this daemon
    /// @param incarnation grows with each start
    /// @param options limits and rules
    DaemonView(DaemonRecord self, base::Incarnation incarnation, DaemonViewOptions options = {});

    /// @brief Takes the registered daemons; one that is registered no more and silent is forgotten.
    void noteRecords(const std::vector<DaemonRecord> &records, base::Time now);

    /// @brief Takes the platform's list.
    void noteList(const std::vector<ListedVm> &machines, base::Time now);

    /// @brief Takes a heartbeat.
    /// @return whether it counts: its sender is known and it is not of an earlier incarnation or older than one that came
    bool noteHeartbeat(const Heartbeat &heartbeat, base::Time now);

    /// @brief Call it several times a second.
    void tick(base::Time now);

    /// @brief This daemon leaves from now on.
    void leave();

    /// @brief Whether this daemon leaves.
    bool isLeaving() const;

    /// @brief What is believed of a daemon.
    LiveState state(const base::DaemonId &daemon, base::Time now) const;

    /// @brief All daemons with what is believed of them, this one included.
    std::vector<Member> members(base::Time now) const;

    /// @brief Fills in the part of a heartbeat that this view knows.
    Heartbeat heartbeat(base::Time now);

    /// @brief Others that this daemon has at first hand, for weighing what they say of endpoints.
    std::vector<base::DaemonId> heardDaemons(base::Time now) const;

    /// @brief Record of this daemon.
    const DaemonRecord &self() const;

private:
    struct Peer
    {
        DaemonRecord record;
        base::Incarnation incarnation;
        base::Time incarnationSince; ///< when the first heartbeat of this incarnation came
        std::uint64_t sequence = 0;
        bool saysLeaving = false;
        std::uint32_t load = 0;
        base::Revision revision;
        base::Duration leastHeardAge{0}; ///< age of what it last heard of anybody
        base::Duration heardMeAge{0};
        std::vector<LeavingMark> marks; ///< its last word on others
    };

    bool accepts(Peer &peer, const Heartbeat &heartbeat, base::Time now) const;
    int leavingSources(const base::DaemonId &daemon, const Peer &peer, base::Time now) const;
    bool isDeaf(const Peer &peer, base::Time now) const;

    DaemonRecord m_self;
    base::Incarnation m_incarnation;
    DaemonViewOptions m_options;
    FailureDetector m_detector;
    PlatformList m_list;
    std::map<base::DaemonId, Peer> m_peers;
    std::uint64_t m_sequence = 0;
    bool m_isLeaving = false;
};

} // namespace turmericplank::membership
