#pragma once

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::configuration {

/// @brief Tracks how recent a daemon's copy of the pointer is, and when to read it again.
class Freshness
{
public:
    Freshness(const ActivationOptions &options, base::Time now);

    /// @brief Records the passage of time. After a long gap, the copy counts as unconfirmed.
    void tick(base::Time now);
    /// @brief Whether the pointer must be read now.
    bool isReadDue(base::Time now) const;
    /// @brief Records that a read starts.
    /// @return number of the read
    std::uint64_t beginRead(base::Time now);
    /// @brief Records that a read has ended. A read that had already timed out confirms nothing.
    void readEnded(std::uint64_t read, bool isAnswered, base::Time now);
    /// @brief Records a peer's notice, which may confirm the copy.
    /// @param notice the notice
    /// @param highest newest revision known to this daemon
    /// @param now current time
    void noticeReceived(const RevisionNotice &notice, base::Revision highest, base::Time now);
    /// @brief Sets whether the cell has other daemons, reachable or not.
    void setHasPeers(bool hasPeers);
    /// @brief Records any other response of a peer.
    void peerResponded(base::Time now);

    /// @brief Returns the start of the latest table read that is known to have confirmed the copy.
    base::Time confirmedAt() const;
    /// @brief Whether the cell has other daemons and neither the store nor a peer was in contact for too long.
    bool isIsolated(base::Time now) const;
    /// @brief Whether this process was paused and the copy was not confirmed since, at most until the confirmation timeout.
    bool isUnconfirmed(base::Time now) const;
    /// @brief Returns the time by which tick() must be called.
    base::Time nextDeadline() const;

private:
    base::Duration readInterval() const;
    void confirm(base::Time at);
    void contactMade(base::Time now);

    ActivationOptions m_options;
    base::Time m_lastTick;
    base::Time m_readAt; ///< when to read the pointer unless a peer does so earlier
    base::Time m_forcedReadAt; ///< when to read the pointer in any case
    base::Time m_readStartedAt;
    base::Time m_readTimeout; ///< when the read in flight times out
    bool m_isReading = false;
    std::uint64_t m_readNumber = 0; ///< number of the newest read
    base::Time m_confirmedAt;
    base::Time m_isolatedFrom;
    bool m_hasPeers = false;
    base::Time m_resumedAt; ///< when the process resumed after the latest long gap
    base::Time m_unconfirmedUntil;
};

} // namespace turmericplank::configuration
