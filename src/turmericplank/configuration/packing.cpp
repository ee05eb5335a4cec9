#include "packing.hpp"

#include <algorithm>

namespace turmericplank::configuration {

Packing::Packing(const std::map<base::EndpointId, Endpoint> &endpoints)
{
    for (const auto &[id, endpoint] : endpoints) {
        m_endpoints.push_back({.freeMib = endpoint.memoryMib});
    }
}

std::uint32_t Packing::place(const ReplicaDemand &demand)
{
    std::vector<EndpointMemory *> candidates;
    for (auto &it : m_endpoints) {
        if (it.freeMib >= demand.memoryMib && !it.models.contains(demand.model)) {
            candidates.push_back(&it);
        }
    }
    const auto count = std::min<std::size_t>(candidates.size(), demand.replicas);
    const auto placedEnd = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(candidates.begin(), placedEnd, candidates.end(),
                      [](const EndpointMemory *a, const EndpointMemory *b) { return a->freeMib > b->freeMib; });
    for (auto it = candidates.begin(); it != placedEnd; ++it) {
        (*it)->freeMib -= demand.memoryMib;
        (*it)->models.insert(demand.model);
    }
    return static_cast<std::uint32_t>(count);
}

bool Packing::placeAdapter(const Adapter &adapter)
{
    EndpointMemory *best = nullptr;
    for (auto &it : m_endpoints) {
        const auto fits = it.freeMib >= adapter.memoryMib && it.models.contains(adapter.model);
        if (fits && (best == nullptr || it.freeMib > best->freeMib)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return false;
    }
    best->freeMib -= adapter.memoryMib;
    return true;
}

std::uint32_t Packing::largestFreeMib() const
{
    std::uint32_t largest = 0;
    for (const auto &it : m_endpoints) {
        largest = std::max(largest, it.freeMib);
    }
    return largest;
}

} // namespace turmericplank::configuration
