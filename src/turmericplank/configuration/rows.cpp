#include "rows.hpp"

namespace turmericplank::configuration {

std::optional<Rows> parseRows(const std::vector<store::Row> &rows)
{
    Rows result;
    for (const auto &it : rows) {
        if (it.key == DraftKey) {
            const auto draft = decodeDraft(it.value);
            if (!draft) {
                return std::nullopt;
            }
            result.draft = *draft;
            result.draftVersion = it.version;
        } else if (it.key == PointerKey) {
            const auto pointer = decodePointer(it.value);
            if (!pointer) {
                return std::nullopt;
            }
            result.pointer = *pointer;
            result.pointerVersion = it.version;
        }
    }
    return result;
}

WriteTracker::WriteTracker(std::string token, const WriteRules &rules)
    : m_token(std::move(token))
    , m_rules(rules)
{
}

void WriteTracker::writeSent(const Rows &rows)
{
    m_wasUnresolved = m_isUnresolved;
    m_isUnresolved = true;
    m_draftVersion = rows.draftVersion;
    m_sequence = rows.draft.sequence + 1;
}

void WriteTracker::writeNotApplied()
{
    // An earlier write with the same condition may still have no known outcome.
    m_isUnresolved = m_wasUnresolved;
}

WriteOutcome WriteTracker::resolve(const Rows &rows, WriteRecord &record)
{
    if (!m_rules.checksUnansweredWrites) {
        m_isUnresolved = false;
        return WriteOutcome::NotApplied;
    }
    const auto sequence = m_isUnresolved ? m_sequence : rows.draft.sequence + 1;
    const auto result = findWriteOutcome(rows.draft, m_token, sequence, record);
    // Versions never repeat, so once the row has a new version, no earlier conditional write can be applied anymore.
    if (result == WriteOutcome::NotApplied && rows.draftVersion != m_draftVersion) {
        m_isUnresolved = false;
    }
    return result;
}

bool WriteTracker::isUnresolved() const
{
    return m_isUnresolved;
}

const std::string &WriteTracker::token() const
{
    return m_token;
}

} // namespace turmericplank::configuration
