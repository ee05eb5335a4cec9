#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/number.hpp"

namespace turmericplank::standins::engine {

/// @brief Kind of an order.
enum class OrderKind { Load, Unload, LoadAdapter, UnloadAdapter, SetRole, SetTerm };

/// @brief Parses the kind of an order.
/// @param text load, unload, load_adapter, unload_adapter, set_role or set_term
/// @return empty if the text is none of these
std::optional<OrderKind> parseOrderKind(const std::string &text);

/// @brief An order to an engine.
struct Order
{
    std::string id;
    base::Term term;
    OrderKind kind = OrderKind::SetTerm;
    std::string model;
    std::string version;
    std::string adapter;
    std::string role;
    std::uint32_t memoryMib = 0;

    friend bool operator==(const Order &, const Order &) = default;
};

/// @brief Progress of an order.
enum class OrderState { Running, Done, Failed };

/// @brief Why an order was rejected. A rejected order loads and unloads nothing.
enum class OrderRejection { StaleTerm, OutOfMemory };

/// @brief A model in one version.
struct Resident
{
    std::string model;
    std::string version;

    // clang-tidy mistakes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Resident &, const Resident &) = default;
};

/// @brief Result of accepting an order.
struct OrderReceipt
{
    OrderState state = OrderState::Running;
    bool isNew = false; ///< whether the caller has to start the work of the order

    friend bool operator==(const OrderReceipt &, const OrderReceipt &) = default;
};

/// @brief Tracks the orders of an engine, its resident models and adapters, and the accelerator memory they use.
///
/// A load allocates its memory when the order is accepted; an unload frees the memory when the order is finished.
class OrderRegistry
{
public:
    /// @param memoryMib accelerator memory of the engine
    /// @param checksFencing whether orders with an outdated term are rejected
    OrderRegistry(std::uint32_t memoryMib, bool checksFencing);

    /// @brief Accepts an order. A repeated order id has no further effect.
    tl::expected<OrderReceipt, OrderRejection> accept(const Order &order);

    /// @brief Marks the work of an order as done.
    /// @param id id of an order that was accepted as new and is still running
    void finish(const std::string &id);

    /// @brief Version of a model that new requests run on: the resident version that was loaded last.
    /// @return empty if no version is resident
    std::optional<Resident> servingVersion(const std::string &model) const;

    /// @brief Resolves the model name of a request to the model that serves it: the model itself or the base model of an adapter.
    /// @return empty if the model or adapter is not resident
    std::optional<Resident> resolve(const std::string &name) const;

    /// @brief Resident models.
    std::vector<Resident> residents() const;
    /// @brief Resident adapters.
    std::vector<std::string> adapters() const;
    /// @brief States of all accepted orders by order id.
    const std::map<std::string, OrderState> &orders() const;
    /// @brief An accepted order.
    /// @param id id of the order; must be known
    const Order &order(const std::string &id) const;

    /// @brief Allocated accelerator memory, including loads in progress.
    std::uint32_t usedMib() const;
    /// @brief Highest term of any order so far.
    base::Term highestTerm() const;
    /// @brief Number of loads rejected because of insufficient memory.
    std::uint64_t overcommitAttempts() const;
    /// @brief Role set by the latest order.
    const std::string &role() const;

private:
    enum class Stage { Loading, Resident, Unloading };

    struct Allocation
    {
        std::uint32_t memoryMib = 0;
        Stage stage = Stage::Loading;
        std::uint64_t loadNumber = 0; ///< number of the load, higher for later ones; 0 if nothing is allocated
        std::string baseModel; ///< base model if this is an adapter
    };

    OrderState start(const Order &order);
    OrderState startLoad(const Order &order);
    OrderState startUnload(const Order &order);
    bool fits(const Order &order);
    void freeMemory(const Order &order);

    std::uint32_t m_memoryMib;
    bool m_checksFencing;
    std::uint32_t m_usedMib = 0;
    base::Term m_highestTerm;
    std::uint64_t m_overcommitAttempts = 0;
    std::uint64_t m_loadCount = 0;
    std::string m_role = "serve";
    std::map<Resident, Allocation> m_models;
    std::map<std::string, Allocation> m_adapters;
    std::map<std::string, OrderState> m_states;
    std::map<std::string, Order> m_orders;
};

} // namespace turmericplank::standins::engine
