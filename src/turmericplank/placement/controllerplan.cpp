#include <algorithm>

#include "turmericplank/placement/controller.hpp"

namespace turmericplank::placement {

namespace {

/// A load without a row in the table may take at most an endpoint's memory divided by this, that is one quarter.
constexpr std::uint32_t UnrecordedLoadDivisor = 4;

} // namespace

std::vector<EngineSnapshot> Controller::engineSnapshots(base::Time now) const
{
    std::vector<EngineSnapshot> views;
    for (const auto &[id, configured] : m_document->endpoints) {
        const auto it = m_endpoints.find(id);
        if (it == m_endpoints.end() || !m_liveEndpoints.contains(id)) {
            continue;
        }
        const auto &endpoint = it->second;
        EngineSnapshot view;
        view.id = id;
        view.zone = configured.zone;
        view.capacityMib = configured.memoryMib;
        view.committedMib = static_cast<std::uint32_t>(endpoint.ledger.committedMemory());
        view.concurrency = configured.concurrency;
        view.role = endpoint.role;
        view.acceptsOrders = acceptsOrders(now, id, endpoint);
        if (isWithoutTable()) {
            view.maxLoadMib = configured.checksFencing ? configured.memoryMib / UnrecordedLoadDivisor : 0;
        }
        view.residents = endpoint.ledger.residents();
        views.push_back(std::move(view));
    }
    return views;
}

bool Controller::acceptsOrders(base::Time now, const base::EndpointId &id, const Endpoint &endpoint) const
{
    const bool isKnown = endpoint.isStateKnown && !endpoint.isInventoryDue && !endpoint.isInventoryInFlight && m_rows.unreadable == 0;
    if (!isKnown) {
        return false;
    }
    if (isWithoutTable()) {
        // Without the table, a holder may have at most one open order on an endpoint that other holders cannot see.
        return checksFencing(id) && endpoint.isTermAccepted && endpoint.ledger.openOrders().empty();
    }
    return holdsLease(now) && (m_lease.isIdle() || !m_options.safeguards.recordsBeforeSending);
}

std::uint32_t Controller::countOpenLoads(OrderKind kind) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_records.begin(), m_records.end(), [kind](const auto &entry) { return !entry.second.isSettled && entry.second.order.kind == kind; }));
}

void Controller::planMoves(base::Time now, Actions &actions)
{
    const bool mayRecord = m_lease.isIdle() || isWithoutTable() || !m_options.safeguards.recordsBeforeSending;
    if (now < m_nextPlan || !mayRecord || !m_options.plan || (!holdsLease(now) && !isWithoutTable())) {
        return;
    }
    m_nextPlan = now + m_options.planInterval;
    const auto &policy = m_document->placement;
    const auto openModelLoads = countOpenLoads(OrderKind::Load);
    const auto openAdapterLoads = countOpenLoads(OrderKind::LoadAdapter);
    PlanInput input;
    input.document = m_document;
    input.endpoints = engineSnapshots(now);
    input.demand = m_options.demand ? m_options.demand() : Demand();
    input.loadsAllowed = std::min(m_weightLoads.available(now), policy.weightLoadsAtFullSpeed - std::min(openModelLoads, policy.weightLoadsAtFullSpeed));
    input.adapterLoadsAllowed = policy.adapterLoadsInFlight - std::min(openAdapterLoads, policy.adapterLoadsInFlight);
    for (const auto &move : m_options.plan(input)) {
        if (move.kind == OrderKind::Load && input.loadsAllowed == 0) {
            continue;
        }
        if (move.kind == OrderKind::LoadAdapter && input.adapterLoadsAllowed == 0) {
            continue;
        }
        if (!openOrder(now, move, actions)) {
            continue;
        }
        input.loadsAllowed -= move.kind == OrderKind::Load ? 1 : 0;
        input.adapterLoadsAllowed -= move.kind == OrderKind::LoadAdapter ? 1 : 0;
    }
    recordOpenOrders();
}

bool Controller::openOrder(base::Time now, const Move &move, Actions &actions)
{
    const auto it = m_endpoints.find(move.endpoint);
    if (it == m_endpoints.end() || !m_liveEndpoints.contains(move.endpoint) || !acceptsOrders(now, move.endpoint, it->second)) {
        return false;
    }
    auto &endpoint = it->second;
    if ((takesMemory(move.kind) && !isLoadSafe(move, endpoint)) || (freesMemory(move.kind) && !isUnloadSafe(now, move, endpoint))) {
        return false;
    }
    Record record;
    record.order.id = std::to_string(m_heldTerm.value()) + '-' + std::to_string(++m_sequence);
    record.order.term = m_heldTerm;
    record.order.kind = move.kind;
    record.order.endpoint = move.endpoint;
    record.order.holder = m_options.self;
    record.order.resident = move.resident;
    record.order.role = move.role;
    record.order.memoryMib = takesMemory(move.kind) ? configuredMemory(move.resident) : move.memoryMib;
    record.reason = move.reason;
    record.gain = move.gain;
    record.isUnrecorded = isWithoutTable();
    if (move.kind == OrderKind::Load) {
        m_weightLoads.take(now);
    }
    endpoint.ledger.addOrder(record.order);
    ++endpoint.changeCount;
    actions.emplace_back(LogDecision{record.order, move.reason, move.gain});
    m_records.emplace(record.order.id, record);
    return true;
}

void Controller::recordOpenOrders()
{
    if (isWithoutTable() || !m_options.safeguards.recordsBeforeSending) {
        return;
    }
    std::vector<store::RowWrite> rows;
    for (auto &[id, record] : m_records) {
        if (!record.isWritten && !record.isSettled) {
            record.isUnrecorded = false;
            rows.push_back({m_keys.order(id), std::nullopt, encode(record.order)});
        }
    }
    if (!rows.empty()) {
        m_lease.attach(std::move(rows));
    }
}

std::uint32_t Controller::configuredMemory(const Resident &resident) const
{
    if (!resident.adapter.isEmpty()) {
        const auto it = m_document->adapters.find(resident.adapter);
        return it == m_document->adapters.end() ? 0 : it->second.memoryMib;
    }
    const auto it = m_document->models.find(resident.model);
    return it == m_document->models.end() ? 0 : it->second.memoryMib;
}

std::uint64_t Controller::memoryAfterRestart(const base::EndpointId &id, const Endpoint &endpoint) const
{
    std::uint64_t memory = 0;
    for (const auto &[orderId, record] : m_records) {
        if (record.order.endpoint == id && takesMemory(record.order.kind)) {
            memory += record.order.memoryMib;
        }
    }
    if (!checksFencing(id)) {
        return memory;
    }
    // An earlier holder that sent orders while the table was down may have one load in flight that is not in the table.
    const std::uint64_t unrecorded = endpoint.ledger.capacity() / UnrecordedLoadDivisor;
    return std::max(memory, endpoint.ledger.committedLoadMemory()) + unrecorded * unacknowledgedHolders();
}

bool Controller::isLoadSafe(const Move &move, const Endpoint &endpoint) const
{
    const auto memoryMib = configuredMemory(move.resident);
    const auto model = m_document->models.find(move.resident.model);
    const bool isConfigured =
        model != m_document->models.end() && memoryMib > 0 && (!move.resident.adapter.isEmpty() || model->second.version == move.resident.version);
    if (!isConfigured || endpoint.ledger.residents().contains(move.resident)) {
        return false;
    }
    if (isWithoutTable() && memoryMib > endpoint.ledger.capacity() / UnrecordedLoadDivisor) {
        return false;
    }
    if (!move.resident.adapter.isEmpty()) {
        const auto residents = endpoint.ledger.residents();
        const bool hasBase = std::any_of(residents.begin(), residents.end(), [&](const auto &entry) {
            return entry.first.adapter.isEmpty() && entry.first.model == move.resident.model && endpoint.ledger.isStable(entry.first);
        });
        if (!hasBase) {
            return false;
        }
    }
    const auto ignored = m_options.safeguards.countsOpenLoads ? 0 : endpoint.ledger.committedLoadMemory();
    if (endpoint.ledger.committedMemory() - ignored + memoryMib > endpoint.ledger.capacity()) {
        return false;
    }
    return !m_options.safeguards.reservesForRestart || memoryAfterRestart(move.endpoint, endpoint) + memoryMib <= endpoint.ledger.capacity();
}

bool Controller::hasOtherReplica(base::Time now, const Resident &resident, const base::EndpointId &except) const
{
    auto configured = resident;
    if (resident.adapter.isEmpty()) {
        configured.version = m_document->models.at(resident.model).version;
    }
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &entry) {
        const auto &[id, endpoint] = entry;
        if (id == except) {
            return configured != resident && endpoint.ledger.isStable(configured);
        }
        // After this process was suspended, the ledgers are out of date.
        const bool isFresh = now <= endpoint.confirmedAt + m_options.maxInventoryAge;
        const bool isServing = m_liveEndpoints.contains(id) && m_document->endpoints.contains(id) && endpoint.isStateKnown && isFresh;
        return isServing && (endpoint.ledger.isStable(resident) || endpoint.ledger.isStable(configured));
    });
}

bool Controller::isUnloadSafe(base::Time now, const Move &move, const Endpoint &endpoint) const
{
    if (!endpoint.ledger.isStable(move.resident)) {
        return false;
    }
    const bool isModel = move.resident.adapter.isEmpty();
    if (isModel) {
        const auto residents = endpoint.ledger.residents();
        const auto versions = std::count_if(residents.begin(), residents.end(), [&](const auto &entry) {
            return entry.first.adapter.isEmpty() && entry.first.model == move.resident.model && endpoint.ledger.isStable(entry.first);
        });
        const bool hasAdapters = std::any_of(residents.begin(), residents.end(),
                                             [&](const auto &entry) { return !entry.first.adapter.isEmpty() && entry.first.model == move.resident.model; });
        if (hasAdapters && versions < 2) {
            return false;
        }
    }
    const bool isConfigured = isModel ? m_document->models.contains(move.resident.model) : m_document->adapters.contains(move.resident.adapter);
    if (!isConfigured || !m_options.safeguards.keepsLastReplica) {
        return true;
    }
    return hasOtherReplica(now, move.resident, move.endpoint);
}

} // namespace turmericplank::placement
