#include "turmericplank/gateway/siteview.hpp"

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

std::int64_t millisecondsSince(base::Time from)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(base::now() - from).count();
}

} // namespace

SiteView::SiteView(boost::asio::io_context &context, SiteStore store, Fleet &fleet, telemetry::Metrics &metrics, Hooks hooks, SiteViewOptions options)
    : m_context(context)
    , m_store(std::move(store))
    , m_fleet(fleet)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_options(options)
    , m_changedAt(base::now())
{
}

void SiteView::start()
{
    readConfiguration();
    readEndpoints();
}

void SiteView::readConfiguration()
{
    m_metrics.count("store_calls_total{call=\"read_configuration\"}");
    m_store.readConfiguration([this](const tl::expected<ReadConfiguration, TableFailure> &result) {
        takeConfiguration(result);
        const bool isThere = result && result->configuration;
        if (isThere) {
            awaitConfiguration();
        } else {
            daemon::callAt(m_context, base::now() + m_options.retryInterval, [this] { readConfiguration(); });
        }
    });
}

void SiteView::awaitConfiguration()
{
    m_metrics.count("store_calls_total{call=\"await_configuration\"}");
    m_store.awaitConfiguration(m_position, [this](const tl::expected<ReadConfiguration, TableFailure> &result) {
        takeConfiguration(result);
        if (result) {
            awaitConfiguration();
        } else {
            daemon::callAt(m_context, base::now() + m_options.retryInterval, [this] { readConfiguration(); });
        }
    });
}

void SiteView::takeConfiguration(const tl::expected<ReadConfiguration, TableFailure> &result)
{
    noteStore(result.has_value());
    if (!result) {
        m_metrics.count("store_failures_total{call=\"configuration\"}");
        return;
    }
    m_position = std::max(m_position, result->position);
    if (m_fleet.takeConfiguration(result->configuration, base::now())) {
        const auto &site = *result->configuration;
        telemetry::log(LogLevel::Info, "configuration", "in force",
                       {{"revision", site.revision.value()}, {"routes", std::uint64_t(site.routes.size())}, {"position", m_position}});
        m_metrics.gauge("configuration_revision", static_cast<double>(site.revision.value()));
        m_hooks.onConfiguration();
    }
}

void SiteView::heardRevision(base::Revision revision)
{
    const auto &routes = m_fleet.routes();
    const bool isBehind = !routes || routes->configuration().revision < revision;
    if (!isBehind || m_isReadingAgain) {
        return;
    }
    m_isReadingAgain = true;
    telemetry::log(LogLevel::Info, "configuration", "another daemon is ahead", {{"revision", revision.value()}});
    m_store.readConfiguration([this](const tl::expected<ReadConfiguration, TableFailure> &result) {
        m_isReadingAgain = false;
        takeConfiguration(result);
    });
}

void SiteView::readEndpoints()
{
    m_metrics.count("store_calls_total{call=\"read_endpoints\"}");
    m_store.readEndpoints([this, askedAt = base::now()](const tl::expected<ReadEndpoints, TableFailure> &result) { takeEndpoints(result, askedAt); });
}

void SiteView::takeEndpoints(const tl::expected<ReadEndpoints, TableFailure> &result, base::Time askedAt)
{
    noteStore(result.has_value());
    if (!result) {
        m_metrics.count("store_failures_total{call=\"endpoints\"}");
        daemon::callAt(m_context, base::now() + m_options.retryInterval, [this] { readEndpoints(); });
        return;
    }
    if (result->unreadable.size() != m_unreadable) {
        m_unreadable = result->unreadable.size();
        telemetry::log(LogLevel::Warning, "endpoints", "entries that cannot be read are left out",
                       {{"entries", std::uint64_t(m_unreadable)}, {"first", result->unreadable.empty() ? "" : result->unreadable.front()}});
    }
    const auto changes = m_fleet.takeEntries(result->entries, base::now());
    scheduleRead(askedAt);
    for (const auto &it : changes) {
        telemetry::log(LogLevel::Info, "endpoints", toString(it.event),
                       {{"endpoint", it.entry.id.text()},
                        {"service", it.entry.service.text()},
                        {"address", toString(it.entry.address)},
                        {"incarnation", it.entry.incarnation.value()},
                        {"heartbeat", it.entry.heartbeat},
                        {"models", std::uint64_t(it.entry.models.size())}});
    }
    m_hooks.onEndpoints(changes);
}

/// The next read is earlier if by then entries that lapsed unseen must be back.
void SiteView::scheduleRead(base::Time askedAt)
{
    const auto now = base::now();
    const auto keeps = m_fleet.keepsMissingUntil();
    const auto due = askedAt + m_options.endpointsInterval;
    daemon::callAt(m_context, std::max(keeps > now ? std::min(due, keeps) : due, now), [this] { readEndpoints(); });
}

void SiteView::noteStore(bool isAnswering)
{
    if (isAnswering == m_isAnswering) {
        return;
    }
    m_isAnswering = isAnswering;
    telemetry::log(isAnswering ? LogLevel::Info : LogLevel::Warning, "store", isAnswering ? "answers again" : "does not answer",
                   {{"after_ms", millisecondsSince(m_changedAt)}});
    m_changedAt = base::now();
}

} // namespace turmericplank::gateway
