#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace turmericplank::standins::sitestore {

/// @brief Rows in tables and parts, with one version counter and the latest change of each row.
class Tables
{
public:
    using Json = nlohmann::json;

    /// @brief Applies all writes and removals of a transaction or none.
    /// @param transaction JSON object with the lists `expected`, `writes` and `remove`
    /// @return HTTP status, 412 if a row does not have its expected version, and response body
    std::pair<int, Json> transact(const Json &transaction);

    /// @brief Rows of a table and part in ascending order of their keys.
    /// @param from lowest key to return; may be empty
    /// @param limit maximum number of rows
    Json rows(const std::string &table, const std::string &part, const std::string &from, std::size_t limit) const;

    /// @brief Latest change of each row of a table that changed after a version, oldest first; removed rows are marked.
    std::vector<Json> changes(const std::string &table, std::uint64_t after) const;

    /// @brief Whether changes after a version can be returned; not if the version is from a state that was lost.
    bool hasVersion(std::uint64_t version) const;

    /// @brief Version of the latest transaction.
    std::uint64_t version() const;

private:
    using Key = std::tuple<std::string, std::string, std::string>; ///< table, part, key

    struct Row
    {
        std::optional<std::string> value; ///< base64; empty optional if the row was removed
        std::uint64_t version = 0;
    };

    static Key keyOf(const Json &row);
    static Json toJson(const Key &key, const Row &row);
    std::uint64_t versionOf(const Key &key) const;

    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace turmericplank::standins::sitestore
