#include "memorypacking.hpp"

#include <algorithm>

namespace turmericplank::configuration {

Packing::Packing(const std::map<base::EndpointId, Endpoint> &endpoints)
{
    for (const auto &[id, endpoint] : endpoints) {
        m_rooms.push_back({.leftMib = endpoint.memoryMib});
    }
}

std::uint32_t Packing::place(const Demand &demand)
{
    std::vector<Room *> rooms;
    for (auto &it : m_rooms) {
        if (it.leftMib >= demand.memoryMib && !it.models.contains(demand.model)) {
            rooms.push_back(&it);
        }
    }
    const auto count = std::min<std::size_t>(rooms.size(), demand.replicas);
    const auto middle = rooms.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(rooms.begin(), middle, rooms.end(), [](const Room *a, const Room *b) { return a->leftMib > b->leftMib; });
    for (auto it = rooms.begin(); it != middle; ++it) {
        (*it)->leftMib -= demand.memoryMib;
        (*it)->models.insert(demand.model);
    }
    return static_cast<std::uint32_t>(count);
}

bool Packing::placeAdapter(const Adapter &adapter)
{
    Room *best = nullptr;
    for (auto &it : m_rooms) {
        const auto fits = it.leftMib >= adapter.memoryMib && it.models.contains(adapter.model);
        if (fits && (best == nullptr || it.leftMib > best->leftMib)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return false;
    }
    best->leftMib -= adapter.memoryMib;
    return true;
}

std::uint32_t Packing::largestGap() const
{
    std::uint32_t largest = 0;
    for (const auto &it : m_rooms) {
        largest = std::max(largest, it.leftMib);
    }
    return largest;
}

} // namespace turmericplank::configuration
