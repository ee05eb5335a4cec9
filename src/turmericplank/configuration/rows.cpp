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

Settlement::Settlement(std::string token, const WriteRules &rules)
    : m_token(std::move(token))
    , m_rules(rules)
{
}

void Settlement::begin(const Rows &rows)
{
    m_wasOpen = m_isOpen;
    m_isOpen = true;
    m_draftVersion = rows.draftVersion;
    m_sequence = rows.draft.sequence + 1;
}

void Settlement::refuse()
{
    // A write before this one, under the same condition, may still be without an answer.
    m_isOpen = m_wasOpen;
}

WriteTrace Settlement::trace(const Rows &rows, WriteRecord &record)
{
    if (!m_rules.readsBack) {
        m_isOpen = false;
        return WriteTrace::Absent;
    }
    const auto sequence = m_isOpen ? m_sequence : rows.draft.sequence + 1;
    const auto result = traceOf(rows.draft, m_token, sequence, record);
    // Versions never repeat: once the row has moved on, no earlier write can take effect any more.
    if (result == WriteTrace::Absent && rows.draftVersion != m_draftVersion) {
        m_isOpen = false;
    }
    return result;
}

bool Settlement::isOpen() const
{
    return m_isOpen;
}

const std::string &Settlement::token() const
{
    return m_token;
}

} // namespace turmericplank::configuration
