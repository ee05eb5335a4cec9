#pragma once

#include <map>
#include <string>
#include <vector>

#include "turmericplank/store/table.hpp"

namespace turmericplank::requests::fake {

/// @brief In-memory version of the platform's table.
class Table
{
public:
    /// @brief Applies all writes of a transaction or none.
    store::WriteResult transact(const std::vector<store::RowWrite> &writes)
    {
        if (isDown) {
            return tl::make_unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        store::TableError error{store::TableFailure::Conflict, {}};
        for (const auto &it : writes) {
            const auto current = row(it.key);
            if (it.expectedVersion && *it.expectedVersion != current.version) {
                error.conflicts.push_back(current);
            }
        }
        if (!error.conflicts.empty()) {
            return tl::make_unexpected(error);
        }
        ++transactions;
        std::vector<base::RowVersion> versions;
        for (const auto &it : writes) {
            m_lastVersion = m_lastVersion.next();
            m_rows[it.key] = store::Row{it.key, m_lastVersion, it.value.value_or("")};
            versions.push_back(m_lastVersion);
        }
        return versions;
    }

    /// @brief Reads one row.
    store::ReadResult read(const std::string &key) const
    {
        if (isDown) {
            return tl::make_unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? std::vector<store::Row>() : std::vector<store::Row>{it->second};
    }

    bool isDown = false;
    std::uint64_t transactions = 0;

private:
    store::Row row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? store::Row{key, base::RowVersion(), {}} : it->second;
    }

    std::map<std::string, store::Row> m_rows;
    base::RowVersion m_lastVersion;
};

} // namespace turmericplank::requests::fake
