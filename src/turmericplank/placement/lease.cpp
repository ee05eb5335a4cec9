#include "turmericplank/placement/lease.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace turmericplank::placement {

namespace {

constexpr unsigned VersionBits = 40; ///< of a term, below the era; terms stay exact in JSON numbers up to era 8191

} // namespace

std::string encode(const LeaseRow &row)
{
    nlohmann::json json{{"holder", row.holder.text()}, {"term", row.term.value()}, {"renewal", row.renewal}, {"deadline", base::toMilliseconds(row.deadline)}};
    if (row.isReleased) {
        json["ordered_lately"] = nlohmann::json::array();
        for (const auto &endpoint : row.recentlyOrdered) {
            json["ordered_lately"].push_back(endpoint.text());
        }
    }
    return json.dump();
}

std::optional<LeaseRow> decodeLeaseRow(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("holder") || !json["holder"].is_string()) {
        return std::nullopt;
    }
    for (const auto *key : {"term", "renewal", "deadline"}) {
        if (!json.contains(key) || !json[key].is_number_unsigned()) {
            return std::nullopt;
        }
    }
    LeaseRow row{base::DaemonId(json["holder"].get<std::string>()), base::Term(json["term"].get<std::uint64_t>()), json["renewal"].get<std::uint64_t>(),
                 base::timeFromMilliseconds(json["deadline"].get<std::int64_t>())};
    const auto recent = json.find("ordered_lately");
    row.isReleased = recent != json.end();
    if (!row.isReleased) {
        return row;
    }
    if (!recent->is_array()) {
        return std::nullopt;
    }
    for (const auto &endpoint : *recent) {
        if (!endpoint.is_string()) {
            return std::nullopt;
        }
        row.recentlyOrdered.emplace_back(endpoint.get<std::string>());
    }
    return row;
}

bool mayOrderWithoutTable(const OutageView &view, base::Time now)
{
    return view.isUncontested && view.isTableDown && (view.enginesCheckTerms || view.areAllDaemonsHeard) && now < view.orderUntil;
}

Lease::Lease(LeaseOptions options)
    : m_options(std::move(options))
{
}

LeaseAction Lease::tick(base::Time now)
{
    if (m_callInFlight != Call::None) {
        return LeaseAction::None;
    }
    const bool hasPendingWrite = !m_attachedRows.empty() || m_isReleasing;
    const bool isDue = now >= m_nextCall || (hasPendingWrite && m_state == State::Holding && !m_isTableDown);
    if (!isDue) {
        return LeaseAction::None;
    }
    if (m_isRetryDue) {
        m_isRetryDue = false;
        m_callInFlight = Call::Write;
        return LeaseAction::Write;
    }
    if (m_isWriteUnconfirmed || m_state == State::Unknown) {
        m_callInFlight = Call::Read;
        return LeaseAction::Read;
    }
    if (m_state == State::Holding) {
        beginRenewal(now);
        return LeaseAction::Write;
    }
    if (hasExpired(now) && !m_isReleasing) {
        const auto term = nextTerm();
        m_predecessor = m_lastSeenRow;
        if (m_options.rowsOnAcquire) {
            attach(m_options.rowsOnAcquire(term));
        }
        beginWrite(now, LeaseRow{m_options.self, term, 1, {}});
        m_mayResumeUntil = base::Time(); // if the write fails, another daemon may hold the lease
        m_state = State::Acquiring;
        return LeaseAction::Write;
    }
    m_callInFlight = Call::Read;
    return LeaseAction::Read;
}

/// A row that cannot be decoded never counts as expired, because its term is unknown.
bool Lease::hasExpired(base::Time now) const
{
    const bool isAbsent = m_lastSeenVersion == base::RowVersion();
    if (!isAbsent && !m_lastSeenRow) {
        return false;
    }
    const bool isFree = isAbsent || m_lastSeenRow->isReleased;
    return (isFree && isRowOfCurrentEra()) || now < m_mayResumeUntil || now >= m_unchangedSince + m_options.duration;
}

bool Lease::isRowOfCurrentEra() const
{
    if (!m_lastSeenRow) {
        return m_options.mayTakeAbsentRow && !m_hasSeenRestore;
    }
    return base::StoreEra(m_lastSeenRow->term.value() >> VersionBits) == m_era;
}

/// Without eras, terms are counted from one.
base::Term Lease::nextTerm() const
{
    const auto next = m_lastSeenRow ? m_lastSeenRow->term.next() : base::Term(1);
    if (m_era == base::StoreEra()) {
        return next;
    }
    return std::max(next, base::Term((m_era.value() << VersionBits) + m_lastSeenVersion.value() + 1));
}

void Lease::noteEra(base::Time now, base::StoreEra era)
{
    if (era <= m_era) {
        return;
    }
    const bool isFirst = std::exchange(m_era, era) == base::StoreEra();
    if (isFirst) {
        return;
    }
    m_hasSeenRestore = true;
    m_mayResumeUntil = isHeld(now) ? m_heldUntil : base::Time();
    m_ignoresCallInFlight = m_callInFlight != Call::None;
    m_state = State::Unknown;
    m_isWriteUnconfirmed = false;
    m_isRetryDue = false;
    m_term = base::Term();
    m_lastSeenRow.reset();
    m_lastSeenVersion = base::RowVersion();
    m_unchangedSince = now;
    m_nextCall = now;
}

void Lease::beginRenewal(base::Time now)
{
    auto row = *m_lastSeenRow;
    row.renewal += 1;
    row.isReleased = m_isReleasing;
    row.recentlyOrdered = m_recentlyOrdered;
    beginWrite(now, row);
}

void Lease::release(std::vector<base::EndpointId> recentlyOrdered)
{
    m_isReleasing = true;
    m_recentlyOrdered = std::move(recentlyOrdered);
}

bool Lease::isReleaseDue() const
{
    return m_isReleasing && (m_state == State::Acquiring || m_state == State::Holding);
}

void Lease::attach(std::vector<store::RowWrite> rows)
{
    m_attachedRows.insert(m_attachedRows.end(), std::make_move_iterator(rows.begin()), std::make_move_iterator(rows.end()));
}

const std::vector<store::RowWrite> &Lease::pendingWrites() const
{
    return m_pendingRows;
}

void Lease::beginWrite(base::Time now, const LeaseRow &row)
{
    m_callInFlight = Call::Write;
    m_rowBeingWritten = row;
    m_rowBeingWritten.deadline = now + m_options.duration;
    m_writeStartedAt = now;
    m_pendingRows.clear();
    const auto expected = m_options.usesConditionalWrites ? std::optional(m_lastSeenVersion) : std::nullopt;
    m_pendingRows.push_back({m_options.key, expected, encode(m_rowBeingWritten)});
    m_pendingRows.insert(m_pendingRows.end(), std::make_move_iterator(m_attachedRows.begin()), std::make_move_iterator(m_attachedRows.end()));
    m_attachedRows.clear();
}

void Lease::confirmWrite(base::RowVersion version)
{
    m_state = State::Holding;
    m_isWriteUnconfirmed = false;
    m_lastSeenRow = m_rowBeingWritten;
    m_lastSeenVersion = version;
    m_term = m_rowBeingWritten.term;
    m_heldUntil = m_writeStartedAt + m_options.duration - m_options.safetyMargin;
    m_nextCall = m_writeStartedAt + m_options.renewInterval;
    m_pendingRows.clear();
    if (m_rowBeingWritten.isReleased) {
        m_state = State::Following;
        m_term = base::Term();
    }
}

void Lease::follow(base::Time now, const std::optional<LeaseRow> &row, base::RowVersion version)
{
    const bool isChanged = version != m_lastSeenVersion || m_state == State::Unknown || m_state == State::Holding;
    if (isChanged) {
        m_unchangedSince = now;
    }
    m_state = State::Following;
    m_isWriteUnconfirmed = false;
    m_lastSeenRow = row;
    m_lastSeenVersion = version;
    m_term = base::Term();
    m_attachedRows.clear();
    m_pendingRows.clear();
    // Checks again at the moment when an unchanged row expires, so that a takeover does not wait for the next poll.
    m_nextCall = std::min(now + m_options.retryInterval, std::max(now, m_unchangedSince + m_options.duration));
    if ((m_lastSeenRow && m_lastSeenRow->isReleased) || now < m_mayResumeUntil) {
        m_nextCall = now;
    }
}

void Lease::rowsRead(base::Time now, const store::ReadResult &result)
{
    m_callInFlight = Call::None;
    if (std::exchange(m_ignoresCallInFlight, false)) {
        return;
    }
    m_isTableDown = !result;
    m_nextCall = now + m_options.retryInterval;
    if (!result) {
        return;
    }
    const auto it = std::find_if(result->begin(), result->end(), [this](const auto &row) { return row.key == m_options.key; });
    const auto row = it == result->end() ? std::optional<LeaseRow>() : decodeLeaseRow(it->value);
    const auto version = it == result->end() ? base::RowVersion() : it->version;
    if (!m_isWriteUnconfirmed) {
        follow(now, row, version);
        return;
    }
    if (row && row->holder == m_rowBeingWritten.holder && row->term == m_rowBeingWritten.term && row->renewal == m_rowBeingWritten.renewal) {
        confirmWrite(version);
        return;
    }
    if (version == m_lastSeenVersion) {
        // The write may still arrive. Repeating it is safe, because both copies are conditional on the same version.
        m_isRetryDue = true;
        m_nextCall = now;
        return;
    }
    follow(now, row, version);
}

void Lease::rowsWritten(base::Time now, const store::WriteResult &result)
{
    m_callInFlight = Call::None;
    if (std::exchange(m_ignoresCallInFlight, false)) {
        return;
    }
    if (result) {
        m_isTableDown = false;
        confirmWrite(result->front());
        return;
    }
    m_isTableDown = result.error().failure != store::TableFailure::Conflict;
    m_nextCall = now + m_options.retryInterval;
    if (!m_isTableDown) {
        // The conflict may come from an earlier attempt of the same write; a read shows which write took effect.
        m_nextCall = now;
    }
    m_isWriteUnconfirmed = true;
}

bool Lease::isHeld(base::Time now) const
{
    return m_state == State::Holding && !m_isReleasing && now < m_heldUntil;
}

bool Lease::isUncontested() const
{
    return m_state == State::Holding && !m_isReleasing;
}

bool Lease::isIdle() const
{
    return m_state == State::Holding && m_callInFlight != Call::Write && !m_isWriteUnconfirmed && m_attachedRows.empty();
}

base::Term Lease::term() const
{
    return m_term;
}

const std::optional<LeaseRow> &Lease::predecessor() const
{
    return m_predecessor;
}

const std::optional<LeaseRow> &Lease::lastSeenRow() const
{
    return m_lastSeenRow;
}

bool Lease::isTableDown() const
{
    return m_isTableDown;
}

} // namespace turmericplank::placement
