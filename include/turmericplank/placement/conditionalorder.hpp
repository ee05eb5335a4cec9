#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/discovery/endpointentry.hpp"

namespace turmericplank::placement {

/// @brief Order that an engine carries out only if the engine is in the expected state.
///
/// An engine counts the orders it accepts and rejects an order whose expected count differs. An order that is delivered
/// late therefore has no effect once another order was accepted.
struct ConditionalOrder
{
    bool isLoad = true; ///< otherwise an unload
    base::EndpointId endpoint;
    base::ModelName model;
    std::string adapter; ///< empty for the model itself
    std::uint64_t expectedSequence = 0; ///< number of orders that the engine must have accepted before this one
    base::DaemonId holder; ///< lease holder that sends the order
    base::Term term;

    friend bool operator==(const ConditionalOrder &, const ConditionalOrder &) = default;
};

/// @brief An engine's answer to a conditional order.
enum class ConditionalAnswer {
    Accepted, ///< the engine carries the order out
    AlreadySo, ///< the engine was in the requested state already, or reached it at once
    WrongState, ///< another order is in progress, or the count of accepted orders differs
    StaleTerm, ///< the engine has seen a higher term
    Misdirected, ///< another engine instance runs at the address
    Rejected, ///< the engine cannot carry the order out
    Lost, ///< no answer; the order may have been carried out or may still be
};

/// @brief Name of an answer in logs.
std::string_view toString(ConditionalAnswer answer);

/// @brief State that an engine reports about itself.
struct EngineState
{
    base::Incarnation incarnation;
    std::uint64_t sequence = 0; ///< number of orders accepted in this incarnation
    discovery::HeldModels models;
    std::set<std::pair<base::ModelName, std::string>> arrivingAdapters; ///< model and short name of the adapters that are being loaded
    bool isBusy = false; ///< a model is being loaded or unloaded
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;

    friend bool operator==(const EngineState &, const EngineState &) = default;
};

} // namespace turmericplank::placement
