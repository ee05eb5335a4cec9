#include "sitestore/tables.hpp"

namespace turmericplank::standins::sitestore {

Tables::Key Tables::keyOf(const Json &row)
{
    return {row.value("table", ""), row.value("part", ""), row.value("key", "")};
}

Tables::Json Tables::toJson(const Key &key, const Row &row)
{
    const auto &[table, part, name] = key;
    Json json{{"table", table}, {"part", part}, {"key", name}, {"ver", row.version}};
    if (row.value) {
        json["value"] = *row.value;
    } else {
        json["removed"] = true;
    }
    return json;
}

std::uint64_t Tables::versionOf(const Key &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() || !it->second.value ? 0 : it->second.version;
}

std::pair<int, Tables::Json> Tables::transact(const Json &transaction)
{
    auto conflicts = Json::array();
    bool conditionsHold = true;
    for (const auto &it : transaction.value("expected", Json::array())) {
        const auto key = keyOf(it);
        conditionsHold = conditionsHold && versionOf(key) == it.value("ver", std::uint64_t(0));
        if (versionOf(key) != 0) {
            conflicts.push_back(toJson(key, m_rows.at(key)));
        }
    }
    if (!conditionsHold) {
        return {412, {{"rows", conflicts}, {"ver", m_version}}};
    }
    ++m_version;
    for (const auto &it : transaction.value("writes", Json::array())) {
        m_rows[keyOf(it)] = {it.value("value", ""), m_version};
    }
    for (const auto &it : transaction.value("remove", Json::array())) {
        m_rows[keyOf(it)] = {std::nullopt, m_version};
    }
    return {200, {{"ver", m_version}}};
}

Tables::Json Tables::rows(const std::string &table, const std::string &part, const std::string &from, std::size_t limit) const
{
    auto rows = Json::array();
    bool isTruncated = false;
    for (auto it = m_rows.lower_bound({table, part, from}); it != m_rows.end(); ++it) {
        const auto &[rowTable, rowPart, key] = it->first;
        if (rowTable != table || rowPart != part) {
            break;
        }
        if (rows.size() == limit) {
            isTruncated = true;
            break;
        }
        if (it->second.value) {
            rows.push_back(toJson(it->first, it->second));
        }
    }
    return {{"rows", rows}, {"truncated", isTruncated}, {"ver", m_version}};
}

std::vector<Tables::Json> Tables::changes(const std::string &table, std::uint64_t after) const
{
    std::map<std::uint64_t, std::vector<Json>> byVersion;
    for (const auto &[key, row] : m_rows) {
        if (std::get<0>(key) == table && row.version > after) {
            byVersion[row.version].push_back(toJson(key, row));
        }
    }
    std::vector<Json> changes;
    for (const auto &[version, rows] : byVersion) {
        changes.insert(changes.end(), rows.begin(), rows.end());
    }
    return changes;
}

bool Tables::hasVersion(std::uint64_t version) const
{
    return version <= m_version;
}

std::uint64_t Tables::version() const
{
    return m_version;
}

} // namespace turmericplank::standins::sitestore
