#include "turmericplank/membership/drain.hpp"

#include <algorithm>

namespace turmericplank::membership {

Drain::Drain(base::Time beganAt, base::Time ownUseUntil, base::Time unheardUntil)
    : m_beganAt(beganAt)
    , m_ownUseUntil(ownUseUntil)
    , m_unheardUntil(unheardUntil)
{
}

void Drain::expect(const base::DaemonId &daemon)
{
    m_words.try_emplace(daemon);
}

void Drain::noteHeartbeat(const base::DaemonId &daemon, base::Time useUntil, bool knowsLeaving)
{
    auto &word = m_words[daemon];
    word.useUntil = std::max(word.useUntil, useUntil);
    word.isFinal = word.isFinal || knowsLeaving;
}

base::Time Drain::refuseFrom() const
{
    auto from = std::max(m_beganAt, m_ownUseUntil);
    for (const auto &[daemon, word] : m_words) {
        from = std::max(from, word.isFinal ? word.useUntil : m_unheardUntil);
    }
    return from;
}

base::Time Drain::beganAt() const
{
    return m_beganAt;
}

} // namespace turmericplank::membership
