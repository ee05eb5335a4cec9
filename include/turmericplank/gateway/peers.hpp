#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/peerstatus.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::gateway {

/// @brief Intervals, timeouts and group sizes of the exchange between daemons.
struct PeersOptions
{
    base::Duration statusInterval = std::chrono::milliseconds(400); ///< about 1 KB to each daemon; 2.5 KB/s in each direction with 7 daemons, below 6 KB/s
    base::Duration peerTimeout = std::chrono::milliseconds(1400); ///< three messages missed
    base::Duration removalTimeout = std::chrono::seconds(10); ///< a peer that is silent for longer and not listed is removed at the next read of the list
    base::Duration maxSilence = std::chrono::seconds(30); ///< a daemon that is silent for longer counts as gone rather than cut off
    base::Duration remoteInterval = std::chrono::milliseconds(1000); ///< between status messages that the lease holder and daemons outside its group exchange
    base::Duration listReadInterval = std::chrono::seconds(60); ///< long, since new daemons also announce their addresses in their messages
    std::size_t maxFullMeshDaemons = 10; ///< up to this many daemons all exchange messages with all; above, only within groups
    std::size_t maxGroupSize = 13; ///< daemons in a group, all of one zone; larger groups mean fewer daemons that read the store
    base::Duration startupListReadInterval = std::chrono::milliseconds(1500); ///< during startupTime, until all daemons that started together are known
    base::Duration startupTime = std::chrono::milliseconds(3500);
};

/// @brief A daemon's row in the list of daemons.
struct PeerRecord
{
    base::DaemonId id;
    base::Address peerAddress;
    base::Address callerAddress;
    base::ZoneName zone;

    friend bool operator==(const PeerRecord &, const PeerRecord &) = default;
};

/// @brief Encodes a row of the list of daemons.
std::string encode(const PeerRecord &record);

/// @brief Decodes a row of the list of daemons.
/// @return nothing if it is malformed
std::optional<PeerRecord> decodePeerRecord(const std::string &text);

/// @brief A daemon to which calls may be forwarded.
struct ForwardTarget
{
    base::DaemonId id;
    base::Address peerAddress;
    bool isInZone = false; ///< in the zone of this daemon

    friend bool operator==(const ForwardTarget &, const ForwardTarget &) = default;
};

/// @brief Daemons to which calls of a service may be forwarded.
struct ForwardTargets
{
    std::vector<ForwardTarget> inGroup; ///< say that they reach the service
    std::vector<ForwardTarget> outside; ///< of the group, so that their state is not known
    bool isGroupShort = false; ///< fewer other daemons of the group reach the service than don't, this one included

    friend bool operator==(const ForwardTargets &, const ForwardTargets &) = default;
};

/// @brief Finds the other daemons through rows of the store and exchanges status messages with them.
class Peers
{
public:
    struct Callbacks
    {
        std::function<void(PeerStatus &)> fillStatus; ///< fills in this daemon's state
        std::function<bool()> mayActAsHolder; ///< this daemon's placement lease has not expired
        std::function<placement::DemandCounters()> demand; ///< this daemon's demand, for the holder of the placement lease
        /// Called with each status, and the services that the peer did not reach by its status before.
        std::function<void(const std::set<base::ServiceName> &before, const PeerStatus &)> onPeerStatus;
        std::function<void(const base::DaemonId &)> onPeerHeard; ///< first message of a daemon of the group, also after a silence or a restart
        std::function<void(const base::DaemonId &)> onPeerSilent; ///< no message from a daemon within the timeout
    };

    Peers(boost::asio::io_context &context, const Settings &settings, store::Table table, peer::Mesh &mesh, Callbacks callbacks, PeersOptions options = {});

    /// @brief Sends this daemon's status now, to the peers that are due.
    void sendStatus();

    /// @brief Sends this daemon's status now to all peers that it sends to, also to those outside its group.
    void sendStatusToAll();

    /// @brief Sends a message to one daemon, if its address is known.
    /// @param onFailed called if the daemon may not have got it; may be null
    void sendTo(const base::DaemonId &id, const std::string &kind, const std::string &body, std::function<void()> onFailed = nullptr);

    /// @brief Asks one daemon, if its address is known.
    /// @param timeout until when it must answer
    /// @param onAnswer gets the answer; not called without one
    void ask(const base::DaemonId &id, const std::string &kind, const std::string &body, base::Duration timeout,
             std::function<void(std::string_view)> onAnswer);

    /// @brief Writes this daemon's row again, since the store may have lost it.
    void registerAgain();

    /// @brief Marks this daemon as draining in all messages from now on, and removes its row.
    void announceDraining();

    /// @brief Number of other daemons that share the site's budgets: those of the group that are heard, and all outside it.
    std::size_t otherDaemonCount() const;

    /// @brief Number of other daemons in the group that are heard.
    std::size_t groupPeerCount() const;

    /// @brief Whether a daemon is known and belongs to this daemon's group.
    bool isInGroup(const base::DaemonId &id) const;

    /// @brief Whether at least half of the daemons of the group that were heard lately, this one included, are heard now.
    bool isHalfHeard() const;

    /// @brief Whether no daemon that was heard lately has fallen silent without having announced that it leaves.
    bool areAllHeard() const;

    /// @brief Whether this daemon reads the store on behalf of its group.
    bool isStoreReader() const;

    /// @brief Whether this daemon waits for changes of the configuration on behalf of its group: the reader, and the one after it.
    bool isConfigurationWatcher() const;

    /// @brief Whether this daemon holds the placement lease.
    bool isLeaseHolder() const;

    /// @brief Sends a message to all peers in the group that are heard.
    void sendToGroup(const std::string &kind, const std::string &body);

    /// @brief Sends a message to all peers in the group that are heard; the lease holder also sends it to all other daemons.
    void sendToAll(const std::string &kind, const std::string &body);

    /// @brief Sends a message to all peers that this daemon sends its status to, heard or not: those of the group and the lease holder.
    void sendToStatusPeers(const std::string &kind, const std::string &body);

    /// @brief Asks the daemons of the group and of this zone.
    /// @param timeout until when each of them must answer
    /// @param onAnswer gets each answer that is not empty; returns whether it is enough
    /// @param onDone called exactly once, after an answer that is enough or after all; at once if there is nobody to ask
    void askNearby(const std::string &kind, const std::string &body, base::Duration timeout, std::function<bool(std::string_view)> onAnswer,
                   std::function<void()> onDone);

    /// @brief Record and last status of each peer in the group that is heard, ready and not draining.
    std::vector<std::pair<PeerRecord, PeerStatus>> servingPeers() const;

    /// @brief The daemons of the group that keep copies of what must outlive this one, see chooseBackups().
    std::vector<base::DaemonId> backups() const;

    /// @brief Number of other daemons in the group that are heard and reach a service, and of those that don't reach it.
    std::pair<std::size_t, std::size_t> groupContact(const base::ServiceName &service) const;

    /// @brief Daemons to which calls of a service may be forwarded.
    ForwardTargets forwardTargets(const base::ServiceName &service) const;

    /// @brief The last status of this daemon, and then that of each peer that is heard; of all daemons of the site if this one holds the lease.
    std::vector<PeerStatus> heardStatuses() const;

    /// @brief The daemons that otherDaemonCount() counts, except those that reach no endpoint.
    std::vector<base::DaemonId> otherDaemons() const;

    /// @brief The daemon that claims the placement lease, if one is heard.
    std::optional<base::DaemonId> leaseHolder() const;

private:
    struct Peer
    {
        std::optional<PeerRecord> record;
        std::optional<PeerStatus> status;
        base::Time heardAt;
        bool isSilent = true;
        bool isInGroup = true; ///< in this daemon's group
    };

    void registerSelf();
    void readDaemonList();
    void applyDaemonList(const std::vector<store::Row> &rows);
    void handleMessage(const std::string &body);
    void detectSilentPeers();
    void assignGroups();
    bool isStatusDue(const Peer &peer, base::Time now) const;
    static bool isHolder(const Peer &peer);
    std::size_t servingPeersBefore() const;
    void send(const Peer &peer, const std::string &kind, const std::string &body, std::function<void()> onFailed = nullptr);

    boost::asio::io_context &m_context;
    PeerRecord m_self;
    base::Incarnation m_incarnation;
    store::Table m_table;
    peer::Mesh &m_mesh;
    Callbacks m_callbacks;
    PeersOptions m_options;
    base::Time m_startedAt;
    base::Time m_nextListRead;
    std::map<base::DaemonId, Peer> m_peers;
    base::Time m_nextRemoteStatus;
    PeerStatus m_ownStatus; ///< as last sent
    bool m_isHolder = false;
    bool m_isDraining = false;
    bool m_isRegistered = false;
    bool m_isRegistering = false;
    bool m_mustRegisterAgain = false; ///< the store came back from an older copy while the row was being written
    bool m_isReadingList = false;
};

} // namespace turmericplank::gateway
