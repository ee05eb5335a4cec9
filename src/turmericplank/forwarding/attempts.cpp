#include "turmericplank/forwarding/attempts.hpp"

namespace turmericplank::forwarding {

namespace {

constexpr std::uint32_t MostUnreceived = 4; ///< sends that reached no endpoint, before the call is refused

} // namespace

std::string_view toString(SendResult end)
{
    switch (end) {
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
    case NextStep::RefuseNotRun:
        return "refuse_not_run";
    case NextStep::FailUnknown:
        return "fail_unknown";
    case NextStep::FailTimedOut:
        return "fail_timed_out";
    }
    return "fail_unknown";
}

Attempts::Attempts(routes::CallKind kind, std::uint32_t sendLimit, base::Time deadline)
    : m_kind(kind)
    , m_sendLimit(sendLimit)
    , m_deadline(deadline)
{
}

void Attempts::recordSend()
{
    ++m_sends;
}

NextStep Attempts::afterSend(SendResult end, base::Time now, bool isRetryAllowed)
{
    const bool isReceived = end != SendResult::NotSent && end != SendResult::Misdirected;
    m_received += isReceived ? 1 : 0;
    const bool hasRun = isReceived && end != SendResult::Refused;
    m_mayHaveRun = m_mayHaveRun || hasRun;
    const bool mayRunAgain = !hasRun || m_kind.mayRunAgain();
    const bool hasSendsLeft = m_received < m_sendLimit && m_sends - m_received < MostUnreceived;
    const bool isAffordable = end == SendResult::NotSent || isRetryAllowed;
    if (now < m_deadline && mayRunAgain && hasSendsLeft && isAffordable) {
        return NextStep::SendAgain;
    }
    return end == SendResult::Failed ? NextStep::RelayFailure : finalStep(now);
}

NextStep Attempts::finalStep(base::Time now) const
{
    if (!m_mayHaveRun) {
        return NextStep::RefuseNotRun;
    }
    return now < m_deadline ? NextStep::FailUnknown : NextStep::FailTimedOut;
}

bool Attempts::maySendAgain() const
{
    return m_kind.mayRunAgain() && m_received + 1 < m_sendLimit;
}

bool Attempts::mayHaveRun() const
{
    return m_mayHaveRun;
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
