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

/// @brief How a sent order travels.
enum class SendFate { AnswerLost, Late, Dropped, NotSent };

/// @brief What a world consists of.
struct WorldOptions
{
    std::uint32_t seed = 1;
    std::size_t holders = 3;
    std::vector<bool> checksFencing = {false, true, false, true};
    Safeguards safeguards;
    double randomMoves = 0.7; ///< share of planning steps that draw moves instead of planning them
};

/// @brief Holders, engines and a table stepped together, with an oracle that sees the true memory of every engine.
class World
{
public:
    explicit World(WorldOptions options)
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

    /// @brief Lets time pass; whoever is not paused acts.
    void run(base::Duration duration)
    {
        constexpr auto Step = std::chrono::milliseconds(250);
        for (const auto end = m_now + duration; m_now < end;) {
            m_now += Step;
            for (std::size_t n = 0; n < m_holders.size(); ++n) {
                if (!m_holders[n].isPaused) {
                    enqueue(n, m_holders[n].controller->tick(m_now));
                    perform(n);
                    receiveDelayed(n);
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

    /// @brief Stops a holder in the middle of what it had decided to do.
    /// @param n which holder
    /// @param done how much of it is done before
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
            performOne(n, action);
            check();
        }
        holder.isPaused = true;
    }

    /// @brief Stops the next holder that is about to take an action that matches, before it takes it.
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

    /// @brief Lets a holder go on: it first does what it had decided before.
    void resume(std::size_t n)
    {
        m_holders[n % m_holders.size()].isPaused = false;
        perform(n % m_holders.size());
        check();
    }

    /// @brief Ends a holder's process; a new one starts under the same name.
    void restartHolder(std::size_t n)
    {
        auto &holder = m_holders[n % m_holders.size()];
        holder.queue.clear();
        holder.delayed.clear();
        holder.isPaused = false;
        holder.controller = makeController(n % m_holders.size());
    }

    void restartEngine(std::size_t n)
    {
        const auto &id = m_ids[n % m_ids.size()];
        for (const auto &[resident, memoryMib] : m_engines[id].residents) {
            m_lastLoss[resident.model] = m_now;
        }
        m_engines[id].restart();
        std::erase_if(m_late, [&id](const auto &order) { return order.endpoint == id; });
        std::erase_if(m_reachable, [this](const auto &model) { return !isResident(model); });
    }

    /// @brief Delivers one order that was late.
    void deliverLate(std::size_t n)
    {
        if (m_late.empty()) {
            return;
        }
        const auto it = m_late.begin() + static_cast<std::ptrdiff_t>(n % m_late.size());
        const auto order = *it;
        m_late.erase(it);
        m_engines[order.endpoint].take(order, false);
        check();
    }

    /// @brief Accepts another document: a new version, a model added or removed.
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
            const base::ModelName name("n" + std::to_string(++m_added));
            changed->models[name] = {name, "1", 25, 1, 1500, 1.0};
        }
        m_document = changed;
    }

    FakeTable &table()
    {
        return m_table;
    }

    void addSendFate(SendFate fate)
    {
        m_sendFates.push_back(fate);
    }

    FakeEngine &engine(std::size_t n)
    {
        return m_engines[m_ids[n % m_ids.size()]];
    }

    Controller &controller(std::size_t n)
    {
        return *m_holders[n % m_holders.size()].controller;
    }

    /// @brief What broke first, empty if nothing did.
    const std::string &violation() const
    {
        return m_violation;
    }

    std::uint64_t ordersSent() const
    {
        return m_ordersSent;
    }

    /// @brief Configured models that are resident somewhere.
    std::size_t reachableModels() const
    {
        const auto found = [this](const auto &entry) {
            return isResident(entry.first);
        };
        return static_cast<std::size_t>(std::count_if(m_document->models.begin(), m_document->models.end(), found));
    }

    /// @brief Holders that may send orders now.
    std::size_t holding() const
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
        std::vector<std::pair<base::EndpointId, Inventory>> delayed; ///< inventories that were taken and not received
    };

    std::unique_ptr<Controller> makeController(std::size_t n)
    {
        ControllerOptions options;
        options.self = base::DaemonId("d" + std::to_string(n));
        options.cell = base::CellName("c");
        options.safeguards = m_options.safeguards;
        options.plan = [this](const PlanInput &input) {
            return drawMoves(input);
        };
        auto controller = std::make_unique<Controller>(std::move(options));
        controller->setDocument(m_document);
        controller->setLiveEndpoints({m_ids.begin(), m_ids.end()});
        return controller;
    }

    std::vector<Move> drawMoves(const PlanInput &input)
    {
        if (std::uniform_real_distribution<>()(m_random) >= m_options.randomMoves) {
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
                m_decided[decision->order.id] = m_now;
            }
        }
        auto &queue = m_holders[n].queue;
        queue.insert(queue.end(), std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    }

    void perform(std::size_t n)
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
            performOne(n, action);
            check();
        }
    }

    void receiveDelayed(std::size_t n)
    {
        const auto delayed = std::exchange(m_holders[n].delayed, {});
        for (const auto &[endpoint, inventory] : delayed) {
            enqueue(n, m_holders[n].controller->inventoryFetched(m_now, endpoint, inventory));
            if (!m_holders[n].isPaused) {
                perform(n);
            }
        }
    }

    void performOne(std::size_t n, const Action &action)
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
                m_holders[n].delayed.emplace_back(fetch->endpoint, inventory);
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
        if (m_sendFates.empty()) {
            answer = engine.take(order, m_random() % 2 == 0);
        } else {
            const auto fate = m_sendFates.front();
            m_sendFates.pop_front();
            if (fate == SendFate::AnswerLost) {
                engine.take(order, m_random() % 2 == 0);
            } else if (fate == SendFate::Late) {
                m_late.push_back(order);
            } else if (fate == SendFate::NotSent) {
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
            } else if (m_reachable.erase(name) > 0 && !isThroughLoss(name)) {
                fail("unreachable " + name.text());
            }
        }
        if (holding() > 1) {
            fail("two holders");
        }
    }

    /// Whether the holder that chose the last unload could not know yet that another replica was lost.
    bool isThroughLoss(const base::ModelName &model) const
    {
        constexpr auto Notice = std::chrono::seconds(3); // interval of the inventories and a step
        const auto loss = m_lastLoss.find(model);
        if (loss == m_lastLoss.end()) {
            return false;
        }
        return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const auto unload = entry.second.lastUnloads.find(model);
            const auto decided = unload == entry.second.lastUnloads.end() ? m_decided.end() : m_decided.find(unload->second);
            return decided == m_decided.end() || decided->second < loss->second + Notice;
        });
    }

    void fail(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what;
        }
    }

    WorldOptions m_options;
    std::mt19937 m_random;
    base::Time m_now = base::timeFromMilliseconds(1'000'000);
    FakeTable m_table;
    std::shared_ptr<configuration::Document> m_document;
    std::vector<base::EndpointId> m_ids;
    std::map<base::EndpointId, FakeEngine> m_engines;
    std::vector<Holder> m_holders;
    std::vector<Order> m_late;
    std::deque<SendFate> m_sendFates;
    std::function<bool(const Action &)> m_pauseBefore;
    std::set<base::ModelName> m_reachable;
    std::map<base::ModelName, base::Time> m_lastLoss; ///< when a restart last took a replica
    std::map<std::string, base::Time> m_decided; ///< when each order was chosen
    std::string m_violation;
    std::uint64_t m_ordersSent = 0;
    std::uint32_t m_added = 0;
};

/// @brief Whether an action sends a load.
inline bool isLoad(const Action &action)
{
    const auto *send = std::get_if<SendOrder>(&action);
    return send != nullptr && send->order.kind == OrderKind::Load;
}

/// @brief Whether an action writes the table.
inline bool isWrite(const Action &action)
{
    return std::holds_alternative<WriteRows>(action);
}

/// @brief Kinds of commands of a sequence.
enum class CommandKind {
    Run,
    RunLong,
    Pause,
    PauseBeforeSend,
    Resume,
    RestartHolder,
    RestartEngine,
    DeliverLate,
    TableDown,
    TableUp,
    TableFault,
    SendFault,
    Document,
};

constexpr std::uint32_t CommandKinds = 13;

/// @brief Carries out one command.
/// @param world the world
/// @param kind which command
/// @param value chooses among holders, engines, faults, documents or lengths of time
inline void carryOut(World &world, CommandKind kind, std::uint32_t value)
{
    switch (kind) {
    case CommandKind::Run:
        world.run(std::chrono::milliseconds(250 * (1 + value % 8)));
        return;
    case CommandKind::RunLong:
        world.run(std::chrono::seconds(3 + value % 12));
        return;
    case CommandKind::Pause:
        world.pause(value, value / 8 % 8);
        return;
    case CommandKind::PauseBeforeSend:
        world.pauseBefore(isLoad);
        return;
    case CommandKind::Resume:
        world.resume(value);
        return;
    case CommandKind::RestartHolder:
        world.restartHolder(value);
        return;
    case CommandKind::RestartEngine:
        world.restartEngine(value);
        return;
    case CommandKind::DeliverLate:
        world.deliverLate(value);
        return;
    case CommandKind::TableDown:
        world.table().isDown = true;
        return;
    case CommandKind::TableUp:
        world.table().isDown = false;
        world.table().deliverLate();
        return;
    case CommandKind::TableFault:
        world.table().fates.push_back(static_cast<FakeTable::Fate>(value % 3));
        return;
    case CommandKind::SendFault:
        world.addSendFate(static_cast<SendFate>(value % 4));
        return;
    case CommandKind::Document:
        world.changeDocument(value);
        return;
    }
}

/// @brief Runs one sequence of commands drawn from a seed.
/// @param options the world
/// @param length number of commands
/// @return the world as it ended
inline World runSequence(const WorldOptions &options, std::size_t length)
{
    World world(options);
    std::mt19937 random(options.seed * 7919 + 1);
    for (std::size_t n = 0; n < length && world.violation().empty(); ++n) {
        const auto kind = static_cast<CommandKind>(random() % 3 == 0 ? 0 : random() % CommandKinds);
        carryOut(world, kind, static_cast<std::uint32_t>(random()));
    }
    return world;
}

} // namespace turmericplank::placement::test
