#include "turmericplank/telemetry/decisionlog.hpp"

#include <algorithm>
#include <array>

namespace turmericplank::telemetry {

namespace {

constexpr std::size_t ProcessCapacity = 32768; ///< records
constexpr std::array<std::string_view, 7> IndexedFields = {"request", "section", "model", "adapter", "endpoint", "service", "order"};

std::vector<std::string> indexKeys(std::initializer_list<LogField> fields)
{
    std::vector<std::string> keys;
    for (const auto &it : fields) {
        const auto isIndexed = std::find(IndexedFields.begin(), IndexedFields.end(), it.key) != IndexedFields.end();
        const auto isNew = std::find(keys.begin(), keys.end(), it.value) == keys.end();
        if (isIndexed && isNew && !it.value.empty()) {
            keys.push_back(it.value);
        }
    }
    return keys;
}

} // namespace

DecisionLog::DecisionLog(std::size_t capacity)
    : m_capacity(capacity)
{
}

void DecisionLog::add(base::Time at, std::string text, std::initializer_list<LogField> fields)
{
    if (m_records.size() == m_capacity) {
        dropOldest();
    }
    const auto number = m_oldestNumber + m_records.size();
    m_records.push_back({at, std::move(text), indexKeys(fields)});
    for (const auto &it : m_records.back().keys) {
        m_numbersByKey[it].push_back(number);
    }
}

std::vector<DecisionRecord> DecisionLog::find(const std::string &key) const
{
    std::vector<DecisionRecord> records;
    const auto found = m_numbersByKey.find(key);
    if (found == m_numbersByKey.end()) {
        return records;
    }
    for (const auto it : found->second) {
        records.push_back(m_records[it - m_oldestNumber]);
    }
    return records;
}

std::size_t DecisionLog::size() const
{
    return m_records.size();
}

void DecisionLog::dropOldest()
{
    for (const auto &it : m_records.front().keys) {
        auto &numbers = m_numbersByKey[it];
        numbers.pop_front();
        if (numbers.empty()) {
            m_numbersByKey.erase(it);
        }
    }
    m_records.pop_front();
    m_oldestNumber += 1;
}

DecisionLog &decisionLog()
{
    static DecisionLog instance(ProcessCapacity);
    return instance;
}

void logDecision(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    log(LogLevel::Info, component, message, fields);
    decisionLog().add(base::now(), formatLogLine(component, message, fields), fields);
}

} // namespace turmericplank::telemetry
