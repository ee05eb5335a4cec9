#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::placement {

/// @brief Row of the lease in the platform's table.
struct LeaseRow
{
    base::DaemonId holder;
    base::Term term; ///< increases with each takeover and stays the same while a daemon holds the lease
    std::uint64_t renewal = 0; ///< increases with each write of the holder
    base::Time deadline; ///< shown to operators only; clocks of different VMs are never compared
    bool isReleased = false; ///< the holder sends no more orders; the lease can be taken over before the deadline
    std::vector<base::EndpointId> recentlyOrdered{}; ///< when released: endpoints that got an order within the pause required between two holders

    friend auto operator<=>(const LeaseRow &, const LeaseRow &) = default;
    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

/// @brief Encodes the value of a lease row.
/// @param row lease row
std::string encode(const LeaseRow &row);

/// @brief Decodes the value of a lease row.
/// @param text value of the row
/// @return nothing if the value is not a lease row
std::optional<LeaseRow> decodeLeaseRow(const std::string &text);

/// @brief Intervals and options of a lease.
struct LeaseOptions
{
    base::DaemonId self; ///< this daemon
    std::string key; ///< key of the lease's row
    base::Duration duration = std::chrono::seconds(10); ///< time without a write after which another daemon takes over
    base::Duration safetyMargin = std::chrono::seconds(3); ///< a holder stops sending orders this long before its lease expires
    base::Duration renewInterval = std::chrono::seconds(2);
    base::Duration retryInterval = std::chrono::seconds(1);
    bool mayTakeAbsentRow = true; ///< whether a missing row means that there was no holder yet, rather than that the table has lost it
    bool usesConditionalWrites = true; ///< writes are conditional on the row's version; switched off only in tests of this safeguard
    std::function<std::vector<store::RowWrite>(base::Term)> rowsOnAcquire; ///< rows added to the write that acquires the lease for a term
};

/// @brief What a holder of the lease knows while it cannot reach the table.
struct OutageView
{
    bool isUncontested = false; ///< Lease::isUncontested()
    bool isTableDown = false; ///< Lease::isTableDown()
    bool enginesCheckTerms = false; ///< engines reject orders of a holder whose term is no longer the highest
    bool areAllDaemonsHeard = false; ///< no other daemon has fallen silent
    base::Time orderUntil; ///< end of the time for which a holder goes on

    friend bool operator==(const OutageView &, const OutageView &) = default;
};

/// @brief Whether a holder may go on sending orders although its lease may have expired.
///
/// While the table is down, no other daemon can acquire the lease either. If only this daemon cannot reach the table, engines that check
/// terms reject its orders once the next holder has sent one. Other engines do not, but a daemon does not take over while it hears the
/// holder; so on their site the holder goes on only while it hears all daemons.
bool mayOrderWithoutTable(const OutageView &view, base::Time now);

/// @brief Table call that a lease requests; at most one call is in flight.
enum class LeaseAction {
    None,
    Read, ///< read the cell's rows, then call rowsRead()
    Write, ///< write pendingWrites(), then call rowsWritten()
};

/// @brief Lease on the placement decisions of one cell, stored in one table row.
///
/// Every write of the holder includes the lease row, conditional on the version the holder knows, so that no write takes
/// effect after another daemon has taken over. A candidate takes over only if the lease was released, or after the row has
/// not changed for the lease duration by the candidate's own clock. The holder measures the same duration from the start of
/// its last write. Clocks of different VMs are never compared.
///
/// The table may come back from an older copy, with a higher era. Its row may then be missing or name an earlier holder while the
/// latest one still sends orders. So a row of an earlier era is taken over only after the whole lease duration, except by the
/// daemon that held the lease when it learned of the new era. The term of a new holder consists of the era and of the version of
/// the row that it replaces, and thus is higher than all terms used before, also those that the copy does not contain.
class Lease
{
public:
    explicit Lease(LeaseOptions options);

    /// @brief Decides the next table call.
    /// @param now present time
    LeaseAction tick(base::Time now);

    /// @brief Adds rows to the holder's next write and makes that write due at once.
    /// @param rows rows to write in one transaction with the lease row
    void attach(std::vector<store::RowWrite> rows);

    /// @brief Notes the era of the table. To be called before the results of calls that were answered in this era.
    /// @param now present time
    /// @param era era of the table; zero is never given
    void noteEra(base::Time now, base::StoreEra era);

    /// @brief Releases the lease permanently. No order may be sent from now on; the next write allows an immediate takeover.
    /// @param recentlyOrdered endpoints to which the next holder must not send orders for a while
    void release(std::vector<base::EndpointId> recentlyOrdered);

    /// @brief Whether the release still has to be written to the table.
    bool isReleaseDue() const;

    /// @brief Rows of the write in flight.
    const std::vector<store::RowWrite> &pendingWrites() const;

    /// @brief Handles the result of a read.
    /// @param now present time
    /// @param result rows of the cell, or the error
    void rowsRead(base::Time now, const store::ReadResult &result);

    /// @brief Handles the result of a write.
    /// @param now present time
    /// @param result new row versions, or the error
    void rowsWritten(base::Time now, const store::WriteResult &result);

    /// @brief Whether orders may be sent: this daemon holds the lease and no other daemon can have taken over yet.
    /// @param now present time
    bool isHeld(base::Time now) const;

    /// @brief Whether this daemon acquired the lease, has not released it and has not seen another holder since. The lease may have expired.
    bool isUncontested() const;

    /// @brief Whether this daemon holds the lease and no write is in flight, unconfirmed or due for attached rows.
    bool isIdle() const;

    /// @brief Term under which this daemon holds the lease, zero if it does not.
    base::Term term() const;

    /// @brief Lease row of the previous holder as of the takeover; nothing if there was none.
    const std::optional<LeaseRow> &predecessor() const;

    /// @brief Lease row as last read or written.
    const std::optional<LeaseRow> &lastSeenRow() const;

    /// @brief Whether the last table call failed for another reason than a conflict.
    bool isTableDown() const;

private:
    enum class State { Unknown, Following, Acquiring, Holding };
    enum class Call { None, Read, Write };

    void beginWrite(base::Time now, const LeaseRow &row);
    void beginRenewal(base::Time now);
    bool hasExpired(base::Time now) const;
    bool isRowOfCurrentEra() const;
    base::Term nextTerm() const;
    void confirmWrite(base::RowVersion version);
    void follow(base::Time now, const std::optional<LeaseRow> &row, base::RowVersion version);

    LeaseOptions m_options;
    State m_state = State::Unknown;
    Call m_callInFlight = Call::None;
    bool m_isWriteUnconfirmed = false;
    bool m_isRetryDue = false;
    bool m_isTableDown = false;
    bool m_isReleasing = false;
    std::vector<base::EndpointId> m_recentlyOrdered;
    std::optional<LeaseRow> m_predecessor;
    std::optional<LeaseRow> m_lastSeenRow;
    base::RowVersion m_lastSeenVersion;
    base::Time m_unchangedSince;
    base::Time m_nextCall;
    base::Time m_writeStartedAt;
    base::Time m_heldUntil;
    base::Term m_term;
    base::StoreEra m_era;
    bool m_hasSeenRestore = false; ///< the table has come back from an older copy since the start
    bool m_ignoresCallInFlight = false; ///< the call may have been answered from the state before a restore
    base::Time m_mayResumeUntil; ///< until then this daemon may take over at once, since it held the lease when the table was restored
    LeaseRow m_rowBeingWritten;
    std::vector<store::RowWrite> m_attachedRows;
    std::vector<store::RowWrite> m_pendingRows;
};

} // namespace turmericplank::placement
