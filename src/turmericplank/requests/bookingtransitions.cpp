#include "turmericplank/requests/bookingledger.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::requests {

namespace {

constexpr unsigned MaxBackoffFactor = 32; ///< in multiples of the read interval

bool exists(const store::Row &row)
{
    return row.version != base::RowVersion();
}

} // namespace

void BookingLedger::onWritten(Entry &entry, base::RowVersion version, base::Time now, BookingActions &actions)
{
    entry.expected = version;
    switch (entry.target) {
    case BookingState::Claimed:
        if (entry.calls.empty()) {
            remove(entry);
        } else {
            enqueue(entry, BookingState::Sent, version, now);
        }
        return;
    case BookingState::Sent:
        onMarkedSent(entry, now, actions);
        return;
    case BookingState::NotRun:
        if (entry.calls.empty()) {
            remove(entry);
        } else {
            acquire(entry, version, now);
        }
        return;
    case BookingState::Done:
    case BookingState::Unknown:
        remove(entry);
        return;
    }
}

void BookingLedger::onMarkedSent(Entry &entry, base::Time now, BookingActions &actions)
{
    if (m_options.rules.checksDeadlineBeforeSending && now >= entry.deadline) {
        rejectAll(entry, CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt}, actions);
    }
    if (entry.calls.empty()) {
        entry.isAbandoned = true;
        entry.cleanUpUntil = now + m_options.cleanUpTimeout;
        enqueue(entry, BookingState::NotRun, entry.expected, now);
        return;
    }
    entry.phase = Phase::Granted;
    entry.sender = entry.calls.front();
    actions.emplace_back(SendBooking{entry.sender});
}

void BookingLedger::onAmbiguous(Entry &entry, base::Time now, BookingActions &actions)
{
    if (!m_options.rules.readsBackAmbiguousWrites) {
        onWritten(entry, entry.expected.next(), now, actions);
        return;
    }
    entry.phase = Phase::ReadingBack;
    entry.hasAmbiguousWrite = true;
    startRead(entry, actions);
}

void BookingLedger::onUnavailable(Entry &entry, base::Time now, BookingActions &actions)
{
    if (!isAcquiring(entry)) {
        if (now >= entry.cleanUpUntil) {
            remove(entry);
        } else {
            enqueue(entry, entry.target, entry.expected, now + m_options.storeRetryDelay);
        }
        return;
    }
    rejectAll(entry, storeUnavailableError(now), actions);
    if (entry.hasAmbiguousWrite) {
        abandon(entry, now);
        enqueue(entry, BookingState::NotRun, entry.expected, now + m_options.storeRetryDelay);
    } else {
        remove(entry);
    }
}

void BookingLedger::onRow(Entry &entry, const store::Row &row, base::Time now, BookingActions &actions)
{
    if (!exists(row)) {
        onAbsentRow(entry, now);
        return;
    }
    const auto stored = decodeBookingRow(row.value);
    if (!stored) {
        rejectAll(entry, CallError{ErrorCode::CallOutcomeUnknown, base::Outcome::Unknown, std::nullopt}, actions);
        remove(entry);
        return;
    }
    if (stored->token == entry.token) {
        onOwnRow(entry, stored->state, row.version, now, actions);
    } else {
        onForeignRow(entry, *stored, row.version, now, actions);
    }
}

void BookingLedger::onAbsentRow(Entry &entry, base::Time now)
{
    if (!isAcquiring(entry) && entry.target != BookingState::NotRun) {
        remove(entry);
        return;
    }
    // The write requires that the row is absent. So if an earlier write arrives late, only one of the two takes effect.
    enqueue(entry, entry.target, base::RowVersion(), now);
}

void BookingLedger::onOwnRow(Entry &entry, BookingState stored, base::RowVersion version, base::Time now, BookingActions &actions)
{
    if (stored == entry.target || (stored == BookingState::Sent && entry.target == BookingState::Claimed)) {
        entry.target = stored;
        onWritten(entry, version, now, actions);
        return;
    }
    enqueue(entry, entry.target, version, now);
}

void BookingLedger::onForeignRow(Entry &entry, const BookingRow &stored, base::RowVersion version, base::Time now, BookingActions &actions)
{
    if (!isAcquiring(entry) && entry.calls.empty()) {
        remove(entry);
        return;
    }
    if (m_options.rules.comparesBodies && stored.bodyDigest != entry.bodyDigest) {
        rejectAll(entry, CallError{ErrorCode::KeyReused, base::Outcome::NotRun, std::nullopt}, actions);
        remove(entry);
        return;
    }
    if (stored.state == BookingState::Done) {
        replayAll(entry, stored.answer, actions);
        remove(entry);
        return;
    }
    if (stored.state == BookingState::Unknown) {
        rejectAll(entry, CallError{ErrorCode::CallOutcomeUnknown, base::Outcome::Unknown, std::nullopt}, actions);
        remove(entry);
        return;
    }
    const bool isFreshClaim = stored.state == BookingState::Claimed && now < stored.writtenAt + m_options.staleClaimAge;
    if (!isFreshClaim && m_options.rules.mayTakeOver(stored.state)) {
        acquire(entry, version, now);
        return;
    }
    waitForOwner(entry, now, actions);
}

void BookingLedger::waitForOwner(Entry &entry, base::Time now, BookingActions &actions)
{
    if (std::exchange(entry.phase, Phase::WaitingForOwner) != Phase::WaitingForOwner) {
        entry.ownerWaitUntil = std::min(entry.deadline, now + m_options.ownerWaitTimeout);
    }
    entry.nextAt = now + m_options.readInterval;
    checkDeadlines(entry, now, actions);
}

void BookingLedger::onReadFailed(Entry &entry, base::Time now, BookingActions &actions)
{
    ++entry.failedReads;
    entry.nextAt = now + m_options.readInterval * std::min(entry.failedReads * entry.failedReads, MaxBackoffFactor);
    const bool hasTooManyFailures = entry.failedReads >= m_options.maxFailedReads;
    if (entry.phase == Phase::WaitingForOwner && hasTooManyFailures) {
        rejectAll(entry, CallError{ErrorCode::CallInProgress, base::Outcome::Unknown, now + m_options.storeRetryDelay}, actions);
        remove(entry);
        return;
    }
    if (isAcquiring(entry) && hasTooManyFailures) {
        rejectAll(entry, storeUnavailableError(now), actions);
        abandon(entry, now);
    }
}

void BookingLedger::checkDeadlines(Entry &entry, base::Time now, BookingActions &actions)
{
    if (entry.phase == Phase::Granted) {
        return;
    }
    if (entry.phase == Phase::WaitingForOwner && now >= entry.ownerWaitUntil) {
        rejectAll(entry, CallError{ErrorCode::CallInProgress, base::Outcome::Unknown, now + m_options.storeRetryDelay}, actions);
        remove(entry);
        return;
    }
    const bool isPastDeadline = now >= entry.deadline;
    const bool isClaimTimedOut = entry.phase != Phase::WaitingForOwner && now >= entry.claimDeadline;
    if (!entry.calls.empty() && (isPastDeadline || isClaimTimedOut)) {
        rejectAll(entry, isPastDeadline ? CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt} : storeUnavailableError(now), actions);
        if (!entry.mayHaveWritten) {
            remove(entry);
            return;
        }
        abandon(entry, now);
    }
    if (entry.calls.empty() && entry.phase != Phase::Writing && now >= entry.cleanUpUntil) {
        remove(entry);
        return;
    }
    const bool isWaitingForRead = entry.phase == Phase::ReadingBack || entry.phase == Phase::WaitingForOwner;
    if (isWaitingForRead && now >= entry.nextAt) {
        startRead(entry, actions);
    }
}

void BookingLedger::abandon(Entry &entry, base::Time now)
{
    entry.isAbandoned = true;
    entry.cleanUpUntil = now + m_options.cleanUpTimeout;
    if (entry.phase != Phase::Writing) {
        entry.target = BookingState::NotRun;
    }
}

void BookingLedger::replayAll(Entry &entry, const StoredAnswer &answer, BookingActions &actions)
{
    for (const auto call : entry.calls) {
        m_keys.erase(call);
        actions.emplace_back(ReplayAnswer{call, answer});
    }
    entry.calls.clear();
}

void BookingLedger::rejectAll(Entry &entry, const CallError &error, BookingActions &actions)
{
    for (const auto call : entry.calls) {
        m_keys.erase(call);
        actions.emplace_back(RejectBooking{call, error});
    }
    entry.calls.clear();
}

void BookingLedger::remove(Entry &entry)
{
    const auto key = entry.key;
    m_entries.erase(key);
}

CallError BookingLedger::storeUnavailableError(base::Time now) const
{
    return CallError{ErrorCode::StoreUnavailable, base::Outcome::NotRun, now + m_options.storeRetryDelay};
}

bool BookingLedger::isAcquiring(const Entry &entry)
{
    return entry.target == BookingState::Claimed || entry.target == BookingState::Sent;
}

} // namespace turmericplank::requests
