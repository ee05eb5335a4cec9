#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace turmericplank::standins::sitestore {

/// @brief Rows in tables and parts under one version counter, with the history of their changes.
class Tables
{
public:
    using Json = nlohmann::json;

    /// @brief Applies all entries of a transaction or none.
    /// @param transaction expected, writes and remove
    /// @return status 200 or 412 and the body
    std::pair<int, Json> transact(const Json &transaction);

    /// @brief Rows of a table and part, keys in ascending order.
    /// @param from least key; may be empty
    Json rows(const std::string &table, const std::string &part, const std::string &from, std::size_t limit) const;

    /// @brief Rows of a table that changed behind a version, the latest change of each; removed ones are marked.
    std::vector<Json> changes(const std::string &table, std::uint64_t after) const;

    /// @brief The newest version.
    std::uint64_t version() const;

private:
    using Key = std::tuple<std::string, std::string, std::string>; ///< table, part, key

    struct Row
    {
        std::optional<std::string> value; ///< base64; nothing once it was removed
        std::uint64_t version = 0;
    };

    static Key keyOf(const Json &row);
    static Json toJson(const Key &key, const Row &row);
    std::uint64_t versionOf(const Key &key) const;

    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace turmericplank::standins::sitestore
