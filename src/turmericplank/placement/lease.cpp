#include "turmericplank/placement/lease.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericplank::placement {

std::string encode(const LeaseRow &row)
{
    nlohmann::json json{{"holder", row.holder.text()}, {"term", row.term.value()}, {"renewal", row.renewal}, {"deadline", base::toMilliseconds(row.deadline)}};
    if (row.isReleased) {
        json["ordered_lately"] = nlohmann::json::array();
        for (const auto &it : row.recentlyOrdered) {
            json["ordered_lately"].push_back(it.text());
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
    const auto lately = json.find("ordered_lately");
    row.isReleased = lately != json.end();
    if (!row.isReleased) {
        return row;
    }
    if (!lately->is_array()) {
        return std::nullopt;
    }
    for (const auto &it : *lately) {
        if (!it.is_string()) {
            return std::nullopt;
        }
        row.recentlyOrdered.emplace_back(it.get<std::string>());
    }
    return row;
}

Lease::Lease(LeaseOptions options)
    : m_options(std::move(options))
{
}

LeaseAction Lease::tick(base::Time now)
{
    if (m_call != Call::None) {
        return LeaseAction::None;
    }
    const bool hasToWrite = !m_attached.empty() || m_isGivenUp;
    const bool isDue = now >= m_nextCall || (hasToWrite && m_state == State::Holding && !m_isTableDown);
    if (!isDue) {
        return LeaseAction::None;
    }
    if (m_isRewriteDue) {
        m_isRewriteDue = false;
        m_call = Call::Write;
        return LeaseAction::Write;
    }
    if (m_isWriteUnsettled || m_state == State::Unknown) {
        m_call = Call::Read;
        return LeaseAction::Read;
    }
    if (m_state == State::Holding) {
        beginRenewal(now);
        return LeaseAction::Write;
    }
    if (isLapsed(now) && !m_isGivenUp) {
        const auto term = m_seen ? m_seen->term.next() : base::Term(1);
        m_predecessor = m_seen;
        if (m_options.rowsOnAcquire) {
            attach(m_options.rowsOnAcquire(term));
        }
        beginWrite(now, LeaseRow{m_options.self, term, 1, {}});
        m_state = State::Acquiring;
        return LeaseAction::Write;
    }
    m_call = Call::Read;
    return LeaseAction::Read;
}

/// A row that cannot be read is never taken over: its term is not known.
bool Lease::isLapsed(base::Time now) const
{
    const bool isAbsent = m_seenVersion == base::RowVersion();
    return isAbsent || (m_seen && (m_seen->isReleased || now >= m_unchangedSince + m_options.duration));
}

void Lease::beginRenewal(base::Time now)
{
    auto row = *m_seen;
    row.renewal += 1;
    row.isReleased = m_isGivenUp;
    row.recentlyOrdered = m_orderedLately;
    beginWrite(now, row);
}

void Lease::release(std::vector<base::EndpointId> recentlyOrdered)
{
    m_isGivenUp = true;
    m_orderedLately = std::move(recentlyOrdered);
}

bool Lease::isReleaseDue() const
{
    return m_isGivenUp && (m_state == State::Acquiring || m_state == State::Holding);
}

void Lease::attach(std::vector<store::RowWrite> rows)
{
    m_attached.insert(m_attached.end(), std::make_move_iterator(rows.begin()), std::make_move_iterator(rows.end()));
}

const std::vector<store::RowWrite> &Lease::pendingWrites() const
{
    return m_pending;
}

void Lease::beginWrite(base::Time now, const LeaseRow &row)
{
    m_call = Call::Write;
    m_writing = row;
    m_writing.deadline = now + m_options.duration;
    m_writeBegan = now;
    m_pending.clear();
    const auto expected = m_options.isConditional ? std::optional(m_seenVersion) : std::nullopt;
    m_pending.push_back({m_options.key, expected, encode(m_writing)});
    m_pending.insert(m_pending.end(), std::make_move_iterator(m_attached.begin()), std::make_move_iterator(m_attached.end()));
    m_attached.clear();
}

void Lease::confirmWrite(base::RowVersion version)
{
    m_state = State::Holding;
    m_isWriteUnsettled = false;
    m_seen = m_writing;
    m_seenVersion = version;
    m_term = m_writing.term;
    m_safeUntil = m_writeBegan + m_options.duration - m_options.safetyMargin;
    m_nextCall = m_writeBegan + m_options.renewInterval;
    m_pending.clear();
    if (m_writing.isReleased) {
        m_state = State::Following;
        m_term = base::Term();
    }
}

void Lease::follow(base::Time now, const std::optional<LeaseRow> &row, base::RowVersion version)
{
    const bool isChanged = version != m_seenVersion || m_state == State::Unknown || m_state == State::Holding;
    if (isChanged) {
        m_unchangedSince = now;
    }
    m_state = State::Following;
    m_isWriteUnsettled = false;
    m_seen = row;
    m_seenVersion = version;
    m_term = base::Term();
    m_attached.clear();
    m_pending.clear();
    // A row that stays as it is can be taken over at the moment of its lapse.
    m_nextCall = std::min(now + m_options.retryInterval, std::max(now, m_unchangedSince + m_options.duration));
    if (m_seen && m_seen->isReleased) {
        m_nextCall = now;
    }
}

void Lease::rowsRead(base::Time now, const store::ReadResult &result)
{
    m_call = Call::None;
    m_isTableDown = !result;
    m_nextCall = now + m_options.retryInterval;
    if (!result) {
        return;
    }
    const auto it = std::find_if(result->begin(), result->end(), [this](const auto &row) { return row.key == m_options.key; });
    const auto row = it == result->end() ? std::optional<LeaseRow>() : decodeLeaseRow(it->value);
    const auto version = it == result->end() ? base::RowVersion() : it->version;
    if (!m_isWriteUnsettled) {
        follow(now, row, version);
        return;
    }
    if (row && row->holder == m_writing.holder && row->term == m_writing.term && row->renewal == m_writing.renewal) {
        confirmWrite(version);
        return;
    }
    if (version == m_seenVersion) {
        // The write may still arrive. The same write again is safe: both are conditional on one version.
        m_isRewriteDue = true;
        m_nextCall = now;
        return;
    }
    follow(now, row, version);
}

void Lease::rowsWritten(base::Time now, const store::WriteResult &result)
{
    m_call = Call::None;
    if (result) {
        m_isTableDown = false;
        confirmWrite(result->front());
        return;
    }
    m_isTableDown = result.error().failure != store::TableFailure::Conflict;
    m_nextCall = now + m_options.retryInterval;
    if (!m_isTableDown) {
        // An earlier attempt of the same write may be what it conflicts with: reading tells.
        m_nextCall = now;
    }
    m_isWriteUnsettled = true;
}

bool Lease::isHeld(base::Time now) const
{
    return m_state == State::Holding && !m_isGivenUp && now < m_safeUntil;
}

bool Lease::isUncontested() const
{
    return m_state == State::Holding && !m_isGivenUp;
}

bool Lease::isIdle() const
{
    return m_state == State::Holding && m_call != Call::Write && !m_isWriteUnsettled && m_attached.empty();
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
    return m_seen;
}

bool Lease::isTableDown() const
{
    return m_isTableDown;
}

} // namespace turmericplank::placement
