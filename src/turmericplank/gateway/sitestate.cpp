#include "turmericplank/gateway/fleet.hpp"

#include <xxhash.h>

namespace turmericplank::gateway {

namespace {

constexpr auto HeardLeavingTime = std::chrono::seconds(3); ///< by then our own read of the table shows it, or it was wrong

constexpr auto GoneToldTime = std::chrono::seconds(3); ///< a daemon that the table turns away hears of it in some notices
constexpr auto EntryLag = std::chrono::milliseconds(3000); ///< a heartbeat of the endpoint, a read of the table and some slack

} // namespace

base::ModelName workName(const base::ServiceName &service, const base::ModelName &model)
{
    return model.isEmpty() ? base::ModelName(service.text()) : base::ModelName(service.text() + ':' + model.text());
}

routing::PrefixChain prefixesOf(const base::ModelName &work, const std::vector<PromptPart> &prompt)
{
    routing::PrefixChain chain;
    auto fingerprint = XXH3_64bits(work.text().data(), work.text().size());
    std::uint32_t tokens = 0;
    for (const auto &it : prompt) {
        fingerprint = XXH3_64bits_withSeed(&it.id, sizeof it.id, fingerprint);
        tokens += it.tokens;
        chain.push_back({fingerprint, tokens});
    }
    return chain;
}

Fleet::Fleet(routing::Router &router)
    : m_router(router)
{
}

bool Fleet::takeConfiguration(const std::shared_ptr<const routes::SiteConfiguration> &configuration, base::Time now)
{
    const bool isNews = configuration && (!m_routes || configuration->revision > m_routes->configuration().revision);
    if (isNews) {
        m_routes = std::make_shared<const routes::RouteTable>(configuration);
        applyModels();
        applyEndpoints(now);
    }
    return isNews;
}

std::vector<discovery::EndpointChange> Fleet::takeEntries(const std::vector<discovery::EndpointEntry> &entries, base::Time now)
{
    auto changes = m_catalog.apply(entries, now);
    std::erase_if(m_gone, [now](const auto &it) { return it.second <= now; });
    for (const auto &it : changes) {
        if (it.event == discovery::EndpointEvent::Gone) {
            m_router.setMark(it.entry.id, routing::EndpointMark::Gone, now);
            m_engines.erase(it.entry.id);
            m_gone[{it.entry.id, it.entry.incarnation}] = now + GoneToldTime;
        }
    }
    applyEndpoints(now);
    return changes;
}

bool Fleet::takeEngine(const EngineNotice &notice, base::Time now)
{
    const auto known = m_engines.find(notice.endpoint);
    const auto entry = m_catalog.entries().find(notice.endpoint);
    if (known == m_engines.end() || entry == m_catalog.entries().end() || notice.incarnation != entry->second.incarnation) {
        return false;
    }
    const bool isNews =
        notice.sequence > known->second.notice.sequence || (notice.sequence == known->second.notice.sequence && notice.models != known->second.notice.models);
    if (!isNews) {
        return false;
    }
    known->second = {notice, now + EntryLag};
    applyEngine(entry->second, now);
    return true;
}

void Fleet::takeLeaving(const std::vector<LeavingEndpoint> &endpoints, base::Time now)
{
    for (const auto &it : endpoints) {
        m_heardLeaving[it] = now + HeardLeavingTime;
        const auto entry = m_catalog.entries().find(it.endpoint);
        const bool isMeant = entry != m_catalog.entries().end() && entry->second.incarnation == it.incarnation;
        if (isMeant && !entry->second.isLeaving) {
            applyEngine(entry->second, now);
        }
    }
    std::erase_if(m_heardLeaving, [now](const auto &it) { return it.second < now; });
}

void Fleet::applyModels()
{
    std::vector<base::ModelName> names;
    for (const auto &[service, spec] : m_routes->configuration().services) {
        names.push_back(workName(service, {}));
        if (!spec.engine) {
            continue;
        }
        for (const auto &model : spec.engine->models) {
            names.push_back(workName(service, model.name));
            for (std::uint32_t n = 1; n <= model.adapters; ++n) {
                names.push_back(workName(service, base::ModelName(model.name.text() + "/a" + std::to_string(n))));
            }
        }
    }
    m_router.setModels(names, {});
}

void Fleet::applyEndpoints(base::Time now)
{
    std::vector<routing::RoutableEndpoint> routable;
    for (const auto &[id, entry] : m_catalog.entries()) {
        routable.push_back({id, entry.address, entry.zone, std::max(1U, entry.slots)});
    }
    m_router.setEndpoints(routable);
    for (const auto &[id, entry] : m_catalog.entries()) {
        auto &known = m_engines[id];
        if (known.notice.incarnation != entry.incarnation) {
            known = {{id, entry.incarnation, 0, entry.models}, now};
        } else if (now >= known.entryCountsFrom) {
            known.notice.models = entry.models;
        }
        applyEngine(entry, now);
    }
}

void Fleet::applyEngine(const discovery::EndpointEntry &entry, base::Time now)
{
    const auto &known = m_engines.at(entry.id).notice;
    routing::LoadReport report;
    report.incarnation = known.incarnation;
    report.takenAt = now;
    report.isLeaving = isLeaving(entry.id);
    report.resident.push_back({workName(entry.service, {}), {}});
    for (const auto &[model, adapters] : known.models) {
        report.resident.push_back({workName(entry.service, model), {}});
        for (const auto &it : adapters) {
            report.resident.push_back({workName(entry.service, base::ModelName(model.text() + '/' + it)), {}});
        }
    }
    m_router.setMark(entry.id, report.isLeaving ? routing::EndpointMark::Leaving : routing::EndpointMark::Live, now);
    m_router.noteReport(entry.id, report, now);
}

const std::shared_ptr<const routes::RouteTable> &Fleet::routes() const
{
    return m_routes;
}

const std::map<base::EndpointId, discovery::EndpointEntry> &Fleet::endpoints() const
{
    return m_catalog.entries();
}

bool Fleet::isLeaving(const base::EndpointId &id) const
{
    const auto entry = m_catalog.entries().find(id);
    return entry != m_catalog.entries().end() && (entry->second.isLeaving || m_heardLeaving.contains({id, entry->second.incarnation}));
}

std::optional<base::Time> Fleet::lastRead() const
{
    return m_catalog.lastRead();
}

std::vector<LeavingEndpoint> Fleet::leavingEndpoints(base::Time now) const
{
    std::vector<LeavingEndpoint> leaving;
    for (const auto &[id, entry] : m_catalog.entries()) {
        if (entry.isLeaving) {
            leaving.push_back({id, entry.incarnation});
        }
    }
    for (const auto &[endpoint, until] : m_gone) {
        if (now < until) {
            leaving.push_back(endpoint);
        }
    }
    return leaving;
}

base::Time Fleet::keepsMissingUntil() const
{
    return m_catalog.keepsMissingUntil();
}

const EngineNotice *Fleet::engine(const base::EndpointId &id) const
{
    const auto it = m_engines.find(id);
    return it == m_engines.end() ? nullptr : &it->second.notice;
}

} // namespace turmericplank::gateway
