#pragma once

#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/placement/conditionalorder.hpp"
#include "turmericplank/placement/planner.hpp"
#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::placement {

/// @brief Timeouts and limits for conditional orders.
struct EngineOrdersOptions
{
    base::Duration reportLag = std::chrono::milliseconds(400); ///< an engine's report includes what the engine did at least this long ago
    base::Duration queryInterval = std::chrono::milliseconds(200); ///< between two queries for the state of one engine
    base::Duration entryLag = std::chrono::milliseconds(3500); ///< after this time an endpoint entry shows the effect of an order
    base::Duration expectedCopyLoadTime = std::chrono::milliseconds(700); ///< the same for a load from the engine's own copy, which takes about a second
    base::Duration expectedUnloadTime = std::chrono::milliseconds(250); ///< wait before the first query whether an unload has finished
    /// Share of an engine's slots that is planned with. With more requests first tokens are late, because prompts are computed between
    /// decoding steps.
    double usableSlotShare = 0.25;
    /// Multiple of a model's load time after which a load or unload counts as overdue. The engine is then queried, and new orders are
    /// planned for it unless it is still busy.
    double loadTimeoutFactor = 4;
};

/// @brief Creates and tracks the orders that the holder of the placement lease sends to the engines of one service.
///
/// Each order is conditional on the number of orders that the engine has accepted, so at most one of several orders that
/// expect the same number takes effect. An order whose answer was lost and that is delivered late cannot overcommit memory,
/// because any order accepted since then has increased the number.
class EngineOrders
{
public:
    explicit EngineOrders(EngineOrdersOptions options = {});

    /// @brief Sets the model sizes and the limits of the engines.
    void setSpec(const routes::EngineSpec &spec);

    /// @brief Updates an engine from its endpoint entry. If the entry contradicts the known state, the engine is queried.
    /// @param isLeaving whether the endpoint is leaving; it gets no more orders
    void updateEngine(const discovery::EndpointEntry &entry, bool isLeaving, base::Time now);

    /// @brief Removes an engine that no longer exists.
    void removeEngine(const base::EndpointId &id);

    /// @brief Begins to send orders under a term of the lease.
    ///
    /// In a new term, other daemons may have sent orders before: the orders in progress are discarded and every engine is queried before
    /// its next order. A term that begins again after a late renewal changes nothing, since no other daemon has sent orders in between;
    /// loads under way must not be forgotten, or other models would be evicted for them once more.
    /// @return whether the term is a new one
    bool beginTerm(base::Term term);

    /// @brief Sends no order to an engine before the given time, and queries its state before the next order.
    void holdOrdersUntil(const base::EndpointId &id, base::Time until);

    /// @brief Applies an engine's state report. It is ignored while an order awaits its answer, if it was requested too early
    ///        to show the latest changes, or if it is from an earlier incarnation.
    /// @param requestedAt when the report was requested
    void applyState(const base::EndpointId &id, const EngineState &state, base::Time requestedAt);

    /// @brief Engines as seen by the planner; engines that are leaving are left out.
    std::vector<EngineSnapshot> engineSnapshots() const;

    /// @brief Creates the order for a move if the move is safe now.
    /// @return nothing if the engine cannot take an order now, memory or adapter slots do not suffice, or a model would lose its last replica
    std::optional<ConditionalOrder> open(const Move &move, const base::DaemonId &holder, base::Term term, base::Time now);

    /// @brief Handles the answer to an order.
    /// @return whether the known residents of the engine have changed
    bool answered(const ConditionalOrder &order, ConditionalAnswer answer, base::Time now);

    /// @brief Engines whose state has to be queried now. The next query of each is scheduled by this call.
    std::vector<base::EndpointId> enginesToQuery(base::Time now);

    /// @brief Last known state of an engine, or nullptr if the engine is unknown.
    const EngineState *state(const base::EndpointId &id) const;

private:
    struct Engine
    {
        discovery::EndpointEntry entry;
        bool isLeaving = false;
        EngineState state;
        std::optional<ConditionalOrder> sent; ///< order without an answer
        std::optional<ConditionalOrder> modelOrder; ///< accepted load or unload of a model that is not known to have finished
        base::Time modelOrderDeadline;
        bool isStateUncertain = false; ///< no order is sent before a report requested at minReportTime or later has arrived
        base::Time minReportTime;
        base::Time nextQuery;
        base::Time entryValidFrom; ///< entries received from this time on show the effect of all orders
    };

    std::uint32_t residentMemory(const EngineState &state) const;
    std::uint32_t committedMemory(const Engine &engine) const;
    std::uint32_t adapterCount(const Engine &engine) const;
    const routes::ModelSpec *modelSpec(const base::ModelName &model) const;
    bool fits(const Engine &engine, const Move &move) const;
    bool keepsReplica(const Engine &engine, const Move &move) const;
    void settleModelOrder(Engine &engine);
    void markUncertain(Engine &engine, base::Time now) const;

    EngineOrdersOptions m_options;
    routes::EngineSpec m_spec;
    base::Term m_term; ///< under which orders were last sent
    std::map<base::EndpointId, Engine> m_engines;
};

} // namespace turmericplank::placement
