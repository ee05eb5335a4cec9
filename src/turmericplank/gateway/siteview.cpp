#include "turmericplank/gateway/siteview.hpp"

#include <algorithm>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

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
    daemon::callEvery(m_context, m_options.tickInterval, [this] { tick(); });
}

void SiteView::tick()
{
    const auto now = base::now();
    if (!m_isReading && isReadDue(now)) {
        readEndpoints();
    }
    // A reader that is cut off from the store passes nothing on: the others notice in time for a change to be in force.
    const bool isOnItsOwn = m_hooks.isReader() || now >= m_passedAt + m_options.passedLimit;
    if (!m_isAwaiting && m_fleet.routes() && isOnItsOwn) {
        awaitConfiguration();
    }
}

bool SiteView::isReadDue(base::Time now) const
{
    if (now < m_askedAt + retryPause(m_endpointFailures)) {
        return false;
    }
    const auto keeps = m_fleet.keepsMissingUntil();
    const bool endsKeeping = m_takenAt < keeps && now >= keeps;
    const bool isReadersTurn = m_hooks.isReader() && now + m_options.tickInterval / 2 >= m_askedAt + m_options.endpointsInterval;
    return endsKeeping || isReadersTurn || now >= m_takenAt + m_options.passedLimit;
}

/// Load pattern: the store goes away, and all daemons of a large site ask for what their readers do not pass on. The readers
/// ask often and pass on what they get; the others only have to find out in time that their reader alone is cut off.
base::Duration SiteView::retryPause(unsigned failures) const
{
    constexpr unsigned MostDoublings = 8;
    if (m_hooks.isReader()) {
        return m_options.retryInterval;
    }
    return std::min(m_options.retryInterval * (1U << std::min(failures, MostDoublings)), m_options.longestRetry);
}

void SiteView::readConfiguration()
{
    m_metrics.count("store_calls_total{call=\"read_configuration\"}");
    m_store.readConfiguration([this](const tl::expected<ReadConfiguration, TableFailure> &result) {
        takeConfiguration(result);
        if (!m_fleet.routes()) {
            daemon::callAt(m_context, base::now() + m_options.retryInterval, [this] { readConfiguration(); });
        }
    });
}

void SiteView::awaitConfiguration()
{
    m_isAwaiting = true;
    m_metrics.count("store_calls_total{call=\"await_configuration\"}");
    m_store.awaitConfiguration(m_position, [this](const tl::expected<ReadConfiguration, TableFailure> &result) {
        takeConfiguration(result);
        if (result) {
            m_awaitFailures = 0;
            m_isAwaiting = false;
            return;
        }
        // The history may be gone: all is read again before the next wait.
        daemon::callAt(m_context, base::now() + retryPause(m_awaitFailures++), [this] {
            m_metrics.count("store_calls_total{call=\"read_configuration\"}");
            m_store.readConfiguration([this](const tl::expected<ReadConfiguration, TableFailure> &again) {
                takeConfiguration(again);
                m_isAwaiting = false;
            });
        });
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
    if (apply(result->configuration)) {
        m_hooks.onText(result->text);
    }
}

void SiteView::takePassedConfiguration(const std::string &text)
{
    apply(m_store.parseConfiguration(text));
}

bool SiteView::apply(const std::shared_ptr<const routes::SiteConfiguration> &configuration)
{
    const bool isNews = m_fleet.takeConfiguration(configuration, base::now());
    if (isNews) {
        m_aheadSince.reset();
        const auto &site = *configuration;
        telemetry::log(LogLevel::Info, "configuration", "in force",
                       {{"revision", site.revision.value()}, {"routes", std::uint64_t(site.routes.size())}, {"position", m_position}});
        m_metrics.gauge("configuration_revision", static_cast<double>(site.revision.value()));
        m_hooks.onConfiguration();
    }
    return isNews;
}

void SiteView::heardRevision(base::Revision revision)
{
    const auto &routes = m_fleet.routes();
    const bool isBehind = !routes || routes->configuration().revision < revision;
    const auto now = base::now();
    if (!isBehind || m_isReadingAgain) {
        m_aheadSince = isBehind ? m_aheadSince : std::nullopt;
        return;
    }
    m_aheadSince = m_aheadSince.value_or(now);
    if (now < *m_aheadSince + m_options.passingTime) {
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
    m_isReading = true;
    m_askedAt = base::now();
    m_metrics.count("store_calls_total{call=\"read_endpoints\"}");
    m_store.readEndpoints([this](const tl::expected<ReadEndpoints, TableFailure> &result) { takeEndpoints(result); });
}

void SiteView::takeEndpoints(const tl::expected<ReadEndpoints, TableFailure> &result)
{
    m_isReading = false;
    noteStore(result.has_value());
    if (!result) {
        ++m_endpointFailures;
        m_metrics.count("store_failures_total{call=\"endpoints\"}");
        return;
    }
    m_endpointFailures = 0;
    if (result->unreadable.size() != m_unreadable) {
        m_unreadable = result->unreadable.size();
        telemetry::log(LogLevel::Warning, "endpoints", "entries that cannot be read are left out",
                       {{"entries", std::uint64_t(m_unreadable)}, {"first", result->unreadable.empty() ? "" : result->unreadable.front()}});
    }
    takeEntries(result->entries);
    if (m_hooks.isReader()) {
        m_hooks.onRead(result->entries);
    }
}

void SiteView::takePassed(const std::vector<discovery::EndpointEntry> &entries)
{
    m_passedAt = base::now();
    m_metrics.count("endpoints_passed_on_total");
    takeEntries(entries);
}

void SiteView::takeEntries(const std::vector<discovery::EndpointEntry> &entries)
{
    m_takenAt = base::now();
    const auto changes = m_fleet.takeEntries(entries, m_takenAt);
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

void SiteView::noteStore(bool isAnswering)
{
    if (isAnswering == m_isAnswering) {
        return;
    }
    m_isAnswering = isAnswering;
    telemetry::log(isAnswering ? LogLevel::Info : LogLevel::Warning, "store", isAnswering ? "answers again" : "does not answer",
                   {{"after_ms", base::millisecondsBetween(m_changedAt, base::now())}});
    m_changedAt = base::now();
}

} // namespace turmericplank::gateway
