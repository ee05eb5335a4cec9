#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "turmericplank/placement/order.hpp"

namespace turmericplank::placement {

/// @brief State of a resident model or adapter on an endpoint.
enum class ResidentState {
    Arriving, ///< an open order may load it
    Present,
    Leaving, ///< an open order may unload it
};

/// @brief Tracks the committed accelerator memory of one endpoint.
///
/// Committed memory is the memory that the endpoint reported as used plus the memory of every load that may still be carried
/// out. An unload reduces it only when a later inventory shows that the memory is free.
class MemoryLedger
{
public:
    /// @brief Sets the size of the accelerator memory.
    /// @param memoryMib capacity in MiB
    void setCapacity(std::uint32_t memoryMib);

    /// @brief Size of the accelerator memory in MiB.
    std::uint32_t capacity() const;

    /// @brief Applies an inventory. No order may have been opened or settled since the inventory was requested.
    /// @param inventory residents and memory that the endpoint reports
    void applyInventory(const Inventory &inventory);

    /// @brief Adds an open order, which may be carried out from now on. Adding the same order again has no effect.
    /// @param order order to add
    void addOrder(const Order &order);

    /// @brief Removes an open order whose outcome is final.
    /// @param id identifier of the order
    /// @param isDone true if the order was carried out, false if it never will be
    void settle(const std::string &id, bool isDone);

    /// @brief Reported memory plus the memory of every load that may still be carried out, in MiB.
    std::uint64_t committedMemory() const;

    /// @brief Memory of the loads that may still be carried out, in MiB.
    std::uint64_t committedLoadMemory() const;

    /// @brief Whether a load fits into the memory that is not committed.
    /// @param memoryMib memory of the load in MiB
    bool fits(std::uint32_t memoryMib) const;

    /// @brief Residents with their states, including those that are arriving or leaving.
    std::map<Resident, ResidentState> residents() const;

    /// @brief Whether a resident is present and no open order may unload it.
    /// @param resident model version or adapter
    bool isStable(const Resident &resident) const;

    /// @brief Orders that may still be carried out, by identifier.
    const std::map<std::string, Order> &openOrders() const;

private:
    std::uint32_t m_capacity = 0;
    std::uint64_t m_confirmedMib = 0;
    std::uint64_t m_openLoadMib = 0;
    std::map<Resident, std::uint32_t> m_present; ///< memory in MiB
    std::map<std::string, Order> m_openOrders;
};

} // namespace turmericplank::placement
