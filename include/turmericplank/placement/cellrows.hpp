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

/// @brief Row of a daemon that holds or has held the lease.
struct HolderRow
{
    base::Term held; ///< last term in which the daemon held the lease
    base::Term acknowledged; ///< the daemon no longer sends orders of terms before this one

    friend auto operator<=>(const HolderRow &, const HolderRow &) = default;
    friend bool operator==(const HolderRow &, const HolderRow &) = default;
};

/// @brief Keys of the placement rows of one cell.
struct CellKeys
{
    base::CellName cell;

    /// @brief Common prefix of all keys.
    std::string prefix() const;
    /// @brief Key of the lease row.
    std::string lease() const;
    /// @brief Key of the row of an order.
    std::string order(const std::string &id) const;
    /// @brief Key of the row of a holder.
    std::string holder(const base::DaemonId &id) const;
};

/// @brief Encodes the row value of an order.
std::string encode(const Order &order);

/// @brief Decodes the row value of an order.
/// @return nothing if the value is not an order
std::optional<Order> decodeOrder(const std::string &text);

/// @brief Encodes the row value of a holder.
std::string encode(const HolderRow &row);

/// @brief Decodes the row value of a holder.
/// @return nothing if the value is not a holder row
std::optional<HolderRow> decodeHolderRow(const std::string &text);

/// @brief Order and holder rows of one cell from one read of the table.
struct CellRows
{
    std::vector<Order> orders;
    std::map<base::DaemonId, HolderRow> holders;
    std::map<base::DaemonId, base::RowVersion> holderVersions;
    std::size_t unreadable = 0; ///< number of rows that could not be decoded

    friend bool operator==(const CellRows &, const CellRows &) = default;
};

/// @brief Decodes the order and holder rows of one cell.
/// @param keys keys of the cell
/// @param rows rows whose keys have the cell's prefix
CellRows readCellRows(const CellKeys &keys, const std::vector<store::Row> &rows);

} // namespace turmericplank::placement
