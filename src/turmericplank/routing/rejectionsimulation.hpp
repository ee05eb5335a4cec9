#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/routing/router.hpp"

namespace turmericplank::routing::testing {

/// @brief Endpoints, daemons and load of a simulation.
struct RejectionSimulationOptions
{
    std::size_t daemons = 7;
    std::size_t endpoints = 3;
    std::uint32_t slots = 6; ///< of each endpoint
    double workMilliseconds = 60; ///< mean
    double firstTokenShare = 1; ///< of the work, after which the endpoint has accepted the call
    std::uint32_t tolerance = 4; ///< rejections per second that an endpoint survives
    std::uint32_t maxWaiting = 1; ///< calls that wait on an endpoint
    double load = 3; ///< arrivals, as a multiple of what the endpoints can serve
    std::size_t loadedDaemons = 7; ///< the first ones; the others get no calls
    bool isLimited = true; ///< whether daemons apply the limit
    std::uint64_t seed = 1;
};

/// @brief Daemons with a router each, which exchange status messages, and endpoints that fail when they reject too many calls.
///
/// Time runs in steps of one millisecond. The endpoints state their limit when calls begin to arrive.
class RejectionSimulation
{
public:
    explicit RejectionSimulation(const RejectionSimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_endpoints(options.endpoints)
    {
        for (std::size_t n = 0; n < options.daemons; ++n) {
            join();
        }
        runFor(StartTime);
    }

    /// A further daemon starts, without load unless it is one of the loaded ones.
    void join()
    {
        auto &daemon = m_daemons.emplace_back();
        daemon.nextStatus = m_now + static_cast<std::int64_t>(m_random() % StatusInterval);
        std::vector<RoutableEndpoint> endpoints;
        for (std::size_t n = 0; n < m_endpoints.size(); ++n) {
            endpoints.push_back({endpointId(n), {"127.0.0.1", static_cast<std::uint16_t>(n + 1)}, base::ZoneName("z"), m_options.slots, "", service()});
        }
        daemon.router.setEndpoints(endpoints);
        daemon.router.setModels({model()}, {});
        for (const auto &it : endpoints) {
            LoadReport report;
            report.resident = {{model(), ""}};
            daemon.router.noteReport(it.id, report, at());
        }
        applyLimit(m_daemons.size() - 1);
    }

    /// The daemon ends; endpoints drop its calls.
    void end(std::size_t daemon)
    {
        m_daemons[daemon].isEnded = true;
        for (auto &it : m_endpoints) {
            std::erase_if(it.running, [&](const auto &call) { return call.daemon == daemon; });
            std::erase_if(it.waiting, [&](const auto &call) { return call.daemon == daemon; });
        }
    }

    /// The daemon and its peers no longer hear each other.
    void cutFromPeers(std::size_t daemon)
    {
        m_daemons[daemon].isCutFromPeers = true;
    }

    /// From now on, calls arrive at this number of daemons.
    void setLoadedDaemons(std::size_t count)
    {
        m_options.loadedDaemons = count;
    }

    void runFor(std::int64_t milliseconds)
    {
        for (const auto end = m_now + milliseconds; m_now < end; ++m_now) {
            step();
        }
    }

    /// Share of what the endpoints could have served in the time.
    double servedShare(std::int64_t milliseconds) const
    {
        const auto perEndpoint = static_cast<double>(m_options.slots) * static_cast<double>(milliseconds) / m_options.workMilliseconds;
        return static_cast<double>(served) / (perEndpoint * static_cast<double>(m_options.endpoints));
    }

    std::size_t failures = 0; ///< of endpoints
    std::size_t served = 0;
    std::vector<std::size_t> servedBy = std::vector<std::size_t>(32); ///< by daemon

private:
    static constexpr std::int64_t StartTime = 2500; ///< until daemons that start together know each other
    static constexpr std::int64_t StatusInterval = 400;
    static constexpr std::int64_t StatusDelay = 2;
    static constexpr std::int64_t PeerTimeout = 1400;
    static constexpr std::int64_t RetryInterval = 20; ///< of waiting calls
    static constexpr std::int64_t MaxWait = 37; ///< in a daemon, an eighth of an objective of 300 ms
    static constexpr std::int64_t NoticeTime = 3000; ///< before endpoints let fewer calls wait and may fail
    static constexpr std::int64_t RecoveryTime = 3000; ///< of an endpoint that has failed
    static constexpr std::size_t MaxSends = 2; ///< of one call
    static constexpr std::size_t UsualMaxWaiting = 16; ///< calls that wait on an endpoint before it lets fewer wait

    struct Call
    {
        std::size_t daemon = 0;
        std::int64_t arrivedAt = 0;
        std::vector<base::EndpointId> excluded;
        Ticket ticket = 0;
        std::int64_t firstTokenAt = 0;
        std::int64_t endsAt = 0;
    };

    struct Endpoint
    {
        std::vector<Call> running;
        std::deque<Call> waiting;
        std::deque<std::int64_t> rejections;
        std::int64_t downUntil = 0;
    };

    struct Daemon
    {
        Router router;
        std::deque<Call> waiting;
        std::map<std::size_t, std::int64_t> heardAt; ///< by daemon
        std::int64_t nextStatus = 0;
        bool isEnded = false;
        bool isCutFromPeers = false;
    };

    struct Status
    {
        std::int64_t arrivesAt = 0;
        std::size_t from = 0;
        std::vector<EndpointWork> work;
    };

    static base::ServiceName service()
    {
        return base::ServiceName("s");
    }

    static base::ModelName model()
    {
        return base::ModelName("m");
    }

    static base::EndpointId endpointId(std::size_t n)
    {
        return base::EndpointId("e" + std::to_string(100 + n));
    }

    static base::DaemonId daemonId(std::size_t n)
    {
        return base::DaemonId("d" + std::to_string(100 + n));
    }

    base::Time at() const
    {
        return base::timeFromMilliseconds(1'000'000 + m_now);
    }

    void applyLimit(std::size_t n)
    {
        auto &daemon = m_daemons[n];
        std::vector<base::DaemonId> others;
        for (const auto &[peer, heardAt] : daemon.heardAt) {
            others.push_back(daemonId(peer));
        }
        if (m_options.isLimited) {
            daemon.router.setRejectionLimits({{service(), m_options.tolerance}}, daemonId(n), others, at());
        }
    }

    void step()
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (!m_daemons[n].isEnded) {
                exchangeStatus(n);
            }
        }
        deliverStatus();
        for (auto &it : m_endpoints) {
            advance(it);
        }
        std::vector<std::size_t> order(m_daemons.size());
        for (std::size_t n = 0; n < order.size(); ++n) {
            order[n] = n;
        }
        std::ranges::shuffle(order, m_random);
        for (const auto n : order) {
            if (!m_daemons[n].isEnded) {
                arrive(n);
                retryWaiting(n);
            }
        }
    }

    void exchangeStatus(std::size_t n)
    {
        auto &daemon = m_daemons[n];
        if (m_now >= daemon.nextStatus) {
            daemon.nextStatus += StatusInterval;
            std::vector<EndpointWork> work;
            for (std::size_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
                work.push_back({endpointId(endpoint)});
            }
            for (const auto &it : daemon.router.ownWork()) {
                std::ranges::replace_if(
                    work, [&](const auto &known) { return known.endpoint == it.endpoint; }, it);
            }
            m_statuses.push_back({m_now + StatusDelay, n, std::move(work)});
        }
        for (auto it = daemon.heardAt.begin(); it != daemon.heardAt.end();) {
            if (m_now < it->second + PeerTimeout) {
                ++it;
                continue;
            }
            daemon.router.forgetPeer(daemonId(it->first));
            it = daemon.heardAt.erase(it);
            applyLimit(n);
        }
    }

    void deliverStatus()
    {
        while (!m_statuses.empty() && m_statuses.front().arrivesAt <= m_now) {
            const auto status = std::move(m_statuses.front());
            m_statuses.pop_front();
            for (std::size_t n = 0; n < m_daemons.size(); ++n) {
                auto &daemon = m_daemons[n];
                const bool isHeard = n != status.from && !daemon.isEnded && !daemon.isCutFromPeers && !m_daemons[status.from].isCutFromPeers;
                if (!isHeard) {
                    continue;
                }
                const bool isNew = !daemon.heardAt.contains(status.from);
                daemon.heardAt[status.from] = m_now;
                daemon.router.notePeerWork(daemonId(status.from), status.work, at());
                if (isNew) {
                    applyLimit(n);
                }
            }
        }
    }

    void arrive(std::size_t n)
    {
        if (m_now < 0 || n >= m_options.loadedDaemons) {
            return;
        }
        const double perMillisecond =
            m_options.load * static_cast<double>(m_options.slots) * static_cast<double>(m_endpoints.size()) / m_options.workMilliseconds;
        std::poisson_distribution<int> arrivals(perMillisecond / static_cast<double>(m_options.loadedDaemons));
        for (int left = arrivals(m_random); left > 0; --left) {
            Call call;
            call.daemon = n;
            call.arrivedAt = m_now;
            sendOrWait(std::move(call));
        }
    }

    void retryWaiting(std::size_t n)
    {
        auto &daemon = m_daemons[n];
        if (m_now % RetryInterval != 0) {
            return;
        }
        auto waiting = std::exchange(daemon.waiting, {});
        for (auto &it : waiting) {
            if (m_now <= it.arrivedAt + MaxWait) {
                sendOrWait(std::move(it));
            }
        }
    }

    void sendOrWait(Call call)
    {
        auto &daemon = m_daemons[call.daemon];
        RouteRequest request;
        request.model = model();
        request.deadline = at() + std::chrono::seconds(10);
        request.excluded = call.excluded;
        request.isRetry = !call.excluded.empty();
        const auto choice = daemon.router.choose(request, at(), m_random);
        if (!choice) {
            daemon.waiting.push_back(std::move(call));
            return;
        }
        daemon.router.noteSent(*choice, request, at());
        call.ticket = choice->ticket;
        call.excluded.push_back(choice->endpoint);
        receive(m_endpoints[choice->address.port - 1U], std::move(call));
    }

    void receive(Endpoint &endpoint, Call call)
    {
        auto &router = m_daemons[call.daemon].router;
        if (m_now < endpoint.downUntil) {
            router.noteEnded(call.ticket, AttemptOutcome::Lost, at());
            return;
        }
        const bool hasNotice = m_now < NoticeTime;
        const auto maxWaiting = hasNotice ? UsualMaxWaiting : m_options.maxWaiting;
        if (endpoint.running.size() < m_options.slots) {
            run(endpoint, std::move(call));
        } else if (endpoint.waiting.size() < maxWaiting) {
            endpoint.waiting.push_back(std::move(call));
        } else {
            router.noteEnded(call.ticket, AttemptOutcome::Overloaded, at());
            countRejection(endpoint, hasNotice);
            if (call.excluded.size() < MaxSends) {
                sendOrWait(std::move(call));
            }
        }
    }

    void countRejection(Endpoint &endpoint, bool hasNotice)
    {
        endpoint.rejections.push_back(m_now);
        while (endpoint.rejections.front() <= m_now - 1000) {
            endpoint.rejections.pop_front();
        }
        if (hasNotice || endpoint.rejections.size() <= m_options.tolerance) {
            return;
        }
        ++failures;
        endpoint.downUntil = m_now + RecoveryTime;
        endpoint.rejections.clear();
        auto lost = std::exchange(endpoint.running, {});
        lost.insert(lost.end(), endpoint.waiting.begin(), endpoint.waiting.end());
        endpoint.waiting.clear();
        for (const auto &it : lost) {
            m_daemons[it.daemon].router.noteEnded(it.ticket, AttemptOutcome::Lost, at());
        }
    }

    void run(Endpoint &endpoint, Call call)
    {
        const auto work = std::uniform_real_distribution<double>(0.5, 1.5)(m_random) * m_options.workMilliseconds;
        call.firstTokenAt = m_now + static_cast<std::int64_t>(work * m_options.firstTokenShare);
        call.endsAt = m_now + static_cast<std::int64_t>(work);
        endpoint.running.push_back(std::move(call));
    }

    void advance(Endpoint &endpoint)
    {
        std::vector<Call> ended;
        for (const auto &it : endpoint.running) {
            if (m_now >= it.endsAt) {
                ended.push_back(it);
            } else if (m_now >= it.firstTokenAt) {
                m_daemons[it.daemon].router.noteFirstToken(it.ticket, at());
            }
        }
        std::erase_if(endpoint.running, [this](const auto &it) { return m_now >= it.endsAt; });
        for (const auto &it : ended) {
            m_daemons[it.daemon].router.noteEnded(it.ticket, AttemptOutcome::Answered, at());
            ++served;
            ++servedBy[it.daemon];
        }
        while (!endpoint.waiting.empty() && endpoint.running.size() < m_options.slots) {
            run(endpoint, std::move(endpoint.waiting.front()));
            endpoint.waiting.pop_front();
        }
    }

    RejectionSimulationOptions m_options;
    std::mt19937_64 m_random;
    std::int64_t m_now = -StartTime;
    std::vector<Endpoint> m_endpoints;
    std::deque<Daemon> m_daemons;
    std::deque<Status> m_statuses;
};

} // namespace turmericplank::routing::testing
