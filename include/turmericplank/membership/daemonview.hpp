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

/// @brief State of a daemon or an endpoint as seen by one daemon.
enum class LiveState {
    Live,
    Suspect, ///< not heard by any daemon for some time, or does not hear other daemons
    Leaving, ///< gets no new requests, still serves those that it has
    Gone, ///< not heard for a long time; becomes live again as soon as it is heard
};

/// @brief Name of a state in logs and answers.
std::string_view toString(LiveState state);

/// @brief Zone and addresses of a daemon; each daemon registers its own record under its name.
struct DaemonRecord
{
    base::DaemonId id;
    base::ZoneName zone;
    base::Address callerAddress;
    base::Address peerAddress;

    friend auto operator<=>(const DaemonRecord &, const DaemonRecord &) = default;
    friend bool operator==(const DaemonRecord &, const DaemonRecord &) = default;
};

/// @brief State of a daemon as seen by another one.
struct Member
{
    DaemonRecord record;
    LiveState state = LiveState::Live;
    bool isReachable = true; ///< this daemon hears it, and it hears this daemon
    base::Incarnation incarnation;
    std::uint32_t load = 0; ///< number of caller streams
    base::Revision revision;

    friend bool operator==(const Member &, const Member &) = default;
};

/// @brief Rules of the view. They can be replaced so that a test can show what fails without each of them.
struct DaemonRules
{
    /// Whether a heartbeat of another incarnation than the known one is newer.
    std::function<bool(base::Incarnation known, base::Incarnation heard)> isNewer = [](base::Incarnation known, base::Incarnation heard) {
        return heard > known;
    };
    /// Whether a daemon may declare others gone, given whether it is isolated: it and the daemons that it hears are not a majority.
    std::function<bool(bool isIsolated)> mayDeclareGone = [](bool isIsolated) {
        return !isIsolated;
    };
    /// Whether an entry in the platform's list keeps a silent daemon in use.
    std::function<bool(base::Time fetchedAt, base::Time lastHeardAt)> doesListOverride = [](base::Time, base::Time) {
        return false;
    };
    /// Whether leaving marks from this number of sources are enough to treat a daemon as leaving.
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

/// @brief State of the daemons of a cell as seen by one of them.
class DaemonView
{
public:
    /// @param self this daemon
    /// @param incarnation increases with each start
    /// @param options limits and rules
    DaemonView(DaemonRecord self, base::Incarnation incarnation, DaemonViewOptions options = {});

    /// @brief Sets the registered daemons; a daemon that is no longer registered is removed once it has been silent for long.
    void noteRecords(const std::vector<DaemonRecord> &records, base::Time now);

    /// @brief Applies the platform's list of VMs.
    void noteList(const std::vector<ListedVm> &vms, base::Time now);

    /// @brief Applies a heartbeat.
    /// @return false if it is ignored: its sender is unknown, it is older than the sender's last heartbeat, or its incarnation is
    ///         lower than the known one and the sender has not been silent for long
    bool noteHeartbeat(const Heartbeat &heartbeat, base::Time now);

    /// @brief Detects pauses of this process; to be called several times a second.
    void tick(base::Time now);

    /// @brief Marks this daemon as leaving.
    void leave();

    /// @brief Whether leave() was called. A leaving mark in the platform's list does not count here, only in state().
    bool isLeaving() const;

    /// @brief State of a daemon; Gone if it is unknown.
    LiveState state(const base::DaemonId &daemon, base::Time now) const;

    /// @brief All known daemons with their states, including this one.
    std::vector<Member> members(base::Time now) const;

    /// @brief Creates the next heartbeat with the fields that this view knows.
    Heartbeat heartbeat(base::Time now);

    /// @brief Other daemons that this daemon has recently heard directly; their opinions on endpoints count.
    std::vector<base::DaemonId> heardDaemons(base::Time now) const;

    /// @brief The record of this daemon.
    const DaemonRecord &self() const;

private:
    struct Peer
    {
        DaemonRecord record;
        base::Incarnation incarnation;
        base::Time incarnationSince; ///< time of the first heartbeat of this incarnation
        std::uint64_t sequence = 0;
        bool reportsLeaving = false;
        std::uint32_t load = 0;
        base::Revision revision;
        base::Duration newestHeardAge{0}; ///< time since it last heard any daemon, as of its last heartbeat
        base::Duration heardThisDaemonAge{0}; ///< time since it last heard this daemon, as of its last heartbeat
        std::vector<LeavingMark> marks; ///< leaving marks in its last heartbeat
    };

    bool accepts(Peer &peer, const Heartbeat &heartbeat, base::Time now) const;
    int leavingSources(const base::DaemonId &daemon, const Peer &peer, base::Time now) const;
    bool hearsNoDaemon(const Peer &peer, base::Time now) const;

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
