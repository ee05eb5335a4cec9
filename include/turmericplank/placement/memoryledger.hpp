#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "turmericplank/placement/order.hpp"

namespace turmericplank::placement {

/// @brief State of one resident of an endpoint.
enum class ResidentState {
    Arriving, ///< an order that may load it is open
    Present,
    Leaving, ///< an order that may unload it is open
};

/// @brief Memory of one endpoint: what it holds and what may still happen to it.
///
/// The memory charged is what the endpoint confirmed plus every load that may still happen. An unload lowers it only
/// when a later inventory shows the memory free.
class MemoryLedger
{
public:
    /// @brief Sets the accelerator memory.
    /// @param memoryMib capacity in MiB
    void setCapacity(std::uint32_t memoryMib);

    /// @brief Accelerator memory in MiB.
    std::uint32_t capacity() const;

    /// @brief Takes an inventory during which no order was opened or settled.
    /// @param inventory what the endpoint holds
    void confirm(const Inventory &inventory);

    /// @brief Charges an order that may be carried out from now on; a repeated one changes nothing.
    /// @param order the order
    void open(const Order &order);

    /// @brief Ends an order that can change nothing any more.
    /// @param id identifier of the order
    /// @param isDone whether it was carried out, otherwise it never will be
    void settle(const std::string &id, bool isDone);

    /// @brief Confirmed memory and every load that may still happen, in MiB.
    std::uint64_t charged() const;

    /// @brief Loads that may still happen, in MiB.
    std::uint64_t chargedLoads() const;

    /// @brief Whether a load fits beside everything that is charged.
    /// @param memoryMib memory of the load in MiB
    bool admits(std::uint32_t memoryMib) const;

    /// @brief What is resident, arriving or leaving.
    std::map<Resident, ResidentState> residents() const;

    /// @brief Whether a resident is present and no order may unload it.
    /// @param resident a model's version or an adapter
    bool isSafe(const Resident &resident) const;

    /// @brief Orders that may still be carried out.
    const std::map<std::string, Order> &openOrders() const;

private:
    std::uint32_t m_capacity = 0;
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_openLoads = 0;
    std::map<Resident, std::uint32_t> m_present;
    std::map<std::string, Order> m_open;
};

} // namespace turmericplank::placement
