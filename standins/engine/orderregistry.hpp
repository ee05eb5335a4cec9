#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/number.hpp"

namespace turmericplank::standins::engine {

/// @brief What an order asks for.
enum class OrderKind { Load, Unload, LoadAdapter, UnloadAdapter, SetRole, SetTerm };

/// @brief Reads the word of an order's kind.
/// @param text load, unload, load_adapter, unload_adapter, set_role or set_term
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

/// @brief How far an order has come.
enum class OrderState { Running, Done, Failed };

/// @brief Why an order was refused without any effect.
enum class OrderRejection { StaleTerm, OutOfMemory };

/// @brief A model of one version.
struct Resident
{
    std::string model;
    std::string version;

    // The linter takes the zero of the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Resident &, const Resident &) = default;
};

/// @brief Outcome of taking an order.
struct OrderReceipt
{
    OrderState state = OrderState::Running;
    bool isNew = false; ///< whether its work has to be started now

    friend bool operator==(const OrderReceipt &, const OrderReceipt &) = default;
};

/// @brief Orders of an engine and the accelerator memory that they hold.
///
/// A load holds its memory from the moment that it is taken, an unload gives it back when it is finished.
class OrderRegistry
{
public:
    /// @param memoryMib accelerator memory
    /// @param checksFencing whether orders with an old term are refused
    OrderRegistry(std::uint32_t memoryMib, bool checksFencing);

    /// @brief Takes an order; a repeated one has no second effect.
    /// @param order the order
    tl::expected<OrderReceipt, OrderRejection> accept(const Order &order);

    /// @brief Ends the work of an order that was taken as new.
    /// @param id the order
    void finish(const std::string &id);

    /// @brief Version of a resident model that new requests run on, the one loaded last.
    /// @param model name of a model
    std::optional<Resident> servingVersion(const std::string &model) const;

    /// @brief The model that a request's name stands for: a model itself or the base of a resident adapter.
    /// @param name as the caller wrote it
    std::optional<Resident> resolve(const std::string &name) const;

    /// @brief Resident models.
    std::vector<Resident> residents() const;
    /// @brief Resident adapters.
    std::vector<std::string> adapters() const;
    /// @brief States of all orders by their ids.
    const std::map<std::string, OrderState> &orders() const;
    /// @brief An order that was taken.
    /// @param id the order
    const Order &order(const std::string &id) const;

    /// @brief Accelerator memory that is held, loads in progress included.
    std::uint32_t usedMib() const;
    /// @brief Highest term of any order.
    base::Term highestTerm() const;
    /// @brief Loads that were refused for want of memory.
    std::uint64_t overcommitAttempts() const;
    /// @brief Role that was ordered last.
    const std::string &role() const;

private:
    enum class Stage { Loading, Resident, Unloading };

    struct Allocation
    {
        std::uint32_t memoryMib = 0;
        Stage stage = Stage::Loading;
        std::uint64_t loadNumber = 0; ///< grows with each load
        std::string baseModel; ///< base model of an adapter
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
