#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/gateway/peernotice.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::gateway {

/// @brief Waiting times between daemons.
struct PeersOptions
{
    base::Duration noticeInterval = std::chrono::milliseconds(400); ///< some 1 KB to each daemon; 2.5 KB/s each way at 7 daemons, under 6
    base::Duration silentAfter = std::chrono::milliseconds(1400); ///< three notices missed
    base::Duration forgetAfter = std::chrono::seconds(10); ///< a daemon that is silent for longer gets no notices between reads of the list
    base::Duration farInterval = std::chrono::milliseconds(1000); ///< between notices of the holder to all, and of all to the holder
    base::Duration listInterval = std::chrono::seconds(60); ///< new daemons tell where they are in their own notices meanwhile
    std::size_t wholeSite = 10; ///< daemons up to which all tell all; above, only those of a group
    std::size_t groupSize = 13; ///< daemons of one zone that tell each other everything; fewer groups read the store less often
    base::Duration firstListInterval = std::chrono::milliseconds(1500); ///< until all that started together have been seen
    base::Duration firstListTime = std::chrono::milliseconds(3500);
};

/// @brief Where another daemon is.
struct PeerAddress
{
    base::DaemonId id;
    base::Address peers;
    base::Address callers;
    base::ZoneName zone;

    friend bool operator==(const PeerAddress &, const PeerAddress &) = default;
};

/// @brief Writes a daemon's row of the list.
std::string encode(const PeerAddress &address);

/// @brief Reads a row of the list.
/// @return nothing if it is none
std::optional<PeerAddress> decodePeerAddress(const std::string &text);

/// @brief Finds the other daemons through rows of the store and exchanges notices with them.
class Peers
{
public:
    struct Hooks
    {
        std::function<void(PeerNotice &)> fillNotice; ///< adds what this daemon has to tell
        std::function<placement::DemandCounters()> demand; ///< told to the holder of the placement lease only
        std::function<void(const PeerNotice &)> onNotice;
        std::function<void(const base::DaemonId &)> onSilent; ///< a daemon is no longer heard
    };

    Peers(boost::asio::io_context &context, const Settings &settings, store::Table table, peer::Mesh &mesh, Hooks hooks, PeersOptions options = {});

    /// @brief Tells the others now.
    void tell();

    /// @brief Tells all that this daemon talks to now, also those that it tells more rarely.
    void tellFar();

    /// @brief Says that this daemon leaves, in all notices from now on, and removes its row.
    void leave();

    /// @brief Daemons that share the site's budgets, without this one: those of the group that are heard, and all others.
    std::size_t others() const;

    /// @brief Daemons whose work this one hears of, without this one.
    std::size_t near() const;

    /// @brief Whether this daemon reads the store for its group.
    bool isReader() const;

    /// @brief Sends a message to all daemons of the group that are heard.
    void tellGroup(const std::string &kind, const std::string &body);

    /// @brief The same, and from the holder of the placement lease to all daemons.
    void tellAll(const std::string &kind, const std::string &body);

    /// @brief The last notice of each daemon that is heard and does not leave, with where it is.
    std::vector<std::pair<PeerAddress, PeerNotice>> serving() const;

    /// @brief The daemon that says it holds the placement lease, if one is heard.
    std::optional<base::DaemonId> holder() const;

private:
    struct Peer
    {
        std::optional<PeerAddress> address;
        std::optional<PeerNotice> notice;
        base::Time heardAt;
        bool isSilent = true;
        bool isNear = true; ///< of this daemon's group
    };

    void registerSelf();
    void readList();
    void takeList(const std::vector<store::Row> &rows);
    void onMessage(const std::string &body);
    void checkSilence();
    void group();
    bool isDue(const Peer &peer, base::Time now) const;
    static bool isHolder(const Peer &peer);
    void send(const Peer &peer, const std::string &kind, const std::string &body);

    boost::asio::io_context &m_context;
    PeerAddress m_self;
    base::Incarnation m_incarnation;
    store::Table m_table;
    peer::Mesh &m_mesh;
    Hooks m_hooks;
    PeersOptions m_options;
    base::Time m_startedAt;
    base::Time m_nextList;
    std::map<base::DaemonId, Peer> m_peers;
    base::Time m_nextFar;
    bool m_isHolder = false;
    bool m_isLeaving = false;
    bool m_isRegistered = false;
    bool m_isRegistering = false;
    bool m_isReading = false;
};

} // namespace turmericplank::gateway
