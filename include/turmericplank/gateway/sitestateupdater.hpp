#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/sitestate.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

/// @brief Intervals and timeouts of reads of the site's store.
struct SiteStateUpdaterOptions
{
    base::Duration endpointsInterval = std::chrono::milliseconds(1000); ///< half the time in which a draining endpoint may still get calls
    /// Without relayed entries, or without a status of a peer that waits for changes, before the store is read directly; the read ends within the drain time.
    base::Duration relayTimeout = std::chrono::milliseconds(1450);
    base::Duration awaitTimeout = std::chrono::milliseconds(1500); ///< of one wait for changes, then a read starts; less than changes may take
    base::Duration tickInterval = std::chrono::milliseconds(100);
    base::Duration configurationRelayTime = std::chrono::milliseconds(500); ///< for a peer to relay its later revision before it is read directly
    base::Duration retryInterval = std::chrono::milliseconds(300); ///< after a failed call, by the reader of a group
    /// Between two reads because a peer has a later revision than the store, which may have come back from an older copy; and between two
    /// messages to a daemon that is behind, since a message may be lost.
    base::Duration peerRereadInterval = std::chrono::milliseconds(1000);
    /// Upper bound of the exponential backoff of other daemons; within the time in which a daemon must be up to date again.
    base::Duration maxRetryInterval = std::chrono::milliseconds(2000);
};

/// @brief Keeps the site state up to date, with reads of the site's store or with what the reader of the group relays.
class SiteStateUpdater
{
public:
    struct Callbacks
    {
        std::function<void()> onConfigurationChanged; ///< another revision is in force
        std::function<void(const std::vector<discovery::EndpointChange> &)> onEndpointsUpdated; ///< entries were read or relayed
        std::function<bool()> isStoreReader; ///< this daemon reads on behalf of its group
        std::function<bool()> isConfigurationWatcher; ///< this daemon waits for changes of the configuration on behalf of its group
        std::function<void()> onWatchChanged; ///< isWatchingForGroup() may have changed
        std::function<void(const std::vector<discovery::EndpointEntry> &)> onEntriesRead; ///< entries to relay to the group
        std::function<void(const std::string &)> onConfigurationText; ///< a configuration to relay, as written by operators
        std::function<void(const base::DaemonId &, const std::string &)> onPeerBehind; ///< a daemon that needs the configuration in force, and its text
        /// Whether the software version of an endpoint is recorded; one of another version is used after recordVersions() has called back.
        std::function<bool(const discovery::EndpointEntry &)> isVersionRecorded = [](const discovery::EndpointEntry &) {
            return true;
        };
        /// Records the software versions of endpoints; calls back once, also if that fails.
        std::function<void(const std::vector<discovery::EndpointEntry> &, std::function<void()>)> recordVersions;
    };

    SiteStateUpdater(boost::asio::io_context &context, SiteStore store, SiteState &siteState, telemetry::Metrics &metrics, Callbacks callbacks,
                     SiteStateUpdaterOptions options = {});

    /// @brief Starts reading.
    void start();

    /// @brief Applies entries that the reader of the group has relayed.
    void applyRelayedEntries(const base::DaemonId &from, const std::vector<discovery::EndpointEntry> &entries);

    /// @brief Applies a configuration that another daemon has relayed.
    void applyRelayedConfiguration(const base::DaemonId &from, const std::string &text);

    /// @brief Notes the revision in force at another daemon.
    ///
    /// If it is later than the own one, the configuration is read unless it is relayed in time. If it is earlier and stays so, for
    /// example at a daemon that started while the store held an older copy, the configuration in force is sent to that daemon.
    void notePeerRevision(const base::DaemonId &from, base::Revision revision);

    /// @brief Notes whether another daemon of the group waits for changes of the configuration on behalf of the group, as its status says.
    void notePeerWatch(const base::DaemonId &from, bool isWatching);

    /// @brief Whether this daemon waits for changes on behalf of its group, and the store answers its waits.
    bool isWatchingForGroup() const;

    /// @brief Whether this daemon would know of a later configuration than the one in force: it or a peer waits for changes, the store answers these
    /// waits, and no peer has a later revision.
    bool isConfigurationCertain() const;

    /// @brief Reads the configuration beside the regular reads.
    /// @param onDone called once with whether the latest configuration is in force now
    void refreshConfiguration(std::function<void(bool)> onDone);

    /// @brief Notes that the store has come back from an older copy: positions in its history are void, and endpoints that it no
    /// longer lists are expected to register again.
    void noteStoreRestored();

private:
    void readConfiguration();
    void awaitConfiguration();
    bool isWatchedByPeer(base::Time now) const;
    void setWatchSound(bool isSound);
    void logWaitFailure(base::Duration pause) const;
    void replaceAwait(base::Time now);
    void applyLateAnswer(std::uint64_t number, const tl::expected<ConfigurationSnapshot, TableFailure> &result, std::string_view source);
    void rereadConfiguration();
    void handleWaitEnd(const ConfigurationSnapshot &result);
    void sendToPeerBehind(const base::DaemonId &peer, base::Revision revision, base::Time now);
    void applyConfiguration(const tl::expected<ConfigurationSnapshot, TableFailure> &result, std::string_view source);
    void readEndpoints();
    void applyEndpointsSnapshot(const tl::expected<EndpointsSnapshot, TableFailure> &result);
    void tick();
    bool isEndpointsReadDue(base::Time now) const;
    base::Duration retryPause(bool isForGroup, unsigned failures) const;
    void logUnreadable(std::set<std::string> keys);
    void useEntries(const std::vector<discovery::EndpointEntry> &entries);
    bool isKnown(const discovery::EndpointEntry &entry) const;
    void applyAndRelay(const std::vector<discovery::EndpointEntry> &entries);
    void applyEntries(const std::vector<discovery::EndpointEntry> &entries, std::string_view source);
    void logKeptEntries(const std::vector<discovery::EndpointEntry> &entries, std::int64_t gap, std::string_view source) const;
    void logReadFailure() const;
    bool activate(const std::shared_ptr<const routes::SiteConfiguration> &configuration, const std::string &text, std::string_view source);
    void setStoreAvailable(bool isAvailable);

    boost::asio::io_context &m_context;
    SiteStore m_siteStore;
    SiteState &m_siteState;
    telemetry::Metrics &m_metrics;
    Callbacks m_callbacks;
    SiteStateUpdaterOptions m_options;
    std::uint64_t m_position = 0; ///< in the store's history; all changes up to it are applied
    /// Position after the last wait that ended without a change. The store may have recorded a change before it that the wait
    /// was not told of, so the next wait still starts at m_position.
    std::uint64_t m_unconfirmedPosition = 0;
    std::uint64_t m_awaitNumber = 0; ///< of the current wait, or of the read in its place; of earlier ones, only changes are used
    std::uint64_t m_firstWaitOfEra = 0; ///< earlier waits began before the store came back from an older copy
    std::uint64_t m_readNumber = 0; ///< of the latest read of the entries
    std::set<std::string> m_unreadable; ///< keys of entries that were skipped at the last read
    base::Time m_lastRequestAt; ///< when a read of the entries was last started
    base::Time m_lastUpdateAt; ///< when entries were last read or relayed
    base::Time m_lastRelayedAt; ///< when entries were last relayed
    bool m_isReadingEndpoints = false;
    bool m_isAwaiting = false; ///< a wait, or a read in its place, is in progress
    bool m_isReadInPlace = false; ///< the call in progress is a read in place of a wait
    base::Time m_awaitDeadline; ///< when a read takes the place of the wait, or a wait that of the read
    bool m_isWatchSound = false; ///< the last wait, or read in its place, brought an answer, and the current one is not known to be late
    base::Time m_soundUntil; ///< when the current one is late, which a process that was paused notices only after calls have arrived
    std::map<base::DaemonId, base::Time> m_watchedUntil; ///< peers that wait for changes for the group, until their statuses would be too old
    bool m_isSelfWatching = false; ///< waits for changes although it does not do so for its group
    unsigned m_endpointFailures = 0; ///< in a row
    unsigned m_awaitFailures = 0; ///< in a row
    bool m_isRereading = false;
    std::optional<base::Time> m_peerAheadSince; ///< a peer has a later revision and is expected to relay it
    base::Time m_nextPeerReread; ///< not before this time the configuration is read because a peer has a later revision
    std::string m_text; ///< of the configuration in force
    base::Time m_inForceSince;
    std::map<base::DaemonId, base::Time> m_nextSendTo; ///< for each daemon that was behind, when the configuration may be sent to it again
    bool m_isStoreAvailable = true;
    base::Time m_storeStateSince;
};

} // namespace turmericplank::gateway
