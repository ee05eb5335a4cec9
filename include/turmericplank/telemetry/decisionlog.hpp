#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::telemetry {

/// @brief One logged decision.
struct DecisionRecord
{
    base::Time at;
    std::string text; ///< the log line
    std::vector<std::string> keys; ///< values under which find() returns the record

    friend bool operator==(const DecisionRecord &, const DecisionRecord &) = default;
};

/// @brief Bounded in-memory log of recent decisions, indexed by request, section, model, adapter, endpoint, service and order.
class DecisionLog
{
public:
    /// @param capacity maximum number of records; the oldest is dropped first
    explicit DecisionLog(std::size_t capacity);

    /// @brief Adds a record, indexed by the values of its fields that identify something.
    /// @param at time of the decision
    /// @param text the log line
    /// @param fields fields of the log line
    void add(base::Time at, std::string text, std::initializer_list<LogField> fields);

    /// @brief Records with one key, oldest first.
    /// @param key a request id or a name
    std::vector<DecisionRecord> find(const std::string &key) const;

    /// @brief Number of records.
    std::size_t size() const;

private:
    void dropOldest();

    std::size_t m_capacity;
    std::uint64_t m_oldestNumber = 0; ///< sequence number of the oldest record
    std::deque<DecisionRecord> m_records;
    std::unordered_map<std::string, std::deque<std::uint64_t>> m_numbersByKey; ///< sequence numbers of the records with each key, oldest first
};

/// @brief The decision log of this process.
DecisionLog &decisionLog();

/// @brief Writes a log line about a decision and records it in decisionLog(), where the command explain finds it.
/// @param component prefix of the line, for example routing
/// @param message short sentence without a full stop
/// @param fields key=value pairs; those named request, section, model, adapter, endpoint, service and order are indexed
void logDecision(std::string_view component, std::string_view message, std::initializer_list<LogField> fields);

} // namespace turmericplank::telemetry
