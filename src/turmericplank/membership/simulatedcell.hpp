#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/endpointview.hpp"
#include "turmericplank/routing/sharedlimit.hpp"

namespace turmericplank::membership::testing {

constexpr std::size_t DaemonCount = 5;
constexpr base::Duration StepLength = std::chrono::milliseconds(250);
constexpr int StepsPerHeartbeat = 4;
constexpr int StepsPerList = 20;
constexpr base::Duration ListDelay = std::chrono::seconds(60);
constexpr double Limit = 100;

/// Rules that a test may replace, one at a time.
struct CellRules
{
    DaemonRules daemons;
    EndpointRules endpoints;
    routing::SharedLimitRules limits;
    bool ignoresPauses = false;
    double lossProbability = 0.05;
};

/// One daemon of the simulated cell.
struct Node
{
    std::unique_ptr<DaemonView> view;
    std::unique_ptr<EndpointView> endpoints;
    std::unique_ptr<routing::SharedLimit> limit;
    bool isRunning = true;
    bool isPaused = false;
    bool isLeaving = false;
    double demand = 0;
    std::uint64_t incarnation = 1;
    std::map<base::DaemonId, std::uint64_t> receivedSequences; ///< highest sequence received from each sender
};

/// Simulation of a few daemons, an endpoint and the links between them, in simulated time. Its actual state is what the
/// daemons' views are compared with.
class SimulatedCell
{
public:
    explicit SimulatedCell(std::uint64_t seed, CellRules rules = {})
        : m_random(seed)
        , m_rules(std::move(rules))
    {
        for (std::size_t n = 0; n < DaemonCount; ++n) {
            m_records.push_back({name(n), base::ZoneName("r/a"), {"127.0.0.1", 1}, {"127.0.0.1", 2}});
        }
        for (std::size_t n = 0; n < DaemonCount; ++n) {
            start(n);
        }
        m_answers.fill(true);
    }

    static base::DaemonId name(std::size_t n)
    {
        return base::DaemonId("entry-" + std::to_string(n));
    }

    static base::EndpointId endpoint()
    {
        return base::EndpointId("engine");
    }

    void start(std::size_t n)
    {
        auto &it = m_nodes[n];
        it.incarnation = m_nextIncarnation++;
        DaemonViewOptions options;
        options.rules = m_rules.daemons;
        if (m_rules.ignoresPauses) {
            options.detector.pauseAfter = std::chrono::hours(1);
        }
        it.view = std::make_unique<DaemonView>(m_records[n], base::Incarnation(it.incarnation), options);
        it.view->noteRecords(m_records, m_now);
        EndpointViewOptions endpointOptions;
        endpointOptions.rules = m_rules.endpoints;
        it.endpoints = std::make_unique<EndpointView>(endpointOptions);
        it.endpoints->setEndpoints({endpoint()}, m_now);
        routing::SharedLimitOptions limitOptions;
        limitOptions.limit = Limit;
        limitOptions.rules = m_rules.limits;
        it.limit = std::make_unique<routing::SharedLimit>(name(n), limitOptions);
        it.receivedSequences.clear();
        it.isRunning = true;
        it.isPaused = false;
        it.isLeaving = false;
    }

    void setLink(std::size_t from, std::size_t to, bool isOpen)
    {
        m_isCut[from][to] = !isOpen;
    }

    void heal()
    {
        m_isCut = {};
        m_answers.fill(true);
        for (auto &it : m_nodes) {
            it.isPaused = false;
        }
    }

    void leave(std::size_t n)
    {
        m_nodes[n].isLeaving = true;
        m_nodes[n].view->leave();
    }

    void setAnswers(std::size_t daemon, bool doesAnswer)
    {
        m_answers[daemon] = doesAnswer;
    }

    /// Runs one step: delivers due messages, then each running daemon ticks, polls the endpoint and sends heartbeats.
    void step()
    {
        m_now += StepLength;
        ++m_steps;
        if (m_steps % StepsPerList == 0) {
            deliverList();
        }
        deliver();
        for (std::size_t n = 0; n < DaemonCount; ++n) {
            if (isActive(n)) {
                runDaemon(n);
            }
        }
    }

    bool isActive(std::size_t n) const
    {
        return m_nodes[n].isRunning && !m_nodes[n].isPaused;
    }

    bool isCut(std::size_t from, std::size_t to) const
    {
        return m_isCut[from][to];
    }

    bool doesAnswer(std::size_t daemon) const
    {
        return m_answers[daemon];
    }

    Node &node(std::size_t n)
    {
        return m_nodes[n];
    }

    LiveState state(std::size_t observer, std::size_t subject) const
    {
        return m_nodes[observer].view->state(name(subject), m_now);
    }

    LiveState endpointState(std::size_t observer) const
    {
        return m_nodes[observer].endpoints->state(endpoint(), m_nodes[observer].view->heardDaemons(m_now), m_now);
    }

    /// Sum of the shares of all processes that are running and not paused.
    double totalShare() const
    {
        double sum = 0;
        for (std::size_t n = 0; n < DaemonCount; ++n) {
            sum += isActive(n) ? m_nodes[n].limit->share(m_now) : 0;
        }
        return sum;
    }

    base::Time now() const
    {
        return m_now;
    }

private:
    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        base::Time dueAt;
        Heartbeat heartbeat;
    };

    struct TimedList
    {
        base::Time at;
        std::vector<ListedVm> vms;
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void deliverList()
    {
        TimedList it{m_now, {{endpoint().text(), false}}};
        for (std::size_t n = 0; n < DaemonCount; ++n) {
            it.vms.push_back({name(n).text(), false});
        }
        m_lists.push_back(it);
        std::erase_if(m_lists, [&](const TimedList &list) { return list.at < m_now - 2 * ListDelay; });
        for (auto &node : m_nodes) {
            for (auto list = m_lists.rbegin(); list != m_lists.rend() && node.isRunning; ++list) {
                if (list->at <= m_now - ListDelay) {
                    node.view->noteList(list->vms, m_now);
                    node.endpoints->noteList(list->vms, m_now);
                    break;
                }
            }
        }
    }

    void deliver()
    {
        std::vector<Message> later;
        auto due = std::move(m_messages);
        m_messages.clear();
        for (auto &it : due) {
            // The kernel of a paused daemon buffers incoming messages until the daemon resumes.
            if (it.dueAt > m_now || (m_nodes[it.to].isRunning && m_nodes[it.to].isPaused)) {
                later.push_back(std::move(it));
            } else if (m_nodes[it.to].isRunning) {
                receive(m_nodes[it.to], it.heartbeat);
            }
        }
        m_messages.insert(m_messages.end(), later.begin(), later.end());
    }

    void receive(Node &node, const Heartbeat &heartbeat)
    {
        if (!node.view->noteHeartbeat(heartbeat, m_now)) {
            return;
        }
        node.receivedSequences[heartbeat.from] = heartbeat.sequence;
        node.endpoints->noteHeartbeat(heartbeat);
        routing::ReceivedClaim heard{heartbeat.from, {}, heartbeat.receiverSequence};
        for (const auto &it : heartbeat.shares) {
            heard.claim = {it.reserved, it.demand};
        }
        node.limit->noteClaim(heard);
    }

    void runDaemon(std::size_t n)
    {
        auto &it = m_nodes[n];
        it.view->tick(m_now);
        std::vector<base::DaemonId> others;
        for (std::size_t other = 0; other < DaemonCount; ++other) {
            if (other != n && state(n, other) != LiveState::Gone) {
                others.push_back(name(other));
            }
        }
        it.limit->setOthers(others, DaemonCount);
        it.limit->update(it.demand, 0, m_now);
        if ((m_steps + n) % StepsPerHeartbeat != 0) {
            return;
        }
        if (m_answers[n]) {
            it.endpoints->noteAnswer(endpoint(), base::Incarnation(1), false, m_now);
        } else {
            it.endpoints->noteFailure(endpoint(), m_now);
        }
        auto heartbeat = it.view->heartbeat(m_now);
        it.endpoints->fill(heartbeat);
        const auto claim = it.limit->claim(heartbeat.sequence, m_now);
        heartbeat.shares = {{1, claim.reserved, claim.demand}};
        for (std::size_t to = 0; to < DaemonCount; ++to) {
            if (to == n || isCut(n, to) || chance(m_rules.lossProbability)) {
                continue;
            }
            heartbeat.receiverSequence = it.receivedSequences[name(to)];
            m_messages.push_back({n, to, m_now + (chance(0.3) ? 2 * StepLength : StepLength), heartbeat});
        }
    }

    std::mt19937_64 m_random;
    CellRules m_rules;
    std::vector<DaemonRecord> m_records;
    std::array<Node, DaemonCount> m_nodes;
    std::array<std::array<bool, DaemonCount>, DaemonCount> m_isCut{};
    std::array<bool, DaemonCount> m_answers{};
    std::vector<Message> m_messages;
    std::vector<TimedList> m_lists;
    base::Time m_now = base::timeFromMilliseconds(1'000'000'000);
    std::uint64_t m_steps = 0;
    std::uint64_t m_nextIncarnation = 1;
};

} // namespace turmericplank::membership::testing
