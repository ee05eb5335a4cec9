#include "engine/orderregistry.hpp"

#include <algorithm>

namespace turmericplank::standins::engine {

std::optional<OrderKind> parseOrderKind(const std::string &text)
{
    static const std::map<std::string, OrderKind> kinds = {
        {"load", OrderKind::Load},
        {"unload", OrderKind::Unload},
        {"load_adapter", OrderKind::LoadAdapter},
        {"unload_adapter", OrderKind::UnloadAdapter},
        {"set_role", OrderKind::SetRole},
        {"set_term", OrderKind::SetTerm},
    };
    const auto it = kinds.find(text);
    return it == kinds.end() ? std::nullopt : std::optional(it->second);
}

OrderRegistry::OrderRegistry(std::uint32_t memoryMib, bool checksFencing)
    : m_memoryMib(memoryMib)
    , m_checksFencing(checksFencing)
{
}

tl::expected<OrderReceipt, OrderRejection> OrderRegistry::accept(const Order &order)
{
    const auto previous = m_states.find(order.id);
    if (previous != m_states.end()) {
        return OrderReceipt{previous->second, false};
    }
    if (m_checksFencing && order.term < m_highestTerm) {
        return tl::unexpected(OrderRejection::StaleTerm);
    }
    m_highestTerm = std::max(m_highestTerm, order.term);
    if (!fits(order)) {
        ++m_overcommitAttempts;
        return tl::unexpected(OrderRejection::OutOfMemory);
    }
    const auto state = start(order);
    m_states.emplace(order.id, state);
    m_orders.emplace(order.id, order);
    return OrderReceipt{state, state == OrderState::Running};
}

bool OrderRegistry::fits(const Order &order)
{
    const bool isModel = order.kind == OrderKind::Load && m_models.count({order.model, order.version}) == 0;
    const bool isAdapter = order.kind == OrderKind::LoadAdapter && m_adapters.count(order.adapter) == 0;
    return !(isModel || isAdapter) || order.memoryMib <= m_memoryMib - m_usedMib;
}

OrderState OrderRegistry::start(const Order &order)
{
    switch (order.kind) {
    case OrderKind::Load:
    case OrderKind::LoadAdapter:
        return startLoad(order);
    case OrderKind::Unload:
    case OrderKind::UnloadAdapter:
        return startUnload(order);
    case OrderKind::SetRole:
        m_role = order.role;
        return OrderState::Done;
    case OrderKind::SetTerm:
        return OrderState::Done;
    }
    return OrderState::Failed;
}

OrderState OrderRegistry::startLoad(const Order &order)
{
    const bool isModel = order.kind == OrderKind::Load;
    if (!isModel && !servingVersion(order.model)) {
        return OrderState::Failed;
    }
    auto &allocation = isModel ? m_models[{order.model, order.version}] : m_adapters[order.adapter];
    if (allocation.loadNumber != 0) {
        return allocation.stage == Stage::Resident ? OrderState::Done : OrderState::Failed;
    }
    allocation = Allocation{order.memoryMib, Stage::Loading, ++m_loadCount, isModel ? std::string() : order.model};
    m_usedMib += order.memoryMib;
    return OrderState::Running;
}

OrderState OrderRegistry::startUnload(const Order &order)
{
    Allocation *allocation = nullptr;
    if (order.kind == OrderKind::Unload) {
        const auto it = m_models.find({order.model, order.version});
        allocation = it == m_models.end() ? nullptr : &it->second;
    } else {
        const auto it = m_adapters.find(order.adapter);
        allocation = it == m_adapters.end() ? nullptr : &it->second;
    }
    if (allocation == nullptr) {
        return OrderState::Done;
    }
    if (allocation->stage != Stage::Resident) {
        return OrderState::Failed;
    }
    allocation->stage = Stage::Unloading;
    return OrderState::Running;
}

void OrderRegistry::finish(const std::string &id)
{
    const auto &order = m_orders.at(id);
    m_states[id] = OrderState::Done;
    if (order.kind == OrderKind::Load) {
        m_models.at({order.model, order.version}).stage = Stage::Resident;
    } else if (order.kind == OrderKind::LoadAdapter) {
        m_adapters.at(order.adapter).stage = Stage::Resident;
    } else {
        freeMemory(order);
    }
}

void OrderRegistry::freeMemory(const Order &order)
{
    if (order.kind == OrderKind::UnloadAdapter) {
        m_usedMib -= m_adapters.at(order.adapter).memoryMib;
        m_adapters.erase(order.adapter);
        return;
    }
    const auto it = m_models.find({order.model, order.version});
    m_usedMib -= it->second.memoryMib;
    m_models.erase(it);
}

std::optional<Resident> OrderRegistry::servingVersion(const std::string &model) const
{
    std::optional<Resident> found;
    std::uint64_t latest = 0;
    for (auto it = m_models.lower_bound({model, {}}); it != m_models.end() && it->first.model == model; ++it) {
        if (it->second.stage == Stage::Resident && it->second.loadNumber > latest) {
            latest = it->second.loadNumber;
            found = it->first;
        }
    }
    return found;
}

std::optional<Resident> OrderRegistry::resolve(const std::string &name) const
{
    const auto it = m_adapters.find(name);
    if (it == m_adapters.end()) {
        return servingVersion(name);
    }
    return it->second.stage == Stage::Resident ? servingVersion(it->second.baseModel) : std::nullopt;
}

std::vector<Resident> OrderRegistry::residents() const
{
    std::vector<Resident> list;
    for (const auto &[resident, allocation] : m_models) {
        if (allocation.stage == Stage::Resident) {
            list.push_back(resident);
        }
    }
    return list;
}

std::vector<std::string> OrderRegistry::adapters() const
{
    std::vector<std::string> list;
    for (const auto &[name, allocation] : m_adapters) {
        if (allocation.stage == Stage::Resident) {
            list.push_back(name);
        }
    }
    return list;
}

const std::map<std::string, OrderState> &OrderRegistry::orders() const
{
    return m_states;
}

const Order &OrderRegistry::order(const std::string &id) const
{
    return m_orders.at(id);
}

std::uint32_t OrderRegistry::usedMib() const
{
    return m_usedMib;
}

base::Term OrderRegistry::highestTerm() const
{
    return m_highestTerm;
}

std::uint64_t OrderRegistry::overcommitAttempts() const
{
    return m_overcommitAttempts;
}

const std::string &OrderRegistry::role() const
{
    return m_role;
}

} // namespace turmericplank::standins::engine
