#include "turmericplank/requests/attemptresult.hpp"

namespace turmericplank::requests {

void OutcomeRecord::begin()
{
    ++m_openAttempts;
}

void OutcomeRecord::finish(AttemptResult result)
{
    --m_openAttempts;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun(result);
}

base::Outcome OutcomeRecord::outcome() const
{
    return m_openAttempts == 0 && !m_mayHaveRun ? base::Outcome::NotRun : base::Outcome::Unknown;
}

} // namespace turmericplank::requests
