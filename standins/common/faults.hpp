#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins {

/// @brief Faults that a stand-in injects; none by default.
struct Faults
{
    base::Duration delay{}; ///< delay of each answer
    std::uint32_t answersToLose = 0; ///< answers still to lose: the call takes effect, then its exchange is aborted
    bool isOutage = false; ///< rejects every call except those that set faults
    bool isSilent = false; ///< sends nothing more, but keeps connections open
    bool silencesOpenOnly = false; ///< applies isSilent only to exchanges that began before it was set
    std::string crashOn; ///< request body text that crashes the process; empty for none
    bool isLeaving = false; ///< sets `leaving` in the load report
    double eventDropProbability = 0; ///< probability in [0, 1] that a cache event is not published

    friend bool operator==(const Faults &, const Faults &) = default;

    /// @brief Whether a request with this body crashes the process.
    bool crashesOn(std::string_view body) const;
};

/// @brief Why a request to set faults was rejected.
enum class FaultsError {
    NotAnObject,
    UnknownFault,
    WrongType,
};

/// @brief Parses a request to set faults.
/// @param body JSON object of all faults to inject from now on; {} clears them
tl::expected<Faults, FaultsError> readFaults(std::string_view body);

} // namespace turmericplank::standins
