#pragma once

#include <map>
#include <optional>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/membership/heartbeat.hpp"

namespace turmericplank::membership {

/// @brief Timeouts of the failure detector. The silence of a daemon is the time since this daemon, or one that it hears, last heard it.
struct DetectorOptions
{
    base::Duration suspectAfter = std::chrono::milliseconds(2500); ///< silence after which a daemon is suspect
    base::Duration goneAfter = std::chrono::seconds(10); ///< silence after which a daemon is gone
    base::Duration pauseAfter = std::chrono::milliseconds(1500); ///< a longer gap between two ticks counts as a pause of this process
};

/// @brief Tracks when each other daemon was last heard, directly or according to the heartbeats of others.
///
/// Heartbeats carry ages instead of times, so the daemons' clocks need not be synchronized.
class FailureDetector
{
public:
    explicit FailureDetector(DetectorOptions options = {});

    /// @brief Starts watching a daemon; its silence counts from now.
    void watch(const base::DaemonId &daemon, base::Time now);

    /// @brief Stops watching a daemon.
    void forget(const base::DaemonId &daemon);

    /// @brief Records a heartbeat.
    /// @param heartbeat its sender counts as heard now, and the daemons listed in it as heard at their given age
    /// @param now current time
    void noteHeartbeat(const Heartbeat &heartbeat, base::Time now);

    /// @brief Restarts all silences after a pause of this process; to be called several times a second.
    void tick(base::Time now);

    /// @brief Time since a daemon was last heard by this daemon or by one that this daemon hears; the maximum if it is unknown.
    base::Duration silence(const base::DaemonId &daemon, base::Time now) const;

    /// @brief Whether a daemon was ever heard by this daemon or by another one.
    bool wasHeard(const base::DaemonId &daemon) const;

    /// @brief Time since a daemon was last heard by this daemon itself; the maximum if it is unknown.
    base::Duration directSilence(const base::DaemonId &daemon, base::Time now) const;

    /// @brief Whether this daemon and those that it hears are not a majority, so that this daemon may be the one that is cut off.
    bool isIsolated(base::Time now) const;

    /// @brief Ages of the directly heard daemons, for the heartbeat.
    std::vector<HeardAge> heardAges(base::Time now) const;

    /// @brief The timeouts in use.
    const DetectorOptions &options() const;

private:
    struct Watched
    {
        ShortName shortName = 0;
        base::Time heardDirectlyAt; ///< last heartbeat received by this daemon; the epoch if there was none
        base::Time lastHeardAt; ///< last heartbeat received by this daemon or another one
        base::Time silenceCountsFrom; ///< earliest start of a silence
    };

    DetectorOptions m_options;
    std::map<base::DaemonId, Watched> m_daemons;
    std::map<ShortName, base::DaemonId> m_byShortName;
    std::optional<base::Time> m_lastTick;
};

} // namespace turmericplank::membership
