#include "forwardedcall.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

} // namespace

/// @return the contents and parts of the prompt for which the call is refused
std::vector<requests::Fingerprint> ForwardedCall::refusedContents() const
{
    const auto now = base::now();
    std::vector<requests::Fingerprint> refused;
    for (const auto *contents : {&m_contents, &m_parts}) {
        std::ranges::copy_if(*contents, std::back_inserter(refused), [&](auto it) { return m_forwarder.m_dependencies.crashHistory.isRefused(it, now); });
    }
    return refused;
}

bool ForwardedCall::isRefusedForCrashes() const
{
    return !m_isTrial && !refusedContents().empty();
}

/// Only a call that has not been sent before is a trial, and only at one daemon, so that few endpoints are lost if it crashes them. A call
/// with several refused parts comes last: it may have a crashing one among sound ones. But after a loss of many endpoints at once there may
/// be no other calls.
bool ForwardedCall::beginTrial()
{
    auto &dependencies = m_forwarder.m_dependencies;
    const auto now = base::now();
    const auto refused = refusedContents();
    const bool isOfContent = std::ranges::all_of(refused, [this](auto it) { return std::ranges::find(m_contents, it) != m_contents.end(); });
    const auto kind = isOfContent || refused.size() == 1 ? requests::TrialKind::Single : requests::TrialKind::Combined;
    m_isTrial = m_attempts.sends() == 0 && dependencies.mayTryRefused() && dependencies.crashHistory.beginTrial(refused, kind, now);
    if (m_isTrial) {
        telemetry::log(LogLevel::Info, "requests", "tries a refused content again", {{"request", m_call.id}, {"content", toString(refused.front())}});
    }
    return m_isTrial;
}

/// A connection may be lost for other reasons than a crash. Only several losses with the same content, each with another endpoint,
/// lead to a refusal.
void ForwardedCall::recordEndpointLoss(const CallAttempt &attempt)
{
    m_isTrial = false;
    if (!attempt.pooled) {
        return;
    }
    // A call that an endpoint has been answering for longer ran beside the one that crashed it.
    const bool mayBeCause = !attempt.hasFirstEvent || base::now() < attempt.firstEventAt + m_forwarder.m_options.crashTime;
    if (!mayBeCause) {
        return;
    }
    const requests::EndpointLoss loss{attempt.pooled->endpoint, attempt.pooled->incarnation};
    for (const auto *contents : {&m_contents, &m_parts}) {
        for (const auto it : *contents) {
            m_forwarder.m_dependencies.onEndpointLost(it, loss);
        }
    }
}

/// An endpoint that goes on answering has not crashed, whoever has lost connections to it.
void ForwardedCall::recordSignOfLife(const CallAttempt &attempt) const
{
    const auto &pooled = *attempt.pooled;
    const requests::SignOfLife sign{{pooled.endpoint, pooled.incarnation}, pooled.openedAt, attempt.sentAt};
    const auto cleared = m_forwarder.m_dependencies.crashHistory.recordSignOfLife(sign, base::now());
    if (cleared > 0) {
        telemetry::log(
            LogLevel::Info, "requests", "an endpoint that was said to be lost goes on answering",
            {{"request", m_call.id}, {"endpoint", pooled.endpoint.text()}, {"incarnation", pooled.incarnation.value()}, {"contents", std::uint64_t(cleared)}});
    }
}

void ForwardedCall::recordProof(CallAttempt &attempt)
{
    if (std::exchange(attempt.isProof, true)) {
        return;
    }
    for (const auto it : m_parts) {
        m_forwarder.m_dependencies.onSharedAnswer(it);
    }
}

void ForwardedCall::recordAnswer() const
{
    for (const auto it : m_contents) {
        m_forwarder.m_dependencies.crashHistory.recordAnswer(it, base::now());
    }
}

} // namespace turmericplank::gateway
