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

/// @brief One decision as it was logged.
struct DecisionRecord
{
    base::Time at;
    std::string text; ///< the log line
    std::vector<std::string> keys; ///< what it can be found by

    friend bool operator==(const DecisionRecord &, const DecisionRecord &) = default;
};

/// @brief The latest decisions of this process, found by request, model, adapter, endpoint, service or order.
class DecisionLog
{
public:
    /// @param capacity lines that are kept; the oldest goes first
    explicit DecisionLog(std::size_t capacity);

    /// @brief Adds a line, found later by the values of those fields that name something.
    /// @param at when it was decided
    /// @param text the log line
    /// @param fields fields of the line
    void add(base::Time at, std::string text, std::initializer_list<LogField> fields);

    /// @brief Lines of one key, oldest first.
    /// @param key a request id or a name
    std::vector<DecisionRecord> find(const std::string &key) const;

    /// @brief Lines that are kept now.
    std::size_t size() const;

private:
    void dropOldest();

    std::size_t m_capacity;
    std::uint64_t m_first = 0; ///< number of the oldest line
    std::deque<DecisionRecord> m_lines;
    std::unordered_map<std::string, std::deque<std::uint64_t>> m_numbers; ///< lines of each key, oldest first
};

/// @brief The decision log of this process.
DecisionLog &decisionLog();

/// @brief Writes a log line about a decision and keeps it for explain.
/// @param slice fixed prefix, for example routing
/// @param sentence short sentence without a full stop
/// @param fields key=value pairs; it is found by those named request, model, adapter, endpoint, service and order
void logDecision(std::string_view slice, std::string_view sentence, std::initializer_list<LogField> fields);

} // namespace turmericplank::telemetry
