#include "turmericplank/telemetry/decisionlog.hpp"

#include <algorithm>
#include <array>

namespace turmericplank::telemetry {

namespace {

constexpr std::size_t ProcessCapacity = 32768;
constexpr std::array<std::string_view, 7> NamingFields = {"request", "section", "model", "adapter", "endpoint", "service", "order"};

std::vector<std::string> keysOf(std::initializer_list<LogField> fields)
{
    std::vector<std::string> keys;
    for (const auto &it : fields) {
        const auto isNaming = std::find(NamingFields.begin(), NamingFields.end(), it.key) != NamingFields.end();
        const auto isNew = std::find(keys.begin(), keys.end(), it.value) == keys.end();
        if (isNaming && isNew && !it.value.empty()) {
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
    if (m_lines.size() == m_capacity) {
        dropOldest();
    }
    const auto number = m_first + m_lines.size();
    m_lines.push_back({at, std::move(text), keysOf(fields)});
    for (const auto &it : m_lines.back().keys) {
        m_numbers[it].push_back(number);
    }
}

std::vector<DecisionRecord> DecisionLog::find(const std::string &key) const
{
    std::vector<DecisionRecord> lines;
    const auto found = m_numbers.find(key);
    if (found == m_numbers.end()) {
        return lines;
    }
    for (const auto it : found->second) {
        lines.push_back(m_lines[it - m_first]);
    }
    return lines;
}

std::size_t DecisionLog::size() const
{
    return m_lines.size();
}

void DecisionLog::dropOldest()
{
    for (const auto &it : m_lines.front().keys) {
        auto &numbers = m_numbers[it];
        numbers.pop_front();
        if (numbers.empty()) {
            m_numbers.erase(it);
        }
    }
    m_lines.pop_front();
    m_first += 1;
}

DecisionLog &decisionLog()
{
    static DecisionLog instance(ProcessCapacity);
    return instance;
}

void logDecision(std::string_view slice, std::string_view sentence, std::initializer_list<LogField> fields)
{
    log(LogLevel::Info, slice, sentence, fields);
    decisionLog().add(base::now(), formatLogLine(slice, sentence, fields), fields);
}

} // namespace turmericplank::telemetry
