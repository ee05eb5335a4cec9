#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testfakes.hpp"
#include "turmericplank/placement/controller.hpp"

namespace turmericplank::placement::test {

/// @brief Fault in the delivery of an order.
enum class DeliveryFault { AnswerLost, Delayed, Dropped, NotSent };

/// @brief Parameters of a simulation.
struct SimulationOptions
{
    std::uint32_t seed = 1;
    std::size_t holders = 3;
    std::vector<bool> checksFencing = {false, true, false, true};
    Safeguards safeguards;
    double randomMoveShare = 0.7; ///< share of planning steps that choose moves at random instead of calling the planner
};

/// @brief Simulates holders, engines and a table. After every action and every step it checks the actual memory of each engine, the
///        reachability of each model and the number of holders.
class Simulation
{
public:
    explicit Simulation(SimulationOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_document(std::make_shared<configuration::Document>())
    {
        const std::vector<std::uint32_t> sizes = {45, 40, 30, 25, 20};
        for (std::size_t n = 0; n < m_options.checksFencing.size(); ++n) {
            const base::EndpointId id("e" + std::to_string(n));
            m_ids.push_back(id);
            m_engines[id].checksFencing = m_options.checksFencing[n];
            m_document->endpoints[id] = {id, {}, base::ZoneName("r/" + std::to_string(n % 2)), 100, 8, m_options.checksFencing[n], "serve"};
        }
        for (std::size_t n = 0; n < sizes.size(); ++n) {
            const base::ModelName name("m" + std::to_string(n));
            m_document->models[name] = {name, "1", sizes[n], 1, 1500, 1.0};
        }
        m_document->placement.weightLoadsPerSecond = 50;
        m_holders.resize(m_options.holders);
        for (std::size_t n = 0; n < m_holders.size(); ++n) {
            m_holders[n].controller = makeController(n);
        }
    }

    /// @brief Advances the time; holders that are not paused act.
    void run(base::Duration duration)
    {
        constexpr auto Step = std::chrono::milliseconds(250);
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += Step;
            for (std::size_t n = 0; n < m_holders.size(); ++n) {
                if (!m_holders[n].isPaused) {
                    enqueue(n, m_holders[n].controller->tick(m_now));
                    performQueued(n);
                    receiveDelayedInventories(n);
                }
            }
            for (auto &[id, engine] : m_engines) {
                if (m_random() % 3 == 0) {
                    engine.finish();
                }
            }
            check();
        }
    }

    /// @brief Pauses a holder with actions in its queue.
    /// @param n index of the holder
    /// @param done number of queued actions performed before the pause
    void pause(std::size_t n, std::size_t done)
    {
        n %= m_holders.size();
        auto &holder = m_holders[n];
        if (holder.isPaused) {
            return;
        }
        enqueue(n, holder.controller->tick(m_now));
        for (; done > 0 && !holder.queue.empty(); --done) {
            const auto action = std::move(holder.queue.front());
            holder.queue.pop_front();
            perform(n, action);
            check();
        }
        holder.isPaused = true;
    }

    /// @brief Pauses the next holder that is about to perform a matching action, before it does so.
    void pauseBefore(std::function<bool(const Action &)> matches)
    {
        m_pauseBefore = std::move(matches);
    }

    bool isPaused(std::size_t n) const
    {
        return m_holders[n].isPaused;
    }

    void resumeAll()
    {
        for (std::size_t n = 0; n < m_holders.size(); ++n) {
            resume(n);
        }
    }

    void restartEngines()
    {
        for (std::size_t n = 0; n < m_ids.size(); ++n) {
            restartEngine(n);
        }
    }

    /// @brief Resumes a holder, which first performs its queued actions.
    void resume(std::size_t n)
    {
        m_holders[n % m_holders.size()].isPaused = false;
        performQueued(n % m_holders.size());
        check();
    }

    /// @brief Restarts a holder's process under the same name.
    void restartHolder(std::size_t n)
    {
        auto &holder = m_holders[n % m_holders.size()];
        holder.queue.clear();
        holder.delayedInventories.clear();
        holder.isPaused = false;
        holder.controller = makeController(n % m_holders.size());
    }

    void restartEngine(std::size_t n)
    {
        const auto &id = m_ids[n % m_ids.size()];
        for (const auto &[resident, memoryMib] : m_engines[id].residents) {
            m_lastLossAt[resident.model] = m_now;
        }
        m_engines[id].restart();
        std::erase_if(m_delayedOrders, [&id](const auto &order) { return order.endpoint == id; });
        std::erase_if(m_reachable, [this](const auto &model) { return !isResident(model); });
    }

    /// @brief Delivers one delayed order.
    void deliverDelayed(std::size_t n)
    {
        if (m_delayedOrders.empty()) {
            return;
        }
        const auto it = m_delayedOrders.begin() + static_cast<std::ptrdiff_t>(n % m_delayedOrders.size());
        const auto order = *it;
        m_delayedOrders.erase(it);
        m_engines[order.endpoint].receive(order, false);
        check();
    }

    /// @brief Changes the document: a new model version, or a model added or removed.
    void changeDocument(std::uint32_t choice)
    {
        auto changed = std::make_shared<configuration::Document>(*m_document);
        auto it = changed->models.begin();
        std::advance(it, choice % changed->models.size());
        if (choice % 3 == 0) {
            it->second.version = std::to_string(std::stoi(it->second.version) + 1);
        } else if (choice % 3 == 1 && changed->models.size() > 3) {
            m_reachable.erase(it->first);
            changed->models.erase(it);
        } else if (changed->models.size() < 6) {
            const base::ModelName name("n" + std::to_string(++m_addedModels));
            changed->models[name] = {name, "1", 25, 1, 1500, 1.0};
        }
        m_document = changed;
    }

    FakeTable &table()
    {
        return m_table;
    }

    void addDeliveryFault(DeliveryFault fault)
    {
        m_deliveryFaults.push_back(fault);
    }

    FakeEngine &engine(std::size_t n)
    {
        return m_engines[m_ids[n % m_ids.size()]];
    }

    Controller &controller(std::size_t n)
    {
        return *m_holders[n % m_holders.size()].controller;
    }

    /// @brief First violation of an invariant, empty if there was none.
    const std::string &violation() const
    {
        return m_violation;
    }

    std::uint64_t ordersSent() const
    {
        return m_ordersSent;
    }

    /// @brief Number of configured models that are resident on some engine.
    std::size_t reachableModelCount() const
    {
        const auto found = [this](const auto &entry) {
            return isResident(entry.first);
        };
        return static_cast<std::size_t>(std::count_if(m_document->models.begin(), m_document->models.end(), found));
    }

    /// @brief Number of holders that may send orders now.
    std::size_t holderCount() const
    {
        const auto holds = [this](const auto &it) {
            return it.controller->holdsLease(m_now);
        };
        return static_cast<std::size_t>(std::count_if(m_holders.begin(), m_holders.end(), holds));
    }

private:
    struct Holder
    {
        std::unique_ptr<Controller> controller;
        bool isPaused = false;
        std::deque<Action> queue;
        std::vector<std::pair<base::EndpointId, Inventory>> delayedInventories; ///< inventories that were fetched and not delivered yet
    };

    std::unique_ptr<Controller> makeController(std::size_t n)
    {
        ControllerOptions options;
        options.self = base::DaemonId("d" + std::to_string(n));
        options.cell = base::CellName("c");
        options.safeguards = m_options.safeguards;
        options.plan = [this](const PlanInput &input) {
            return chooseMoves(input);
        };
        auto controller = std::make_unique<Controller>(std::move(options));
        controller->setDocument(m_document);
        controller->setLiveEndpoints({m_ids.begin(), m_ids.end()});
        return controller;
    }

    std::vector<Move> chooseMoves(const PlanInput &input)
    {
        if (std::uniform_real_distribution<>()(m_random) >= m_options.randomMoveShare) {
            return plan(input, PlannerOptions());
        }
        std::vector<Move> moves;
        for (int n = 0; n < 4; ++n) {
            const auto &endpoint = input.endpoints[m_random() % input.endpoints.size()];
            auto it = input.document->models.begin();
            std::advance(it, m_random() % input.document->models.size());
            const bool isUnload = m_random() % 2 == 0 && !endpoint.residents.empty();
            if (isUnload) {
                auto held = endpoint.residents.begin();
                std::advance(held, m_random() % endpoint.residents.size());
                moves.push_back({OrderKind::Unload, endpoint.id, held->first, {}, 0, MoveReason::MakeRoom, 0});
            } else {
                moves.push_back({OrderKind::Load, endpoint.id, {it->first, it->second.version, {}}, {}, 0, MoveReason::Demand, 0});
            }
        }
        return moves;
    }

    void enqueue(std::size_t n, Actions actions)
    {
        for (const auto &action : actions) {
            if (const auto *decision = std::get_if<LogDecision>(&action)) {
                m_decidedAt[decision->order.id] = m_now;
            }
        }
        auto &queue = m_holders[n].queue;
        queue.insert(queue.end(), std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    }

    void performQueued(std::size_t n)
    {
        auto &holder = m_holders[n];
        holder.controller->setDocument(m_document);
        while (!holder.queue.empty()) {
            if (m_pauseBefore && m_pauseBefore(holder.queue.front())) {
                m_pauseBefore = nullptr;
                holder.isPaused = true;
                return;
            }
            const auto action = std::move(holder.queue.front());
            holder.queue.pop_front();
            perform(n, action);
            check();
        }
    }

    void receiveDelayedInventories(std::size_t n)
    {
        const auto delayedInventories = std::exchange(m_holders[n].delayedInventories, {});
        for (const auto &[endpoint, inventory] : delayedInventories) {
            enqueue(n, m_holders[n].controller->inventoryFetched(m_now, endpoint, inventory));
            if (!m_holders[n].isPaused) {
                performQueued(n);
            }
        }
    }

    void perform(std::size_t n, const Action &action)
    {
        auto &controller = *m_holders[n].controller;
        if (const auto *read = std::get_if<ReadRows>(&action)) {
            enqueue(n, controller.rowsRead(m_now, read->purpose, m_table.read(read->prefix)));
        } else if (const auto *write = std::get_if<WriteRows>(&action)) {
            enqueue(n, controller.rowsWritten(m_now, m_table.write(write->rows)));
        } else if (const auto *note = std::get_if<WriteAcknowledgement>(&action)) {
            m_table.write({note->row});
        } else if (const auto *order = std::get_if<SendOrder>(&action)) {
            send(n, order->order);
        } else if (const auto *fetch = std::get_if<FetchInventory>(&action)) {
            const auto inventory = m_engines[fetch->endpoint].inventory();
            if (m_random() % 4 == 0) {
                m_holders[n].delayedInventories.emplace_back(fetch->endpoint, inventory);
            } else {
                enqueue(n, controller.inventoryFetched(m_now, fetch->endpoint, inventory));
            }
        }
    }

    void send(std::size_t n, const Order &order)
    {
        ++m_ordersSent;
        auto &engine = m_engines[order.endpoint];
        auto answer = OrderAnswer::Lost;
        if (m_deliveryFaults.empty()) {
            answer = engine.receive(order, m_random() % 2 == 0);
        } else {
            const auto fault = m_deliveryFaults.front();
            m_deliveryFaults.pop_front();
            if (fault == DeliveryFault::AnswerLost) {
                engine.receive(order, m_random() % 2 == 0);
            } else if (fault == DeliveryFault::Delayed) {
                m_delayedOrders.push_back(order);
            } else if (fault == DeliveryFault::NotSent) {
                answer = OrderAnswer::NotSent;
            }
        }
        enqueue(n, m_holders[n].controller->orderAnswered(m_now, order, answer));
    }

    bool isResident(const base::ModelName &model) const
    {
        return std::any_of(m_engines.begin(), m_engines.end(), [&model](const auto &entry) {
            const auto &residents = entry.second.residents;
            return std::any_of(residents.begin(), residents.end(), [&model](const auto &it) { return it.first.model == model; });
        });
    }

    void check()
    {
        for (const auto &[id, engine] : m_engines) {
            if (engine.memory() > engine.capacityMib) {
                fail("overcommitted " + id.text());
            }
        }
        for (const auto &[name, model] : m_document->models) {
            if (isResident(name)) {
                m_reachable.insert(name);
            } else if (m_reachable.erase(name) > 0 && !isCausedByUnseenLoss(name)) {
                fail("unreachable " + name.text());
            }
        }
        if (holderCount() > 1) {
            fail("two holders");
        }
    }

    /// Whether a model became unreachable because the holder that chose the last unload could not know yet that another replica was lost.
    bool isCausedByUnseenLoss(const base::ModelName &model) const
    {
        constexpr auto DetectionTime = std::chrono::seconds(3); // inventory interval and one step
        const auto loss = m_lastLossAt.find(model);
        if (loss == m_lastLossAt.end()) {
            return false;
        }
        return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const auto unload = entry.second.lastUnloads.find(model);
            const auto decided = unload == entry.second.lastUnloads.end() ? m_decidedAt.end() : m_decidedAt.find(unload->second);
            return decided == m_decidedAt.end() || decided->second < loss->second + DetectionTime;
        });
    }

    void fail(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what;
        }
    }

    SimulationOptions m_options;
    std::mt19937 m_random;
    base::Time m_now = base::timeFromMilliseconds(1'000'000);
    FakeTable m_table;
    std::shared_ptr<configuration::Document> m_document;
    std::vector<base::EndpointId> m_ids;
    std::map<base::EndpointId, FakeEngine> m_engines;
    std::vector<Holder> m_holders;
    std::vector<Order> m_delayedOrders;
    std::deque<DeliveryFault> m_deliveryFaults;
    std::function<bool(const Action &)> m_pauseBefore;
    std::set<base::ModelName> m_reachable;
    std::map<base::ModelName, base::Time> m_lastLossAt; ///< when a restart last removed a replica
    std::map<std::string, base::Time> m_decidedAt; ///< when each order was decided
    std::string m_violation;
    std::uint64_t m_ordersSent = 0;
    std::uint32_t m_addedModels = 0;
};

/// @brief Whether an action sends a load.
inline bool isLoad(const Action &action)
{
    const auto *send = std::get_if<SendOrder>(&action);
    return send != nullptr && send->order.kind == OrderKind::Load;
}

/// @brief Whether an action writes to the table.
inline bool isWrite(const Action &action)
{
    return std::holds_alternative<WriteRows>(action);
}

} // namespace turmericplank::placement::test
