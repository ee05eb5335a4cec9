#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/discovery/endpointentry.hpp"

namespace turmericplank::placement {

/// @brief An order to an engine that takes effect only in one state of it.
///
/// The engine counts the orders that it accepts; one whose expected count differs has no effect, however late it arrives.
struct ConditionalOrder
{
    bool isLoad = true; ///< otherwise an unload
    base::EndpointId endpoint;
    base::ModelName model;
    std::string adapter; ///< empty for the model itself
    std::uint64_t expectedSequence = 0;
    base::DaemonId holder;
    base::Term term;

    friend bool operator==(const ConditionalOrder &, const ConditionalOrder &) = default;
};

/// @brief What an engine answered to a conditional order.
enum class ConditionalAnswer {
    Accepted, ///< it is being carried out
    AlreadySo, ///< nothing to do, or done at once
    WrongState, ///< another order is under way, or the count differs
    StaleTerm, ///< the engine has seen a higher term
    Misdirected, ///< another instance is there
    Rejected, ///< the engine cannot carry it out
    Lost, ///< no answer; it may be carried out, now or later
};

/// @brief The word of an answer in logs.
std::string_view toString(ConditionalAnswer answer);

/// @brief What an engine holds, in its own words.
struct EngineState
{
    base::Incarnation incarnation;
    std::uint64_t sequence = 0; ///< orders accepted in this incarnation
    discovery::HeldModels models;
    std::set<std::pair<base::ModelName, std::string>> arrivingAdapters; ///< adapters on their way from the store
    bool isBusy = false; ///< an order for a model is under way
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    friend bool operator==(const EngineState &, const EngineState &) = default;
};

} // namespace turmericplank::placement
