#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "testfleetstore.hpp"
#include "testlinks.hpp"
#include "testsite.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/gateway.hpp"
#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::gateway::testing {

/// @brief An endpoint of a service that crashes while it runs certain calls, and starts again after some time under another id.
class CrashingEndpoint
{
public:
    CrashingEndpoint(FleetStore &store, std::string name, std::uint16_t port, std::string service = "s")
        : m_store(store)
        , m_name(std::move(name))
        , m_port(port)
        , m_service(std::move(service))
    {
        start();
    }

    /// Handles what is due; returns whether there was anything to do.
    bool poll()
    {
        const auto now = base::now();
        if (m_crashAt && now >= *m_crashAt) {
            crash(now);
        }
        if (!m_context && now >= m_startsAt) {
            start();
        }
        return m_context && now >= m_silentUntil && m_context->poll() > 0;
    }

    /// Stops handling anything until a point in time, as a process that is frozen does; the system still accepts connections.
    void fallSilentUntil(base::Time end)
    {
        m_silentUntil = end;
    }

    /// Crashes as soon as it is polled again.
    void crashNow()
    {
        m_crashAt = base::now();
    }

    /// Writes the entry in the store, for example with another version.
    void list(const std::string &softwareVersion)
    {
        m_softwareVersion = softwareVersion;
        discovery::EndpointEntry entry;
        entry.id = id();
        entry.service = base::ServiceName(m_service);
        entry.address = {"127.0.0.1", m_port};
        entry.zone = base::ZoneName("z");
        entry.softwareVersion = softwareVersion;
        entry.slots = 16;
        entry.incarnation = base::Incarnation(m_incarnation);
        m_store.entries[entry.id] = entry;
    }

    /// Removes the entry; calls are still answered.
    void unlist()
    {
        m_store.entries.erase(id());
    }

    std::function<bool(const net::HttpRequest &)> isCrashing; ///< calls that crash this endpoint
    std::function<bool(const net::HttpRequest &)> isCut; ///< calls whose connection ends after their arrival, while the endpoint goes on
    std::function<void(const net::HttpRequest &, std::size_t crashes)> onReceived; ///< called with each call and the number of crashes so far
    std::function<void(const net::ExchangePointer &)> handleInstead; ///< answers all calls if set; must drop them before a crash
    std::function<void()> onCallerLeft; ///< called if the connection of a call closes before its response is complete
    base::Duration workTime = std::chrono::milliseconds(10); ///< of a call that is not a stream
    std::size_t crashes = 0;

private:
    static constexpr int EventCount = 20; ///< of a stream
    static constexpr auto EventInterval = std::chrono::milliseconds(30);
    static constexpr auto CrashDelay = std::chrono::milliseconds(25); ///< from the arrival of a call to the crash
    static constexpr auto RestartTime = std::chrono::milliseconds(300);

    base::EndpointId id() const
    {
        return base::EndpointId(m_name + '-' + std::to_string(m_incarnation));
    }

    void start()
    {
        ++m_incarnation;
        m_context = std::make_unique<boost::asio::io_context>();
        net::HttpServerOptions options;
        options.listen = {"127.0.0.1", m_port};
        options.onRequest = [this](const net::ExchangePointer &exchange) {
            handle(exchange);
        };
        m_server = net::listenHttp(*m_context, std::move(options));
        list(m_softwareVersion);
    }

    void crash(base::Time now)
    {
        ++crashes;
        m_store.entries.erase(id());
        m_crashAt.reset();
        m_kept.clear();
        m_server.reset();
        m_context.reset();
        m_startsAt = now + RestartTime;
    }

    void handle(const net::ExchangePointer &exchange)
    {
        if (onReceived) {
            onReceived(exchange->request(), crashes);
        }
        exchange->setOnClosed([this] {
            if (onCallerLeft) {
                onCallerLeft();
            }
        });
        if (isCut && isCut(exchange->request())) {
            exchange->abort();
            return;
        }
        if (handleInstead) {
            handleInstead(exchange);
            return;
        }
        const bool isStream = net::path(exchange->request().target).starts_with("/s/");
        if (isStream) {
            exchange->startStream(200, responseHeaders(*exchange));
        }
        if (isCrashing && isCrashing(exchange->request())) {
            m_crashAt = m_crashAt.value_or(base::now() + CrashDelay);
            m_kept.push_back(exchange);
            return;
        }
        if (isStream) {
            sendEvent(exchange, 1);
            return;
        }
        daemon::callAt(*m_context, base::now() + workTime, [this, exchange] { exchange->respond({200, responseHeaders(*exchange), "done"}); });
    }

    net::Headers responseHeaders(const net::HttpExchange &exchange) const
    {
        return {{"Request-Id", std::string(header(exchange.request().headers, "Request-Id"))}, {"Server-Seal", m_name}};
    }

    void sendEvent(const net::ExchangePointer &exchange, int number)
    {
        exchange->writeChunk("id: " + std::to_string(number) + "\ndata: x\n\n");
        if (number == EventCount) {
            exchange->endStream();
            return;
        }
        daemon::callAt(*m_context, base::now() + EventInterval, [this, exchange, number] { sendEvent(exchange, number + 1); });
    }

    FleetStore &m_store;
    std::string m_name;
    std::uint16_t m_port;
    std::string m_service;
    std::string m_softwareVersion;
    std::uint64_t m_incarnation = 0;
    std::unique_ptr<boost::asio::io_context> m_context; ///< its end closes all connections
    std::unique_ptr<net::HttpServer> m_server;
    std::vector<net::ExchangePointer> m_kept; ///< calls without a response
    std::optional<base::Time> m_crashAt;
    base::Time m_startsAt; ///< after a crash
    base::Time m_silentUntil;
};

/// @brief Zones of daemons and services of endpoints, by their numbers.
struct FleetLayout
{
    std::function<std::string(std::size_t)> zoneOf = [](std::size_t) {
        return "z";
    };
    std::function<std::string(std::size_t)> serviceOf = [](std::size_t) {
        return "s";
    };
};

/// @brief Daemons and endpoints of a site in one process, connected over loopback.
class TestFleet
{
public:
    /// @param contacts whether two daemons, by their numbers, find each other
    /// @param drainTime twice the interval between two reads of the endpoints' entries
    TestFleet(std::size_t daemonCount, std::size_t endpointCount, std::function<bool(std::size_t, std::size_t)> contacts,
              base::Duration drainTime = std::chrono::milliseconds(200), FleetLayout layout = {})
        : m_contacts(std::move(contacts))
        , m_drainTime(drainTime)
        , m_layout(std::move(layout))
    {
        store.put(makeConfiguration(1, "/r/"));
        for (std::size_t n = 0; n < endpointCount; ++n) {
            endpoints.push_back(std::make_unique<CrashingEndpoint>(store, "e" + std::to_string(n), port(n), m_layout.serviceOf(n)));
        }
        m_daemons.resize(daemonCount);
        for (std::size_t n = 0; n < daemonCount; ++n) {
            for (std::size_t e = 0; e < endpointCount; ++e) {
                m_daemons[n].links.push_back(std::make_unique<EndpointLink>(m_network, port(e)));
            }
        }
        for (std::size_t n = 0; n < daemonCount; ++n) {
            startDaemon(n);
        }
    }

    ~TestFleet()
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            stopDaemon(n);
        }
    }

    /// A configuration with a route of repeatable calls, one of streams and one of calls that must not run twice, and one of repeatable calls
    /// to a second service.
    static std::shared_ptr<routes::SiteConfiguration> makeConfiguration(std::uint64_t revision, const std::string &prefix)
    {
        auto it = std::make_shared<routes::SiteConfiguration>();
        it->revision = base::Revision(revision);
        routes::ServiceSpec service;
        service.name = base::ServiceName("s");
        service.connectionLimit = 100;
        it->services.emplace(service.name, service);
        routes::Route route;
        route.name = "r";
        route.host = "h";
        route.prefix = prefix;
        route.kind = {true, false, false};
        route.timeout = std::chrono::seconds(2);
        route.objective = std::chrono::milliseconds(400);
        route.sendLimit = 2;
        route.services.push_back({service.name, 1});
        it->routes.push_back(route);
        route.name = "s";
        route.prefix = "/s/";
        route.kind = {false, true, true};
        route.eventGapObjective = std::chrono::milliseconds(300);
        it->routes.push_back(route);
        route.name = "o";
        route.prefix = "/o/";
        route.kind = {false, false, false};
        it->routes.push_back(route);
        service.name = base::ServiceName("t");
        it->services.emplace(service.name, service);
        route.name = "t";
        route.prefix = "/t/";
        route.kind = {true, false, false};
        route.services = {{service.name, 1}};
        it->routes.push_back(route);
        return it;
    }

    void startDaemon(std::size_t n)
    {
        auto &it = m_daemons[n];
        it.context = std::make_unique<boost::asio::io_context>();
        Settings settings;
        settings.id = base::DaemonId(std::to_string(n));
        settings.zone = base::ZoneName(m_layout.zoneOf(n));
        settings.callerAddress = address(n, 0);
        settings.readinessAddress = address(n, 1);
        settings.directoryAddress = address(n, 2);
        settings.peerAddress = peerAddress(n);
        settings.metricsAddress = metricsAddress(n);
        settings.bounds.drainTime = m_drainTime;
        settings.isFirstStart = isFirstStart;
        ConnectionPoolOptions poolOptions;
        poolOptions.addressToConnect = [this, n](const base::Address &address) {
            return base::Address{address.host, m_daemons[n].links.at(address.port - port(0))->port()};
        };
        const auto isListed = [this, n](const std::string &other) {
            return m_contacts(n, std::stoull(other));
        };
        it.gateway = std::make_unique<Gateway>(*it.context, settings, testWireFormat(), store.accessFrom(std::to_string(n), *it.context, isListed),
                                               std::move(poolOptions));
    }

    /// Changes what becomes of the connections from a daemon to all endpoints.
    void setLinks(std::size_t daemon, LinkState state)
    {
        for (std::size_t e = 0; e < endpoints.size(); ++e) {
            setLink(daemon, e, state);
        }
    }

    /// Changes what becomes of the connections from a daemon to one endpoint.
    void setLink(std::size_t daemon, std::size_t endpoint, LinkState state)
    {
        m_daemons[daemon].links[endpoint]->setState(state);
    }

    /// Crashes all endpoints at the same time.
    void crashEndpoints()
    {
        for (auto &it : endpoints) {
            it->crashNow();
        }
    }

    /// Ends a daemon as a kill does.
    void stopDaemon(std::size_t n)
    {
        store.removeObserver(std::to_string(n));
        m_daemons[n].gateway.reset();
        m_daemons[n].context.reset();
    }

    /// Lets a daemon run only once in each interval, as on a VM that is short of processor time.
    void slowDown(std::size_t n, base::Duration interval)
    {
        m_daemons[n].pause = interval;
    }

    /// Where a daemon listens for calls of other daemons.
    static base::Address peerAddress(std::size_t daemon)
    {
        return address(daemon, 3);
    }

    /// Where a daemon serves its metrics.
    static base::Address metricsAddress(std::size_t daemon)
    {
        return address(daemon, 4);
    }

    /// Runs the callers, and whatever else a test adds.
    boost::asio::io_context &callers()
    {
        return m_callers;
    }

    struct Result
    {
        std::string id; ///< Request-Id
        int status = 0; ///< zero without a response
        std::string body;
        bool isEnded = false;
        net::CallPointer call; ///< to be cancelled if the caller leaves
    };

    /// Sends a call to a daemon; the result is filled in later.
    std::shared_ptr<Result> call(std::size_t daemon, net::Headers headers, std::string body, std::string target = "/r/x")
    {
        const auto result = std::make_shared<Result>();
        net::HttpCallOptions options;
        options.to = address(daemon, 0);
        result->id = "c" + std::to_string(++m_calls);
        headers.push_back({"Request-Id", result->id});
        options.request = {"POST", std::move(target), std::move(headers), std::move(body)};
        result->call = net::fetchResponse(m_callers, std::move(options), [result](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
            result->status = response ? response->status : 0;
            result->body = response ? response->body : "";
            result->isEnded = true;
            result->call.reset();
        });
        return result;
    }

    /// Runs all parts for some time.
    void runFor(base::Duration time)
    {
        const auto end = base::now() + time;
        while (base::now() < end) {
            bool isBusy = m_callers.poll() > 0;
            m_callers.restart();
            isBusy = m_network.poll() > 0 || isBusy;
            m_network.restart();
            for (auto &it : endpoints) {
                isBusy = it->poll() || isBusy;
            }
            for (auto &it : m_daemons) {
                const bool isDue = it.context && base::now() >= it.nextPoll;
                if (isDue) {
                    isBusy = it.context->poll() > 0 || isBusy;
                    it.nextPoll = base::now() + it.pause;
                }
            }
            if (!isBusy) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
    }

    std::size_t daemonCount() const
    {
        return m_daemons.size();
    }

    std::size_t crashes() const
    {
        std::size_t n = 0;
        for (const auto &it : endpoints) {
            n += it->crashes;
        }
        return n;
    }

    FleetStore store;
    bool isFirstStart = true; ///< of daemons that are started from now on
    std::vector<std::unique_ptr<CrashingEndpoint>> endpoints;

private:
    static constexpr std::size_t EndpointPorts = 10;
    static constexpr std::size_t DaemonsPerNetwork = 250;

    /// Each daemon has a loopback address of its own, so that all of them use the same few ports.
    static base::Address address(std::size_t daemon, std::size_t portNumber)
    {
        const auto network = std::to_string(1 + daemon / DaemonsPerNetwork);
        return {"127.0." + network + '.' + std::to_string(1 + daemon % DaemonsPerNetwork), port(EndpointPorts + portNumber)};
    }

    struct Daemon
    {
        std::vector<std::unique_ptr<EndpointLink>> links; ///< to the endpoints, by their numbers
        std::unique_ptr<boost::asio::io_context> context;
        std::unique_ptr<Gateway> gateway;
        base::Duration pause{}; ///< between two runs
        base::Time nextPoll;
    };

    static constexpr std::size_t FirstPort = 2500;
    static constexpr std::size_t PortRanges = 140; ///< end below the ports of the tests of whole programs
    static constexpr std::size_t PortsPerRange = 50;

    /// A range of ports that no other process uses, as its last port is kept open until the end of the process.
    class PortRange
    {
    public:
        /// Begins at the range of the process id, which others may have as well.
        PortRange()
        {
            using boost::asio::ip::tcp;
            const auto start = static_cast<std::size_t>(getpid());
            for (std::size_t n = 0; n < PortRanges && !m_reservation.is_open(); ++n) {
                m_first = static_cast<std::uint16_t>(FirstPort + PortsPerRange * ((start + n) % PortRanges));
                tcp::acceptor reservation(m_context, tcp::v4());
                boost::system::error_code ec;
                reservation.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(m_first + PortsPerRange - 1)}, ec);
                if (!ec) {
                    m_reservation = std::move(reservation);
                }
            }
        }

        std::uint16_t first() const
        {
            return m_first;
        }

    private:
        boost::asio::io_context m_context;
        boost::asio::ip::tcp::acceptor m_reservation{m_context};
        std::uint16_t m_first = 0;
    };

    /// Keeps parallel runs apart, also from the tests of whole programs, which use ports from 10000 on.
    static std::uint16_t port(std::size_t n)
    {
        static const PortRange range;
        return static_cast<std::uint16_t>(range.first() + n);
    }

    std::function<bool(std::size_t, std::size_t)> m_contacts;
    base::Duration m_drainTime;
    FleetLayout m_layout;
    boost::asio::io_context m_callers;
    boost::asio::io_context m_network; ///< runs the links between daemons and endpoints
    std::vector<Daemon> m_daemons;
    std::uint64_t m_calls = 0;
};

} // namespace turmericplank::gateway::testing
