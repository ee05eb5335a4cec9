#include "placementrun.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <map>
#include <random>
#include <set>

#include "turmericplank/placement/controller.hpp"
#include "turmericplank/placement/loaddistribution.hpp"

namespace turmericplank::bench::policies {

namespace {

using placement::Order;
using placement::OrderAnswer;
using placement::OrderKind;
using placement::Resident;

constexpr unsigned StepsPerSecond = 2;

/// CPU time of this thread, so that other work on the machine does not count.
double threadMilliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// A simulated engine. A load occupies its memory from its start; an unload frees it at its end.
struct Engine
{
    std::uint32_t capacityMib = 0;
    bool isUp = true;
    base::Incarnation incarnation{1};
    std::map<Resident, std::uint32_t> residents;
    std::map<std::string, std::pair<Order, base::Time>> running;
    std::map<std::string, OrderAnswer> orders;

    std::uint64_t memory() const
    {
        std::uint64_t sum = 0;
        for (const auto &[resident, memoryMib] : residents) {
            sum += memoryMib;
        }
        for (const auto &[id, entry] : running) {
            sum += takesMemory(entry.first.kind) ? entry.first.memoryMib : 0;
        }
        return sum;
    }
};

/// Simulates one site: a table, engines and the controller of the daemon that holds the lease.
class SiteSimulation
{
public:
    SiteSimulation(const Trace &trace, const Policy &policy, unsigned seed)
        : m_trace(trace)
        , m_policy(policy)
        , m_random(seed)
        , m_estimator(placement::DemandOptions())
        , m_document(trace.before)
        , m_controller(options())
    {
        for (const auto &[id, endpoint] : m_document->endpoints) {
            m_engines[id].capacityMib = endpoint.memoryMib;
        }
    }

    RunResult run()
    {
        for (m_second = 0; m_second < m_trace.seconds; ++m_second) {
            applyEvents();
            generateDemand();
            for (unsigned n = 0; n < StepsPerSecond; ++n) {
                m_now += std::chrono::milliseconds(1000 / StepsPerSecond);
                finishOrders();
                perform(m_controller.tick(m_now));
            }
            recordAttainment();
        }
        m_result.attainment = m_weightedOnTime / std::max(m_weightedRequests, 1e-9);
        return m_result;
    }

private:
    placement::ControllerOptions options()
    {
        placement::ControllerOptions options;
        options.self = base::DaemonId("daemon");
        options.cell = base::CellName("cell");
        options.plan = [this](const placement::PlanInput &input) {
            const double begin = threadMilliseconds();
            auto moves = m_policy(input, PolicyContext{m_trace, m_second});
            m_result.longestStepMilliseconds = std::max(m_result.longestStepMilliseconds, threadMilliseconds() - begin);
            return moves;
        };
        options.demand = [this] {
            return m_estimator.estimate();
        };
        return options;
    }

    void applyEvents()
    {
        const bool isInEvent = m_second >= m_trace.eventBegin && m_second < m_trace.eventEnd;
        m_document = m_second < m_trace.eventBegin ? m_trace.before : m_trace.after;
        m_isTableDown = m_trace.kind == TraceKind::StoreOutage && isInEvent;
        std::set<base::EndpointId> live;
        for (auto &[id, engine] : m_engines) {
            const bool isLost = m_trace.kind == TraceKind::LostZone && isInEvent && m_document->endpoints.at(id).zone == m_trace.lostZone;
            if (isLost && engine.isUp) {
                engine.residents.clear();
                engine.running.clear();
                engine.orders.clear();
                engine.incarnation = engine.incarnation.next();
            }
            engine.isUp = !isLost;
            if (engine.isUp) {
                live.insert(id);
            }
        }
        m_controller.setDocument(m_document);
        m_controller.setLiveEndpoints(live);
    }

    void generateDemand()
    {
        m_streams.clear();
        for (const auto &[name, model] : m_trace.models) {
            const double rate = model.requestsPerSecond[m_second];
            auto &counter = m_counters.models[name];
            const auto requests = rate > 0 ? std::poisson_distribution<std::uint64_t>(rate)(m_random) : 0;
            counter.requests += requests;
            counter.streamMilliseconds += static_cast<std::uint64_t>(static_cast<double>(requests) * model.serviceSeconds * 1000);
            // Drawn separately from the arrivals: streams last for seconds, so their number varies less.
            const double mean = rate * model.serviceSeconds;
            const auto streams = mean > 0 ? std::poisson_distribution<std::uint64_t>(mean)(m_random) : 0;
            m_streams[name] = static_cast<double>(streams);
        }
        m_estimator.advance(m_now);
        m_estimator.report(base::DaemonId("daemon"), m_counters, m_now);
    }

    void finishOrders()
    {
        for (auto &[id, engine] : m_engines) {
            for (auto it = engine.running.begin(); it != engine.running.end();) {
                if (it->second.second > m_now) {
                    ++it;
                    continue;
                }
                applyOrder(engine, it->second.first);
                engine.orders[it->first] = OrderAnswer::Done;
                it = engine.running.erase(it);
            }
        }
    }

    static void applyOrder(Engine &engine, const Order &order)
    {
        if (takesMemory(order.kind)) {
            engine.residents.emplace(order.resident, order.memoryMib);
        } else if (freesMemory(order.kind)) {
            engine.residents.erase(order.resident);
        }
    }

    OrderAnswer executeOrder(const Order &order)
    {
        auto &engine = m_engines.at(order.endpoint);
        if (!engine.isUp) {
            return OrderAnswer::NotSent;
        }
        const auto known = engine.orders.find(order.id);
        if (known != engine.orders.end()) {
            return known->second;
        }
        if (order.kind == OrderKind::SetTerm) {
            return OrderAnswer::Done;
        }
        countMove(order);
        if (order.kind == OrderKind::Load) {
            const auto &policy = m_document->placement;
            const double fullSpeedLoads = policy.weightLoadsAtFullSpeed;
            std::size_t runningOrders = 1;
            for (const auto &[id, it] : m_engines) {
                runningOrders += it.running.size();
            }
            const double seconds = fullSpeedLoads / policy.weightLoadsPerSecond * std::max(1.0, static_cast<double>(runningOrders) / fullSpeedLoads);
            engine.running.emplace(order.id, std::pair(order, m_now + std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000))));
            engine.orders[order.id] = OrderAnswer::Running;
        } else {
            applyOrder(engine, order);
            engine.orders[order.id] = OrderAnswer::Done;
        }
        return engine.orders[order.id];
    }

    void countMove(const Order &order)
    {
        if (m_second < WarmUpSeconds) {
            return;
        }
        ++m_result.moves;
        m_result.adapterMoves += order.resident.adapter.isEmpty() ? 0 : 1;
    }

    store::WriteResult write(const std::vector<store::RowWrite> &rows)
    {
        if (m_isTableDown) {
            return tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        std::vector<base::RowVersion> versions;
        for (const auto &row : rows) {
            versions.emplace_back(++m_version);
            if (row.value) {
                m_rows[row.key] = store::Row{row.key, versions.back(), *row.value};
            } else {
                m_rows.erase(row.key);
            }
        }
        return versions;
    }

    store::ReadResult read() const
    {
        if (m_isTableDown) {
            return tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}});
        }
        std::vector<store::Row> rows;
        for (const auto &[key, row] : m_rows) {
            rows.push_back(row);
        }
        return rows;
    }

    std::optional<placement::Inventory> inventory(const base::EndpointId &id) const
    {
        const auto &engine = m_engines.at(id);
        if (!engine.isUp) {
            return std::nullopt;
        }
        placement::Inventory result;
        result.incarnation = engine.incarnation;
        result.memoryMib = static_cast<std::uint32_t>(engine.memory());
        result.role = "serve";
        result.residents = engine.residents;
        return result;
    }

    void perform(placement::Actions actions)
    {
        for (std::size_t n = 0; n < actions.size(); ++n) {
            placement::Actions more;
            if (const auto *readRows = std::get_if<placement::ReadRows>(&actions[n])) {
                more = m_controller.rowsRead(m_now, readRows->purpose, read());
            } else if (const auto *writeRows = std::get_if<placement::WriteRows>(&actions[n])) {
                more = m_controller.rowsWritten(m_now, write(writeRows->rows));
            } else if (const auto *send = std::get_if<placement::SendOrder>(&actions[n])) {
                const auto order = send->order;
                more = m_controller.orderAnswered(m_now, order, executeOrder(order));
            } else if (const auto *fetch = std::get_if<placement::FetchInventory>(&actions[n])) {
                const auto id = fetch->endpoint;
                more = m_controller.inventoryFetched(m_now, id, inventory(id));
            }
            actions.insert(actions.end(), more.begin(), more.end());
        }
    }

    void recordAttainment()
    {
        placement::LoadDistributionInput input;
        std::map<base::EndpointId, std::uint32_t> index;
        for (const auto &[id, engine] : m_engines) {
            index.emplace(id, static_cast<std::uint32_t>(index.size()));
            input.capacity.push_back(m_document->endpoints.at(id).concurrency);
            m_result.overcommits += engine.memory() > engine.capacityMib ? 1 : 0;
        }
        std::vector<const configuration::Model *> models;
        for (const auto &[name, model] : m_document->models) {
            std::vector<std::uint32_t> replicas;
            for (const auto &[id, engine] : m_engines) {
                const auto holds = [&name = name](const auto &entry) {
                    return entry.first.adapter.isEmpty() && entry.first.model == name;
                };
                if (engine.isUp && std::any_of(engine.residents.begin(), engine.residents.end(), holds)) {
                    replicas.push_back(index.at(id));
                }
            }
            recordReachability(name, !replicas.empty());
            models.push_back(&model);
            input.replicas.push_back(std::move(replicas));
            input.demand.push_back(m_streams[name]);
        }
        if (m_second < WarmUpSeconds) {
            return;
        }
        const auto distribution = placement::distributeLoad(input, 6);
        for (std::size_t n = 0; n < models.size(); ++n) {
            const double requests = input.demand[n] / m_trace.models.at(models[n]->name).serviceSeconds;
            const double unservedShare = input.demand[n] > 0 ? distribution.unserved[n] / input.demand[n] : 0;
            m_weightedRequests += requests * models[n]->weight;
            m_weightedOnTime += requests * models[n]->weight * (1 - unservedShare);
        }
    }

    void recordReachability(const base::ModelName &name, bool isReachable)
    {
        if (isReachable) {
            m_reachableBefore.insert(name);
        } else if (m_reachableBefore.contains(name) && m_second >= WarmUpSeconds) {
            ++m_result.unreachableSeconds;
        }
    }

    const Trace &m_trace;
    const Policy &m_policy;
    std::mt19937_64 m_random;
    placement::DemandEstimator m_estimator;
    std::shared_ptr<const configuration::Document> m_document;
    placement::Controller m_controller;
    std::map<base::EndpointId, Engine> m_engines;
    std::map<std::string, store::Row> m_rows;
    std::uint64_t m_version = 0;
    bool m_isTableDown = false;
    std::size_t m_second = 0;
    base::Time m_now = base::timeFromMilliseconds(1'000'000);
    placement::DemandCounters m_counters;
    std::map<base::ModelName, double> m_streams;
    std::set<base::ModelName> m_reachableBefore;
    double m_weightedRequests = 0;
    double m_weightedOnTime = 0;
    RunResult m_result;
};

} // namespace

RunResult run(const Trace &trace, const Policy &policy, unsigned seed)
{
    return SiteSimulation(trace, policy, seed).run();
}

} // namespace turmericplank::bench::policies
