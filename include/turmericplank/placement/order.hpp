#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"

namespace turmericplank::placement {

/// @brief What an order asks an engine to do.
enum class OrderKind { Load, Unload, LoadAdapter, UnloadAdapter, SetRole, SetTerm };

/// @brief The word of a kind on the wire.
/// @param kind the kind
std::string_view toString(OrderKind kind);

/// @brief Reads the word of a kind.
/// @param text a word such as load or set_role
/// @return nothing for any other word
std::optional<OrderKind> parseOrderKind(std::string_view text);

/// @brief Weights in accelerator memory: one version of a model, or an adapter.
struct Resident
{
    base::ModelName model; ///< the base model, for an adapter
    std::string version; ///< empty for an adapter
    base::AdapterName adapter; ///< empty for a model

    friend auto operator<=>(const Resident &, const Resident &) = default;
    friend bool operator==(const Resident &, const Resident &) = default;
};

/// @brief One order to one engine; the engine gives a repeated identifier no second effect.
struct Order
{
    std::string id; ///< unique over all holders: term and sequence number
    base::Term term;
    OrderKind kind = OrderKind::Load;
    base::EndpointId endpoint;
    base::DaemonId holder; ///< daemon that issued it
    Resident resident; ///< empty for a role or a term
    std::string role;
    std::uint32_t memoryMib = 0;

    friend auto operator<=>(const Order &, const Order &) = default;
    friend bool operator==(const Order &, const Order &) = default;
};

/// @brief Whether an order takes memory when it is carried out.
/// @param kind the order's kind
constexpr bool takesMemory(OrderKind kind)
{
    return kind == OrderKind::Load || kind == OrderKind::LoadAdapter;
}

/// @brief Whether an order frees memory when it is carried out.
/// @param kind the order's kind
constexpr bool freesMemory(OrderKind kind)
{
    return kind == OrderKind::Unload || kind == OrderKind::UnloadAdapter;
}

/// @brief What an engine said of an order, or that nothing came.
enum class OrderAnswer {
    Running, ///< accepted, not finished
    Done,
    Failed, ///< accepted and ended without effect
    StaleTerm, ///< refused: the engine knows a higher term
    OutOfMemory, ///< refused: it would not fit
    NotSent, ///< no byte left this daemon
    Lost, ///< no answer; the order may still be carried out
};

/// @brief What an engine holds as of one moment.
struct Inventory
{
    base::Incarnation incarnation;
    std::uint32_t memoryMib = 0; ///< accelerator memory in use
    std::string role;
    base::Term highestTerm;
    std::map<Resident, std::uint32_t> residents; ///< memory in MiB, zero where the engine does not say
    std::map<std::string, OrderAnswer> orders; ///< orders that this incarnation knows

    friend bool operator==(const Inventory &, const Inventory &) = default;
};

} // namespace turmericplank::placement
