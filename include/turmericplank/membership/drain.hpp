#pragma once

#include <map>
#include <optional>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::membership {

/// @brief Until when a leaving daemon goes on taking new requests, because a caller may hold an answer that names it.
///
/// Each heartbeat tells its receiver up to when the sender directed callers there. Once a daemon knows of the leaving it
/// names the leaving one no more, so its next word is final. One that is never heard again stops naming a daemon that it
/// doesn't hear either, so its answers end a bounded time after the leaving began.
class Drain
{
public:
    /// @param beganAt when the daemon began to leave
    /// @param ownUseUntil last answer of its own that names it
    /// @param unheardUntil when the answers of a daemon that is not heard have ended
    Drain(base::Time beganAt, base::Time ownUseUntil, base::Time unheardUntil);

    /// @brief Another daemon of the cell that may have directed callers here.
    void expect(const base::DaemonId &daemon);

    /// @brief A heartbeat came.
    /// @param daemon its sender
    /// @param useUntil up to when it directed callers here
    /// @param knowsLeaving whether it was sent knowing of the leaving
    void noteHeartbeat(const base::DaemonId &daemon, base::Time useUntil, bool knowsLeaving);

    /// @brief When new requests may be refused.
    base::Time refuseFrom() const;

    /// @brief When leaving began.
    base::Time beganAt() const;

private:
    struct Word
    {
        base::Time useUntil;
        bool isFinal = false;
    };

    base::Time m_beganAt;
    base::Time m_ownUseUntil;
    base::Time m_unheardUntil;
    std::map<base::DaemonId, Word> m_words;
};

} // namespace turmericplank::membership
