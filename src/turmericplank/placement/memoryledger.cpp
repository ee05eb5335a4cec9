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

void MemoryLedger::confirm(const Inventory &inventory)
{
    std::uint64_t stated = 0;
    for (const auto &[resident, memoryMib] : inventory.residents) {
        stated += memoryMib;
    }
    m_confirmed = std::max<std::uint64_t>(inventory.memoryMib, stated);
    m_present = inventory.residents;
}

void MemoryLedger::open(const Order &order)
{
    const bool isNew = m_open.emplace(order.id, order).second;
    if (isNew && takesMemory(order.kind)) {
        m_openLoads += order.memoryMib;
    }
}

void MemoryLedger::settle(const std::string &id, bool isDone)
{
    const auto it = m_open.find(id);
    if (it == m_open.end()) {
        return;
    }
    const auto order = it->second;
    m_open.erase(it);
    if (takesMemory(order.kind)) {
        m_openLoads -= order.memoryMib;
    }
    if (!isDone) {
        return;
    }
    if (takesMemory(order.kind)) {
        m_confirmed += order.memoryMib;
        m_present.emplace(order.resident, order.memoryMib);
    } else if (freesMemory(order.kind)) {
        m_present.erase(order.resident);
    }
}

std::uint64_t MemoryLedger::charged() const
{
    return m_confirmed + m_openLoads;
}

std::uint64_t MemoryLedger::chargedLoads() const
{
    return m_openLoads;
}

bool MemoryLedger::admits(std::uint32_t memoryMib) const
{
    return charged() + memoryMib <= m_capacity;
}

std::map<Resident, ResidentState> MemoryLedger::residents() const
{
    std::map<Resident, ResidentState> states;
    for (const auto &[resident, memoryMib] : m_present) {
        states.emplace(resident, ResidentState::Present);
    }
    for (const auto &[id, order] : m_open) {
        if (takesMemory(order.kind)) {
            states.emplace(order.resident, ResidentState::Arriving);
        }
    }
    for (const auto &[id, order] : m_open) {
        const auto it = states.find(order.resident);
        if (freesMemory(order.kind) && it != states.end()) {
            it->second = ResidentState::Leaving;
        }
    }
    return states;
}

bool MemoryLedger::isSafe(const Resident &resident) const
{
    const auto unloads = [&resident](const auto &entry) {
        return freesMemory(entry.second.kind) && entry.second.resident == resident;
    };
    return m_present.contains(resident) && std::none_of(m_open.begin(), m_open.end(), unloads);
}

const std::map<std::string, Order> &MemoryLedger::openOrders() const
{
    return m_open;
}

} // namespace turmericplank::placement
