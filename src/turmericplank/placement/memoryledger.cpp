#include "turmericplank/placement/memoryledger.hpp"

#include <algorithm>

namespace turmericplank::placement {

void MemoryLedger::setCapacity(std::uint32_t memoryMib)
{
    m_capacity = memoryMib;
}

std::uint32_t MemoryLedger::capacity() const
{
    return m_capacity;
}

void MemoryLedger::applyInventory(const Inventory &inventory)
{
    std::uint64_t reportedMib = 0;
    for (const auto &[resident, memoryMib] : inventory.residents) {
        reportedMib += memoryMib;
    }
    m_confirmedMib = std::max<std::uint64_t>(inventory.memoryMib, reportedMib);
    m_present = inventory.residents;
}

void MemoryLedger::addOrder(const Order &order)
{
    const bool isNew = m_openOrders.emplace(order.id, order).second;
    if (isNew && takesMemory(order.kind)) {
        m_openLoadMib += order.memoryMib;
    }
}

void MemoryLedger::settle(const std::string &id, bool isDone)
{
    const auto it = m_openOrders.find(id);
    if (it == m_openOrders.end()) {
        return;
    }
    const auto order = it->second;
    m_openOrders.erase(it);
    if (takesMemory(order.kind)) {
        m_openLoadMib -= order.memoryMib;
    }
    if (!isDone) {
        return;
    }
    if (takesMemory(order.kind)) {
        m_confirmedMib += order.memoryMib;
        m_present.emplace(order.resident, order.memoryMib);
    } else if (freesMemory(order.kind)) {
        m_present.erase(order.resident);
    }
}

std::uint64_t MemoryLedger::committedMemory() const
{
    return m_confirmedMib + m_openLoadMib;
}

std::uint64_t MemoryLedger::committedLoadMemory() const
{
    return m_openLoadMib;
}

bool MemoryLedger::fits(std::uint32_t memoryMib) const
{
    return committedMemory() + memoryMib <= m_capacity;
}

std::map<Resident, ResidentState> MemoryLedger::residents() const
{
    std::map<Resident, ResidentState> states;
    for (const auto &[resident, memoryMib] : m_present) {
        states.emplace(resident, ResidentState::Present);
    }
    for (const auto &[id, order] : m_openOrders) {
        if (takesMemory(order.kind)) {
            states.emplace(order.resident, ResidentState::Arriving);
        }
    }
    for (const auto &[id, order] : m_openOrders) {
        const auto it = states.find(order.resident);
        if (freesMemory(order.kind) && it != states.end()) {
            it->second = ResidentState::Leaving;
        }
    }
    return states;
}

bool MemoryLedger::isStable(const Resident &resident) const
{
    const auto unloads = [&resident](const auto &entry) {
        return freesMemory(entry.second.kind) && entry.second.resident == resident;
    };
    return m_present.contains(resident) && std::none_of(m_openOrders.begin(), m_openOrders.end(), unloads);
}

const std::map<std::string, Order> &MemoryLedger::openOrders() const
{
    return m_openOrders;
}

} // namespace turmericplank::placement
