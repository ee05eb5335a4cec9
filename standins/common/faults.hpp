#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/time.hpp"

namespace turmericplank::standins {

/// @brief Faults that a stand-in was asked for; the default has none.
struct Faults
{
    base::Duration delay{}; ///< each answer waits
    std::uint32_t answersToLose = 0; ///< answers still to lose after their calls took effect
    bool isOutage = false; ///< every call but the one that sets faults is refused
    bool isSilent = false; ///< open connections stay open and nothing comes
    bool silencesOpenOnly = false; ///< connections made after the fault was set work
    std::string crashOn; ///< text of a body that ends the process, empty for none
    bool isLeaving = false; ///< the load report says so
    double eventDropProbability = 0; ///< share of cache events that are never published

    friend bool operator==(const Faults &, const Faults &) = default;

    /// @brief Whether a request with this body ends the process.
    /// @param body the request's body
    bool crashesOn(std::string_view body) const;
};

/// @brief Why a request for faults was refused.
enum class FaultsError {
    NotAnObject,
    UnknownFault,
    WrongType,
};

/// @brief Reads a request for faults, which replaces all earlier ones.
/// @param body JSON object, {} for no faults
tl::expected<Faults, FaultsError> readFaults(std::string_view body);

} // namespace turmericplank::standins
