#include "forwardedcall.hpp"

#include <algorithm>

#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

} // namespace

bool ForwardedCall::isResumption() const
{
    return m_route.kind.isStreamed && m_route.kind.isResumable && m_call.lastEventId;
}

/// Events of two software versions do not fit together, so the stream goes on at the one that began it: as this daemon or another one
/// remembers it, or the only one that has served lately, if that is certain.
void ForwardedCall::findOrigin()
{
    const auto &dependencies = m_forwarder.m_dependencies;
    if (m_call.resumedCall.empty()) {
        resumeAtOnlyVersion();
        return;
    }
    const auto call = forwarding::callDigest(m_call.resumedCall);
    if (const auto *version = dependencies.streamOrigins.find(call)) {
        resumeAt(*version);
        return;
    }
    dependencies.findRemoteOrigin(call, [self = Pointer(this), isAlive = m_forwarder.m_isAlive](const std::optional<std::string> &version) {
        if (!*isAlive || self->m_isFinished) {
            return;
        }
        if (version) {
            self->resumeAt(*version);
        } else {
            self->resumeAtOnlyVersion();
        }
    });
}

/// Another daemon may have found a new version that this one has not read yet, so the entries are read before the conclusion.
void ForwardedCall::resumeAtOnlyVersion()
{
    const auto &dependencies = m_forwarder.m_dependencies;
    if (dependencies.streamOrigins.isMixed(m_service, base::now())) {
        refuseResumption("several_versions");
        return;
    }
    dependencies.refreshVersions([self = Pointer(this), isAlive = m_forwarder.m_isAlive](bool isCertain) {
        if (!*isAlive || self->m_isFinished) {
            return;
        }
        const auto &origins = self->m_forwarder.m_dependencies.streamOrigins;
        const auto now = base::now();
        if (!isCertain) {
            self->refuseResumption("versions_not_certain");
        } else if (const auto version = origins.onlyVersion(self->m_service, now)) {
            self->resumeAt(*version);
        } else {
            self->refuseResumption(origins.isMixed(self->m_service, now) ? "several_versions" : "earlier_versions_unknown");
        }
    });
}

void ForwardedCall::refuseResumption(std::string_view cause)
{
    telemetry::log(LogLevel::Info, "requests", "cannot resume a stream",
                   {{"request", m_call.id}, {"begun_by", m_call.resumedCall}, {"service", m_service.text()}, {"cause", cause}});
    reject(RejectionReason::VersionUnavailable);
}

void ForwardedCall::resumeAt(const std::string &softwareVersion)
{
    m_softwareVersion = softwareVersion;
    // Entries that have not been read yet, or that may have expired while the store was away, are awaited like those of missing models.
    const auto &siteState = m_forwarder.m_dependencies.siteState;
    const bool mayAppear = !siteState.lastReadTime() || base::now() < siteState.missingEntriesKeptUntil();
    if (mayAppear || isVersionServing(softwareVersion)) {
        selectEndpoint();
    } else {
        refuseResumption("version_gone");
    }
}

bool ForwardedCall::isVersionServing(const std::string &softwareVersion) const
{
    const auto &siteState = m_forwarder.m_dependencies.siteState;
    return std::ranges::any_of(siteState.endpoints(), [&](const auto &it) {
        const auto &[id, entry] = it;
        return entry.service == m_service && entry.softwareVersion == softwareVersion && isServing(id);
    });
}

void ForwardedCall::logResumption() const
{
    const bool isByCaller = m_call.lastEventId && !m_isStreaming;
    const auto now = base::now();
    const auto &siteState = m_forwarder.m_dependencies.siteState;
    const auto entry = siteState.endpoints().find(m_attempt->choice.endpoint);
    const auto lastRead = siteState.lastReadTime();
    const auto knownSince = m_forwarder.m_dependencies.streamOrigins.versionsKnownSince(m_service);
    telemetry::log(LogLevel::Info, "requests", "resumes a stream",
                   {{"request", m_call.id},
                    {"begun_by", m_call.resumedCall.empty() ? m_call.id : m_call.resumedCall},
                    {"by", isByCaller ? "caller" : "daemon"},
                    {"after_event", *m_lastEvent},
                    {"endpoint", m_attempt->choice.endpoint.text()},
                    {"incarnation", entry == siteState.endpoints().end() ? std::uint64_t(0) : entry->second.incarnation.value()},
                    {"version", m_attempt->softwareVersion},
                    {"origin", m_softwareVersion ? "known" : "unknown"},
                    {"versions_known_ms", knownSince ? base::millisecondsBetween(*knownSince, now) : -1},
                    {"endpoints_age_ms", lastRead ? base::millisecondsBetween(*lastRead, now) : -1}});
    m_forwarder.m_dependencies.metrics.count(isByCaller ? "streams_resumed_total{by=\"caller\"}" : "streams_resumed_total{by=\"daemon\"}");
}

} // namespace turmericplank::gateway
