#include "turmericplank/requests/bookingledger.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::requests {

namespace {

constexpr unsigned LongestBackoff = 32; ///< multiples of the read interval

bool isPresent(const store::Row &row)
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
            close(entry);
        } else {
            queue(entry, BookingState::Sent, version, now);
        }
        return;
    case BookingState::Sent:
        onMarkedSent(entry, now, actions);
        return;
    case BookingState::NotRun:
        if (entry.calls.empty()) {
            close(entry);
        } else {
            acquire(entry, version, now);
        }
        return;
    case BookingState::Done:
    case BookingState::Unknown:
        close(entry);
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
        entry.cleanUntil = now + m_options.cleanUp;
        queue(entry, BookingState::NotRun, entry.expected, now);
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
    entry.phase = Phase::Settling;
    entry.wasAmbiguous = true;
    readNow(entry, actions);
}

void BookingLedger::onUnavailable(Entry &entry, base::Time now, BookingActions &actions)
{
    if (!isAcquiring(entry)) {
        if (now >= entry.cleanUntil) {
            close(entry);
        } else {
            queue(entry, entry.target, entry.expected, now + m_options.storeRetry);
        }
        return;
    }
    rejectAll(entry, storeError(now), actions);
    if (entry.wasAmbiguous) {
        abandon(entry, now);
        queue(entry, BookingState::NotRun, entry.expected, now + m_options.storeRetry);
    } else {
        close(entry);
    }
}

void BookingLedger::onRow(Entry &entry, const store::Row &row, base::Time now, BookingActions &actions)
{
    if (!isPresent(row)) {
        onAbsentRow(entry, now);
        return;
    }
    const auto stored = decodeBookingRow(row.value);
    if (!stored) {
        rejectAll(entry, CallError{ErrorCode::CallOutcomeUnknown, base::Outcome::Unknown, std::nullopt}, actions);
        close(entry);
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
        close(entry);
        return;
    }
    // The condition "absent" makes at most one of this write and a late earlier one take effect.
    queue(entry, entry.target, base::RowVersion(), now);
}

void BookingLedger::onOwnRow(Entry &entry, BookingState stored, base::RowVersion version, base::Time now, BookingActions &actions)
{
    if (stored == entry.target || (stored == BookingState::Sent && entry.target == BookingState::Claimed)) {
        entry.target = stored;
        onWritten(entry, version, now, actions);
        return;
    }
    queue(entry, entry.target, version, now);
}

void BookingLedger::onForeignRow(Entry &entry, const BookingRow &stored, base::RowVersion version, base::Time now, BookingActions &actions)
{
    if (!isAcquiring(entry) && entry.calls.empty()) {
        close(entry);
        return;
    }
    if (m_options.rules.comparesBodies && stored.bodyDigest != entry.bodyDigest) {
        rejectAll(entry, CallError{ErrorCode::KeyReused, base::Outcome::NotRun, std::nullopt}, actions);
        close(entry);
        return;
    }
    if (stored.state == BookingState::Done) {
        replayAll(entry, stored.answer, actions);
        close(entry);
        return;
    }
    if (stored.state == BookingState::Unknown) {
        rejectAll(entry, CallError{ErrorCode::CallOutcomeUnknown, base::Outcome::Unknown, std::nullopt}, actions);
        close(entry);
        return;
    }
    const bool isFreshClaim = stored.state == BookingState::Claimed && now < stored.writtenAt + m_options.claimPatience;
    if (!isFreshClaim && m_options.rules.mayTakeOver(stored.state)) {
        acquire(entry, version, now);
        return;
    }
    watch(entry, now, actions);
}

void BookingLedger::watch(Entry &entry, base::Time now, BookingActions &actions)
{
    if (std::exchange(entry.phase, Phase::Watching) != Phase::Watching) {
        entry.watchUntil = std::min(entry.deadline, now + m_options.waitForOwner);
    }
    entry.nextAt = now + m_options.readAgain;
    checkTimes(entry, now, actions);
}

void BookingLedger::onUnreadable(Entry &entry, base::Time now, BookingActions &actions)
{
    ++entry.failedReads;
    entry.nextAt = now + m_options.readAgain * std::min(entry.failedReads * entry.failedReads, LongestBackoff);
    const bool isHopeless = entry.failedReads >= m_options.settlingReads;
    if (entry.phase == Phase::Watching && isHopeless) {
        rejectAll(entry, CallError{ErrorCode::CallInProgress, base::Outcome::Unknown, now + m_options.storeRetry}, actions);
        close(entry);
        return;
    }
    if (isAcquiring(entry) && isHopeless) {
        rejectAll(entry, storeError(now), actions);
        abandon(entry, now);
    }
}

void BookingLedger::checkTimes(Entry &entry, base::Time now, BookingActions &actions)
{
    if (entry.phase == Phase::Granted) {
        return;
    }
    if (entry.phase == Phase::Watching && now >= entry.watchUntil) {
        rejectAll(entry, CallError{ErrorCode::CallInProgress, base::Outcome::Unknown, now + m_options.storeRetry}, actions);
        close(entry);
        return;
    }
    const bool isLate = now >= entry.deadline;
    const bool isStoreLate = entry.phase != Phase::Watching && now >= entry.claimUntil;
    if (!entry.calls.empty() && (isLate || isStoreLate)) {
        rejectAll(entry, isLate ? CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt} : storeError(now), actions);
        if (!entry.mayHaveWritten) {
            close(entry);
            return;
        }
        abandon(entry, now);
    }
    if (entry.calls.empty() && entry.phase != Phase::Writing && now >= entry.cleanUntil) {
        close(entry);
        return;
    }
    const bool isWaitingForRead = entry.phase == Phase::Settling || entry.phase == Phase::Watching;
    if (isWaitingForRead && now >= entry.nextAt) {
        readNow(entry, actions);
    }
}

void BookingLedger::abandon(Entry &entry, base::Time now)
{
    entry.isAbandoned = true;
    entry.cleanUntil = now + m_options.cleanUp;
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

void BookingLedger::close(Entry &entry)
{
    const auto key = entry.key;
    m_entries.erase(key);
}

CallError BookingLedger::storeError(base::Time now) const
{
    return CallError{ErrorCode::StoreUnavailable, base::Outcome::NotRun, now + m_options.storeRetry};
}

bool BookingLedger::isAcquiring(const Entry &entry)
{
    return entry.target == BookingState::Claimed || entry.target == BookingState::Sent;
}

} // namespace turmericplank::requests
