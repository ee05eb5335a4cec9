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

/// @brief The lease's row in the platform's table.
struct LeaseRow
{
    base::DaemonId holder;
    base::Term term; ///< grows with each new holder, never within one
    std::uint64_t renewal = 0; ///< grows with each write of the holder
    base::Time deadline; ///< for operators; nobody compares clocks of two machines
    bool isReleased = false; ///< the holder has given its last order; nobody has to wait for the deadline
    std::vector<base::EndpointId> recentlyOrdered{}; ///< of a released lease: endpoints whose last order is more recent than the pause between two holders

    friend auto operator<=>(const LeaseRow &, const LeaseRow &) = default;
    friend bool operator==(const LeaseRow &, const LeaseRow &) = default;
};

/// @brief Writes a row's value.
/// @param row the lease
std::string encode(const LeaseRow &row);

/// @brief Reads a row's value.
/// @param text value of the row
/// @return nothing if it is no lease
std::optional<LeaseRow> decodeLeaseRow(const std::string &text);

/// @brief Intervals of a lease.
struct LeaseOptions
{
    base::DaemonId self;
    std::string key; ///< key of the lease's row
    base::Duration duration = std::chrono::seconds(10); ///< without a write, others take over after this
    base::Duration safetyMargin = std::chrono::seconds(3); ///< a holder stops this long before that
    base::Duration renewInterval = std::chrono::seconds(2);
    base::Duration retryInterval = std::chrono::seconds(1);
    bool isConditional = true; ///< writes depend on the row's version; off only to show what that is for
    std::function<std::vector<store::RowWrite>(base::Term)> rowsOnAcquire; ///< rows that the first write of a tenure adds
};

/// @brief What a lease wants done on the table; at most one call is under way.
enum class LeaseAction {
    None,
    Read, ///< read the cell's rows, then call rowsRead()
    Write, ///< write pendingWrites(), then call rowsWritten()
};

/// @brief Right to decide placement in one cell, kept in one row.
///
/// Every write of the holder contains the lease's row under the version that it knows, so that none takes effect after
/// another daemon took over. A candidate takes over only if the row did not change for the lease's length on its own
/// clock; the holder counts the same length from the moment it began the write. No two clocks are compared.
class Lease
{
public:
    explicit Lease(LeaseOptions options);

    /// @brief Decides the next call of the table.
    /// @param now present time
    LeaseAction tick(base::Time now);

    /// @brief Adds rows to the holder's next write and makes it due at once.
    /// @param rows rows that must be written together with the lease's row
    void attach(std::vector<store::RowWrite> rows);

    /// @brief Gives the lease up for good: no order may be sent from now on, and the next write lets another daemon take over at once.
    /// @param recentlyOrdered endpoints that the next holder has to leave alone for a while
    void release(std::vector<base::EndpointId> recentlyOrdered);

    /// @brief Whether a lease that was given up still has to be written.
    bool isReleaseDue() const;

    /// @brief Rows of the write that is under way.
    const std::vector<store::RowWrite> &pendingWrites() const;

    /// @brief Takes the answer to a read.
    /// @param now present time
    /// @param result the cell's rows, or why there are none
    void rowsRead(base::Time now, const store::ReadResult &result);

    /// @brief Takes the answer to a write.
    /// @param now present time
    /// @param result new versions, or why there are none
    void rowsWritten(base::Time now, const store::WriteResult &result);

    /// @brief Whether orders may be sent: this daemon holds the lease and nobody can have taken it over yet.
    /// @param now present time
    bool isHeld(base::Time now) const;

    /// @brief Whether the lease was not seen to be another's since this daemon had it.
    bool isUncontested() const;

    /// @brief Whether no write of attached rows is under way or due.
    bool isIdle() const;

    /// @brief Term of this daemon's tenure, zero if it has none.
    base::Term term() const;

    /// @brief Row of the holder before, as this daemon took it over; nothing if there was none.
    const std::optional<LeaseRow> &predecessor() const;

    /// @brief Row as it was last seen.
    const std::optional<LeaseRow> &lastSeenRow() const;

    /// @brief Whether the last call of the table brought no answer.
    bool isTableDown() const;

private:
    enum class State { Unknown, Following, Acquiring, Holding };
    enum class Call { None, Read, Write };

    void beginWrite(base::Time now, const LeaseRow &row);
    void beginRenewal(base::Time now);
    bool isLapsed(base::Time now) const;
    void confirmWrite(base::RowVersion version);
    void follow(base::Time now, const std::optional<LeaseRow> &row, base::RowVersion version);

    LeaseOptions m_options;
    State m_state = State::Unknown;
    Call m_call = Call::None;
    bool m_isWriteUnsettled = false;
    bool m_isRewriteDue = false;
    bool m_isTableDown = false;
    bool m_isGivenUp = false;
    std::vector<base::EndpointId> m_orderedLately;
    std::optional<LeaseRow> m_predecessor;
    std::optional<LeaseRow> m_seen;
    base::RowVersion m_seenVersion;
    base::Time m_unchangedSince;
    base::Time m_nextCall;
    base::Time m_writeBegan;
    base::Time m_safeUntil;
    base::Term m_term;
    LeaseRow m_writing;
    std::vector<store::RowWrite> m_attached;
    std::vector<store::RowWrite> m_pending;
};

} // namespace turmericplank::placement
