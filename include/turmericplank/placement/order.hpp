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

/// @brief Operation that an order requests from an engine.
enum class OrderKind { Load, Unload, LoadAdapter, UnloadAdapter, SetRole, SetTerm };

/// @brief Name of an order kind on the wire.
std::string_view toString(OrderKind kind);

/// @brief Parses the name of an order kind.
/// @param text name such as load or set_role
/// @return nothing for an unknown name
std::optional<OrderKind> parseOrderKind(std::string_view text);

/// @brief Weights in accelerator memory: a version of a model, or an adapter.
struct Resident
{
    base::ModelName model; ///< the base model, for an adapter
    std::string version; ///< empty for an adapter
    base::AdapterName adapter; ///< empty for a model

    friend auto operator<=>(const Resident &, const Resident &) = default;
    friend bool operator==(const Resident &, const Resident &) = default;
};

/// @brief Order to one engine. An engine carries out an order at most once; a repeated identifier has no further effect.
struct Order
{
    std::string id; ///< term and sequence number; unique across all lease holders
    base::Term term;
    OrderKind kind = OrderKind::Load;
    base::EndpointId endpoint;
    base::DaemonId holder; ///< daemon that issued the order
    Resident resident; ///< empty for SetRole and SetTerm
    std::string role;
    std::uint32_t memoryMib = 0;

    friend auto operator<=>(const Order &, const Order &) = default;
    friend bool operator==(const Order &, const Order &) = default;
};

/// @brief Whether an order of this kind allocates accelerator memory.
constexpr bool takesMemory(OrderKind kind)
{
    return kind == OrderKind::Load || kind == OrderKind::LoadAdapter;
}

/// @brief Whether an order of this kind frees accelerator memory.
constexpr bool freesMemory(OrderKind kind)
{
    return kind == OrderKind::Unload || kind == OrderKind::UnloadAdapter;
}

/// @brief An engine's answer to an order, or the lack of one.
enum class OrderAnswer {
    Running, ///< accepted and not finished
    Done,
    Failed, ///< accepted, but ended without effect
    StaleTerm, ///< rejected: the engine has seen a higher term
    OutOfMemory, ///< rejected: the load does not fit
    NotSent, ///< no byte was sent
    Lost, ///< no answer; the order may have been carried out or may still be
};

/// @brief State reported by an engine at one point in time.
struct Inventory
{
    base::Incarnation incarnation;
    std::uint32_t memoryMib = 0; ///< accelerator memory in use
    std::string role;
    base::Term highestTerm;
    std::map<Resident, std::uint32_t> residents; ///< memory in MiB, zero if the engine does not report it
    std::map<std::string, OrderAnswer> orders; ///< orders known to this incarnation, by identifier

    friend bool operator==(const Inventory &, const Inventory &) = default;
};

} // namespace turmericplank::placement
