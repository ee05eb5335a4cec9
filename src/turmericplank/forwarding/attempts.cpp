#include "turmericplank/forwarding/attempts.hpp"

#include <algorithm>

namespace turmericplank::forwarding {

namespace {

constexpr std::uint32_t MaxUndeliveredSends = 4; ///< sends that reached no endpoint, before the call is rejected

bool isDelivered(SendResult result)
{
    return result != SendResult::NotSent && result != SendResult::Misdirected;
}

bool mayHaveRunBy(SendResult result)
{
    return isDelivered(result) && result != SendResult::Refused;
}

} // namespace

std::string_view toString(SendResult result)
{
    switch (result) {
    case SendResult::NotSent:
        return "not_sent";
    case SendResult::Misdirected:
        return "misdirected";
    case SendResult::Refused:
        return "refused";
    case SendResult::Failed:
        return "failed";
    case SendResult::Lost:
        return "lost";
    case SendResult::Silent:
        return "silent";
    }
    return "lost";
}

std::string_view toString(NextStep step)
{
    switch (step) {
    case NextStep::SendAgain:
        return "send_again";
    case NextStep::RelayFailure:
        return "relay_failure";
    case NextStep::RejectNotRun:
        return "refuse_not_run";
    case NextStep::FailUnknown:
        return "fail_unknown";
    case NextStep::FailTimedOut:
        return "fail_timed_out";
    }
    return "fail_unknown";
}

Attempts::Attempts(routes::CallKind kind, std::uint32_t maxSends, base::Time deadline)
    : m_kind(kind)
    , m_maxSends(maxSends)
    , m_deadline(deadline)
{
}

void Attempts::recordSend()
{
    ++m_sends;
}

void Attempts::recordEnd(SendResult result)
{
    m_delivered += isDelivered(result) ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || mayHaveRunBy(result);
}

NextStep Attempts::afterSend(SendResult result, base::Time now, bool isRetryAllowed)
{
    recordEnd(result);
    const bool mayRunAgain = !mayHaveRunBy(result) || m_kind.mayRunAgain();
    const bool hasSendsLeft = m_delivered < m_maxSends && m_sends - m_delivered < MaxUndeliveredSends;
    const bool isWithinBudget = result == SendResult::NotSent || isRetryAllowed;
    if (now < m_deadline && mayRunAgain && hasSendsLeft && isWithinBudget) {
        return NextStep::SendAgain;
    }
    return result == SendResult::Failed ? NextStep::RelayFailure : finalStep(now);
}

NextStep Attempts::finalStep(base::Time now) const
{
    if (!m_mayHaveRun) {
        return NextStep::RejectNotRun;
    }
    return now < m_deadline ? NextStep::FailUnknown : NextStep::FailTimedOut;
}

bool Attempts::maySendAgain(base::Time now) const
{
    return now < m_deadline && m_kind.mayRunAgain() && m_delivered + 1 < m_maxSends && m_sends - m_delivered <= MaxUndeliveredSends;
}

bool Attempts::mayHaveRun() const
{
    return m_mayHaveRun;
}

std::uint32_t Attempts::sendsLeft() const
{
    return m_maxSends - std::min(m_maxSends, m_delivered);
}

std::uint32_t Attempts::sends() const
{
    return m_sends;
}

base::Time Attempts::deadline() const
{
    return m_deadline;
}

} // namespace turmericplank::forwarding
