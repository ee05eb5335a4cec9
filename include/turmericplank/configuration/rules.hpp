#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::configuration {

/// @brief The conditions that the promises of editing and accepting rest on, replaceable so that tests can break each one.
struct WriteRules
{
    /// Whether an edit that was made from one revision of its section may replace another.
    std::function<bool(std::uint64_t seen, std::uint64_t current)> mayReplace = [](std::uint64_t seen, std::uint64_t current) {
        return seen == current;
    };
    /// Whether the document that an operator saw is the one that stands now.
    std::function<bool(const std::string &seen, const std::string &current)> isSame = [](const std::string &seen, const std::string &current) {
        return seen == current;
    };
    /// Condition of a row's write.
    std::function<std::optional<base::RowVersion>(base::RowVersion read)> condition = [](base::RowVersion read) {
        return std::optional(read);
    };
    /// Whether an unanswered write is looked for in the table before it is repeated.
    bool readsBack = true;
};

/// @brief The conditions that the promises of activation rest on.
struct ActivationRules
{
    /// Whether a revision may follow the one in force.
    std::function<bool(base::Revision candidate, base::Revision inForce)> mayFollow = [](base::Revision candidate, base::Revision inForce) {
        return candidate > inForce;
    };
    /// When a daemon that is ready switches.
    std::function<base::Time(base::Time inForceFrom, base::Time now)> switchTime = [](base::Time inForceFrom, base::Time) {
        return inForceFrom;
    };
    /// Whether a daemon that has not switched in time refuses new requests.
    bool holdsWhenLate = true;
};

} // namespace turmericplank::configuration
