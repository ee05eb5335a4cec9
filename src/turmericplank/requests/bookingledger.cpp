#include "turmericplank/requests/bookingledger.hpp"

#include <algorithm>
#include <utility>

namespace turmericplank::requests {

BookingRules bookingRules()
{
    BookingRules rules;
    rules.mayTakeOver = [](BookingState state) {
        return state == BookingState::Claimed || state == BookingState::NotRun;
    };
    return rules;
}

BookingLedger::BookingLedger(BookingOptions options)
    : m_options(std::move(options))
{
}

BookingActions BookingLedger::submit(const BookingRequest &request, base::Time now)
{
    BookingActions actions;
    m_keys[request.call] = request.rowKey;
    const auto [it, isNew] = m_entries.try_emplace(request.rowKey);
    auto &entry = it->second;
    if (isNew) {
        entry.key = request.rowKey;
        entry.bodyDigest = request.bodyDigest;
        entry.calls = {request.call};
        entry.deadline = request.deadline;
        acquire(entry, base::RowVersion(), now);
    } else {
        join(entry, request, now, actions);
    }
    flush(now, actions);
    return actions;
}

void BookingLedger::acquire(Entry &entry, base::RowVersion expected, base::Time now)
{
    entry.token = m_options.makeToken();
    entry.isAbandoned = false;
    entry.mayHaveWritten = false;
    entry.hasAmbiguousWrite = false;
    entry.failedReads = 0;
    entry.claimDeadline = now + m_options.claimTimeout;
    enqueue(entry, m_options.claimsFirst ? BookingState::Claimed : BookingState::Sent, expected, now);
}

void BookingLedger::join(Entry &entry, const BookingRequest &request, base::Time now, BookingActions &actions)
{
    if (m_options.rules.comparesBodies && entry.bodyDigest != request.bodyDigest) {
        m_keys.erase(request.call);
        actions.emplace_back(RejectBooking{request.call, CallError{ErrorCode::KeyReused, base::Outcome::NotRun, std::nullopt}});
        return;
    }
    if (entry.target == BookingState::Done) {
        m_keys.erase(request.call);
        actions.emplace_back(ReplayAnswer{request.call, entry.answer});
        return;
    }
    if (entry.target == BookingState::Unknown) {
        m_keys.erase(request.call);
        actions.emplace_back(RejectBooking{request.call, CallError{ErrorCode::CallOutcomeUnknown, base::Outcome::Unknown, std::nullopt}});
        return;
    }
    entry.calls.push_back(request.call);
    entry.deadline = std::max(entry.deadline, request.deadline);
    if (entry.isAbandoned) {
        entry.isAbandoned = false;
        entry.deadline = request.deadline;
        entry.claimDeadline = now + m_options.claimTimeout;
        entry.failedReads = 0;
    }
    // If the row is still being read back, it is claimed instead of set to not_run. After a write of not_run in progress, it is claimed anew.
    if (entry.phase == Phase::ReadingBack && entry.target == BookingState::NotRun) {
        entry.target = m_options.claimsFirst ? BookingState::Claimed : BookingState::Sent;
    }
}

void BookingLedger::withdraw(CallNumber call, base::Time now)
{
    const auto key = m_keys.find(call);
    if (key == m_keys.end()) {
        return;
    }
    auto &entry = m_entries.at(key->second);
    if (entry.phase == Phase::Granted && entry.sender == call) {
        return;
    }
    m_keys.erase(key);
    std::erase(entry.calls, call);
    if (!entry.calls.empty() || !isAcquiring(entry) || entry.phase == Phase::Granted) {
        return;
    }
    if (entry.mayHaveWritten && entry.phase != Phase::WaitingForOwner) {
        abandon(entry, now);
    } else {
        remove(entry);
    }
}

/// Entry of a call that this daemon may send, or null. Removes the call from the entry, since the ledger no longer answers it.
BookingLedger::Entry *BookingLedger::takeGranted(CallNumber call)
{
    const auto key = m_keys.find(call);
    if (key == m_keys.end()) {
        return nullptr;
    }
    auto &entry = m_entries.at(key->second);
    if (entry.phase != Phase::Granted || entry.sender != call) {
        return nullptr;
    }
    m_keys.erase(key);
    std::erase(entry.calls, call);
    return &entry;
}

BookingActions BookingLedger::answered(CallNumber call, const StoredAnswer &answer, base::Time now)
{
    BookingActions actions;
    if (auto *entry = takeGranted(call)) {
        entry->answer = answer;
        replayAll(*entry, answer, actions);
        entry->cleanUpUntil = now + m_options.cleanUpTimeout;
        enqueue(*entry, BookingState::Done, entry->expected, now);
        flush(now, actions);
    }
    return actions;
}

BookingActions BookingLedger::failed(CallNumber call, const CallError &error, base::Time now)
{
    BookingActions actions;
    if (auto *entry = takeGranted(call)) {
        rejectAll(*entry, error, actions);
        entry->cleanUpUntil = now + m_options.cleanUpTimeout;
        enqueue(*entry, error.outcome == base::Outcome::NotRun ? BookingState::NotRun : BookingState::Unknown, entry->expected, now);
        flush(now, actions);
    }
    return actions;
}

void BookingLedger::enqueue(Entry &entry, BookingState target, base::RowVersion expected, base::Time at)
{
    entry.phase = Phase::Queued;
    entry.target = target;
    entry.expected = expected;
    entry.nextAt = at;
    if (!std::exchange(entry.isQueued, true)) {
        m_queue.push_back(entry.key);
    }
}

std::vector<std::string> BookingLedger::takeDue(base::Time now)
{
    std::vector<std::string> keys;
    for (auto n = m_queue.size(); n > 0 && keys.size() < m_options.rowsPerTransaction; --n) {
        auto key = std::move(m_queue.front());
        m_queue.pop_front();
        const auto it = m_entries.find(key);
        if (it == m_entries.end() || !it->second.isQueued) {
            continue;
        }
        if (it->second.nextAt > now) {
            m_queue.push_back(std::move(key));
            continue;
        }
        it->second.isQueued = false;
        keys.push_back(std::move(key));
    }
    return keys;
}

void BookingLedger::flush(base::Time now, BookingActions &actions)
{
    while (!m_queue.empty() && now >= m_nextTransactionAt && m_transactions.size() < m_options.transactionsInFlight) {
        auto keys = takeDue(now);
        if (keys.empty()) {
            return;
        }
        WriteRows action;
        action.operation = m_lastOperation = m_lastOperation.next();
        for (const auto &key : keys) {
            auto &entry = m_entries.at(key);
            entry.phase = Phase::Writing;
            entry.mayHaveWritten = true;
            action.writes.push_back(makeWrite(entry, now));
        }
        m_transactions.emplace(action.operation, std::move(keys));
        m_nextTransactionAt = now + m_options.transactionInterval;
        actions.emplace_back(std::move(action));
    }
}

store::RowWrite BookingLedger::makeWrite(const Entry &entry, base::Time now) const
{
    BookingRow row;
    row.state = entry.target;
    row.owner = m_options.self;
    row.token = entry.token;
    row.bodyDigest = entry.bodyDigest;
    row.answer = entry.answer;
    row.writtenAt = now;
    return store::RowWrite{entry.key, entry.expected, encode(row)};
}

BookingActions BookingLedger::written(TableOperation operation, const store::WriteResult &result, base::Time now)
{
    BookingActions actions;
    const auto it = m_transactions.find(operation);
    if (it == m_transactions.end()) {
        return actions;
    }
    const auto keys = std::move(it->second);
    m_transactions.erase(it);
    for (std::size_t n = 0; n < keys.size(); ++n) {
        const auto entry = m_entries.find(keys[n]);
        if (entry != m_entries.end() && entry->second.phase == Phase::Writing) {
            applyResult(entry->second, result, n, now, actions);
        }
    }
    if (!result && result.error().failure == store::TableFailure::Conflict) {
        // The rows without a conflict were not written either and are written again at once.
        m_nextTransactionAt = now;
    }
    flush(now, actions);
    return actions;
}

void BookingLedger::applyResult(Entry &entry, const store::WriteResult &result, std::size_t index, base::Time now, BookingActions &actions)
{
    if (result) {
        onWritten(entry, index < result->size() ? (*result)[index] : base::RowVersion(), now, actions);
        return;
    }
    switch (result.error().failure) {
    case store::TableFailure::Conflict:
        onConflict(entry, result.error(), now, actions);
        return;
    case store::TableFailure::Unavailable:
        onUnavailable(entry, now, actions);
        return;
    case store::TableFailure::Ambiguous:
        onAmbiguous(entry, now, actions);
        return;
    }
}

void BookingLedger::onConflict(Entry &entry, const store::TableError &error, base::Time now, BookingActions &actions)
{
    for (const auto &it : error.conflicts) {
        if (it.key == entry.key) {
            onRow(entry, it, now, actions);
            return;
        }
    }
    if (error.conflicts.empty()) {
        onUnavailable(entry, now, actions);
        return;
    }
    enqueue(entry, entry.target, entry.expected, now);
}

void BookingLedger::startRead(Entry &entry, BookingActions &actions)
{
    if (std::exchange(entry.isReading, true)) {
        return;
    }
    m_lastOperation = m_lastOperation.next();
    m_reads.emplace(m_lastOperation, entry.key);
    actions.emplace_back(ReadRow{m_lastOperation, entry.key});
}

BookingActions BookingLedger::read(TableOperation operation, const store::ReadResult &result, base::Time now)
{
    BookingActions actions;
    const auto it = m_reads.find(operation);
    if (it == m_reads.end()) {
        return actions;
    }
    const auto key = std::move(it->second);
    m_reads.erase(it);
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return actions;
    }
    auto &entry = found->second;
    entry.isReading = false;
    if (entry.phase != Phase::ReadingBack && entry.phase != Phase::WaitingForOwner) {
        return actions;
    }
    if (!result) {
        onReadFailed(entry, now, actions);
        flush(now, actions);
        return actions;
    }
    const auto row = std::find_if(result->begin(), result->end(), [&key](const store::Row &candidate) { return candidate.key == key; });
    onRow(entry, row == result->end() ? store::Row{key, base::RowVersion(), {}} : *row, now, actions);
    flush(now, actions);
    return actions;
}

BookingActions BookingLedger::tick(base::Time now)
{
    BookingActions actions;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &entry = it->second;
        ++it; // checkDeadlines() may remove the entry
        checkDeadlines(entry, now, actions);
    }
    flush(now, actions);
    return actions;
}

std::size_t BookingLedger::unsettled() const
{
    return m_entries.size();
}

} // namespace turmericplank::requests
