#include <algorithm>

#include "turmericplank/placement/controller.hpp"

namespace turmericplank::placement {

void Controller::updateEndpoints(base::Time now, Actions &actions)
{
    for (auto &[id, endpoint] : m_endpoints) {
        if (!m_liveEndpoints.contains(id) || !m_document->endpoints.contains(id)) {
            endpoint.isStateKnown = false;
            endpoint.isInventoryDue = true;
        }
    }
    for (const auto &[id, configured] : m_document->endpoints) {
        auto &endpoint = m_endpoints[id];
        endpoint.ledger.setCapacity(configured.memoryMib);
        if (m_liveEndpoints.contains(id) && configured.checksFencing) {
            sendTerm(now, id, endpoint, actions);
        }
    }
    fetchInventories(now, actions);
}

void Controller::sendTerm(base::Time now, const base::EndpointId &id, Endpoint &endpoint, Actions &actions)
{
    if (!m_options.safeguards.sendsTermFirst) {
        endpoint.isTermAccepted = true;
        return;
    }
    const bool isAllowed = holdsLease(now) || isWithoutTable();
    if (!isAllowed || endpoint.isTermAccepted || endpoint.isTermInFlight || !endpoint.incarnation || now < endpoint.nextTerm) {
        return;
    }
    Order order;
    order.id = std::to_string(m_heldTerm.value()) + "-term";
    order.term = m_heldTerm;
    order.kind = OrderKind::SetTerm;
    order.endpoint = id;
    order.holder = m_options.self;
    endpoint.isTermInFlight = true;
    endpoint.termSentTo = endpoint.incarnation;
    m_inFlight.emplace(id, order.id);
    actions.emplace_back(SendOrder{std::move(order)});
}

bool Controller::maySend(base::Time now, const Record &record, const Endpoint &endpoint) const
{
    const bool isFenced = checksFencing(record.order.endpoint) && endpoint.isTermAccepted;
    if (record.isInherited && checksFencing(record.order.endpoint) && !endpoint.isTermAccepted) {
        return false;
    }
    if (isWithoutTable() && isFenced) {
        return true;
    }
    const bool isRecorded = record.isWritten || !m_options.safeguards.recordsBeforeSending;
    return isRecorded && holdsLease(now);
}

void Controller::sendOrders(base::Time now, Actions &actions)
{
    for (auto &[id, record] : m_records) {
        const auto it = m_endpoints.find(record.order.endpoint);
        if (record.isSettled || record.isInFlight || now < record.nextAttempt || it == m_endpoints.end() || !maySend(now, record, it->second)) {
            continue;
        }
        record.isInFlight = true;
        record.sentTo = it->second.incarnation;
        record.lastAttempt = ++m_eventCount;
        m_inFlight.emplace(record.order.endpoint, id);
        actions.emplace_back(SendOrder{record.order});
    }
}

Actions Controller::orderAnswered(base::Time now, const Order &order, OrderAnswer answer)
{
    m_inFlight.erase({order.endpoint, order.id});
    if (order.kind == OrderKind::SetTerm) {
        handleTermAnswer(now, order, answer);
        return tick(now);
    }
    const auto it = m_records.find(order.id);
    const auto found = m_endpoints.find(order.endpoint);
    if (it != m_records.end() && found != m_endpoints.end() && it->second.order == order) {
        it->second.isInFlight = false;
        it->second.lastAttempt = ++m_eventCount;
        if (!it->second.isSettled) {
            handleAnswer(now, it->second, found->second, answer);
        }
    }
    return tick(now);
}

void Controller::handleTermAnswer(base::Time now, const Order &order, OrderAnswer answer)
{
    const auto it = m_endpoints.find(order.endpoint);
    if (it == m_endpoints.end() || order.term != m_heldTerm) {
        return;
    }
    auto &endpoint = it->second;
    endpoint.isTermInFlight = false;
    endpoint.nextTerm = now + m_options.orderRetryInterval;
    if (answer == OrderAnswer::StaleTerm) {
        m_isSuperseded = true;
    } else if ((answer == OrderAnswer::Done || answer == OrderAnswer::Running) && endpoint.termSentTo == endpoint.incarnation) {
        endpoint.isTermAccepted = true;
        endpoint.isInventoryDue = true;
        ++endpoint.changeCount;
    }
}

void Controller::handleAnswer(base::Time now, Record &record, Endpoint &endpoint, OrderAnswer answer)
{
    record.nextAttempt = now + m_options.orderRetryInterval;
    if (record.sentTo != endpoint.incarnation && answer != OrderAnswer::NotSent) {
        answer = OrderAnswer::Lost; // the answer came from another incarnation
    }
    switch (answer) {
    case OrderAnswer::Done:
        settle(record, endpoint, true);
        return;
    case OrderAnswer::Failed:
        settle(record, endpoint, false);
        return;
    case OrderAnswer::StaleTerm:
        if (record.order.term == m_heldTerm) {
            m_isSuperseded = true;
        } else {
            settle(record, endpoint, false);
        }
        return;
    case OrderAnswer::OutOfMemory:
        // An earlier attempt whose answer was lost may still arrive and find the memory free.
        if (!record.hasLostAttempt && !record.isInherited) {
            settle(record, endpoint, false);
        }
        return;
    case OrderAnswer::Lost:
        record.hasLostAttempt = true;
        if (!m_options.safeguards.repeatsOpenOrders) {
            settle(record, endpoint, false);
        }
        return;
    case OrderAnswer::Running:
    case OrderAnswer::NotSent:
        return;
    }
}

void Controller::settle(Record &record, Endpoint &endpoint, bool isDone)
{
    endpoint.ledger.settle(record.order.id, isDone);
    record.isSettled = true;
    record.settledIn = endpoint.incarnation;
    endpoint.isInventoryDue = true;
    ++endpoint.changeCount;
}

void Controller::fetchInventories(base::Time now, Actions &actions)
{
    if (!holdsLease(now) && !isWithoutTable()) {
        return;
    }
    for (const auto &[id, configured] : m_document->endpoints) {
        auto &endpoint = m_endpoints[id];
        const bool isDue = endpoint.isInventoryDue || now >= endpoint.nextInventory;
        if (!m_liveEndpoints.contains(id) || endpoint.isInventoryInFlight || !isDue) {
            continue;
        }
        endpoint.isInventoryInFlight = true;
        endpoint.isInventoryDue = false;
        endpoint.inventoryRequestedAt = now;
        endpoint.changeCountAtRequest = endpoint.changeCount;
        endpoint.eventCountAtRequest = m_eventCount;
        actions.emplace_back(FetchInventory{id});
    }
}

Actions Controller::inventoryFetched(base::Time now, const base::EndpointId &id, const std::optional<Inventory> &inventory)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || !it->second.isInventoryInFlight) {
        return tick(now);
    }
    auto &endpoint = it->second;
    endpoint.isInventoryInFlight = false;
    endpoint.nextInventory = now + m_options.inventoryInterval;
    if (!inventory) {
        endpoint.nextInventory = now + m_options.orderRetryInterval;
        return tick(now);
    }
    if (endpoint.incarnation != inventory->incarnation) {
        handleIncarnation(id, endpoint, *inventory);
    }
    if (endpoint.changeCount != endpoint.changeCountAtRequest && m_options.safeguards.discardsStaleInventories) {
        endpoint.isInventoryDue = true;
        return tick(now);
    }
    const auto changeCount = endpoint.changeCount;
    const bool wasTrusted = endpoint.isStateKnown;
    settleReportedOrders(id, endpoint, *inventory);
    endpoint.ledger.applyInventory(*inventory);
    endpoint.confirmedAt = endpoint.inventoryRequestedAt;
    endpoint.isInventoryDue = false;
    endpoint.role = inventory->role;
    const bool isTermKnown = !checksFencing(id) || endpoint.isTermAccepted;
    endpoint.isStateKnown = isTermKnown && !hasOpenInherited(id) && knowsRunningOrders(*inventory);
    const bool hasChanged = endpoint.changeCount != changeCount || endpoint.isStateKnown != wasTrusted || (checksFencing(id) && !endpoint.isTermAccepted);
    return hasChanged ? tick(now) : Actions();
}

void Controller::handleIncarnation(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory)
{
    const bool isRestart = endpoint.incarnation.has_value();
    endpoint.incarnation = inventory.incarnation;
    endpoint.isTermAccepted = false;
    endpoint.isStateKnown = false;
    if (!isRestart) {
        return;
    }
    ++endpoint.changeCount;
    for (auto &[orderId, record] : m_records) {
        const bool mayArriveAgain = record.isInherited && record.isSettled && !record.isDeleting && mayBeSentByOther(record.order);
        if (record.order.endpoint == id && mayArriveAgain && m_options.safeguards.reopensAfterRestart) {
            record.isSettled = false;
            record.settledIn.reset();
            endpoint.ledger.addOrder(record.order);
        }
    }
}

void Controller::settleReportedOrders(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory)
{
    for (const auto &[orderId, state] : inventory.orders) {
        const auto it = m_records.find(orderId);
        const bool isEnded = state == OrderAnswer::Done || state == OrderAnswer::Failed;
        if (it == m_records.end() || it->second.order.endpoint != id || it->second.isSettled || !isEnded) {
            continue;
        }
        // An attempt made since the request may have reached a later incarnation than the one in this inventory.
        const bool hasLaterAttempt = it->second.isInFlight || it->second.lastAttempt > endpoint.eventCountAtRequest;
        if (!hasLaterAttempt || !m_options.safeguards.settlesByLaterInventories) {
            settle(it->second, endpoint, state == OrderAnswer::Done);
        }
    }
}

bool Controller::hasOpenInherited(const base::EndpointId &id) const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [&id](const auto &entry) { return entry.second.isInherited && !entry.second.isSettled && entry.second.order.endpoint == id; });
}

bool Controller::knowsRunningOrders(const Inventory &inventory) const
{
    return std::all_of(inventory.orders.begin(), inventory.orders.end(),
                       [this](const auto &entry) { return entry.second != OrderAnswer::Running || m_records.contains(entry.first); });
}

} // namespace turmericplank::placement
