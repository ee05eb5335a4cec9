#include "turmericplank/placement/controller.hpp"

#include <algorithm>

namespace turmericplank::placement {

namespace {

LeaseOptions leaseOptions(const ControllerOptions &options, const CellKeys &keys)
{
    LeaseOptions lease;
    lease.self = options.self;
    lease.key = keys.lease();
    lease.duration = options.leaseDuration;
    lease.safetyMargin = options.safeguards.stopsBeforeExpiry ? options.leaseSafetyMargin : -10 * options.leaseDuration;
    lease.usesConditionalWrites = options.safeguards.writesUnderLease;
    lease.renewInterval = options.renewInterval;
    lease.retryInterval = options.tableRetryInterval;
    lease.rowsOnAcquire = [keys, self = options.self](base::Term term) {
        return std::vector<store::RowWrite>{{keys.holder(self), std::nullopt, encode(HolderRow{term, base::Term()})}};
    };
    return lease;
}

} // namespace

Controller::Controller(ControllerOptions options)
    : m_options(std::move(options))
    , m_keys{m_options.cell}
    , m_lease(leaseOptions(m_options, m_keys))
    , m_document(std::make_shared<const configuration::Document>())
{
}

Actions Controller::tick(base::Time now)
{
    Actions actions;
    syncWithLease(now);
    handleAcknowledgements(now, actions);
    if (m_heldTerm != base::Term()) {
        const bool isIdle = m_lease.isIdle();
        updateEndpoints(now, actions);
        sendOrders(now, actions);
        planMoves(now, actions);
        if (isIdle && !m_lease.isTableDown()) {
            deleteSettledOrders();
        }
    }
    const auto step = m_lease.tick(now);
    if (step == LeaseAction::Read) {
        actions.emplace_back(ReadRows{m_keys.prefix(), ReadPurpose::Lease});
    } else if (step == LeaseAction::Write) {
        actions.emplace_back(WriteRows{m_lease.pendingWrites()});
    }
    return actions;
}

Actions Controller::rowsRead(base::Time now, ReadPurpose purpose, const store::ReadResult &result)
{
    if (purpose == ReadPurpose::Acknowledgements) {
        m_isReadingAcknowledgements = false;
        if (result) {
            auto rows = readCellRows(m_keys, *result);
            m_rows.holders = std::move(rows.holders);
            m_rows.holderVersions = std::move(rows.holderVersions);
        }
        return tick(now);
    }
    m_lease.rowsRead(now, result);
    if (result && m_heldTerm == base::Term()) {
        // Every write of an order changes the lease row. If the lease is acquired on this version of the row, these are all orders.
        m_rows = readCellRows(m_keys, *result);
    }
    return tick(now);
}

Actions Controller::rowsWritten(base::Time now, const store::WriteResult &result)
{
    m_lease.rowsWritten(now, result);
    return tick(now);
}

void Controller::setDocument(std::shared_ptr<const configuration::Document> document)
{
    m_document = std::move(document);
    m_weightLoads.setRate(m_document->placement.weightLoadsPerSecond);
}

void Controller::setLiveEndpoints(std::set<base::EndpointId> live)
{
    m_liveEndpoints = std::move(live);
}

void Controller::daemonGone(const base::DaemonId &daemon)
{
    m_goneDaemons.insert(daemon);
}

void Controller::daemonListed(const base::DaemonId &daemon)
{
    m_goneDaemons.erase(daemon);
}

void Controller::endpointGone(const base::EndpointId &endpoint)
{
    const auto it = m_endpoints.find(endpoint);
    if (it == m_endpoints.end()) {
        return;
    }
    for (auto &[id, record] : m_records) {
        if (record.order.endpoint == endpoint && !record.isSettled) {
            settle(record, it->second, false);
        }
    }
    it->second = Endpoint{};
}

bool Controller::holdsLease(base::Time now) const
{
    return m_heldTerm != base::Term() && m_lease.isHeld(now) && !m_isSuperseded;
}

bool Controller::isWithoutTable() const
{
    return m_heldTerm != base::Term() && m_lease.isUncontested() && m_lease.isTableDown() && !m_isSuperseded;
}

const Lease &Controller::lease() const
{
    return m_lease;
}

std::vector<Order> Controller::openOrders() const
{
    std::vector<Order> orders;
    for (const auto &[id, record] : m_records) {
        if (!record.isSettled) {
            orders.push_back(record.order);
        }
    }
    return orders;
}

void Controller::syncWithLease(base::Time now)
{
    if (m_lease.term() != m_heldTerm) {
        endTerm();
        m_heldTerm = m_lease.term();
        if (m_heldTerm != base::Term()) {
            beginTerm(now);
        }
    }
    if (m_heldTerm != base::Term() && m_lease.isIdle()) {
        markWritten();
    }
}

void Controller::beginTerm(base::Time now)
{
    m_nextPlan = now;
    m_nextAcknowledgementRead = now + m_options.acknowledgementInterval;
    if (!m_options.safeguards.settlesInheritedOrders) {
        return;
    }
    for (const auto &order : m_rows.orders) {
        Record record;
        record.order = order;
        record.isWritten = true;
        record.isInherited = true;
        m_endpoints[order.endpoint].ledger.addOrder(order);
        m_records.emplace(order.id, record);
    }
}

void Controller::endTerm()
{
    m_records.clear();
    m_endpoints.clear();
    m_sequence = 0;
    m_isSuperseded = false;
    m_isReadingAcknowledgements = false;
}

void Controller::markWritten()
{
    std::erase_if(m_records, [](const auto &entry) { return entry.second.isDeleting; });
    for (auto &[id, record] : m_records) {
        record.isWritten = record.isWritten || !record.isUnrecorded;
    }
}

void Controller::handleAcknowledgements(base::Time now, Actions &actions)
{
    if (m_heldTerm != base::Term()) {
        const bool isDue = now >= m_nextAcknowledgementRead && !m_isReadingAcknowledgements && unacknowledgedHolders() > 0;
        if (isDue && holdsLease(now)) {
            m_isReadingAcknowledgements = true;
            m_nextAcknowledgementRead = now + m_options.acknowledgementInterval;
            actions.emplace_back(ReadRows{m_keys.prefix(), ReadPurpose::Acknowledgements});
        }
        return;
    }
    const auto own = m_rows.holders.find(m_options.self);
    const auto &seen = m_lease.lastSeenRow();
    if (own == m_rows.holders.end() || !seen || !m_inFlight.empty() || now < m_nextAcknowledgementWrite) {
        return;
    }
    const bool needsAcknowledgement = own->second.acknowledged <= own->second.held && seen->term > own->second.held && seen->holder != m_options.self;
    if (needsAcknowledgement) {
        m_nextAcknowledgementWrite = now + m_options.acknowledgementInterval;
        const auto value = encode(HolderRow{own->second.held, seen->term});
        actions.emplace_back(WriteAcknowledgement{{m_keys.holder(m_options.self), m_rows.holderVersions.at(m_options.self), value}});
    }
}

bool Controller::isUnacknowledged(const base::DaemonId &holder) const
{
    if (holder == m_options.self || m_goneDaemons.contains(holder)) {
        return false;
    }
    const auto it = m_rows.holders.find(holder);
    return it == m_rows.holders.end() || it->second.acknowledged <= it->second.held;
}

/// Whether the holder that issued an order, or a later one that inherited it, may still send it.
bool Controller::mayBeSentByOther(const Order &order) const
{
    if (isUnacknowledged(order.holder)) {
        return true;
    }
    const auto inherited = [this, &order](const auto &entry) {
        return entry.second.held >= order.term && isUnacknowledged(entry.first);
    };
    return m_options.safeguards.tracksEveryHolder && std::any_of(m_rows.holders.begin(), m_rows.holders.end(), inherited);
}

std::uint32_t Controller::unacknowledgedHolders() const
{
    const auto isMissing = [this](const auto &entry) {
        return isUnacknowledged(entry.first);
    };
    return static_cast<std::uint32_t>(std::count_if(m_rows.holders.begin(), m_rows.holders.end(), isMissing));
}

bool Controller::checksFencing(const base::EndpointId &id) const
{
    const auto it = m_document->endpoints.find(id);
    return it != m_document->endpoints.end() && it->second.checksFencing;
}

void Controller::deleteSettledOrders()
{
    std::vector<store::RowWrite> rows;
    for (auto &[id, record] : m_records) {
        const bool isKept = record.isInherited && mayBeSentByOther(record.order);
        if (record.isSettled && !record.isInFlight && record.isWritten && !isKept) {
            record.isDeleting = true;
            rows.push_back({m_keys.order(id), std::nullopt, std::nullopt});
        }
    }
    std::erase_if(m_records, [](const auto &entry) { return entry.second.isSettled && !entry.second.isWritten && !entry.second.isInFlight; });
    if (!rows.empty()) {
        m_lease.attach(std::move(rows));
    }
}

} // namespace turmericplank::placement
