#include "turmericplank/gateway/sitestate.hpp"

#include <xxhash.h>

namespace turmericplank::gateway {

namespace {

constexpr auto SelfDeclaredMemory = std::chrono::seconds(60); ///< an entry that expired while its endpoint was cut off from the table may come back

} // namespace

base::ModelName qualifiedModelName(const base::ServiceName &service, const base::ModelName &model)
{
    return model.isEmpty() ? base::ModelName(service.text()) : base::ModelName(service.text() + ':' + model.text());
}

routing::PrefixChain promptPrefixes(const base::ModelName &model, const std::vector<PromptPart> &prompt)
{
    routing::PrefixChain chain;
    auto fingerprint = XXH3_64bits(model.text().data(), model.text().size());
    std::uint32_t tokens = 0;
    for (const auto &it : prompt) {
        fingerprint = XXH3_64bits_withSeed(&it.id, sizeof it.id, fingerprint);
        tokens += it.tokens;
        chain.push_back({fingerprint, tokens});
    }
    return chain;
}

SiteState::SiteState(routing::Router &router, SiteStateOptions options)
    : m_router(router)
    , m_options(options)
    , m_catalog(options.catalog)
{
}

bool SiteState::applyConfiguration(const std::shared_ptr<const routes::SiteConfiguration> &configuration, base::Time now)
{
    const bool isNewer = configuration && (!m_routes || configuration->revision > m_routes->configuration().revision);
    if (isNewer) {
        m_routes = std::make_shared<const routes::RouteTable>(configuration);
        m_routesSince = now;
        setRouterModels();
        updateEndpoints(now);
    }
    return isNewer;
}

std::vector<discovery::EndpointChange> SiteState::applyEntries(const std::vector<discovery::EndpointEntry> &entries, base::Time now)
{
    auto changes = m_catalog.apply(entries, now);
    std::erase_if(m_recentlyRemoved, [now](const auto &it) { return it.second <= now; });
    for (const auto &it : changes) {
        if (it.event == discovery::EndpointEvent::Gone) {
            m_router.setStatus(it.entry.id, routing::EndpointStatus::Gone, now);
            m_engines.erase(it.entry.id);
            m_recentlyRemoved[{it.entry.id, it.entry.incarnation}] = now + m_options.reportLifetime;
        }
    }
    for (auto &[endpoint, keptUntil] : m_selfDeclared) {
        const auto entry = m_catalog.entries().find(endpoint.endpoint);
        const bool isListed = entry != m_catalog.entries().end() && entry->second.incarnation == endpoint.incarnation;
        keptUntil = isListed ? now + SelfDeclaredMemory : keptUntil;
    }
    std::erase_if(m_selfDeclared, [now](const auto &it) { return it.second <= now; });
    updateEndpoints(now);
    return changes;
}

void SiteState::noteReadFailed()
{
    m_catalog.noteReadFailed();
}

void SiteState::noteStoreRestored(base::Time now)
{
    m_catalog.noteRestored(now);
}

bool SiteState::noteLeavingAnswer(const DrainingEndpoint &endpoint, base::Time now)
{
    const auto entry = m_catalog.entries().find(endpoint.endpoint);
    const bool isKnown = entry != m_catalog.entries().end() && entry->second.incarnation == endpoint.incarnation;
    if (!isKnown || !m_selfDeclared.emplace(endpoint, now + SelfDeclaredMemory).second) {
        return false;
    }
    reportToRouter(entry->second, now);
    return true;
}

bool SiteState::applyEngineUpdate(const EngineUpdate &update, base::Time now)
{
    const auto known = m_engines.find(update.endpoint);
    const auto entry = m_catalog.entries().find(update.endpoint);
    if (known == m_engines.end() || entry == m_catalog.entries().end() || update.incarnation != entry->second.incarnation) {
        return false;
    }
    const bool isNewer = update.acceptedOrders > known->second.update.acceptedOrders
        || (update.acceptedOrders == known->second.update.acceptedOrders && update.models != known->second.update.models);
    if (!isNewer) {
        return false;
    }
    known->second = {update, now + m_options.maxEntryLag};
    reportToRouter(entry->second, now);
    return true;
}

void SiteState::applyDraining(const std::vector<DrainingEndpoint> &endpoints, base::Time now)
{
    for (const auto &it : endpoints) {
        m_reportedDraining[it] = now + m_options.reportLifetime;
        const auto entry = m_catalog.entries().find(it.endpoint);
        const bool isSameIncarnation = entry != m_catalog.entries().end() && entry->second.incarnation == it.incarnation;
        if (isSameIncarnation && !entry->second.isLeaving) {
            reportToRouter(entry->second, now);
        }
    }
    std::erase_if(m_reportedDraining, [now](const auto &it) { return it.second < now; });
}

void SiteState::setRouterModels()
{
    std::vector<base::ModelName> names;
    for (const auto &[service, spec] : m_routes->configuration().services) {
        names.push_back(qualifiedModelName(service, {}));
        if (!spec.engine) {
            continue;
        }
        for (const auto &model : spec.engine->models) {
            names.push_back(qualifiedModelName(service, model.name));
            for (std::uint32_t n = 1; n <= model.adapters; ++n) {
                names.push_back(qualifiedModelName(service, base::ModelName(model.name.text() + "/a" + std::to_string(n))));
            }
        }
    }
    m_router.setModels(names, {});
}

void SiteState::updateEndpoints(base::Time now)
{
    std::vector<routing::RoutableEndpoint> routable;
    for (const auto &[id, entry] : m_catalog.entries()) {
        routable.push_back({id, entry.address, entry.zone, std::max(1U, entry.slots), entry.softwareVersion, entry.service});
    }
    m_router.setEndpoints(routable);
    for (const auto &[id, entry] : m_catalog.entries()) {
        auto &known = m_engines[id];
        if (known.update.incarnation != entry.incarnation) {
            known = {{id, entry.incarnation, 0, entry.models}, now};
        } else if (now >= known.entryValidFrom) {
            known.update.models = entry.models;
        }
        reportToRouter(entry, now);
    }
}

void SiteState::reportToRouter(const discovery::EndpointEntry &entry, base::Time now)
{
    const auto &known = m_engines.at(entry.id).update;
    routing::LoadReport report;
    report.incarnation = known.incarnation;
    report.takenAt = now;
    report.isLeaving = isDraining(entry.id);
    report.resident.push_back({qualifiedModelName(entry.service, {}), {}});
    for (const auto &[model, adapters] : known.models) {
        report.resident.push_back({qualifiedModelName(entry.service, model), {}});
        for (const auto &it : adapters) {
            report.resident.push_back({qualifiedModelName(entry.service, base::ModelName(model.text() + '/' + it)), {}});
        }
    }
    m_router.setStatus(entry.id, report.isLeaving ? routing::EndpointStatus::Leaving : routing::EndpointStatus::Live, now);
    m_router.noteReport(entry.id, report, now);
}

const std::shared_ptr<const routes::RouteTable> &SiteState::routes() const
{
    return m_routes;
}

base::Time SiteState::routesSince() const
{
    return m_routesSince;
}

const std::map<base::EndpointId, discovery::EndpointEntry> &SiteState::endpoints() const
{
    return m_catalog.entries();
}

bool SiteState::isDraining(const base::EndpointId &id) const
{
    const auto entry = m_catalog.entries().find(id);
    if (entry == m_catalog.entries().end()) {
        return false;
    }
    const DrainingEndpoint endpoint{id, entry->second.incarnation};
    return entry->second.isLeaving || m_selfDeclared.contains(endpoint) || m_reportedDraining.contains(endpoint);
}

std::optional<base::Time> SiteState::lastReadTime() const
{
    return m_catalog.lastRead();
}

std::vector<DrainingEndpoint> SiteState::drainingEndpoints(base::Time now) const
{
    std::vector<DrainingEndpoint> leaving;
    for (const auto &[id, entry] : m_catalog.entries()) {
        if (entry.isLeaving || m_selfDeclared.contains({id, entry.incarnation})) {
            leaving.push_back({id, entry.incarnation});
        }
    }
    for (const auto &[endpoint, until] : m_recentlyRemoved) {
        if (now < until) {
            leaving.push_back(endpoint);
        }
    }
    return leaving;
}

base::Time SiteState::missingEntriesKeptUntil() const
{
    return m_catalog.keepsMissingUntil();
}

const EngineUpdate *SiteState::engine(const base::EndpointId &id) const
{
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : &it->second.update;
}

} // namespace turmericplank::gateway
