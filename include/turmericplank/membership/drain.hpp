#pragma once

#include <map>
#include <optional>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::membership {

/// @brief Determines how long a leaving daemon must accept new requests, because callers may still use directory answers with its address.
///
/// Each heartbeat tells its receiver up to when the sender has directed callers to it. Once a daemon knows that the receiver
/// is leaving it no longer directs callers there, so the time in its next heartbeat is final. A daemon that is never heard
/// again and does not hear the leaving daemon either stops directing callers to it, so its answers expire a bounded time after the
/// start of the drain.
class Drain
{
public:
    /// @param beganAt start of the drain
    /// @param ownUseUntil expiry of the last own answer with this daemon's address
    /// @param unheardUntil when all answers of a daemon that is not heard have expired
    Drain(base::Time beganAt, base::Time ownUseUntil, base::Time unheardUntil);

    /// @brief Adds another daemon of the cell that may have directed callers here.
    void expect(const base::DaemonId &daemon);

    /// @brief Records a heartbeat.
    /// @param daemon sender of the heartbeat
    /// @param useUntil up to when the sender has directed callers here
    /// @param knowsOfDrain whether the sender knew that this daemon is leaving
    void noteHeartbeat(const base::DaemonId &daemon, base::Time useUntil, bool knowsOfDrain);

    /// @brief Time from which new requests may be rejected.
    base::Time rejectFrom() const;

    /// @brief Start of the drain.
    base::Time beganAt() const;

private:
    struct DrainReport
    {
        base::Time useUntil;
        bool isFinal = false;
    };

    base::Time m_beganAt;
    base::Time m_ownUseUntil;
    base::Time m_unheardUntil;
    std::map<base::DaemonId, DrainReport> m_reports;
};

} // namespace turmericplank::membership
