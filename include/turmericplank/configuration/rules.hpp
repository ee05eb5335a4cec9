#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::configuration {

/// @brief Conditions that guarantee that no edit is lost or accepted unseen. Tests replace them one by one to show that each is needed.
struct WriteRules
{
    /// Whether an edit based on revision `baseRevision` of its section may replace revision `currentRevision`.
    std::function<bool(std::uint64_t baseRevision, std::uint64_t currentRevision)> mayReplace = [](std::uint64_t baseRevision, std::uint64_t currentRevision) {
        return baseRevision == currentRevision;
    };
    /// Whether the draft that an operator reviewed is the current one, by their digests.
    std::function<bool(const std::string &reviewed, const std::string &current)> isSameDraft = [](const std::string &reviewed, const std::string &current) {
        return reviewed == current;
    };
    /// Version that a row must still have for its write to be applied; none for an unconditional write.
    std::function<std::optional<base::RowVersion>(base::RowVersion read)> writeCondition = [](base::RowVersion read) {
        return std::optional(read);
    };
    /// Whether the outcome of an unanswered write is read from the table before the write is repeated.
    bool checksUnansweredWrites = true;
};

/// @brief Conditions that guarantee that daemons switch together and never go back. Tests replace them one by one.
struct ActivationRules
{
    /// Whether a daemon may switch from the revision in force to a candidate.
    std::function<bool(base::Revision candidate, base::Revision inForce)> mayFollow = [](base::Revision candidate, base::Revision inForce) {
        return candidate > inForce;
    };
    /// When a daemon that has fetched a revision switches to it.
    std::function<base::Time(base::Time inForceFrom, base::Time now)> switchTime = [](base::Time inForceFrom, base::Time) {
        return inForceFrom;
    };
    /// Whether a daemon that has not switched in time rejects new requests.
    bool rejectsWhenLate = true;
};

} // namespace turmericplank::configuration
