#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/document.hpp"
#include "turmericplank/placement/cellrows.hpp"
#include "turmericplank/placement/lease.hpp"
#include "turmericplank/placement/memoryledger.hpp"
#include "turmericplank/placement/order.hpp"
#include "turmericplank/placement/planner.hpp"
#include "turmericplank/placement/ratelimiter.hpp"

namespace turmericplank::placement {

/// @brief Purpose of a read of the table.
enum class ReadPurpose { Lease, Acknowledgements };

/// @brief Read the rows with a prefix; the result goes to Controller::rowsRead().
struct ReadRows
{
    std::string prefix;
    ReadPurpose purpose = ReadPurpose::Lease;

    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

/// @brief Write rows in one transaction; the result goes to Controller::rowsWritten().
struct WriteRows
{
    std::vector<store::RowWrite> rows;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

/// @brief Write the row that acknowledges that this daemon sends no more orders of earlier terms; the result is ignored.
struct WriteAcknowledgement
{
    store::RowWrite row;

    friend bool operator==(const WriteAcknowledgement &, const WriteAcknowledgement &) = default;
};

/// @brief Send an order to its engine; the answer goes to Controller::orderAnswered().
struct SendOrder
{
    Order order;

    friend bool operator==(const SendOrder &, const SendOrder &) = default;
};

/// @brief Fetch an engine's inventory; the result goes to Controller::inventoryFetched().
struct FetchInventory
{
    base::EndpointId endpoint;

    friend bool operator==(const FetchInventory &, const FetchInventory &) = default;
};

/// @brief Log a chosen move and its order.
struct LogDecision
{
    Order order;
    MoveReason reason = MoveReason::Demand;
    double gain = 0;

    friend bool operator==(const LogDecision &, const LogDecision &) = default;
};

using Action = std::variant<ReadRows, WriteRows, WriteAcknowledgement, SendOrder, FetchInventory, LogDecision>;
using Actions = std::vector<Action>;

/// @brief Rules that prevent overcommitted memory and unreachable models. Tests switch them off one by one to show that each is needed.
struct Safeguards
{
    bool recordsBeforeSending = true; ///< an order is sent only after its row is in the table
    bool writesUnderLease = true; ///< writes are conditional on the version of the lease row
    bool countsOpenLoads = true; ///< the memory of open loads counts as committed
    bool repeatsOpenOrders = true; ///< an order without an answer is sent again instead of being given up
    bool settlesInheritedOrders = true; ///< a new holder tracks and settles the open orders of earlier holders
    bool reopensAfterRestart = true; ///< after an engine restart, settled orders that another holder may still send count as open again
    bool tracksEveryHolder = true; ///< a recorded order is kept until every later holder, not only its issuer, has acknowledged
    bool reservesForRestart = true; ///< all loads that may reach a restarted engine fit into its memory together
    bool sendsTermFirst = true; ///< an engine that checks terms accepts the new term before it gets orders
    bool discardsStaleInventories = true; ///< an inventory is discarded if orders were opened or settled since it was requested
    bool settlesByLaterInventories = true; ///< an inventory settles only orders without an attempt since it was requested
    bool keepsLastReplica = true; ///< the last replica of a configured model is not unloaded
    bool stopsBeforeExpiry = true; ///< a holder stops sending before its lease expires

    friend bool operator==(const Safeguards &, const Safeguards &) = default;
};

/// @brief Intervals and callbacks of the controller.
struct ControllerOptions
{
    base::DaemonId self;
    base::CellName cell;
    base::Duration leaseDuration = std::chrono::seconds(10);
    base::Duration leaseSafetyMargin = std::chrono::seconds(3);
    base::Duration renewInterval = std::chrono::seconds(2);
    base::Duration tableRetryInterval = std::chrono::seconds(1);
    base::Duration orderRetryInterval = std::chrono::milliseconds(500);
    base::Duration inventoryInterval = std::chrono::seconds(2);
    base::Duration maxInventoryAge = std::chrono::milliseconds(2500); ///< before an unload, another replica must be shown by an inventory no older than this
    base::Duration planInterval = std::chrono::seconds(1);
    base::Duration acknowledgementInterval = std::chrono::seconds(5);
    Safeguards safeguards;
    /// Chooses moves; the controller carries out only the safe ones.
    std::function<std::vector<Move>(const PlanInput &)> plan;
    /// Returns the current demand of the cell; called only while this daemon holds the lease.
    std::function<Demand()> demand;
};

/// @brief Holds the placement lease of one cell and carries out the planner's moves without overcommitting memory.
class Controller
{
public:
    explicit Controller(ControllerOptions options);

    /// @brief Returns the actions that are due.
    /// @param now present time
    Actions tick(base::Time now);

    /// @brief Handles the result of ReadRows.
    Actions rowsRead(base::Time now, ReadPurpose purpose, const store::ReadResult &result);

    /// @brief Handles the result of WriteRows.
    Actions rowsWritten(base::Time now, const store::WriteResult &result);

    /// @brief Handles the result of FetchInventory; the inventory is empty if the fetch failed.
    Actions inventoryFetched(base::Time now, const base::EndpointId &endpoint, const std::optional<Inventory> &inventory);

    /// @brief Handles the answer to SendOrder.
    Actions orderAnswered(base::Time now, const Order &order, OrderAnswer answer);

    /// @brief Sets the configuration in force.
    void setDocument(std::shared_ptr<const configuration::Document> document);

    /// @brief Sets the endpoints that are alive.
    void setLiveEndpoints(std::set<base::EndpointId> live);

    /// @brief Handles the permanent removal of an entry VM. Its daemon cannot send any more orders.
    void daemonGone(const base::DaemonId &daemon);

    /// @brief Handles the listing of an entry VM, which may be a new one with the name of a removed one.
    void daemonListed(const base::DaemonId &daemon);

    /// @brief Handles the permanent removal of an endpoint's VM. No order can reach it any more.
    void endpointGone(const base::EndpointId &endpoint);

    /// @brief Whether this daemon holds the lease and no engine has reported a higher term.
    /// @param now present time
    bool holdsLease(base::Time now) const;

    /// @brief Whether the table is down and this daemon, as the last known holder, sends orders only to engines that check terms.
    bool isWithoutTable() const;

    /// @brief Lease of the cell.
    const Lease &lease() const;

    /// @brief Live endpoints as seen by the planner.
    std::vector<EngineSnapshot> engineSnapshots(base::Time now) const;

    /// @brief Orders whose outcome is not final.
    std::vector<Order> openOrders() const;

private:
    struct Record
    {
        Order order;
        MoveReason reason = MoveReason::Demand;
        double gain = 0;
        bool isWritten = false; ///< its row is in the table
        bool isUnrecorded = false; ///< opened while the table was down, not written yet
        bool isDeleting = false; ///< the deletion of its row is in flight
        bool isInherited = false; ///< opened by an earlier holder
        bool isSettled = false; ///< its outcome is final
        bool isInFlight = false; ///< sent and not answered
        bool hasLostAttempt = false;
        std::optional<base::Incarnation> settledIn;
        std::optional<base::Incarnation> sentTo;
        base::Time nextAttempt;
        std::uint64_t lastAttempt = 0; ///< value of m_eventCount at the last send or answer
    };

    struct Endpoint
    {
        MemoryLedger ledger;
        std::optional<base::Incarnation> incarnation;
        std::optional<base::Incarnation> termSentTo;
        std::string role;
        bool isTermAccepted = false;
        bool isTermInFlight = false;
        bool isStateKnown = false; ///< no unknown order can change the endpoint
        bool isInventoryDue = true;
        bool isInventoryInFlight = false;
        std::uint64_t changeCount = 0; ///< number of changes to its orders or incarnation
        std::uint64_t changeCountAtRequest = 0;
        std::uint64_t eventCountAtRequest = 0;
        base::Time nextInventory;
        base::Time inventoryRequestedAt; ///< when the last inventory was requested
        base::Time confirmedAt; ///< when the last inventory applied to the ledger was requested
        base::Time nextTerm;
    };

    void beginTerm(base::Time now);
    void endTerm();
    void syncWithLease(base::Time now);
    void handleAcknowledgements(base::Time now, Actions &actions);
    void updateEndpoints(base::Time now, Actions &actions);
    void sendTerm(base::Time now, const base::EndpointId &id, Endpoint &endpoint, Actions &actions);
    void sendOrders(base::Time now, Actions &actions);
    void fetchInventories(base::Time now, Actions &actions);
    void planMoves(base::Time now, Actions &actions);
    bool openOrder(base::Time now, const Move &move, Actions &actions);
    bool isLoadSafe(const Move &move, const Endpoint &endpoint) const;
    bool isUnloadSafe(base::Time now, const Move &move, const Endpoint &endpoint) const;
    bool hasOtherReplica(base::Time now, const Resident &resident, const base::EndpointId &except) const;
    bool maySend(base::Time now, const Record &record, const Endpoint &endpoint) const;
    bool acceptsOrders(base::Time now, const base::EndpointId &id, const Endpoint &endpoint) const;
    bool checksFencing(const base::EndpointId &id) const;
    bool isUnacknowledged(const base::DaemonId &holder) const;
    bool mayBeSentByOther(const Order &order) const;
    std::uint32_t unacknowledgedHolders() const;
    std::uint64_t memoryAfterRestart(const base::EndpointId &id, const Endpoint &endpoint) const;
    std::uint32_t countOpenLoads(OrderKind kind) const;
    bool hasOpenInherited(const base::EndpointId &id) const;
    bool knowsRunningOrders(const Inventory &inventory) const;
    void settle(Record &record, Endpoint &endpoint, bool isDone);
    void handleTermAnswer(base::Time now, const Order &order, OrderAnswer answer);
    void handleAnswer(base::Time now, Record &record, Endpoint &endpoint, OrderAnswer answer);
    void settleReportedOrders(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory);
    std::uint32_t configuredMemory(const Resident &resident) const;
    void handleIncarnation(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory);
    void deleteSettledOrders();
    void markWritten();
    void recordOpenOrders();

    ControllerOptions m_options;
    CellKeys m_keys;
    Lease m_lease;
    RateLimiter m_weightLoads;
    std::shared_ptr<const configuration::Document> m_document;
    std::set<base::EndpointId> m_liveEndpoints;
    std::set<base::DaemonId> m_goneDaemons; ///< daemons whose VMs were removed
    CellRows m_rows;
    base::Term m_heldTerm; ///< zero while this daemon is not the holder
    std::uint64_t m_sequence = 0;
    std::uint64_t m_eventCount = 0; ///< number of sends and answers so far
    bool m_isSuperseded = false; ///< an engine has seen a higher term
    bool m_isReadingAcknowledgements = false;
    std::map<std::string, Record> m_records;
    std::map<base::EndpointId, Endpoint> m_endpoints;
    std::set<std::pair<base::EndpointId, std::string>> m_inFlight; ///< sends without an answer, of all terms
    base::Time m_nextPlan;
    base::Time m_nextAcknowledgementRead;
    base::Time m_nextAcknowledgementWrite;
};

} // namespace turmericplank::placement
