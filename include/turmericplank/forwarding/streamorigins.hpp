#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Number that stands for the id of a call; equal for equal ids on all daemons.
using CallDigest = std::uint64_t;

/// @brief Digest of a caller's call id.
CallDigest callDigest(std::string_view callId);

/// @brief The software version at which a stream began.
struct StreamOrigin
{
    CallDigest call = 0; ///< the call that brought the stream's first event
    std::string softwareVersion; ///< of the endpoint that sent it
    base::Time neededUntil; ///< until then its caller may resume the stream

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// @brief Software versions of the endpoints of each service that are listed.
using ListedVersions = std::map<base::ServiceName, std::set<std::string>>;

/// @brief Software versions of each service at which streams may have begun, with the time until which these may be resumed.
using VersionHistory = std::map<base::ServiceName, std::map<std::string, base::Time>>;

/// @brief A service whose endpoints run several software versions, or did so lately.
struct MixedService
{
    base::ServiceName service;
    base::Time mixedUntil; ///< until then a stream may have begun at a version that is no longer listed

    friend bool operator==(const MixedService &, const MixedService &) = default;
};

/// @brief Limits of StreamOrigins.
struct StreamOriginsOptions
{
    base::Duration mixedMemory = std::chrono::seconds(60); ///< how long a service counts as mixed after one version remains; longer than any call
    std::size_t maxOrigins = 100000; ///< of each kind, own and from peers; the oldest ones go first
};

/// @brief Remembers at which software version each stream began, as far as this daemon and its peers have relayed it.
///
/// While the endpoints of a service run several versions, all peers need its origins: takeUnsent() returns those that they do not have yet, including
/// the ones from before. While all of them run one version, a few peers keep copies in case this daemon ends: takeUncopied().
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginsOptions options = {});

    /// @brief Records a stream whose first event this daemon relays.
    void record(const base::ServiceName &service, StreamOrigin origin, base::Time now);

    /// @brief Records origins that another daemon has sent.
    void recordFromPeer(const std::vector<StreamOrigin> &origins, base::Time now);

    /// @brief Applies the software versions of the endpoints that are listed now, by service.
    void noteVersions(const ListedVersions &versions, base::Time now);

    /// @brief Applies versions that have been listed within the memory, according to the store or another daemon.
    ///
    /// From then on this daemon knows of all versions at which a stream may have begun, also before its own start.
    void noteHistory(const VersionHistory &versions, base::Time now);

    /// @brief Whether this daemon knows of all versions of a service at which a stream may have begun.
    bool isHistoryKnown(const base::ServiceName &service, base::Time now) const;

    /// @brief All versions at which a stream may have begun, as far as this daemon knows, for the store and for other daemons.
    VersionHistory history(base::Time now) const;

    /// @brief The version at which each stream of a service must have begun; nothing unless it is certain that there is just one.
    std::optional<std::string> onlyVersion(const base::ServiceName &service, base::Time now) const;

    /// @brief Applies another daemon's knowledge of mixed services.
    void noteMixed(const std::vector<MixedService> &services, base::Time now);

    /// @brief Version of a stream; null if unknown. Valid until the next change.
    const std::string *find(CallDigest call) const;

    /// @brief Whether several versions are listed, or were so within the memory.
    bool isMixed(const base::ServiceName &service, base::Time now) const;

    /// @brief Since when this daemon has known versions of a service; nothing before the first call of noteVersions() with it.
    std::optional<base::Time> versionsKnownSince(const base::ServiceName &service) const;

    /// @brief Services that this daemon itself has seen mixed, for its peers.
    ///
    /// What peers reported is left out: passed on in circles, with the delay of each message, it would never end.
    std::vector<MixedService> mixedServices(base::Time now) const;

    /// @brief Own origins of mixed services that were not returned since the service became mixed, or are needed for longer now.
    std::vector<StreamOrigin> takeUnsent(base::Time now);

    /// @brief Own origins of services that are not mixed, that were not returned before, or are needed for longer now.
    std::vector<StreamOrigin> takeUncopied(base::Time now);

    /// @brief All own origins of mixed services, for a daemon that has just appeared.
    std::vector<StreamOrigin> ownOfMixedServices(base::Time now) const;

    /// @brief Whether there are own origins.
    bool hasOwn() const;

    /// @brief All own origins, for a daemon that begins to keep copies of them.
    std::vector<StreamOrigin> ownOrigins(base::Time now) const;

    /// @brief Drops origins that are no longer needed.
    void expire(base::Time now);

    /// @brief Number of origins, own and from peers.
    std::size_t size() const;

private:
    /// Origins of one kind, at most a given number of them.
    class Store
    {
    public:
        struct Entry
        {
            base::ServiceName service; ///< empty for origins from peers
            StreamOrigin origin;
        };

        /// Adds an origin. A known call keeps its version and gets the later of both times. Returns whether anything has changed.
        bool add(Entry entry, std::size_t maxOrigins);
        void expire(base::Time now);
        const Entry *find(CallDigest call) const;
        const std::unordered_map<CallDigest, Entry> &entries() const;

    private:
        void removeEarliest();

        std::unordered_map<CallDigest, Entry> m_entries;
        std::set<std::pair<base::Time, CallDigest>> m_byNeededUntil;
    };

    void compareWithHistory(const base::ServiceName &service, base::Time now);
    void addToHistory(const base::ServiceName &service, const std::string &version, base::Time until);
    void extendMixed(const base::ServiceName &service, base::Time mixedUntil, base::Time now);

    StreamOriginsOptions m_options;
    ListedVersions m_listed; ///< versions at the last call of noteVersions()
    VersionHistory m_history; ///< of versions that were listed earlier, or are known from others
    bool m_isHistoryKnown = false; ///< others have told this daemon what served before its start
    std::map<base::ServiceName, base::Time> m_knownSince; ///< first call of noteVersions() with the service
    std::map<base::ServiceName, base::Time> m_seenMixedUntil; ///< by this daemon itself
    std::map<base::ServiceName, base::Time> m_mixedUntil;
    Store m_own;
    Store m_fromPeers;
    std::unordered_set<CallDigest> m_unsent; ///< own origins of mixed services; may name some that were dropped
    std::unordered_set<CallDigest> m_uncopied; ///< own origins of other services; may name some that were dropped
};

} // namespace turmericplank::forwarding
