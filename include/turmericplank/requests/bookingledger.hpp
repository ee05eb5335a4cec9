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

/// @brief Identifies an operation on the table within a daemon.
using TableOperation = base::Number<struct TableOperationTag>;

/// @brief Rules of the ledger that tests replace with broken ones.
struct BookingRules
{
    std::function<bool(BookingState)> mayTakeOver; ///< whether a new submission may take over a row in this state
    bool readsBackAmbiguousWrites = true; ///< if not, an ambiguous write counts as done
    bool comparesBodies = true;
    bool checksDeadlineBeforeSending = true;
};

/// @brief Rules that the daemon uses.
BookingRules bookingRules();

/// @brief Limits and callbacks of the ledger.
struct BookingOptions
{
    base::DaemonId self;
    std::function<std::string()> makeToken; ///< returns a random, unique token
    bool claimsFirst = false; ///< writes `claimed` before `sent`: one more write, but no stuck row if the daemon fails in between
    std::size_t rowsPerTransaction = 64;
    std::size_t transactionsInFlight = 4;
    base::Duration transactionInterval = std::chrono::milliseconds(25); ///< minimum time between two transactions
    base::Duration readInterval = std::chrono::milliseconds(100); ///< between two reads of a row that is read back or waited for
    unsigned maxFailedReads = 3; ///< failed reads after which the caller gets an error
    base::Duration ownerWaitTimeout = std::chrono::seconds(5); ///< how long a duplicate waits for the answer of another daemon's call
    base::Duration claimTimeout = std::chrono::seconds(5); ///< the caller is rejected if the store has not confirmed the claim by then
    base::Duration storeRetryDelay = std::chrono::seconds(1); ///< retry delay that the caller is told after a failure of the store
    base::Duration staleClaimAge = std::chrono::seconds(2); ///< age at which another daemon's claim may be taken over
    base::Duration cleanUpTimeout = std::chrono::minutes(30); ///< how long results are kept for writing while the store is down
    BookingRules rules = bookingRules();
};

/// @brief Writes rows in one transaction.
struct WriteRows
{
    TableOperation operation;
    std::vector<store::RowWrite> writes;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

/// @brief Reads one row.
struct ReadRow
{
    TableOperation operation;
    std::string key;

    friend bool operator==(const ReadRow &, const ReadRow &) = default;
};

/// @brief Sends the call; only this daemon may do so, and only now.
struct SendBooking
{
    CallNumber call;

    friend bool operator==(const SendBooking &, const SendBooking &) = default;
};

/// @brief Answers the call with the stored answer.
struct ReplayAnswer
{
    CallNumber call;
    StoredAnswer answer;

    friend bool operator==(const ReplayAnswer &, const ReplayAnswer &) = default;
};

/// @brief Ends the call with an error.
struct RejectBooking
{
    CallNumber call;
    CallError error;

    friend bool operator==(const RejectBooking &, const RejectBooking &) = default;
};

using BookingAction = std::variant<WriteRows, ReadRow, SendBooking, ReplayAnswer, RejectBooking>;
using BookingActions = std::vector<BookingAction>;

/// @brief A submission of an unrepeatable call.
struct BookingRequest
{
    CallNumber call;
    std::string rowKey;
    std::string bodyDigest;
    base::Time deadline;
};

/// @brief Prevents unrepeatable calls from running twice, with conditional writes to the platform's table.
///
/// A call is sent only by the daemon whose write of `sent` is known to have succeeded. Only the owner of a row changes
/// its state from `sent`. After an ambiguous write, the row is read back and checked for this daemon's token.
class BookingLedger
{
public:
    explicit BookingLedger(BookingOptions options);

    /// @brief Handles a caller's submission.
    BookingActions submit(const BookingRequest &request, base::Time now);
    /// @brief Handles the disconnect of a caller.
    /// @param call the call
    /// @param now current time
    void withdraw(CallNumber call, base::Time now);
    /// @brief Handles the endpoint's answer to a call that was sent.
    BookingActions answered(CallNumber call, const StoredAnswer &answer, base::Time now);
    /// @brief Handles a call that was allowed to be sent and has ended without an answer.
    /// @param call the call
    /// @param error error that its caller was told
    /// @param now current time
    BookingActions failed(CallNumber call, const CallError &error, base::Time now);
    /// @brief Handles the result of a transaction.
    BookingActions written(TableOperation operation, const store::WriteResult &result, base::Time now);
    /// @brief Handles the result of a read; rows other than the requested one are ignored.
    BookingActions read(TableOperation operation, const store::ReadResult &result, base::Time now);
    /// @brief Starts due transactions and reads, and ends waits that have timed out.
    BookingActions tick(base::Time now);

    /// @brief Number of calls whose row has not reached its final state; a stopping daemon waits for them.
    std::size_t unsettled() const;

private:
    enum class Phase {
        Queued, ///< a write is waiting for its transaction
        Writing,
        ReadingBack, ///< a write was ambiguous and the row is read back
        WaitingForOwner, ///< another daemon owns the row and is expected to answer
        Granted, ///< this daemon may send the call
    };

    struct Entry
    {
        std::string key;
        std::string token;
        std::string bodyDigest;
        std::vector<CallNumber> calls; ///< calls without an answer; the request of the first one is sent
        CallNumber sender;
        Phase phase = Phase::Queued;
        BookingState target = BookingState::Sent;
        base::RowVersion expected;
        StoredAnswer answer;
        base::Time deadline;
        base::Time nextAt; ///< earliest time of the next write or read
        base::Time claimDeadline; ///< when the claim times out
        base::Time ownerWaitUntil;
        base::Time cleanUpUntil;
        unsigned failedReads = 0;
        bool isQueued = false; ///< its key is in the queue
        bool isReading = false;
        bool mayHaveWritten = false; ///< a write of this claim was sent to the table
        bool hasAmbiguousWrite = false; ///< a write of this claim may still take effect
        bool isAbandoned = false; ///< no caller is waiting and nothing was sent
    };

    Entry *takeGranted(CallNumber call);
    void acquire(Entry &entry, base::RowVersion expected, base::Time now);
    void join(Entry &entry, const BookingRequest &request, base::Time now, BookingActions &actions);
    void enqueue(Entry &entry, BookingState target, base::RowVersion expected, base::Time at);
    void flush(base::Time now, BookingActions &actions);
    std::vector<std::string> takeDue(base::Time now);
    void startRead(Entry &entry, BookingActions &actions);
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
    void onReadFailed(Entry &entry, base::Time now, BookingActions &actions);
    void waitForOwner(Entry &entry, base::Time now, BookingActions &actions);
    void checkDeadlines(Entry &entry, base::Time now, BookingActions &actions);
    void replayAll(Entry &entry, const StoredAnswer &answer, BookingActions &actions);
    void rejectAll(Entry &entry, const CallError &error, BookingActions &actions);
    void abandon(Entry &entry, base::Time now);
    void remove(Entry &entry);
    CallError storeUnavailableError(base::Time now) const;
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
