#include <algorithm>

#include "turmericplank/placement/controller.hpp"

namespace turmericplank::placement {

void Controller::advanceEndpoints(base::Time now, Actions &actions)
{
    for (auto &[id, endpoint] : m_endpoints) {
        if (!m_live.contains(id) || !m_document->endpoints.contains(id)) {
            endpoint.isTrusted = false;
            endpoint.isInventoryDue = true;
        }
    }
    for (const auto &[id, configured] : m_document->endpoints) {
        auto &endpoint = m_endpoints[id];
        endpoint.ledger.setCapacity(configured.memoryMib);
        if (m_live.contains(id) && configured.checksFencing) {
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
    if (!isAllowed || endpoint.isTermAccepted || endpoint.isTermUnderWay || !endpoint.incarnation || now < endpoint.nextTerm) {
        return;
    }
    Order order;
    order.id = std::to_string(m_tenure.value()) + "-term";
    order.term = m_tenure;
    order.kind = OrderKind::SetTerm;
    order.endpoint = id;
    order.holder = m_options.self;
    endpoint.isTermUnderWay = true;
    endpoint.termSentTo = endpoint.incarnation;
    m_underWay.emplace(id, order.id);
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
        if (record.isSettled || record.isUnderWay || now < record.nextAttempt || it == m_endpoints.end() || !maySend(now, record, it->second)) {
            continue;
        }
        record.isUnderWay = true;
        record.sentTo = it->second.incarnation;
        record.lastAttempt = ++m_events;
        m_underWay.emplace(record.order.endpoint, id);
        actions.emplace_back(SendOrder{record.order});
    }
}

Actions Controller::orderAnswered(base::Time now, const Order &order, OrderAnswer answer)
{
    m_underWay.erase({order.endpoint, order.id});
    if (order.kind == OrderKind::SetTerm) {
        takeTermAnswer(now, order, answer);
        return tick(now);
    }
    const auto it = m_records.find(order.id);
    const auto found = m_endpoints.find(order.endpoint);
    if (it != m_records.end() && found != m_endpoints.end() && it->second.order == order) {
        it->second.isUnderWay = false;
        it->second.lastAttempt = ++m_events;
        if (!it->second.isSettled) {
            takeAnswer(now, it->second, found->second, answer);
        }
    }
    return tick(now);
}

void Controller::takeTermAnswer(base::Time now, const Order &order, OrderAnswer answer)
{
    const auto it = m_endpoints.find(order.endpoint);
    if (it == m_endpoints.end() || order.term != m_tenure) {
        return;
    }
    auto &endpoint = it->second;
    endpoint.isTermUnderWay = false;
    endpoint.nextTerm = now + m_options.orderRetryInterval;
    if (answer == OrderAnswer::StaleTerm) {
        m_isSuperseded = true;
    } else if ((answer == OrderAnswer::Done || answer == OrderAnswer::Running) && endpoint.termSentTo == endpoint.incarnation) {
        endpoint.isTermAccepted = true;
        endpoint.isInventoryDue = true;
        ++endpoint.changes;
    }
}

void Controller::takeAnswer(base::Time now, Record &record, Endpoint &endpoint, OrderAnswer answer)
{
    record.nextAttempt = now + m_options.orderRetryInterval;
    if (record.sentTo != endpoint.incarnation && answer != OrderAnswer::NotSent) {
        answer = OrderAnswer::Lost; // another incarnation answered
    }
    switch (answer) {
    case OrderAnswer::Done:
        settle(record, endpoint, true);
        return;
    case OrderAnswer::Failed:
        settle(record, endpoint, false);
        return;
    case OrderAnswer::StaleTerm:
        if (record.order.term == m_tenure) {
            m_isSuperseded = true;
        } else {
            settle(record, endpoint, false);
        }
        return;
    case OrderAnswer::OutOfMemory:
        // A copy of an attempt that was lost may still find the memory free.
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
    ++endpoint.changes;
}

void Controller::fetchInventories(base::Time now, Actions &actions)
{
    if (!holdsLease(now) && !isWithoutTable()) {
        return;
    }
    for (const auto &[id, configured] : m_document->endpoints) {
        auto &endpoint = m_endpoints[id];
        const bool isDue = endpoint.isInventoryDue || now >= endpoint.nextInventory;
        if (!m_live.contains(id) || endpoint.isInventoryUnderWay || !isDue) {
            continue;
        }
        endpoint.isInventoryUnderWay = true;
        endpoint.isInventoryDue = false;
        endpoint.requestedAt = now;
        endpoint.changesAtRequest = endpoint.changes;
        endpoint.eventsAtRequest = m_events;
        actions.emplace_back(FetchInventory{id});
    }
}

Actions Controller::inventoryFetched(base::Time now, const base::EndpointId &id, const std::optional<Inventory> &inventory)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end() || !it->second.isInventoryUnderWay) {
        return tick(now);
    }
    auto &endpoint = it->second;
    endpoint.isInventoryUnderWay = false;
    endpoint.nextInventory = now + m_options.inventoryInterval;
    if (!inventory) {
        endpoint.nextInventory = now + m_options.orderRetryInterval;
        return tick(now);
    }
    if (endpoint.incarnation != inventory->incarnation) {
        takeIncarnation(id, endpoint, *inventory);
    }
    if (endpoint.changes != endpoint.changesAtRequest && m_options.safeguards.discardsStaleInventories) {
        endpoint.isInventoryDue = true;
        return tick(now);
    }
    const auto changes = endpoint.changes;
    const bool wasTrusted = endpoint.isTrusted;
    settleListed(id, endpoint, *inventory);
    endpoint.ledger.confirm(*inventory);
    endpoint.confirmedAt = endpoint.requestedAt;
    endpoint.isInventoryDue = false;
    endpoint.role = inventory->role;
    const bool isTermKnown = !checksFencing(id) || endpoint.isTermAccepted;
    endpoint.isTrusted = isTermKnown && !hasOpenInherited(id) && knowsRunningOrders(*inventory);
    const bool isNews = endpoint.changes != changes || endpoint.isTrusted != wasTrusted || (checksFencing(id) && !endpoint.isTermAccepted);
    return isNews ? tick(now) : Actions();
}

void Controller::takeIncarnation(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory)
{
    const bool isRestart = endpoint.incarnation.has_value();
    endpoint.incarnation = inventory.incarnation;
    endpoint.isTermAccepted = false;
    endpoint.isTrusted = false;
    if (!isRestart) {
        return;
    }
    ++endpoint.changes;
    for (auto &[orderId, record] : m_records) {
        const bool mayArriveAgain = record.isInherited && record.isSettled && !record.isDeleting && mayAnotherSend(record.order);
        if (record.order.endpoint == id && mayArriveAgain && m_options.safeguards.reopensAfterRestart) {
            record.isSettled = false;
            record.settledIn.reset();
            endpoint.ledger.open(record.order);
        }
    }
}

void Controller::settleListed(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory)
{
    for (const auto &[orderId, state] : inventory.orders) {
        const auto it = m_records.find(orderId);
        const bool isEnded = state == OrderAnswer::Done || state == OrderAnswer::Failed;
        if (it == m_records.end() || it->second.order.endpoint != id || it->second.isSettled || !isEnded) {
            continue;
        }
        // An attempt since the request may have reached a later incarnation than the one that this inventory tells of.
        const bool isOvertaken = it->second.isUnderWay || it->second.lastAttempt > endpoint.eventsAtRequest;
        if (!isOvertaken || !m_options.safeguards.settlesByLaterInventories) {
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
