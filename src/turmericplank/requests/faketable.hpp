#pragma once

#include <map>
#include <string>
#include <vector>

#include "turmericplank/platform/table.hpp"

namespace turmericplank::requests::fake {

/// @brief The platform's table, in memory.
class Table
{
public:
    /// @brief Applies a transaction whole or not at all.
    platform::WriteResult transact(const std::vector<platform::RowWrite> &writes)
    {
        if (isDown) {
            return tl::make_unexpected(platform::TableError{platform::TableFailure::Unavailable, {}});
        }
        platform::TableError error{platform::TableFailure::Conflict, {}};
        for (const auto &it : writes) {
            const auto present = row(it.key);
            if (it.expected && *it.expected != present.version) {
                error.conflicts.push_back(present);
            }
        }
        if (!error.conflicts.empty()) {
            return tl::make_unexpected(error);
        }
        ++transactions;
        std::vector<base::RowVersion> versions;
        for (const auto &it : writes) {
            m_lastVersion = m_lastVersion.next();
            m_rows[it.key] = platform::Row{it.key, m_lastVersion, it.value.value_or("")};
            versions.push_back(m_lastVersion);
        }
        return versions;
    }

    /// @brief Reads one row.
    platform::ReadResult read(const std::string &key) const
    {
        if (isDown) {
            return tl::make_unexpected(platform::TableError{platform::TableFailure::Unavailable, {}});
        }
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? std::vector<platform::Row>() : std::vector<platform::Row>{it->second};
    }

    bool isDown = false;
    std::uint64_t transactions = 0;

private:
    platform::Row row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? platform::Row{key, base::RowVersion(), {}} : it->second;
    }

    std::map<std::string, platform::Row> m_rows;
    base::RowVersion m_lastVersion;
};

} // namespace turmericplank::requests::fake
