#pragma once

#include <map>
#include <optional>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/membership/heartbeat.hpp"

namespace turmericplank::membership {

/// @brief Silences after which a daemon is doubted.
struct DetectorOptions
{
    base::Duration suspectAfter = std::chrono::milliseconds(2500); ///< heard by nobody for this long
    base::Duration goneAfter = std::chrono::seconds(10);
    base::Duration pauseAfter = std::chrono::milliseconds(1500); ///< a longer gap between ticks is a pause of this process
};

/// @brief When each other daemon was last heard, directly or by what others say of it.
///
/// Ages travel instead of times, so the daemons' clocks need not agree.
class FailureDetector
{
public:
    explicit FailureDetector(DetectorOptions options = {});

    /// @brief Starts to watch a daemon; its silence counts from now.
    void watch(const base::DaemonId &daemon, base::Time now);

    /// @brief Stops watching a daemon.
    void forget(const base::DaemonId &daemon);

    /// @brief A heartbeat came.
    /// @param heartbeat its sender counts as heard; what it says of others counts with its age
    /// @param now the present
    void noteHeartbeat(const Heartbeat &heartbeat, base::Time now);

    /// @brief Call it several times a second; after a pause of this process all silences start anew.
    void tick(base::Time now);

    /// @brief Time since a daemon was last heard by this daemon or by one that this daemon hears.
    base::Duration silence(const base::DaemonId &daemon, base::Time now) const;

    /// @brief Whether a daemon was ever heard, directly or by what others say.
    bool wasHeard(const base::DaemonId &daemon) const;

    /// @brief Time since a daemon was last heard by this daemon itself.
    base::Duration directSilence(const base::DaemonId &daemon, base::Time now) const;

    /// @brief Whether this daemon and those that it hears are no majority, so that the others may be right in missing it.
    bool isIsolated(base::Time now) const;

    /// @brief What to tell others.
    std::vector<HeardAge> heardAges(base::Time now) const;

    /// @brief The limits in use.
    const DetectorOptions &options() const;

private:
    struct Watched
    {
        ShortName shortName = 0;
        base::Time directlyAt; ///< the epoch if it was never heard
        base::Time anyAt; ///< by this daemon or another one
        base::Time graceFrom; ///< silence counts from here at the earliest
    };

    DetectorOptions m_options;
    std::map<base::DaemonId, Watched> m_daemons;
    std::map<ShortName, base::DaemonId> m_byShortName;
    std::optional<base::Time> m_lastTick;
};

} // namespace turmericplank::membership
