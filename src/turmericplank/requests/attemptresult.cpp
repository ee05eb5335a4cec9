#include "turmericplank/requests/attemptresult.hpp"

namespace turmericplank::requests {

void OutcomeRecord::begin()
{
    ++m_open;
}

void OutcomeRecord::finish(AttemptResult end)
{
    --m_open;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun(end);
}

base::Outcome OutcomeRecord::outcome() const
{
    return m_open == 0 && !m_mayHaveRun ? base::Outcome::NotRun : base::Outcome::Unknown;
}

} // namespace turmericplank::requests
