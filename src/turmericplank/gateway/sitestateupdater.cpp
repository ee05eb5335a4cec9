#include "turmericplank/gateway/sitestateupdater.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr std::string_view ByWait = "wait";
constexpr std::string_view ByRead = "read";
constexpr double MillisecondsPerSecond = 1000;

} // namespace

SiteStateUpdater::SiteStateUpdater(boost::asio::io_context &context, SiteStore store, SiteState &siteState, telemetry::Metrics &metrics, Callbacks callbacks,
                                   SiteStateUpdaterOptions options)
    : m_context(context)
    , m_siteStore(std::move(store))
    , m_siteState(siteState)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_options(options)
    , m_storeStateSince(base::now())
{
}

void SiteStateUpdater::start()
{
    readConfiguration();
    daemon::callEvery(m_context, m_options.tickInterval, [this] { tick(); });
}

void SiteStateUpdater::tick()
{
    const auto now = base::now();
    if (!m_isReadingEndpoints && isEndpointsReadDue(now)) {
        readEndpoints();
    }
    // Relayed entries show that the reader reads, not that anybody waits for changes; earlier builds tell no more than this.
    const bool isWatchedForGroup = isWatchedByPeer(now) && now < m_lastRelayedAt + m_options.relayTimeout;
    const bool mustWatchStore = m_callbacks.isConfigurationWatcher() || !isWatchedForGroup;
    const bool isSelfWatching = mustWatchStore && !m_callbacks.isConfigurationWatcher();
    if (std::exchange(m_isSelfWatching, isSelfWatching) != isSelfWatching) {
        m_awaitFailures = 0; // of an earlier outage
        telemetry::log(LogLevel::Info, "configuration", isSelfWatching ? "no other daemon watches it, waiting for changes" : "watched by other daemons",
                       {{"position", m_position}});
    }
    if (!m_isAwaiting && m_siteState.routes() && mustWatchStore) {
        awaitConfiguration();
    } else if (m_isAwaiting && now >= m_awaitDeadline) {
        replaceAwait(now);
    }
    if (!m_isAwaiting && !mustWatchStore) {
        setWatchSound(false);
    }
}

bool SiteStateUpdater::isWatchingForGroup() const
{
    return m_isWatchSound && base::now() < m_soundUntil && m_callbacks.isConfigurationWatcher();
}

void SiteStateUpdater::notePeerWatch(const base::DaemonId &from, bool isWatching)
{
    const auto now = base::now();
    std::erase_if(m_watchedUntil, [&](const auto &it) { return it.first == from || it.second <= now; });
    if (isWatching) {
        m_watchedUntil.emplace(from, now + m_options.relayTimeout);
    }
}

bool SiteStateUpdater::isWatchedByPeer(base::Time now) const
{
    return std::ranges::any_of(m_watchedUntil, [now](const auto &it) { return now < it.second; });
}

bool SiteStateUpdater::isConfigurationCertain() const
{
    const auto now = base::now();
    const bool isWatchedHere = m_isWatchSound && now < m_soundUntil;
    return m_siteState.routes() && !m_peerAheadSince && (isWatchedHere || isWatchedByPeer(now));
}

void SiteStateUpdater::refreshConfiguration(std::function<void(bool)> onDone)
{
    m_metrics.count("store_calls_total{call=\"read_configuration\"}");
    m_siteStore.readConfiguration([this, onDone = std::move(onDone)](const tl::expected<ConfigurationSnapshot, TableFailure> &result) {
        applyConfiguration(result, ByRead);
        onDone(result.has_value());
    });
}

/// The others of the group rely on this daemon's waits, so they are told at once.
void SiteStateUpdater::setWatchSound(bool isSound)
{
    if (isSound) {
        m_soundUntil = base::now() + m_options.tickInterval + m_options.awaitTimeout;
    }
    if (std::exchange(m_isWatchSound, isSound) != isSound) {
        m_callbacks.onWatchChanged();
    }
}

bool SiteStateUpdater::isEndpointsReadDue(base::Time now) const
{
    if (now < m_lastRequestAt + retryPause(m_callbacks.isStoreReader(), m_endpointFailures)) {
        return false;
    }
    const auto keptUntil = m_siteState.missingEntriesKeptUntil();
    const bool mustDropMissing = m_lastUpdateAt < keptUntil && now >= keptUntil;
    const bool isReaderDue = m_callbacks.isStoreReader() && now + m_options.tickInterval / 2 >= m_lastRequestAt + m_options.endpointsInterval;
    return mustDropMissing || isReaderDue || now >= m_lastUpdateAt + m_options.relayTimeout;
}

/// During an outage of the store, all daemons of a large site try to read what their readers do not relay. Those that read for their
/// group retry often and relay what they get; the others only need to detect in time that just those are cut off, so they back off.
base::Duration SiteStateUpdater::retryPause(bool isForGroup, unsigned failures) const
{
    constexpr unsigned MaxDoublings = 8;
    if (isForGroup) {
        return m_options.retryInterval;
    }
    return std::min(m_options.retryInterval * (1U << std::min(failures, MaxDoublings)), m_options.maxRetryInterval);
}

void SiteStateUpdater::readConfiguration()
{
    m_metrics.count("store_calls_total{call=\"read_configuration\"}");
    m_siteStore.readConfiguration([this](const tl::expected<ConfigurationSnapshot, TableFailure> &result) {
        applyConfiguration(result, ByRead);
        if (!m_siteState.routes()) {
            daemon::callAt(m_context, base::now() + m_options.retryInterval, [this] { readConfiguration(); });
        }
    });
}

void SiteStateUpdater::awaitConfiguration()
{
    m_isAwaiting = true;
    m_isReadInPlace = false;
    m_awaitDeadline = base::now() + m_options.awaitTimeout;
    m_metrics.count("store_calls_total{call=\"await_configuration\"}");
    m_siteStore.awaitConfiguration(m_position, [this, number = ++m_awaitNumber](const tl::expected<ConfigurationSnapshot, TableFailure> &result) {
        if (number != m_awaitNumber) {
            applyLateAnswer(number, result, ByWait);
            return;
        }
        if (result) {
            handleWaitEnd(*result);
            m_awaitFailures = 0;
            m_isAwaiting = false;
            setWatchSound(true);
            return;
        }
        setWatchSound(false);
        applyConfiguration(result, ByWait);
        // The history may have been discarded, so everything is read again before the next wait; at once, unless the store fails.
        const auto pause = m_awaitFailures == 0 ? base::Duration(0) : retryPause(m_callbacks.isConfigurationWatcher(), m_awaitFailures - 1);
        ++m_awaitFailures;
        logWaitFailure(pause);
        const auto retryAt = base::now() + pause;
        m_awaitDeadline = retryAt + m_options.awaitTimeout;
        daemon::callAt(m_context, retryAt, [this, number] {
            if (number == m_awaitNumber) {
                rereadConfiguration();
            }
        });
    });
}

/// Names the first failures of an outage; later ones are further and further apart.
void SiteStateUpdater::logWaitFailure(base::Duration pause) const
{
    if (std::has_single_bit(m_awaitFailures)) {
        const auto pauseMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(pause).count();
        telemetry::log(LogLevel::Warning, "configuration", "a wait for changes failed",
                       {{"position", m_position}, {"failures", std::uint64_t(m_awaitFailures)}, {"pause_ms", pauseMilliseconds}});
    }
}

/// The connection of a wait may fall silent while other calls are answered, so a read takes its place, and a wait that of a read.
void SiteStateUpdater::replaceAwait(base::Time now)
{
    telemetry::log(LogLevel::Warning, "configuration",
                   m_isReadInPlace ? "a read does not end, waiting for changes" : "a wait for changes does not end, reading",
                   {{"position", m_position}, {"late_ms", base::millisecondsBetween(m_awaitDeadline, now)}});
    m_metrics.count("store_failures_total{call=\"await_configuration\"}");
    setWatchSound(false);
    if (m_isReadInPlace) {
        awaitConfiguration();
    } else {
        rereadConfiguration();
    }
}

/// The answer to a call that another one has replaced may only have been late, and the other one is late as well then.
void SiteStateUpdater::applyLateAnswer(std::uint64_t number, const tl::expected<ConfigurationSnapshot, TableFailure> &result, std::string_view source)
{
    const bool isChange = result && !result->text.empty();
    if (isChange && number >= m_firstWaitOfEra) {
        applyConfiguration(result, source);
    }
}

void SiteStateUpdater::rereadConfiguration()
{
    m_isReadInPlace = true;
    m_awaitDeadline = base::now() + m_options.awaitTimeout;
    m_metrics.count("store_calls_total{call=\"read_configuration\"}");
    m_siteStore.readConfiguration([this, number = ++m_awaitNumber](const tl::expected<ConfigurationSnapshot, TableFailure> &result) {
        if (number != m_awaitNumber) {
            applyLateAnswer(number, result, ByRead);
            return;
        }
        applyConfiguration(result, ByRead);
        m_isAwaiting = false;
        // A read that ended with the outage must not leave its pauses to a later wait.
        m_awaitFailures = result ? 0 : m_awaitFailures;
        setWatchSound(result.has_value());
    });
}

/// A store that is about to discard its history may end waits without telling them of the latest changes. The position that such
/// a wait returns is used only after one more wait from the earlier position has ended without a change as well; if the history
/// has been discarded meanwhile, that wait fails and everything is read again.
void SiteStateUpdater::handleWaitEnd(const ConfigurationSnapshot &result)
{
    if (!result.text.empty()) {
        applyConfiguration(result, ByWait);
        return;
    }
    setStoreAvailable(true);
    m_position = std::max(m_position, m_unconfirmedPosition);
    m_unconfirmedPosition = std::max(m_unconfirmedPosition, result.position);
}

void SiteStateUpdater::noteStoreRestored()
{
    m_firstWaitOfEra = ++m_awaitNumber;
    m_position = 0;
    m_unconfirmedPosition = 0;
    m_siteState.noteStoreRestored(base::now());
    // Replaces a wait or a read that was started before; their results are ignored.
    const bool mustWatchStore = m_isAwaiting || m_callbacks.isConfigurationWatcher();
    if (m_siteState.routes() && mustWatchStore) {
        m_isAwaiting = true;
        rereadConfiguration();
    }
}

void SiteStateUpdater::applyConfiguration(const tl::expected<ConfigurationSnapshot, TableFailure> &result, std::string_view source)
{
    setStoreAvailable(result.has_value());
    if (!result) {
        m_metrics.count("store_failures_total{call=\"configuration\"}");
        return;
    }
    m_position = std::max(m_position, result->position);
    m_unconfirmedPosition = std::max(m_unconfirmedPosition, m_position);
    if (activate(result->configuration, result->text, source)) {
        m_callbacks.onConfigurationText(result->text);
    }
}

void SiteStateUpdater::applyRelayedConfiguration(const base::DaemonId &from, const std::string &text)
{
    activate(m_siteStore.parseConfiguration(text), text, from.text());
}

bool SiteStateUpdater::activate(const std::shared_ptr<const routes::SiteConfiguration> &configuration, const std::string &text, std::string_view source)
{
    const auto now = base::now();
    const bool hasChanged = m_siteState.applyConfiguration(configuration, now);
    if (hasChanged) {
        m_text = text;
        m_inForceSince = now;
        m_peerAheadSince.reset();
        const auto &site = *configuration;
        telemetry::log(LogLevel::Info, "configuration", "in force",
                       {{"revision", site.revision.value()}, {"routes", std::uint64_t(site.routes.size())}, {"position", m_position}, {"by", source}});
        m_metrics.setGauge("configuration_revision", static_cast<double>(site.revision.value()));
        m_callbacks.onConfigurationChanged();
    }
    return hasChanged;
}

/// A peer that has just started or is about to apply the same change is not behind yet.
void SiteStateUpdater::sendToPeerBehind(const base::DaemonId &peer, base::Revision revision, base::Time now)
{
    const auto inForce = m_siteState.routes()->configuration().revision;
    const bool hasHadTime = now >= m_inForceSince + m_options.configurationRelayTime;
    if (revision == base::Revision() || revision >= inForce || !hasHadTime || now < m_nextSendTo[peer]) {
        return;
    }
    m_nextSendTo[peer] = now + m_options.peerRereadInterval;
    telemetry::log(LogLevel::Info, "configuration", "sent to a daemon that is behind",
                   {{"daemon", peer.text()}, {"revision", inForce.value()}, {"its_revision", revision.value()}});
    m_callbacks.onPeerBehind(peer, m_text);
}

void SiteStateUpdater::notePeerRevision(const base::DaemonId &from, base::Revision revision)
{
    const auto &routes = m_siteState.routes();
    const bool isBehind = !routes || routes->configuration().revision < revision;
    const auto now = base::now();
    if (!isBehind) {
        // Other peers may still be ahead: a message can be lost on its way to several daemons, which then have the same revision.
        sendToPeerBehind(from, revision, now);
        return;
    }
    if (m_isRereading) {
        return;
    }
    m_peerAheadSince = m_peerAheadSince.value_or(now);
    if (now < *m_peerAheadSince + m_options.configurationRelayTime || now < m_nextPeerReread) {
        return;
    }
    m_nextPeerReread = now + m_options.peerRereadInterval;
    m_isRereading = true;
    telemetry::log(LogLevel::Info, "configuration", "a peer has a later revision", {{"revision", revision.value()}});
    m_siteStore.readConfiguration([this](const tl::expected<ConfigurationSnapshot, TableFailure> &result) {
        m_isRereading = false;
        applyConfiguration(result, ByRead);
    });
}

void SiteStateUpdater::readEndpoints()
{
    m_isReadingEndpoints = true;
    m_lastRequestAt = base::now();
    m_metrics.count("store_calls_total{call=\"read_endpoints\"}");
    m_siteStore.readEndpoints([this](const tl::expected<EndpointsSnapshot, TableFailure> &result) { applyEndpointsSnapshot(result); });
}

void SiteStateUpdater::applyEndpointsSnapshot(const tl::expected<EndpointsSnapshot, TableFailure> &result)
{
    m_isReadingEndpoints = false;
    setStoreAvailable(result.has_value());
    if (!result) {
        ++m_endpointFailures;
        m_metrics.count("store_failures_total{call=\"endpoints\"}");
        m_siteState.noteReadFailed();
        logReadFailure();
        return;
    }
    m_endpointFailures = 0;
    logUnreadable({result->unreadable.begin(), result->unreadable.end()});
    useEntries(result->entries);
}

/// Names the first failures of an outage; later ones are further and further apart.
void SiteStateUpdater::logReadFailure() const
{
    if (std::has_single_bit(m_endpointFailures)) {
        const auto now = base::now();
        telemetry::log(LogLevel::Warning, "endpoints", "a read failed",
                       {{"failures", std::uint64_t(m_endpointFailures)},
                        {"after_ms", base::millisecondsBetween(m_lastRequestAt, now)},
                        {"entries_age_ms", base::millisecondsBetween(m_lastUpdateAt, now)}});
    }
}

/// Names each entry once, until it is readable again or gone.
void SiteStateUpdater::logUnreadable(std::set<std::string> keys)
{
    constexpr int MaxLines = 20; ///< for one read
    int lines = 0;
    for (const auto &it : keys) {
        if (!m_unreadable.contains(it) && ++lines <= MaxLines) {
            telemetry::log(LogLevel::Warning, "endpoints", "skipping a malformed entry", {{"key", it}, {"entries", std::uint64_t(keys.size())}});
        }
    }
    m_unreadable = std::move(keys);
}

/// Endpoints of a version that the store does not name yet are used a moment later: if all daemons ended, nobody would know that streams began there.
void SiteStateUpdater::useEntries(const std::vector<discovery::EndpointEntry> &entries)
{
    std::vector<discovery::EndpointEntry> usable;
    std::ranges::copy_if(entries, std::back_inserter(usable), [this](const auto &it) { return isKnown(it) || m_callbacks.isVersionRecorded(it); });
    ++m_readNumber;
    applyAndRelay(usable);
    if (usable.size() < entries.size()) {
        m_callbacks.recordVersions(entries, [this, entries, number = m_readNumber] {
            if (number == m_readNumber) {
                applyAndRelay(entries);
            }
        });
    }
}

bool SiteStateUpdater::isKnown(const discovery::EndpointEntry &entry) const
{
    const auto it = m_siteState.endpoints().find(entry.id);
    return it != m_siteState.endpoints().end() && it->second.incarnation == entry.incarnation && it->second.softwareVersion == entry.softwareVersion;
}

/// The others of the group do not know whether the reader's reads have failed, so it relays the missing entries that it keeps as well.
void SiteStateUpdater::applyAndRelay(const std::vector<discovery::EndpointEntry> &entries)
{
    applyEntries(entries, ByRead);
    if (m_callbacks.isStoreReader()) {
        std::vector<discovery::EndpointEntry> usable;
        std::ranges::transform(m_siteState.endpoints(), std::back_inserter(usable), [](const auto &it) { return it.second; });
        m_callbacks.onEntriesRead(usable);
    }
}

void SiteStateUpdater::applyRelayedEntries(const base::DaemonId &from, const std::vector<discovery::EndpointEntry> &entries)
{
    m_lastRelayedAt = base::now();
    m_metrics.count("endpoints_passed_on_total");
    applyEntries(entries, from.text());
}

void SiteStateUpdater::applyEntries(const std::vector<discovery::EndpointEntry> &entries, std::string_view source)
{
    const bool isFirst = m_lastUpdateAt == base::Time();
    const auto gap = isFirst ? 0 : base::millisecondsBetween(m_lastUpdateAt, base::now());
    m_lastUpdateAt = base::now();
    m_metrics.observe("endpoint_updates_gap_seconds", static_cast<double>(gap) / MillisecondsPerSecond);
    const auto changes = m_siteState.applyEntries(entries, m_lastUpdateAt);
    logKeptEntries(entries, gap, source);
    for (const auto &it : changes) {
        telemetry::log(LogLevel::Info, "endpoints", toString(it.event),
                       {{"endpoint", it.entry.id.text()},
                        {"service", it.entry.service.text()},
                        {"address", toString(it.entry.address)},
                        {"incarnation", it.entry.incarnation.value()},
                        {"version", it.entry.softwareVersion},
                        {"heartbeat", it.entry.heartbeat},
                        {"models", std::uint64_t(it.entry.models.size())},
                        {"by", source},
                        {"gap_ms", gap}});
    }
    m_callbacks.onEndpointsUpdated(changes);
}

/// Names how many endpoints get calls although the entries in use do not list them.
void SiteStateUpdater::logKeptEntries(const std::vector<discovery::EndpointEntry> &entries, std::int64_t gap, std::string_view source) const
{
    std::set<base::EndpointId> listed;
    std::ranges::transform(entries, std::inserter(listed, listed.end()), &discovery::EndpointEntry::id);
    const auto kept = std::ranges::count_if(m_siteState.endpoints(), [&](const auto &it) { return !listed.contains(it.first); });
    if (kept > 0) {
        telemetry::log(LogLevel::Info, "endpoints", "missing entries are kept",
                       {{"entries", std::uint64_t(kept)},
                        {"by", source},
                        {"gap_ms", gap},
                        {"for_ms", base::millisecondsBetween(m_lastUpdateAt, m_siteState.missingEntriesKeptUntil())}});
    }
}

void SiteStateUpdater::setStoreAvailable(bool isAvailable)
{
    if (isAvailable == m_isStoreAvailable) {
        return;
    }
    m_isStoreAvailable = isAvailable;
    telemetry::log(isAvailable ? LogLevel::Info : LogLevel::Warning, "store", isAvailable ? "answers again" : "does not answer",
                   {{"after_ms", base::millisecondsBetween(m_storeStateSince, base::now())}});
    m_storeStateSince = base::now();
}

} // namespace turmericplank::gateway
