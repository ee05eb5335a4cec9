#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/placement/order.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::placement {

/// @brief Row of a daemon that holds or held the lease.
struct HolderRow
{
    base::Term held; ///< term of its last tenure
    base::Term acknowledged; ///< it sends no order of an earlier term than this any more

    friend auto operator<=>(const HolderRow &, const HolderRow &) = default;
    friend bool operator==(const HolderRow &, const HolderRow &) = default;
};

/// @brief Keys of the rows of one cell.
struct CellKeys
{
    base::CellName cell;

    /// @brief Start of all keys.
    std::string prefix() const;
    /// @brief Key of the lease.
    std::string lease() const;
    /// @brief Key of a recorded order.
    std::string order(const std::string &id) const;
    /// @brief Key of a holder.
    std::string holder(const base::DaemonId &id) const;
};

/// @brief Writes an order's row.
/// @param order the order
std::string encode(const Order &order);

/// @brief Reads an order's row.
/// @param text value of the row
/// @return nothing if it is no order
std::optional<Order> decodeOrder(const std::string &text);

/// @brief Writes a holder's row.
/// @param row the holder
std::string encode(const HolderRow &row);

/// @brief Reads a holder's row.
/// @param text value of the row
/// @return nothing if it is no holder
std::optional<HolderRow> decodeHolderRow(const std::string &text);

/// @brief All rows of one cell that were read at one point in time.
struct CellRows
{
    std::vector<Order> orders;
    std::map<base::DaemonId, HolderRow> holders;
    std::map<base::DaemonId, base::RowVersion> holderVersions;
    std::size_t unreadable = 0; ///< rows that no decoder knows

    friend bool operator==(const CellRows &, const CellRows &) = default;
};

/// @brief Sorts the rows of one cell by kind.
/// @param keys the cell's keys
/// @param rows rows with the cell's prefix
CellRows readCellRows(const CellKeys &keys, const std::vector<store::Row> &rows);

} // namespace turmericplank::placement
