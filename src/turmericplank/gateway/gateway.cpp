#include "turmericplank/gateway/gateway.hpp"

#include <random>

#include "gatewayoptions.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/accountlimits.hpp"
#include "turmericplank/gateway/contactexchange.hpp"
#include "turmericplank/gateway/contactshares.hpp"
#include "turmericplank/gateway/crashexchange.hpp"
#include "turmericplank/gateway/endpointrefresh.hpp"
#include "turmericplank/gateway/endpointsmessage.hpp"
#include "turmericplank/gateway/entryselection.hpp"
#include "turmericplank/gateway/forwarder.hpp"
#include "turmericplank/gateway/loopdelay.hpp"
#include "turmericplank/gateway/peerforwarder.hpp"
#include "turmericplank/gateway/peers.hpp"
#include "turmericplank/gateway/placementrunner.hpp"
#include "turmericplank/gateway/ratelimits.hpp"
#include "turmericplank/gateway/rejectionlimits.hpp"
#include "turmericplank/gateway/sharedread.hpp"
#include "turmericplank/gateway/sitestateupdater.hpp"
#include "turmericplank/gateway/streamoriginexchange.hpp"
#include "turmericplank/requests/lossreview.hpp"
#include "turmericplank/telemetry/log.hpp"
#include "turmericplank/telemetry/process.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *EndpointsKind = "gateway/endpoints";
constexpr const char *ConfigurationKind = "gateway/configuration";
constexpr const char *CrashesKind = "gateway/crashes";
constexpr std::size_t CallerSendBufferBytes = 64U * 1024; ///< at the round-trip time of a zone, more than a link of 200 Mbit/s carries
constexpr auto LossReviewInterval = std::chrono::milliseconds(50);
constexpr auto ContactInterval = std::chrono::milliseconds(100);
constexpr auto ExpireInterval = std::chrono::seconds(1);
constexpr auto DrainCheckInterval = std::chrono::milliseconds(50);
constexpr auto DirectoryTimeToLive = std::chrono::seconds(1); ///< some callers cache a response for three times as long
constexpr int MaxCacheFactor = 3; ///< times DirectoryTimeToLive, the longest time for which callers cache a response
constexpr auto RejectionTime = std::chrono::milliseconds(500); ///< that follows the cache time; new calls in it are rejected rather than reset
constexpr auto StopSignalDelay = std::chrono::milliseconds(250); ///< in which the signal reaches a daemon that is short of processor time
constexpr auto ShutdownReserve = std::chrono::milliseconds(500); ///< left before the platform kills the process
constexpr std::uint32_t MaxDroppedLinesPerSecond = 5;
constexpr auto ConfigurationReadInterval = std::chrono::milliseconds(500); ///< between two reads for calls whose route or key is unknown
constexpr std::size_t MinZoneEntries = 2; ///< so that one may be lost
constexpr auto ContactSettleTime = std::chrono::seconds(3); ///< after contact was regained, until all daemons know and have closed connections

std::unique_ptr<net::HttpServer> listen(boost::asio::io_context &context, const base::Address &address, const net::CallerBudgetPointer &budget,
                                        std::function<void(net::ExchangePointer)> onRequest, std::function<void(net::UnansweredCause)> onUnanswered = {})
{
    net::HttpServerOptions options;
    options.listen = address;
    options.budget = budget;
    options.sendBufferBytes = CallerSendBufferBytes;
    options.onRequest = std::move(onRequest);
    options.onUnanswered = std::move(onUnanswered);
    return net::listenHttp(context, options);
}

} // namespace

struct Gateway::Impl
{
    Impl(boost::asio::io_context &ioContext, Settings gatewaySettings, WireFormat wireFormat, SiteStore siteStore, ConnectionPoolOptions poolOptions)
        : context(ioContext)
        , settings(std::move(gatewaySettings))
        , wire(std::move(wireFormat))
        , router(routerOptions(settings.zone))
        , siteState(router, siteStateOptions(settings))
        , rejectionLimits(settings.id, siteState, router, [this] { return peers.otherDaemons(); })
        , rateLimits(settings.id, siteState, router.rateAllowance(), [this] { return peers.otherDaemons(); })
        , pool(context, std::move(poolOptions))
        , mesh(peer::openMesh(context, meshOptions(settings)))
        , forwarder(forwarderDependencies(), settings.bounds, forwarderOptions(settings, budget))
        , siteStateUpdater(context, siteStore, siteState, metrics, updaterCallbacks(), updaterOptions(settings.bounds))
        , placementRunner(placementDependencies(siteStore.table), settings)
        , peers(context, settings, siteStore.table, *mesh, peerCallbacks())
        , endpointRefresh(
              context, [this, read = siteStore.readEndpoints](const ReadCallback<EndpointsSnapshot> &onDone) { readVersions(read, onDone); },
              [this](const auto &entries) { originExchange.noteEndpoints(entries); })
        , configurationRead(context, [this](auto onDone) { siteStateUpdater.refreshConfiguration(std::move(onDone)); },
                            {.minInterval = ConfigurationReadInterval})
        , accountLimits(context, settings.id, siteState, *mesh, peers, metrics, random)
        , originExchange(context, streamOrigins, *mesh, peers, siteStore.table, settings.isFirstStart)
        , peerForwarder(*mesh, peers, peerContact, forwarder, siteState, pool, metrics, random)
        , contactExchange(context, *mesh, peers, peerContact)
        , crashExchange(context, crashHistory, siteStore.table, [this](const std::string &body) { peers.sendToStatusPeers(CrashesKind, body); })
    {
        callerServer = listen(
            context, settings.callerAddress, budget, [this](const net::ExchangePointer &it) { forwarder.handleCall(it); },
            [this](net::UnansweredCause cause) { metrics.count("caller_connections_unanswered_total{cause=\"" + std::string(toString(cause)) + "\"}"); });
        readinessServer = listen(context, settings.readinessAddress, budget, [this](const net::ExchangePointer &it) { answerEntryRequest(it); });
        directoryServer = listen(context, settings.directoryAddress, budget, [this](const net::ExchangePointer &it) { answerEntryRequest(it); });
        metricsServer = listen(context, settings.metricsAddress, budget, [this](const net::ExchangePointer &it) { answerMetrics(it); });
        daemon::callEvery(context, ForwarderOptions().waitingRetryInterval, [this] { forwarder.retryWaitingCalls(); });
        observeLoopDelay(context, metrics);
        daemon::callEvery(context, ContactInterval, [this] { checkContact(); });
        daemon::callEvery(context, LossReviewInterval, [this] { reviewLosses(); });
        daemon::callEvery(context, ExpireInterval, [this] {
            router.expire(base::now());
            rejectionLimits.update(base::now());
            rateLimits.update(base::now());
            setConnectionLimits();
            pool.closeExpired(base::now());
            streamOrigins.expire(base::now());
            forwarder.logOmittedLines();
        });
        placementRunner.setOwnDemandSource([this]() -> const placement::DemandCounters & { return forwarder.demand(); });
        mesh->handle(EndpointsKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
            answer.end();
            handleEntriesMessage(from, body);
        });
        mesh->handle(ConfigurationKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
            answer.end();
            siteStateUpdater.applyRelayedConfiguration(from, body);
        });
        mesh->handle(CrashesKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
            answer.end();
            crashExchange.handleMessage(from, body);
        });
        siteStore.observeEra([this](base::StoreEra era) { noteStoreEra(era); });
        siteStateUpdater.start();
    }

    ForwarderDependencies forwarderDependencies()
    {
        return {
            context,
            wire,
            siteState,
            router,
            pool,
            metrics,
            random,
            streamOrigins,
            crashHistory,
            [this](auto onDone) { refreshVersions(std::move(onDone)); },
            [this](forwarding::CallDigest call, auto onDone) { originExchange.findRemote(call, std::move(onDone)); },
            [this](requests::Fingerprint content, const requests::EndpointLoss &loss) {
                lossReview.add({content, loss}, base::now());
            },
            [this](requests::Fingerprint content) { crashExchange.recordSharedAnswer(content); },
            [this] { return peers.isLeaseHolder(); },
            [this](const base::ServiceName &service, const PeerForwardRequest &request, PeerForwardCallbacks callbacks) {
                return peerForwarder.forward(service, request, std::move(callbacks));
            },
            [this] { return daemonCount(); },
            [this] {
                placementRunner.updateEngines();
                peers.sendStatus();
            },
            [this](const base::ServiceName &, const base::ModelName &) { peers.sendStatus(); },
            [this](const base::EndpointId &endpoint, std::optional<std::uint32_t> tolerance) { rejectionLimits.noteAnswer(endpoint, tolerance, base::now()); },
            [this](const base::EndpointId &endpoint, std::optional<double> callsPerSecond) { rateLimits.noteAnswer(endpoint, callsPerSecond, base::now()); },
            [this](const accounts::Account &account, const Call &call) { return accountLimits.admit(account, call, base::now()); },
            [this](const accounts::Account &account, const Call &call) { accountLimits.giveBack(account, call); },
            [this] { return siteStateUpdater.isConfigurationCertain(); },
            [this](auto onDone) {
                configurationRead.request(std::move(onDone));
            }};
    }

    SiteStateUpdater::Callbacks updaterCallbacks()
    {
        return {[this] { onConfiguration(); },
                [this](const auto &changes) { onEndpoints(changes); },
                [this] { return peers.isStoreReader(); },
                [this] { return peers.isConfigurationWatcher(); },
                [this] { peers.sendStatus(); },
                [this](const auto &entries) { peers.sendToGroup(EndpointsKind, encode(entries)); },
                [this](const auto &text) {
                    peers.sendToAll(ConfigurationKind, text);
                    peers.sendStatusToAll();
                },
                [this](const auto &peer, const auto &text) { peers.sendTo(peer, ConfigurationKind, text); },
                [this](const auto &entry) { return originExchange.isRecorded(entry.service, entry.softwareVersion); },
                [this](const auto &entries, auto onDone) {
                    originExchange.recordVersions(listedVersions(entries), std::move(onDone));
                }};
    }

    PlacementDependencies placementDependencies(const store::Table &table)
    {
        PlacementDependencies dependencies{context, wire, siteState, pool, metrics, table, {}, {}, {}, {}};
        dependencies.onEngineUpdate = [this](const EngineUpdate &update) {
            siteState.applyEngineUpdate(update, base::now());
            forwarder.retryWaitingCalls();
        };
        dependencies.isHolderHeard = [this] {
            return peers.leaseHolder().has_value();
        };
        dependencies.areAllDaemonsHeard = [this] {
            return peers.areAllHeard();
        };
        dependencies.isStoreReader = [this] {
            return peers.isStoreReader();
        };
        return dependencies;
    }

    /// Rows that this daemon has written and positions in the store's history are void in a new era. The first era that a daemon
    /// learns of is the one in which it starts.
    void noteStoreEra(base::StoreEra era)
    {
        const bool isRestored = std::exchange(storeEra, era) != base::StoreEra();
        placementRunner.noteStoreEra(era);
        if (isRestored) {
            telemetry::log(LogLevel::Warning, "store", "came back from an older copy", {{"era", era.value()}});
            metrics.count("store_restores_total");
            siteStateUpdater.noteStoreRestored();
            crashExchange.noteStoreRestored();
            originExchange.noteStoreRestored();
        }
        notePeerStoreEra(era);
    }

    /// A daemon that has no reason to call the store learns from its peers that its row must be written again. The answer to that
    /// write reports the era to its own client, which then reports answers of earlier eras as failures; until then, nothing else changes.
    void notePeerStoreEra(base::StoreEra era)
    {
        if (era <= registrationEra) {
            return;
        }
        if (std::exchange(registrationEra, era) != base::StoreEra()) {
            peers.registerAgain();
        }
    }

    net::CallerBudgetPointer makeCallerBudget()
    {
        auto options = callerBudgetOptions(settings);
        options.onGiveWay = [this](net::GiveWayCause cause) {
            metrics.count("caller_connections_dropped_total{cause=\"" + std::string(toString(cause)) + "\"}");
            if (droppedLineBudget.tryAcquire(base::now())) {
                telemetry::log(LogLevel::Warning, "callers", "dropped a connection to bound what callers occupy",
                               {{"cause", toString(cause)}, {"bytes", std::uint64_t(budget->bytes())}, {"connections", std::uint64_t(budget->connections())}});
            }
        };
        return net::CallerBudgetPointer(new net::CallerBudget(std::move(options)));
    }

    Peers::Callbacks peerCallbacks()
    {
        Peers::Callbacks callbacks;
        callbacks.fillStatus = [this](PeerStatus &status) {
            fillStatus(status);
        };
        callbacks.mayActAsHolder = [this] {
            return placementRunner.isHolder();
        };
        callbacks.demand = [this] {
            return forwarder.demand();
        };
        callbacks.onPeerStatus = [this](const std::set<base::ServiceName> &before, const PeerStatus &status) {
            contactExchange.notePeerStatus(before, status);
            handlePeerStatus(status);
        };
        callbacks.onPeerHeard = [this](const base::DaemonId &id) {
            originExchange.notePeerHeard(id);
            if (const auto message = crashExchange.completeMessage(); !message.empty()) {
                peers.sendTo(id, CrashesKind, message);
            }
        };
        callbacks.onPeerSilent = [this](const base::DaemonId &id) {
            router.forgetPeer(id);
            rejectionLimits.update(base::now());
            setConnectionLimits();
        };
        return callbacks;
    }

    void handleEntriesMessage(const base::DaemonId &from, const std::string &body)
    {
        const auto entries = decodeEndpointEntries(body);
        if (entries) {
            siteStateUpdater.applyRelayedEntries(from, *entries);
        } else {
            telemetry::log(LogLevel::Warning, "peers", "cannot decode endpoint entries", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        }
    }

    requests::LossReviewSources lossReviewSources()
    {
        requests::LossReviewSources sources;
        sources.cause = [this](const base::EndpointId &endpoint, base::Time lostAt) {
            return pool.contact().lossCause(endpoint, lostAt);
        };
        sources.hasEnded = [this](const requests::EndpointLoss &loss) {
            const auto it = siteState.endpoints().find(loss.endpoint);
            return it == siteState.endpoints().end() || it->second.incarnation != loss.incarnation;
        };
        sources.resolveDoubt = [this](const base::EndpointId &endpoint) {
            pool.noteDoubt(endpoint);
        };
        return sources;
    }

    /// A daemon that has lost its contact must blame no call for that, here or at other daemons.
    void reviewLosses()
    {
        for (const auto &it : lossReview.takeConfirmed(base::now())) {
            recordEndpointLoss(it.content, it.loss);
        }
        if (const auto n = lossReview.takeDismissedCount()) {
            telemetry::log(LogLevel::Info, "endpoints", "losses with the contact to a service count for no content", {{"losses", std::uint64_t(n)}});
            metrics.count("losses_of_contact_total", n);
        }
    }

    /// Daemons that are not heard may have written rows.
    void recordEndpointLoss(requests::Fingerprint content, const requests::EndpointLoss &loss)
    {
        crashExchange.recordLoss(content, loss);
        if (!peers.areAllHeard()) {
            crashExchange.readRows();
        }
    }

    /// A version that appeared and left while this daemon was paused or cut off is named by the row of versions only.
    void readVersions(const EndpointRefresh::Read &readEndpoints, const ReadCallback<EndpointsSnapshot> &onDone)
    {
        readEndpoints([this, onDone](const tl::expected<EndpointsSnapshot, store::TableFailure> &result) {
            if (!result) {
                onDone(result);
                return;
            }
            originExchange.readRecordedVersions([onDone, result](bool isRead) {
                if (isRead) {
                    onDone(result);
                } else {
                    onDone(tl::unexpected(store::TableFailure::Unavailable));
                }
            });
        });
    }

    /// While the store does not answer, versions are known for certain if most of the daemons are heard: what any of them has found, they
    /// tell. A few that hear only each other may be cut off from the store and from those that find a new version.
    void refreshVersions(std::function<void(bool)> onDone)
    {
        endpointRefresh.refresh([this, onDone = std::move(onDone)](bool isRead) {
            if (isRead || !peers.isHalfHeard()) {
                onDone(isRead);
            } else {
                originExchange.refreshHistory([onDone] { onDone(true); });
            }
        });
    }

    std::size_t daemonCount() const
    {
        return peers.otherDaemonCount() + 1;
    }

    /// Peers are told at once, so that they neither forward calls to a daemon that is cut off nor spare one that no longer is.
    void checkContact()
    {
        pool.probeContact(base::now());
        const auto &contact = pool.contact();
        const auto before = std::exchange(unreachableServices, contact.cutOffServices());
        if (unreachableServices == before) {
            return;
        }
        const auto logChange = [&](LogLevel level, std::string_view text, const base::ServiceName &service) {
            const auto unreachable = std::uint64_t(contact.unreachableCount(service));
            telemetry::log(level, "endpoints", text, {{"service", service.text()}, {"unreachable", unreachable}});
        };
        for (const auto &it : unreachableServices) {
            if (!before.contains(it)) {
                logChange(LogLevel::Warning, "all of a service unreachable", it);
            }
        }
        for (const auto &it : before) {
            if (!unreachableServices.contains(it)) {
                logChange(LogLevel::Info, "some of a service reachable again", it);
                contactRegainedAt[it] = base::now();
            }
        }
        setConnectionLimits();
        peers.sendStatusToAll();
    }

    /// Services that have endpoints.
    std::set<base::ServiceName> endpointServices() const
    {
        std::set<base::ServiceName> found;
        for (const auto &[id, entry] : siteState.endpoints()) {
            found.insert(entry.service);
        }
        return found;
    }

    bool isReady() const
    {
        return !isDraining && siteState.routes() && !siteState.endpoints().empty();
    }

    void fillStatus(PeerStatus &status)
    {
        status.isReady = isReady();
        status.unreachableServices = unreachableServices;
        status.isCutOff = !unreachableServices.empty() && unreachableServices == endpointServices();
        status.revision = siteState.routes() ? siteState.routes()->configuration().revision : base::Revision();
        status.isWatchingConfiguration = siteStateUpdater.isWatchingForGroup();
        status.storeEra = storeEra;
        status.endpointWork = router.ownWork();
        status.drainingEndpoints = siteState.drainingEndpoints(base::now());
        rejectionLimits.fillStatus(status, base::now());
        rateLimits.fillStatus(status, base::now());
        placementRunner.fillStatus(status);
    }

    void handlePeerStatus(const PeerStatus &status)
    {
        const auto now = base::now();
        router.notePeerWork(status.from, allEndpointsWork(status), now);
        updateUnreportedWork();
        rejectionLimits.notePeerStatus(status, now);
        rateLimits.notePeerStatus(status, now);
        siteState.applyDraining(status.drainingEndpoints, now);
        siteStateUpdater.notePeerRevision(status.from, status.revision);
        siteStateUpdater.notePeerWatch(status.from, status.isWatchingConfiguration && !status.isDraining && peers.isInGroup(status.from));
        notePeerStoreEra(status.storeEra);
        placementRunner.handlePeerStatus(status);
        bool hasChanged = false;
        for (const auto &it : status.engines) {
            hasChanged = siteState.applyEngineUpdate(it, now) || hasChanged;
        }
        if (hasChanged) {
            forwarder.retryWaitingCalls();
        }
    }

    /// Adds endpoints without work, which a status omits; otherwise the router would keep their earlier values.
    std::vector<routing::EndpointWork> allEndpointsWork(const PeerStatus &status) const
    {
        std::map<base::EndpointId, routing::EndpointWork> work;
        for (const auto &[id, entry] : siteState.endpoints()) {
            work[id].endpoint = id;
        }
        for (const auto &it : status.endpointWork) {
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
        const auto &bounds = siteState.routes()->configuration().bounds;
        callerServer->setLimits(bounds.headerBytes, bounds.bodyBytes, bounds.requestTimeout, bounds.idleTimeout);
        setConnectionLimits();
        accountLimits.updateConfiguration(base::now());
        placementRunner.updateConfiguration();
        peers.sendStatus();
    }

    void onEndpoints(const std::vector<discovery::EndpointChange> &changes)
    {
        for (const auto &it : changes) {
            if (it.event == discovery::EndpointEvent::Gone) {
                pool.removeEndpoint(it.entry.id);
            }
        }
        std::vector<discovery::EndpointEntry> entries;
        for (const auto &[id, entry] : siteState.endpoints()) {
            entries.push_back(entry);
        }
        originExchange.noteEndpoints(entries);
        setConnectionLimits();
        placementRunner.updateEngines();
        forwarder.retryWaitingCalls();
    }

    void setConnectionLimits()
    {
        if (!siteState.routes()) {
            return;
        }
        const auto now = base::now();
        const auto &services = siteState.routes()->configuration().services;
        std::map<base::ServiceName, std::uint32_t> shares;
        for (const auto &[id, entry] : siteState.endpoints()) {
            auto [share, isNew] = shares.try_emplace(entry.service);
            if (isNew) {
                const auto spec = services.find(entry.service);
                const double serviceLimit = spec == services.end() ? 1 : spec->second.connectionLimit;
                const auto regainedAt = contactRegainedAt.find(entry.service);
                const bool isSettled = regainedAt == contactRegainedAt.end() || now >= regainedAt->second + ContactSettleTime;
                share->second = connectionShare(serviceLimit, serviceDaemons(entry.service), isSettled && !unreachableServices.contains(entry.service));
            }
            pool.setEndpoint(id, entry.service, entry.address, entry.incarnation, share->second);
        }
    }

    ServiceDaemons serviceDaemons(const base::ServiceName &service) const
    {
        const std::size_t own = unreachableServices.contains(service) ? 0 : 1;
        const auto [with, without] = peers.groupContact(service);
        // The group's own statuses are newer than the lease holder's summary.
        return {daemonCount(), std::max(peerContact.daemonsWithout(service, base::now()), without + 1 - own), with + own};
    }

    /// By the engines, since only their calls are refused if they would be late.
    void updateUnreportedWork()
    {
        std::optional<double> factor;
        if (siteState.routes()) {
            for (const auto &[name, service] : siteState.routes()->configuration().services) {
                if (service.engine) {
                    factor = std::max(factor.value_or(0), unreportedWorkFactor(serviceDaemons(name)));
                }
            }
        }
        router.setUnreportedWorkFactor(factor.value_or(unreportedWorkFactor({daemonCount(), 0, peers.groupPeerCount() + 1})));
    }

    std::vector<EntryDaemon> entries() const
    {
        std::vector<EntryDaemon> entries;
        for (const auto &[record, status] : peers.servingPeers()) {
            entries.push_back({record.callerAddress, record.zone});
        }
        // Before any peer is heard, or while all are draining, this daemon is better than no address.
        if (isReady() || entries.empty()) {
            entries.push_back({settings.callerAddress, settings.zone});
        }
        return entries;
    }

    void answerEntryRequest(const net::ExchangePointer &exchange)
    {
        switch (wire.entryPath(exchange->request())) {
        case EntryPath::Directory: {
            const auto query = wire.decodeDirectoryQuery(exchange->request());
            const auto timeToLive = std::min<base::Duration>(DirectoryTimeToLive, settings.bounds.maxDirectoryTimeToLive);
            exchange->respond(wire.makeDirectoryResponse({selectEntries(query, entries(), MinZoneEntries), timeToLive}));
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
        metrics.setGauge("daemons", static_cast<double>(daemonCount()));
        metrics.setGauge("configuration_certain", siteStateUpdater.isConfigurationCertain() ? 1 : 0);
        metrics.setGauge("requests_in_progress", static_cast<double>(forwarder.callsInProgress()));
        metrics.setGauge("endpoint_connections", static_cast<double>(pool.openConnectionCount()));
        metrics.setGauge("endpoint_connections_opened", static_cast<double>(pool.openedTotal()));
        metrics.setGauge("endpoints_connections_fail", static_cast<double>(pool.failures().failingCount()));
        metrics.setGauge("caller_bytes_held", static_cast<double>(budget->bytes()));
        metrics.setGauge("caller_connections", static_cast<double>(budget->connections()));
        metrics.setGauge("mesh_bytes", static_cast<double>(mesh->bytesTransferred()));
        telemetry::updateProcessMetrics(metrics);
        exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text()});
    }

    boost::asio::io_context &context;
    Settings settings;
    WireFormat wire;
    telemetry::Metrics metrics;
    std::mt19937_64 random{std::random_device()()};
    routing::Router router;
    SiteState siteState;
    RejectionLimits rejectionLimits;
    RateLimits rateLimits;
    ConnectionPool pool;
    forwarding::StreamOrigins streamOrigins;
    requests::CrashHistory crashHistory;
    requests::LossReview lossReview{lossReviewSources()};
    std::unique_ptr<peer::Mesh> mesh;
    telemetry::LogRateLimiter droppedLineBudget{MaxDroppedLinesPerSecond};
    net::CallerBudgetPointer budget = makeCallerBudget();
    Forwarder forwarder;
    SiteStateUpdater siteStateUpdater;
    PlacementRunner placementRunner;
    Peers peers;
    EndpointRefresh endpointRefresh;
    SharedRead configurationRead;
    AccountLimits accountLimits;
    StreamOriginExchange originExchange;
    PeerContact peerContact;
    PeerForwarder peerForwarder;
    ContactExchange contactExchange;
    CrashExchange crashExchange;
    std::unique_ptr<net::HttpServer> callerServer;
    std::unique_ptr<net::HttpServer> readinessServer;
    std::unique_ptr<net::HttpServer> directoryServer;
    std::unique_ptr<net::HttpServer> metricsServer;
    base::StoreEra storeEra; ///< as reported by the store to this daemon
    base::StoreEra registrationEra; ///< latest era that this daemon or a peer has seen, in which its row has been or is being written
    std::set<base::ServiceName> unreachableServices; ///< of which this daemon reaches no endpoint, as peers were told
    std::map<base::ServiceName, base::Time> contactRegainedAt; ///< of services that this daemon did not reach for some time
    bool isDraining = false;
    bool isDrained = false;
};

Gateway::Gateway(boost::asio::io_context &context, Settings settings, WireFormat wire, SiteStore store, ConnectionPoolOptions poolOptions)
    : m_impl(std::make_unique<Impl>(context, std::move(settings), std::move(wire), std::move(store), std::move(poolOptions)))
{
    const auto &it = m_impl->settings;
    telemetry::log(LogLevel::Info, "daemon", "started",
                   {{"id", it.id.text()}, {"zone", it.zone.text()}, {"callers", toString(it.callerAddress)}, {"peers", toString(it.peerAddress)}});
}

Gateway::~Gateway() = default;

void Gateway::beginDrain(std::function<void()> onDrained)
{
    if (std::exchange(m_impl->isDraining, true)) {
        return;
    }
    telemetry::log(LogLevel::Info, "daemon", "drain started", {{"in_progress", std::uint64_t(m_impl->forwarder.callsInProgress())}});
    m_impl->placementRunner.stop();
    m_impl->peers.announceDraining();
    m_impl->callerServer->closeAfterResponses();
    // Callers may have cached this address; calls that they send during the cache time are still served.
    const auto now = base::now();
    const auto cacheTime = std::min<base::Duration>(DirectoryTimeToLive, m_impl->settings.bounds.maxDirectoryTimeToLive) * MaxCacheFactor;
    const auto latestEnd = now + m_impl->settings.bounds.shutdownTime - ShutdownReserve;
    const auto earliestEnd = std::min(now + cacheTime + RejectionTime, latestEnd);
    daemon::callAt(m_impl->context, std::min(now + cacheTime - StopSignalDelay, latestEnd), [this] { m_impl->forwarder.rejectNewCalls(); });
    daemon::callEvery(m_impl->context, DrainCheckInterval, [this, earliestEnd, latestEnd, onDrained = std::move(onDrained)] {
        const auto left = std::max(m_impl->forwarder.callsInProgress(), m_impl->callerServer->unwrittenResponses());
        const bool isDone = base::now() >= earliestEnd && (left == 0 || base::now() >= latestEnd);
        if (!isDone || std::exchange(m_impl->isDrained, true)) {
            return;
        }
        m_impl->forwarder.logCallsInProgress();
        telemetry::log(LogLevel::Info, "daemon", "drained", {{"cut_off", std::uint64_t(left)}});
        onDrained();
    });
}

} // namespace turmericplank::gateway
