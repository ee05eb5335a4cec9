#include "turmericplank/daemon/daemon.hpp"

#include "turmericplank/daemon/configurationshell.hpp"
#include "turmericplank/daemon/demandmeter.hpp"
#include "turmericplank/daemon/engineselector.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/daemon/membershipshell.hpp"
#include "turmericplank/daemon/operatorapi.hpp"
#include "turmericplank/daemon/placementshell.hpp"
#include "turmericplank/daemon/platformclient.hpp"
#include "turmericplank/daemon/requestsshell.hpp"
#include "turmericplank/daemon/routingshell.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"
#include "turmericplank/telemetry/process.hpp"

namespace turmericplank::daemon {

namespace {

constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
constexpr std::uint32_t MaxBatchesPerModel = 2; ///< one running and one waiting at the engines; further calls are queued here by priority

std::unique_ptr<peer::Mesh> openMeshFor(boost::asio::io_context &context, const Settings &settings)
{
    peer::MeshOptions options;
    options.listen = settings.peerListen;
    options.self = settings.id;
    return peer::openMesh(context, options);
}

std::unique_ptr<net::HttpServer> listen(boost::asio::io_context &context, const base::Address &address, const Routes &routes)
{
    net::HttpServerOptions options;
    options.listen = address;
    options.onRequest = [&routes](const net::ExchangePointer &exchange) {
        routes.dispatch(exchange);
    };
    options.onBadRequest = badRequestResponse;
    return net::listenHttp(context, options);
}

void addOperatorRoutes(Routes &routes, const telemetry::Metrics &metrics, const std::function<void()> &refresh)
{
    routes.add("GET", "/healthz", [](const net::ExchangePointer &exchange) { exchange->respond({200, {{"Content-Type", "text/plain"}}, "ok\n"}); });
    routes.add("GET", "/metrics", [&metrics, refresh](const net::ExchangePointer &exchange) {
        refresh();
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text()});
    });
    routes.add("PUT", "/admin/log-level", [](const net::ExchangePointer &exchange) {
        telemetry::LogLevel level = telemetry::LogLevel::Info;
        if (!telemetry::parseLogLevel(exchange->request().body, level)) {
            exchange->respond(errorResponse({400, "unknown_log_level", base::Outcome::NotRun, "expected debug, info, warning or error"}));
            return;
        }
        telemetry::setLogLevel(level);
        exchange->respond({204, {}, {}});
    });
}

} // namespace

struct Daemon::Parts
{
    Parts(boost::asio::io_context &ioContext, Settings daemonSettings, std::shared_ptr<const configuration::Document> daemonDocument)
        : context(ioContext)
        , settings(std::move(daemonSettings))
        , initialDocument(std::move(daemonDocument))
        , mesh(openMeshFor(context, settings))
        , platformClient(makePlatformClient(context, platformOptions()))
        , environment{context,
                      settings,
                      platformClient.table,
                      platformClient.objects,
                      platformClient.listVirtualMachines,
                      *mesh,
                      callerRoutes,
                      operatorRoutes,
                      metrics,
                      random,
                      pollBytes}
        , configuration(environment, configurationHooks())
        , operatorApi(environment, configuration)
        , routing(environment)
        , membership(environment, routing, membershipHooks())
        , engineSelector(routing.router(), random)
        , demand([this] { return document(); })
        , requests(environment, requestsOptions())
        , placement(environment, placementOptions())
    {
        operatorApi.addStatusPart("placement", [this] { return placement.status(); });
        const auto refresh = [this] {
            metrics.setGauge("control_bytes_total{part=\"mesh\"}", static_cast<double>(mesh->bytesTransferred()));
            metrics.setGauge("control_bytes_total{part=\"platform\"}", static_cast<double>(platformBytes));
            metrics.setGauge("control_bytes_total{part=\"polls\"}", static_cast<double>(pollBytes));
            telemetry::updateProcessMetrics(metrics);
        };
        addOperatorRoutes(operatorRoutes, metrics, refresh);
        addOperatorRoutes(callerRoutes, metrics, refresh);
        callerServer = listen(context, settings.callerListen, callerRoutes);
        operatorServer = listen(context, settings.operatorListen, operatorRoutes);
        applyDocument();
        configuration.onActivated([this](const configuration::ActiveConfiguration &) { applyDocument(); });
    }

    /// The accepted document in force, or the initial one before the first activation.
    std::shared_ptr<const configuration::Document> document() const
    {
        const auto &accepted = configuration.inForce().document;
        return accepted ? accepted : initialDocument;
    }

    PlatformOptions platformOptions()
    {
        PlatformOptions options;
        options.addresses = settings.platform;
        options.byteCounter = &platformBytes;
        return options;
    }

    std::vector<PeerTarget> peerTargets() const
    {
        std::vector<PeerTarget> targets;
        for (const auto &it : membership.others()) {
            targets.push_back({it.record.id, it.record.peerAddress});
        }
        return targets;
    }

    /// Notices go to suspect daemons too: a daemon that restarts while the platform is down learns of its peers only from them.
    ConfigurationShellHooks configurationHooks()
    {
        ConfigurationShellHooks hooks;
        hooks.peers = [this] {
            std::vector<PeerTarget> targets;
            for (const auto &it : membership.members()) {
                if (it.record.id != settings.id) {
                    targets.push_back({it.record.id, it.record.peerAddress});
                }
            }
            return targets;
        };
        return hooks;
    }

    /// Requests are served under the initial document until a first one is accepted; from then on the configuration shell decides.
    std::optional<ErrorBody> rejection()
    {
        const auto servesInitialDocument = initialDocument && configuration.pointer().entries.empty();
        return servesInitialDocument ? std::nullopt : configuration.rejection();
    }

    RequestsShellOptions requestsOptions()
    {
        RequestsShellOptions options;
        options.document = [this] {
            return document();
        };
        options.revision = [this] {
            return configuration.inForce().revision;
        };
        options.rejection = [this] {
            return rejection();
        };
        options.chooseEngine = demand.wrap([this](const requests::ChoiceQuery &query, base::Time now) { return engineSelector.choose(query, now); });
        options.engineFeedback = demand.wrap(engineSelector.feedback());
        options.modelLimit = [this](const base::ModelName &model) {
            return routing.router().streamCapacity(model) * MaxBatchesPerModel;
        };
        options.peers = [this] {
            return peerTargets();
        };
        options.otherDaemonAddresses = [this] {
            return membership.otherCallerAddresses();
        };
        options.localCallerLimit = [this](const base::CallerName &caller, const requests::CallerLimit &totalLimit) {
            return membership.localLimit(caller, totalLimit);
        };
        options.isInstanceUsable = [this](const base::EndpointId &instance) {
            return membership.isUsable(instance);
        };
        return options;
    }

    MembershipShellHooks membershipHooks()
    {
        MembershipShellHooks hooks;
        hooks.load = [this] {
            return callerServer ? static_cast<std::uint32_t>(callerServer->exchangesInProgress()) : 0;
        };
        hooks.isModelConfigured = [this](const base::ModelName &model) {
            const auto current = document();
            return !current || current->models.contains(model) || current->adapters.contains(base::AdapterName(model.text()));
        };
        hooks.revision = [this] {
            return configuration.notice().highest;
        };
        hooks.onRevision = [this](const base::DaemonId &peer, base::Revision revision) {
            configuration.noteRevision(peer, revision);
        };
        hooks.onDrainRequested = [this] {
            onDrainRequested();
        };
        return hooks;
    }

    PlacementShellOptions placementOptions()
    {
        PlacementShellOptions options;
        options.document = [this] {
            return document();
        };
        options.revision = [this] {
            return configuration.inForce().revision;
        };
        options.demand = [this] {
            return demand.counters();
        };
        options.peers = [this] {
            return peerTargets();
        };
        options.isLive = [this](const base::EndpointId &endpoint) {
            return membership.isUsable(endpoint);
        };
        return options;
    }

    void applyDocument()
    {
        if (const auto current = document()) {
            routing.apply(*current);
            membership.apply(*current);
        }
    }

    boost::asio::io_context &context;
    Settings settings;
    std::shared_ptr<const configuration::Document> initialDocument;
    telemetry::Metrics metrics;
    std::uint64_t platformBytes = 0;
    std::uint64_t pollBytes = 0;
    std::mt19937_64 random{std::random_device()()};
    Routes callerRoutes;
    Routes operatorRoutes;
    std::unique_ptr<peer::Mesh> mesh;
    PlatformClient platformClient;
    Environment environment;
    ConfigurationShell configuration;
    OperatorApi operatorApi;
    RoutingShell routing;
    MembershipShell membership;
    EngineSelector engineSelector;
    DemandMeter demand;
    RequestsShell requests;
    PlacementShell placement;
    std::unique_ptr<net::HttpServer> callerServer;
    std::unique_ptr<net::HttpServer> operatorServer;
    std::function<void()> onDrainRequested = [] {
    };
    bool isDraining = false;
};

Daemon::Daemon(boost::asio::io_context &context, Settings settings, std::shared_ptr<const configuration::Document> document)
    : m_parts(std::make_unique<Parts>(context, std::move(settings), std::move(document)))
{
    const auto &own = m_parts->settings;
    telemetry::log(telemetry::LogLevel::Info, "daemon", "started",
                   {{"id", own.id.text()}, {"zone", own.zone.text()}, {"callers", toString(own.callerListen)}, {"peers", toString(own.peerListen)}});
    m_parts->onDrainRequested = [this, &context] {
        beginDrain([&context] { context.stop(); });
    };
}

Daemon::~Daemon() = default;

void Daemon::beginDrain(std::function<void()> onDrained)
{
    if (std::exchange(m_parts->isDraining, true)) {
        return;
    }
    telemetry::log(telemetry::LogLevel::Info, "daemon", "drain started", {{"in_progress", std::uint64_t(m_parts->callerServer->exchangesInProgress())}});
    // Requests are still served while callers may hold an unexpired response that names this daemon.
    m_parts->placement.stop();
    m_parts->membership.leave([this, onDrained = std::move(onDrained)] {
        m_parts->requests.startDraining();
        const auto done = std::make_shared<bool>(false);
        callEvery(m_parts->context, DrainCheckInterval, [this, done, onDrained] {
            if (!*done && m_parts->callerServer->exchangesInProgress() == 0 && m_parts->requests.inProgress() == 0) {
                *done = true;
                m_parts->callerServer->stopAccepting();
                telemetry::log(telemetry::LogLevel::Info, "daemon", "drained");
                onDrained();
            }
        });
    });
}

} // namespace turmericplank::daemon
