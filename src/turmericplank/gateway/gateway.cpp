#include "turmericplank/gateway/gateway.hpp"

#include <random>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/endpointsnotice.hpp"
#include "turmericplank/gateway/entryanswer.hpp"
#include "turmericplank/gateway/forwarder.hpp"
#include "turmericplank/gateway/peers.hpp"
#include "turmericplank/gateway/placementrunner.hpp"
#include "turmericplank/gateway/siteview.hpp"
#include "turmericplank/telemetry/log.hpp"
#include "turmericplank/telemetry/process.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *EndpointsKind = "gateway/endpoints";
constexpr const char *ConfigurationKind = "gateway/configuration";
constexpr auto ExpireInterval = std::chrono::seconds(1);
constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
constexpr auto EntryKeepTime = std::chrono::seconds(1); ///< callers ask again after it; some keep an answer three times as long
constexpr int LongestKept = 3; ///< times the keep time
constexpr auto LingerTime = std::chrono::milliseconds(500); ///< calls that come behind that are refused, not reset
constexpr auto StopReserve = std::chrono::milliseconds(500); ///< before the platform kills the process
constexpr std::size_t EntriesOfZone = 2; ///< one may be lost
constexpr double ConnectionShare = 0.9; ///< of an endpoint's connections; the rest is for daemons that are not heard
constexpr std::uint32_t LeastConnections = 4; ///< of one daemon to one endpoint
constexpr double StreamBurden = 2; ///< milliseconds; without it near ties of all prompts with one first part go to one engine
constexpr auto OtherZoneDistance = std::chrono::microseconds(1250); ///< one way, between the zones of one region

/// What engines of this kind need for a token, until they are measured.
routing::EngineSpeed engineSpeed()
{
    routing::EngineSpeed speed;
    speed.promptMillisecondsPerToken = 0.03; // about 30 prompt tokens a millisecond
    speed.stepMilliseconds = 5;
    speed.stepMillisecondsPerStream = 0.1;
    speed.averageAnswerTokens = 250;
    return speed;
}

routing::RouterOptions routerOptions(const base::ZoneName &own)
{
    routing::RouterOptions options;
    options.zoneDistance = [own](const base::ZoneName &zone) {
        return zone == own ? base::Duration(0) : base::Duration(OtherZoneDistance);
    };
    options.speed = engineSpeed();
    options.streamPenaltyMilliseconds = StreamBurden;
    options.health.failuresToBlock = 4; // a plain service may fail a seventh of its calls and be well
    return options;
}

std::unique_ptr<net::HttpServer> listen(boost::asio::io_context &context, const base::Address &address, std::function<void(net::ExchangePointer)> onRequest)
{
    net::HttpServerOptions options;
    options.listen = address;
    options.onRequest = std::move(onRequest);
    return net::listenHttp(context, options);
}

SiteViewOptions viewOptions(const SiteBounds &bounds)
{
    SiteViewOptions options;
    options.endpointsInterval = bounds.drainTime / 2;
    options.passedLimit = bounds.drainTime * 72 / 100;
    return options;
}

peer::MeshOptions meshOptions(const Settings &settings)
{
    peer::MeshOptions options;
    options.listen = settings.peers;
    options.self = settings.id;
    return options;
}

} // namespace

struct Gateway::Parts
{
    Parts(boost::asio::io_context &ioContext, Settings gatewaySettings, WireFormat wireFormat, SiteStore siteStore)
        : context(ioContext)
        , settings(std::move(gatewaySettings))
        , wire(std::move(wireFormat))
        , router(routerOptions(settings.zone))
        , fleet(router)
        , pool(context, {})
        , mesh(peer::openMesh(context, meshOptions(settings)))
        , forwarder(forwarderParts(), settings.bounds)
        , view(context, siteStore, fleet, metrics, viewHooks(), viewOptions(settings.bounds))
        , placementRunner(placementParts(siteStore.table), settings)
        , peers(context, settings, siteStore.table, *mesh, peerHooks())
    {
        callers = listen(context, settings.callers, [this](const net::ExchangePointer &it) { forwarder.take(it); });
        readiness = listen(context, settings.readiness, [this](const net::ExchangePointer &it) { answerEntry(it); });
        directory = listen(context, settings.directory, [this](const net::ExchangePointer &it) { answerEntry(it); });
        operators = listen(context, settings.metrics, [this](const net::ExchangePointer &it) { answerMetrics(it); });
        daemon::callEvery(context, ForwarderOptions().parkInterval, [this] { forwarder.retryParked(); });
        daemon::callEvery(context, ExpireInterval, [this] {
            router.expire(base::now());
            pool.expire(base::now());
            forwarder.tellLeftOut();
        });
        placementRunner.setOwnDemand([this]() -> const placement::DemandCounters & { return forwarder.demand(); });
        mesh->handle(EndpointsKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerAnswer &answer) {
            answer.end();
            takeEntries(from, body);
        });
        mesh->handle(ConfigurationKind, [this](const base::DaemonId &, const std::string &body, const peer::PeerAnswer &answer) {
            answer.end();
            view.takePassedConfiguration(body);
        });
        view.start();
    }

    ForwarderParts forwarderParts()
    {
        return {context,
                wire,
                fleet,
                router,
                pool,
                metrics,
                random,
                [this] { return daemons(); },
                [this](const base::ServiceName &, const base::ModelName &) {
                    peers.tell();
                }};
    }

    SiteView::Hooks viewHooks()
    {
        return {[this] { onConfiguration(); }, [this](const auto &changes) { onEndpoints(changes); }, [this] { return peers.isReader(); },
                [this](const auto &entries) { peers.tellGroup(EndpointsKind, encode(entries)); },
                [this](const auto &text) {
                    peers.tellAll(ConfigurationKind, text);
                    peers.tellFar();
                }};
    }

    PlacementParts placementParts(const store::Table &table)
    {
        PlacementParts parts{context, wire, fleet, pool, metrics, table, {}, {}, {}};
        parts.onEngine = [this](const EngineNotice &notice) {
            fleet.takeEngine(notice, base::now());
            forwarder.retryParked();
        };
        parts.hearsHolder = [this] {
            return peers.holder().has_value();
        };
        parts.isReader = [this] {
            return peers.isReader();
        };
        return parts;
    }

    Peers::Hooks peerHooks()
    {
        Peers::Hooks hooks;
        hooks.fillNotice = [this](PeerNotice &notice) {
            fillNotice(notice);
        };
        hooks.demand = [this] {
            return forwarder.demand();
        };
        hooks.onNotice = [this](const PeerNotice &notice) {
            takeNotice(notice);
        };
        hooks.onSilent = [this](const base::DaemonId &id) {
            router.forgetPeer(id);
            setConnectionLimits();
        };
        return hooks;
    }

    void takeEntries(const base::DaemonId &from, const std::string &body)
    {
        const auto entries = decodeEntries(body);
        if (entries) {
            view.takePassed(*entries);
        } else {
            telemetry::log(LogLevel::Warning, "peers", "entries cannot be read", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        }
    }

    std::size_t daemons() const
    {
        return peers.others() + 1;
    }

    bool isReady() const
    {
        return !isLeaving && fleet.routes() && !fleet.endpoints().empty();
    }

    void fillNotice(PeerNotice &notice)
    {
        notice.isReady = isReady();
        notice.revision = fleet.routes() ? fleet.routes()->configuration().revision : base::Revision();
        notice.work = router.ownWork();
        notice.leavingEndpoints = fleet.leavingEndpoints(base::now());
        placementRunner.fillNotice(notice);
    }

    void takeNotice(const PeerNotice &notice)
    {
        const auto now = base::now();
        router.notePeerWork(notice.from, completeWork(notice), now);
        router.setUnreportedWorkFactor(static_cast<double>(daemons()) / static_cast<double>(peers.near() + 1));
        fleet.takeLeaving(notice.leavingEndpoints, now);
        view.heardRevision(notice.revision);
        placementRunner.takeNotice(notice);
        bool isNews = false;
        for (const auto &it : notice.engines) {
            isNews = fleet.takeEngine(it, now) || isNews;
        }
        if (isNews) {
            forwarder.retryParked();
        }
    }

    /// A notice leaves out endpoints without work; the router keeps what it was told before.
    std::vector<routing::EndpointWork> completeWork(const PeerNotice &notice) const
    {
        std::map<base::EndpointId, routing::EndpointWork> work;
        for (const auto &[id, entry] : fleet.endpoints()) {
            work[id].endpoint = id;
        }
        for (const auto &it : notice.work) {
            work[it.endpoint] = it;
        }
        std::vector<routing::EndpointWork> all;
        for (const auto &[id, it] : work) {
            all.push_back(it);
        }
        return all;
    }

    void onConfiguration()
    {
        const auto &bounds = fleet.routes()->configuration().bounds;
        callers->setLimits(bounds.headerBytes, bounds.bodyBytes, bounds.requestTimeout, bounds.idleTimeout);
        setConnectionLimits();
        placementRunner.onConfiguration();
        peers.tell();
    }

    void onEndpoints(const std::vector<discovery::EndpointChange> &changes)
    {
        for (const auto &it : changes) {
            if (it.event == discovery::EndpointEvent::Gone) {
                pool.dropEndpoint(it.entry.id);
            }
        }
        setConnectionLimits();
        placementRunner.onEndpoints();
        forwarder.retryParked();
    }

    void setConnectionLimits()
    {
        if (!fleet.routes()) {
            return;
        }
        const auto &services = fleet.routes()->configuration().services;
        for (const auto &[id, entry] : fleet.endpoints()) {
            const auto spec = services.find(entry.service);
            const double whole = spec == services.end() ? 1 : spec->second.connectionLimit;
            const auto part = static_cast<std::uint32_t>(whole * ConnectionShare / static_cast<double>(daemons()));
            pool.setEndpoint(id, entry.address, entry.incarnation, std::max(LeastConnections, part));
        }
    }

    std::vector<Entry> entries() const
    {
        std::vector<Entry> entries;
        for (const auto &[address, notice] : peers.serving()) {
            entries.push_back({address.callers, address.zone});
        }
        // Before the others are heard, or when all leave, this daemon is better than nothing.
        if (isReady() || entries.empty()) {
            entries.push_back({settings.callers, settings.zone});
        }
        return entries;
    }

    void answerEntry(const net::ExchangePointer &exchange)
    {
        switch (wire.entryPath(exchange->request())) {
        case EntryPath::Directory: {
            const auto question = wire.readQuestion(exchange->request());
            const auto keepFor = std::min<base::Duration>(EntryKeepTime, settings.bounds.entryKeepTime);
            exchange->respond(wire.makeEntryAnswer({chooseEntries(question, entries(), EntriesOfZone), keepFor}));
            return;
        }
        case EntryPath::Readiness:
            exchange->respond({isReady() ? 200 : 503, {}, {}});
            return;
        case EntryPath::Unknown:
            exchange->respond({404, {}, {}});
            return;
        }
    }

    void answerMetrics(const net::ExchangePointer &exchange)
    {
        metrics.gauge("daemons", static_cast<double>(daemons()));
        metrics.gauge("requests_in_progress", static_cast<double>(forwarder.inProgress()));
        metrics.gauge("endpoint_connections", static_cast<double>(pool.openConnections()));
        metrics.gauge("endpoint_connections_opened", static_cast<double>(pool.opened()));
        metrics.gauge("mesh_bytes", static_cast<double>(mesh->bytesTransferred()));
        telemetry::gaugeProcess(metrics);
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text()});
    }

    boost::asio::io_context &context;
    Settings settings;
    WireFormat wire;
    telemetry::Metrics metrics;
    std::mt19937_64 random{std::random_device()()};
    routing::Router router;
    Fleet fleet;
    EndpointPool pool;
    std::unique_ptr<peer::Mesh> mesh;
    Forwarder forwarder;
    SiteView view;
    PlacementRunner placementRunner;
    Peers peers;
    std::unique_ptr<net::HttpServer> callers;
    std::unique_ptr<net::HttpServer> readiness;
    std::unique_ptr<net::HttpServer> directory;
    std::unique_ptr<net::HttpServer> operators;
    bool isLeaving = false;
    bool isDrained = false;
};

Gateway::Gateway(boost::asio::io_context &context, Settings settings, WireFormat wire, SiteStore store)
    : m_parts(std::make_unique<Parts>(context, std::move(settings), std::move(wire), std::move(store)))
{
    const auto &it = m_parts->settings;
    telemetry::log(LogLevel::Info, "daemon", "started",
                   {{"id", it.id.text()}, {"zone", it.zone.text()}, {"callers", toString(it.callers)}, {"peers", toString(it.peers)}});
}

Gateway::~Gateway() = default;

void Gateway::beginDrain(std::function<void()> onDrained)
{
    if (std::exchange(m_parts->isLeaving, true)) {
        return;
    }
    telemetry::log(LogLevel::Info, "daemon", "drain started", {{"in_progress", std::uint64_t(m_parts->forwarder.inProgress())}});
    m_parts->placementRunner.stop();
    m_parts->peers.leave();
    m_parts->callers->closeBehindAnswers();
    // Callers may hold this address for a while: what they send until then is still served.
    const auto now = base::now();
    const auto kept = std::min<base::Duration>(EntryKeepTime, m_parts->settings.bounds.entryKeepTime) * LongestKept;
    const auto latest = now + m_parts->settings.bounds.stopTime - StopReserve;
    const auto earliest = std::min(now + kept + LingerTime, latest);
    daemon::callAt(m_parts->context, std::min(now + kept, latest), [this] { m_parts->forwarder.refuseNew(); });
    daemon::callEvery(m_parts->context, DrainCheckInterval, [this, earliest, latest, onDrained = std::move(onDrained)] {
        const auto left = m_parts->forwarder.inProgress();
        const bool isDone = base::now() >= earliest && (left == 0 || base::now() >= latest);
        if (!isDone || std::exchange(m_parts->isDrained, true)) {
            return;
        }
        telemetry::log(LogLevel::Info, "daemon", "drained", {{"cut_off", std::uint64_t(left)}});
        onDrained();
    });
}

} // namespace turmericplank::gateway
