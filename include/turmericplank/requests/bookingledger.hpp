#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/requests/admission.hpp"
#include "turmericplank/requests/bookingrow.hpp"
#include "turmericplank/requests/callerror.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::requests {

/// @brief One operation on the table within a daemon.
using TableOperation = base::Number<struct TableOperationTag>;

/// @brief Decisions of the ledger that tests replace by broken ones.
struct BookingRules
{
    std::function<bool(BookingState)> mayTakeOver; ///< whether a new submission may replace a row in this state
    bool readsBackAmbiguousWrites = true; ///< otherwise an ambiguous write is taken as done
    bool comparesBodies = true;
    bool checksDeadlineBeforeSending = true;
};

/// @brief The rules that the daemon runs with.
BookingRules bookingRules();

/// @brief Limits and hooks of the ledger.
struct BookingOptions
{
    base::DaemonId self;
    std::function<std::string()> makeToken; ///< random and unique
    bool claimsFirst = false; ///< writes `claimed` before `sent`: one write more, no stuck row if the daemon dies between
    std::size_t rowsPerTransaction = 64;
    std::size_t transactionsInFlight = 4;
    base::Duration transactionInterval = std::chrono::milliseconds(25); ///< least time between two transactions
    base::Duration readAgain = std::chrono::milliseconds(100); ///< between reads that settle or wait for a row
    unsigned settlingReads = 3; ///< reads that may fail before the caller is told
    base::Duration waitForOwner = std::chrono::seconds(5); ///< a duplicate waits this long for another daemon's answer
    base::Duration storePatience = std::chrono::seconds(5); ///< a caller is refused if the store has not settled its claim by then
    base::Duration storeRetry = std::chrono::seconds(1); ///< when a caller may ask again after a failure of the store
    base::Duration claimPatience = std::chrono::seconds(2); ///< age from which another daemon's claim may be taken over
    base::Duration cleanUp = std::chrono::minutes(30); ///< how long results are offered to a store that is down
    BookingRules rules = bookingRules();
};

/// @brief Write rows in one transaction.
struct WriteRows
{
    TableOperation operation;
    std::vector<store::RowWrite> writes;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

/// @brief Read one row.
struct ReadRow
{
    TableOperation operation;
    std::string key;

    friend bool operator==(const ReadRow &, const ReadRow &) = default;
};

/// @brief The call may be sent, by this daemon only and only now.
struct SendBooking
{
    CallNumber call;

    friend bool operator==(const SendBooking &, const SendBooking &) = default;
};

/// @brief Give the stored answer.
struct ReplayAnswer
{
    CallNumber call;
    StoredAnswer answer;

    friend bool operator==(const ReplayAnswer &, const ReplayAnswer &) = default;
};

/// @brief The call ends in an error.
struct RejectBooking
{
    CallNumber call;
    CallError error;

    friend bool operator==(const RejectBooking &, const RejectBooking &) = default;
};

using BookingAction = std::variant<WriteRows, ReadRow, SendBooking, ReplayAnswer, RejectBooking>;
using BookingActions = std::vector<BookingAction>;

/// @brief One submission of an unrepeatable call.
struct BookingRequest
{
    CallNumber call;
    std::string rowKey;
    std::string bodyDigest;
    base::Time deadline;
};

/// @brief Keeps unrepeatable calls from running twice, by conditional writes to the platform's table.
///
/// Only the daemon whose write of `sent` is known to have succeeded sends, and a row never leaves `sent` except by its
/// owner's word. An ambiguous write is settled by reading the row back and looking for the own token.
class BookingLedger
{
public:
    explicit BookingLedger(BookingOptions options);

    /// @brief A caller submits a call.
    BookingActions submit(const BookingRequest &request, base::Time now);
    /// @brief The caller has gone.
    /// @param call the call
    /// @param now the present
    void withdraw(CallNumber call, base::Time now);
    /// @brief The endpoint answered a call that was sent.
    BookingActions answered(CallNumber call, const StoredAnswer &answer, base::Time now);
    /// @brief A call that may be sent ended without an answer.
    /// @param call the call
    /// @param error what its caller was told
    /// @param now the present
    BookingActions failed(CallNumber call, const CallError &error, base::Time now);
    /// @brief A transaction's result came.
    BookingActions written(TableOperation operation, const store::WriteResult &result, base::Time now);
    /// @brief A read's result came; rows beside the one that was asked for are ignored.
    BookingActions read(TableOperation operation, const store::ReadResult &result, base::Time now);
    /// @brief Sends due transactions and reads, and ends waits whose time is over.
    BookingActions tick(base::Time now);

    /// @brief Calls whose row is not settled yet; a daemon that stops waits for them.
    std::size_t unsettled() const;

private:
    enum class Phase {
        Queued, ///< a write waits for its transaction
        Writing,
        Settling, ///< a write was ambiguous; the row is being read
        Watching, ///< another daemon owns the row
        Granted, ///< this daemon may send
    };

    struct Entry
    {
        std::string key;
        std::string token;
        std::string bodyDigest;
        std::vector<CallNumber> calls; ///< callers without an answer yet; the first one's request is the one that is sent
        CallNumber sender;
        Phase phase = Phase::Queued;
        BookingState target = BookingState::Sent;
        base::RowVersion expected;
        StoredAnswer answer;
        base::Time deadline;
        base::Time nextAt; ///< earliest time of the next write or read
        base::Time claimUntil; ///< end of the store's time to settle the claim
        base::Time watchUntil;
        base::Time cleanUntil;
        unsigned failedReads = 0;
        bool isQueued = false; ///< its key stands in the queue
        bool isReading = false;
        bool mayHaveWritten = false; ///< a write of this claim was handed to the table
        bool wasAmbiguous = false; ///< such a write may still land
        bool isAbandoned = false; ///< no caller is left and nothing was sent
    };

    Entry *takeGranted(CallNumber call);
    void acquire(Entry &entry, base::RowVersion expected, base::Time now);
    void join(Entry &entry, const BookingRequest &request, base::Time now, BookingActions &actions);
    void queue(Entry &entry, BookingState target, base::RowVersion expected, base::Time at);
    void flush(base::Time now, BookingActions &actions);
    std::vector<std::string> takeDue(base::Time now);
    void readNow(Entry &entry, BookingActions &actions);
    store::RowWrite makeWrite(const Entry &entry, base::Time now) const;
    void applyResult(Entry &entry, const store::WriteResult &result, std::size_t index, base::Time now, BookingActions &actions);
    void onConflict(Entry &entry, const store::TableError &error, base::Time now, BookingActions &actions);
    void onWritten(Entry &entry, base::RowVersion version, base::Time now, BookingActions &actions);
    void onMarkedSent(Entry &entry, base::Time now, BookingActions &actions);
    void onAmbiguous(Entry &entry, base::Time now, BookingActions &actions);
    void onUnavailable(Entry &entry, base::Time now, BookingActions &actions);
    void onRow(Entry &entry, const store::Row &row, base::Time now, BookingActions &actions);
    void onAbsentRow(Entry &entry, base::Time now);
    void onOwnRow(Entry &entry, BookingState stored, base::RowVersion version, base::Time now, BookingActions &actions);
    void onForeignRow(Entry &entry, const BookingRow &stored, base::RowVersion version, base::Time now, BookingActions &actions);
    void onUnreadable(Entry &entry, base::Time now, BookingActions &actions);
    void watch(Entry &entry, base::Time now, BookingActions &actions);
    void checkTimes(Entry &entry, base::Time now, BookingActions &actions);
    void replayAll(Entry &entry, const StoredAnswer &answer, BookingActions &actions);
    void rejectAll(Entry &entry, const CallError &error, BookingActions &actions);
    void abandon(Entry &entry, base::Time now);
    void close(Entry &entry);
    CallError storeError(base::Time now) const;
    static bool isAcquiring(const Entry &entry);

    BookingOptions m_options;
    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<CallNumber, std::string> m_keys;
    std::deque<std::string> m_queue;
    std::map<TableOperation, std::vector<std::string>> m_transactions;
    std::map<TableOperation, std::string> m_reads;
    base::Time m_nextTransactionAt;
    TableOperation m_lastOperation;
};

} // namespace turmericplank::requests
