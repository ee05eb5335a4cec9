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

/// @brief What a read of the table is for.
enum class ReadPurpose { Lease, Acknowledgements };

/// @brief Read the rows with a prefix; answered by Controller::rowsRead().
struct ReadRows
{
    std::string prefix;
    ReadPurpose purpose = ReadPurpose::Lease;

    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

/// @brief Write rows in one transaction; answered by Controller::rowsWritten().
struct WriteRows
{
    std::vector<store::RowWrite> rows;

    friend bool operator==(const WriteRows &, const WriteRows &) = default;
};

/// @brief Write the row that says that this daemon sends nothing of an earlier term; its answer is not needed.
struct WriteAcknowledgement
{
    store::RowWrite row;

    friend bool operator==(const WriteAcknowledgement &, const WriteAcknowledgement &) = default;
};

/// @brief Send an order to its engine; answered by Controller::orderAnswered().
struct SendOrder
{
    Order order;

    friend bool operator==(const SendOrder &, const SendOrder &) = default;
};

/// @brief Fetch an engine's inventory; answered by Controller::inventoryFetched().
struct FetchInventory
{
    base::EndpointId endpoint;

    friend bool operator==(const FetchInventory &, const FetchInventory &) = default;
};

/// @brief A decision for the log.
struct LogDecision
{
    Order order;
    MoveReason reason = MoveReason::Demand;
    double gain = 0;

    friend bool operator==(const LogDecision &, const LogDecision &) = default;
};

using Action = std::variant<ReadRows, WriteRows, WriteAcknowledgement, SendOrder, FetchInventory, LogDecision>;
using Actions = std::vector<Action>;

/// @brief Rules that keep memory and reachability; each can be switched off to show what it is for.
struct Safeguards
{
    bool recordsBeforeSending = true;
    bool writesUnderLease = true; ///< a record is conditional on the lease's row
    bool chargesOpenLoads = true;
    bool repeatsOpenOrders = true; ///< an order without an answer is repeated, not taken for lost
    bool settlesInheritedOrders = true;
    bool reopensAfterRestart = true; ///< an unacknowledged holder's orders count again on a new incarnation
    bool mindsEveryHolder = true; ///< a recorded order is kept for every holder since, not only for the one that issued it
    bool reservesForRestart = true; ///< loads that may reach a new incarnation fit it together
    bool sendsTermFirst = true;
    bool discardsStaleInventories = true;
    bool settlesByLaterInventories = true; ///< an inventory settles only orders without an attempt since it was asked for
    bool keepsLastReplica = true;
    bool stopsBeforeLapse = true;

    friend bool operator==(const Safeguards &, const Safeguards &) = default;
};

/// @brief Deadlines and hooks of the controller.
struct ControllerOptions
{
    base::DaemonId self;
    base::CellName cell;
    base::Duration leaseLength = std::chrono::seconds(10);
    base::Duration leaseSafety = std::chrono::seconds(3);
    base::Duration renewInterval = std::chrono::seconds(2);
    base::Duration tableRetryInterval = std::chrono::seconds(1);
    base::Duration orderRetryInterval = std::chrono::milliseconds(500);
    base::Duration inventoryInterval = std::chrono::seconds(2);
    base::Duration replicaFreshness = std::chrono::milliseconds(2500); ///< age of the inventory that an unload elsewhere may rely on
    base::Duration planInterval = std::chrono::seconds(1);
    base::Duration acknowledgementInterval = std::chrono::seconds(5);
    Safeguards safeguards;
    /// Chooses moves; the controller carries out those that are safe.
    std::function<std::vector<Move>(const PlanInput &)> plan;
    /// Present demand of the cell; asked only while this daemon holds the lease.
    std::function<Demand()> demand;
};

/// @brief Holds the lease of one cell and carries out what the policy chooses, so that no memory is overcommitted.
class Controller
{
public:
    explicit Controller(ControllerOptions options);

    /// @brief Starts whatever is due.
    /// @param now present time
    Actions tick(base::Time now);

    /// @brief Takes the answer to ReadRows.
    Actions rowsRead(base::Time now, ReadPurpose purpose, const store::ReadResult &result);

    /// @brief Takes the answer to WriteRows.
    Actions rowsWritten(base::Time now, const store::WriteResult &result);

    /// @brief Takes the answer to FetchInventory; nothing if none came.
    Actions inventoryFetched(base::Time now, const base::EndpointId &endpoint, const std::optional<Inventory> &inventory);

    /// @brief Takes the answer to SendOrder.
    Actions orderAnswered(base::Time now, const Order &order, OrderAnswer answer);

    /// @brief Sets the configuration in force.
    void setDocument(std::shared_ptr<const configuration::Document> document);

    /// @brief Sets the endpoints that serve.
    void setLiveEndpoints(std::set<base::EndpointId> live);

    /// @brief Notes that an entry VM is gone for good: nothing that it meant to send can still be sent.
    void daemonGone(const base::DaemonId &daemon);

    /// @brief Notes that there is an entry VM of this name, perhaps a new one after an old one was gone.
    void daemonListed(const base::DaemonId &daemon);

    /// @brief Notes that an endpoint's VM is gone for good: no order reaches it any more.
    void endpointGone(const base::EndpointId &endpoint);

    /// @brief Whether this daemon holds the lease.
    /// @param now present time
    bool holdsLease(base::Time now) const;

    /// @brief Whether orders go on without the table, to engines that check terms.
    bool isWithoutTable() const;

    /// @brief The lease.
    const Lease &lease() const;

    /// @brief Endpoints as the policy sees them.
    std::vector<EndpointView> endpointViews(base::Time now) const;

    /// @brief Orders that are recorded, written or to be written, and not deleted.
    std::vector<Order> openOrders() const;

private:
    struct Record
    {
        Order order;
        MoveReason reason = MoveReason::Demand;
        double gain = 0;
        bool isWritten = false; ///< its row is in the table
        bool isUnrecorded = false; ///< opened while the table was down
        bool isDeleting = false; ///< its row's deletion is under way
        bool isInherited = false;
        bool isSettled = false;
        bool isUnderWay = false;
        bool hasLostAttempt = false;
        std::optional<base::Incarnation> settledIn;
        std::optional<base::Incarnation> sentTo;
        base::Time nextAttempt;
        std::uint64_t lastAttempt = 0; ///< event number of the last send or answer
    };

    struct Endpoint
    {
        MemoryLedger ledger;
        std::optional<base::Incarnation> incarnation;
        std::optional<base::Incarnation> termSentTo;
        std::string role;
        bool isTermAccepted = false;
        bool isTermUnderWay = false;
        bool isTrusted = false;
        bool isInventoryDue = true;
        bool isInventoryUnderWay = false;
        std::uint64_t changes = 0; ///< orders opened and settled
        std::uint64_t changesAtRequest = 0;
        std::uint64_t eventsAtRequest = 0;
        base::Time nextInventory;
        base::Time requestedAt; ///< when the last inventory was asked for
        base::Time confirmedAt; ///< when the last one that the ledger took was asked for
        base::Time nextTerm;
    };

    void beginTenure(base::Time now);
    void endTenure();
    void followLease(base::Time now);
    void acknowledge(base::Time now, Actions &actions);
    void advanceEndpoints(base::Time now, Actions &actions);
    void sendTerm(base::Time now, const base::EndpointId &id, Endpoint &endpoint, Actions &actions);
    void sendOrders(base::Time now, Actions &actions);
    void fetchInventories(base::Time now, Actions &actions);
    void planMoves(base::Time now, Actions &actions);
    bool open(base::Time now, const Move &move, Actions &actions);
    bool isLoadSafe(const Move &move, const Endpoint &endpoint) const;
    bool isUnloadSafe(base::Time now, const Move &move, const Endpoint &endpoint) const;
    bool hasOtherReplica(base::Time now, const Resident &resident, const base::EndpointId &except) const;
    bool maySend(base::Time now, const Record &record, const Endpoint &endpoint) const;
    bool acceptsOrders(base::Time now, const base::EndpointId &id, const Endpoint &endpoint) const;
    bool checksFencing(const base::EndpointId &id) const;
    bool isUnacknowledged(const base::DaemonId &holder) const;
    bool mayAnotherSend(const Order &order) const;
    std::uint32_t unacknowledgedHolders() const;
    std::uint64_t loadsAfterRestart(const base::EndpointId &id, const Endpoint &endpoint) const;
    std::uint32_t openLoads(OrderKind kind) const;
    bool hasOpenInherited(const base::EndpointId &id) const;
    bool knowsRunningOrders(const Inventory &inventory) const;
    void settle(Record &record, Endpoint &endpoint, bool isDone);
    void takeTermAnswer(base::Time now, const Order &order, OrderAnswer answer);
    void takeAnswer(base::Time now, Record &record, Endpoint &endpoint, OrderAnswer answer);
    void settleListed(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory);
    std::uint32_t configuredMemory(const Resident &resident) const;
    void takeIncarnation(const base::EndpointId &id, Endpoint &endpoint, const Inventory &inventory);
    void deleteSettled();
    void markWritten();
    void recordOpened();

    ControllerOptions m_options;
    CellKeys m_keys;
    Lease m_lease;
    RateLimiter m_weightLoads;
    std::shared_ptr<const configuration::Document> m_document;
    std::set<base::EndpointId> m_live;
    std::set<base::DaemonId> m_gone;
    CellRows m_rows;
    base::Term m_tenure;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_events = 0; ///< sends and answers so far
    bool m_isSuperseded = false;
    bool m_isReadingAcknowledgements = false;
    std::map<std::string, Record> m_records;
    std::map<base::EndpointId, Endpoint> m_endpoints;
    std::set<std::pair<base::EndpointId, std::string>> m_underWay; ///< sends without an answer, of every tenure
    base::Time m_nextPlan;
    base::Time m_nextAcknowledgements;
    base::Time m_nextAcknowledge;
};

} // namespace turmericplank::placement
