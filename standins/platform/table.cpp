#include "platform/table.hpp"

namespace turmericplank::standins::platform {

Row Table::currentRow(const std::string &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? Row{key, base::RowVersion(0), {}} : it->second;
}

tl::expected<std::vector<base::RowVersion>, std::vector<Row>> Table::transact(const std::vector<RowWrite> &writes)
{
    std::vector<Row> conflicts;
    for (const auto &it : writes) {
        const auto row = currentRow(it.key);
        if (it.expectedVersion && *it.expectedVersion != row.version) {
            conflicts.push_back(row);
        }
    }
    if (!conflicts.empty()) {
        return tl::unexpected(std::move(conflicts));
    }
    std::vector<base::RowVersion> versions;
    for (const auto &it : writes) {
        m_lastVersion = m_lastVersion.next();
        versions.push_back(m_lastVersion);
        if (it.value) {
            m_rows[it.key] = Row{it.key, m_lastVersion, *it.value};
        } else {
            m_rows.erase(it.key);
        }
    }
    return versions;
}

std::vector<Row> Table::rows(const std::string &prefix) const
{
    std::vector<Row> matches;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        matches.push_back(it->second);
    }
    return matches;
}

} // namespace turmericplank::standins::platform
