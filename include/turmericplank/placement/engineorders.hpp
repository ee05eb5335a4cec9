#pragma once

#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/placement/conditionalorder.hpp"
#include "turmericplank/placement/planner.hpp"
#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::placement {

/// @brief Waiting times of conditional orders.
struct EngineOrdersOptions
{
    base::Duration reportLag = std::chrono::milliseconds(400); ///< a report shows what an engine did this long ago, or longer
    base::Duration askInterval = std::chrono::milliseconds(500); ///< between two questions for the state of one engine
    base::Duration entryLag = std::chrono::milliseconds(3500); ///< an entry shows what an order did by then
    base::Duration unloadTime = std::chrono::milliseconds(500); ///< before the first question whether an unload has ended
    double usableSlots = 0.25; ///< of an engine's slots; with more requests its first tokens come late, since prompts are computed between steps
    double loadPatience = 4; ///< times a load's own time, after which its engine is asked and planned for anew
};

/// @brief Orders to the engines of one service by the holder of the placement lease.
///
/// Each order is conditional on the count of orders that the engine has accepted. At most one order made in one state can
/// take effect, so that one whose answer was lost and that is carried out late cannot overcommit memory: whatever was
/// ordered since has moved the count.
class EngineOrders
{
public:
    explicit EngineOrders(EngineOrdersOptions options = {});

    /// @brief Sets sizes and limits of the engines.
    void setSpec(const routes::EngineSpec &spec);

    /// @brief Takes an engine's entry; one that does not fit what is known of the engine makes it be asked.
    void updateEngine(const discovery::EndpointEntry &entry, bool isLeaving, base::Time now);

    /// @brief Forgets an engine that is gone.
    void removeEngine(const base::EndpointId &id);

    /// @brief Forgets what is under way, for example because another daemon gives the orders now.
    void reset();

    /// @brief Leaves an engine alone until then, and asks for its state before its next order.
    void holdOrdersUntil(const base::EndpointId &id, base::Time until);

    /// @brief Takes an engine's report.
    /// @param askedAt when it was asked for
    void applyState(const base::EndpointId &id, const EngineState &state, base::Time askedAt);

    /// @brief The engines as the policy sees them.
    std::vector<EndpointView> endpointViews() const;

    /// @brief Turns a move into an order, if it is safe now.
    /// @return nothing if the engine is not free, memory or slots do not suffice, or a model would lose its last replica
    std::optional<ConditionalOrder> open(const Move &move, const base::DaemonId &holder, base::Term term, base::Time now);

    /// @brief Takes the answer to an order.
    /// @return whether the engine's state, as it is known, has changed
    bool answered(const ConditionalOrder &order, ConditionalAnswer answer, base::Time now);

    /// @brief Engines whose state has to be asked for now; each counts as asked.
    std::vector<base::EndpointId> enginesToQuery(base::Time now);

    /// @brief An engine's state as it is known.
    const EngineState *state(const base::EndpointId &id) const;

private:
    struct Engine
    {
        discovery::EndpointEntry entry;
        bool isLeaving = false;
        EngineState state;
        std::optional<ConditionalOrder> sent; ///< without an answer
        std::optional<ConditionalOrder> modelOrder; ///< accepted and not seen done
        base::Time modelOrderUntil;
        bool isUnclear = false; ///< no order before a report that was asked for at statedAfter or later
        base::Time statedAfter;
        base::Time nextAsk;
        base::Time entryCountsFrom; ///< what the entry says by then includes all orders
    };

    std::uint32_t memoryOf(const EngineState &state) const;
    std::uint32_t charged(const Engine &engine) const;
    std::uint32_t adaptersOf(const Engine &engine) const;
    const routes::ModelSpec *spec(const base::ModelName &model) const;
    bool fits(const Engine &engine, const Move &move) const;
    bool leavesReplica(const Engine &engine, const Move &move) const;
    void settleModelOrder(Engine &engine);
    void makeUnclear(Engine &engine, base::Time now) const;

    EngineOrdersOptions m_options;
    routes::EngineSpec m_spec;
    std::map<base::EndpointId, Engine> m_engines;
};

} // namespace turmericplank::placement
