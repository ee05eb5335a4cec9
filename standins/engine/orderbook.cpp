#include "engine/orderbook.hpp"

#include <algorithm>

namespace turmericplank::standins::engine {

std::optional<OrderKind> parseOrderKind(const std::string &text)
{
    static const std::map<std::string, OrderKind> words = {
        {"load", OrderKind::Load},
        {"unload", OrderKind::Unload},
        {"load_adapter", OrderKind::LoadAdapter},
        {"unload_adapter", OrderKind::UnloadAdapter},
        {"set_role", OrderKind::SetRole},
        {"set_term", OrderKind::SetTerm},
    };
    const auto it = words.find(text);
    return it == words.end() ? std::nullopt : std::optional(it->second);
}

OrderBook::OrderBook(std::uint32_t memoryMib, bool checksFencing)
    : m_memoryMib(memoryMib)
    , m_checksFencing(checksFencing)
{
}

tl::expected<OrderReceipt, OrderRefusal> OrderBook::take(const Order &order)
{
    const auto known = m_states.find(order.id);
    if (known != m_states.end()) {
        return OrderReceipt{known->second, false};
    }
    if (m_checksFencing && order.term < m_highestTerm) {
        return tl::unexpected(OrderRefusal::StaleTerm);
    }
    m_highestTerm = std::max(m_highestTerm, order.term);
    if (!fits(order)) {
        ++m_overcommitAttempts;
        return tl::unexpected(OrderRefusal::OutOfMemory);
    }
    const auto state = begin(order);
    m_states.emplace(order.id, state);
    m_orders.emplace(order.id, order);
    return OrderReceipt{state, state == OrderState::Running};
}

bool OrderBook::fits(const Order &order)
{
    const bool isModel = order.kind == OrderKind::Load && m_models.count({order.model, order.version}) == 0;
    const bool isAdapter = order.kind == OrderKind::LoadAdapter && m_adapters.count(order.adapter) == 0;
    return !(isModel || isAdapter) || order.memoryMib <= m_memoryMib - m_usedMib;
}

OrderState OrderBook::begin(const Order &order)
{
    switch (order.kind) {
    case OrderKind::Load:
    case OrderKind::LoadAdapter:
        return beginLoad(order);
    case OrderKind::Unload:
    case OrderKind::UnloadAdapter:
        return beginUnload(order);
    case OrderKind::SetRole:
        m_role = order.role;
        return OrderState::Done;
    case OrderKind::SetTerm:
        return OrderState::Done;
    }
    return OrderState::Failed;
}

OrderState OrderBook::beginLoad(const Order &order)
{
    const bool isModel = order.kind == OrderKind::Load;
    if (!isModel && !serving(order.model)) {
        return OrderState::Failed;
    }
    auto &holding = isModel ? m_models[{order.model, order.version}] : m_adapters[order.adapter];
    if (holding.loadedAs != 0) {
        return holding.stage == Stage::Resident ? OrderState::Done : OrderState::Failed;
    }
    holding = Holding{order.memoryMib, Stage::Loading, ++m_loads, isModel ? std::string() : order.model};
    m_usedMib += order.memoryMib;
    return OrderState::Running;
}

OrderState OrderBook::beginUnload(const Order &order)
{
    Holding *holding = nullptr;
    if (order.kind == OrderKind::Unload) {
        const auto it = m_models.find({order.model, order.version});
        holding = it == m_models.end() ? nullptr : &it->second;
    } else {
        const auto it = m_adapters.find(order.adapter);
        holding = it == m_adapters.end() ? nullptr : &it->second;
    }
    if (holding == nullptr) {
        return OrderState::Done;
    }
    if (holding->stage != Stage::Resident) {
        return OrderState::Failed;
    }
    holding->stage = Stage::Unloading;
    return OrderState::Running;
}

void OrderBook::finish(const std::string &id)
{
    const auto &order = m_orders.at(id);
    m_states[id] = OrderState::Done;
    if (order.kind == OrderKind::Load) {
        m_models.at({order.model, order.version}).stage = Stage::Resident;
    } else if (order.kind == OrderKind::LoadAdapter) {
        m_adapters.at(order.adapter).stage = Stage::Resident;
    } else {
        release(order);
    }
}

void OrderBook::release(const Order &order)
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

std::optional<Resident> OrderBook::serving(const std::string &model) const
{
    std::optional<Resident> found;
    std::uint64_t latest = 0;
    for (auto it = m_models.lower_bound({model, {}}); it != m_models.end() && it->first.model == model; ++it) {
        if (it->second.stage == Stage::Resident && it->second.loadedAs > latest) {
            latest = it->second.loadedAs;
            found = it->first;
        }
    }
    return found;
}

std::optional<Resident> OrderBook::resolve(const std::string &name) const
{
    const auto it = m_adapters.find(name);
    if (it == m_adapters.end()) {
        return serving(name);
    }
    return it->second.stage == Stage::Resident ? serving(it->second.base) : std::nullopt;
}

std::vector<Resident> OrderBook::residents() const
{
    std::vector<Resident> list;
    for (const auto &[resident, holding] : m_models) {
        if (holding.stage == Stage::Resident) {
            list.push_back(resident);
        }
    }
    return list;
}

std::vector<std::string> OrderBook::adapters() const
{
    std::vector<std::string> list;
    for (const auto &[name, holding] : m_adapters) {
        if (holding.stage == Stage::Resident) {
            list.push_back(name);
        }
    }
    return list;
}

const std::map<std::string, OrderState> &OrderBook::orders() const
{
    return m_states;
}

const Order &OrderBook::order(const std::string &id) const
{
    return m_orders.at(id);
}

std::uint32_t OrderBook::usedMib() const
{
    return m_usedMib;
}

base::Term OrderBook::highestTerm() const
{
    return m_highestTerm;
}

std::uint64_t OrderBook::overcommitAttempts() const
{
    return m_overcommitAttempts;
}

const std::string &OrderBook::role() const
{
    return m_role;
}

} // namespace turmericplank::standins::engine
