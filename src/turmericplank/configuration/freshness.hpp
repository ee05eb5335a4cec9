#pragma once

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::configuration {

/// @brief How old a daemon's knowledge of the pointer is, and when to read it again.
class Freshness
{
public:
    Freshness(const ActivationOptions &options, base::Time now);

    /// @brief Notes that time has passed; a long gap makes the knowledge doubtful.
    void tick(base::Time now);
    /// @brief Whether the pointer is to be read now.
    bool mustRead(base::Time now) const;
    /// @brief Notes that a read is started.
    /// @return the read's number
    std::uint64_t beginRead(base::Time now);
    /// @brief Notes that a read has ended; one that was given up for lost confirms nothing.
    void readEnded(std::uint64_t read, bool isAnswered, base::Time now);
    /// @brief Takes the age of a peer's knowledge.
    /// @param notice what the peer said
    /// @param highest newest revision known here
    /// @param now the present
    void peerHeard(const RevisionNotice &notice, base::Revision highest, base::Time now);
    /// @brief Notes whether the cell has other daemons, heard or not.
    void setHasPeers(bool hasPeers);
    /// @brief Notes any other answer of a peer.
    void peerAnswered(base::Time now);

    /// @brief When the table was last known to be read.
    base::Time confirmedAt() const;
    /// @brief Whether neither the store nor a peer was heard for long, though there were peers.
    bool isIsolated(base::Time now) const;
    /// @brief Whether this process stood still and has not heard since that it missed nothing.
    bool isDoubtful(base::Time now) const;
    /// @brief When tick() is due at the latest.
    base::Time nextDeadline() const;

private:
    base::Duration readInterval() const;
    void confirm(base::Time at);
    void heard(base::Time now);

    ActivationOptions m_options;
    base::Time m_lastTick;
    base::Time m_readAt; ///< when the pointer is to be read unless a peer has done so
    base::Time m_ownReadAt; ///< when it is to be read in any case
    base::Time m_readBegan;
    base::Time m_readTimeout; ///< of the read under way
    bool m_isReading = false;
    std::uint64_t m_read = 0; ///< number of the newest read
    base::Time m_confirmedAt;
    base::Time m_isolatedFrom;
    bool m_hasPeers = false;
    base::Time m_resumedAt; ///< end of the last long gap
    base::Time m_doubtfulUntil;
};

} // namespace turmericplank::configuration
