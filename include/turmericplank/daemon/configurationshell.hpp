#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "turmericplank/configuration/activation.hpp"
#include "turmericplank/configuration/storedriver.hpp"
#include "turmericplank/daemon/environment.hpp"
#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/daemon/peertarget.hpp"

namespace turmericplank::daemon {

/// @brief Last notice of a peer about its configuration.
struct PeerRevision
{
    configuration::RevisionNotice notice;
    base::Address address; ///< address at which the peer listens for other daemons
    base::Time heardAt;
};

/// @brief What the configuration shell needs from the rest of the daemon.
struct ConfigurationShellHooks
{
    std::function<std::vector<PeerTarget>()> peers; ///< all other known daemons of the cell, whatever their state
    configuration::ActivationOptions activation;
};

/// @brief Activates accepted configurations on this daemon and notifies peers of revisions.
class ConfigurationShell
{
public:
    using ActivatedHook = std::function<void(const configuration::ActiveConfiguration &)>;

    /// @param environment shared parts; must outlive the shell
    /// @param hooks callbacks to the rest of the daemon
    ConfigurationShell(Environment &environment, ConfigurationShellHooks hooks);

    /// @brief The configuration in force for new requests; its document is null before the first activation.
    const configuration::ActiveConfiguration &inForce() const;

    /// @brief Whether new requests may start now; activates a due revision first.
    configuration::Admission admission();

    /// @brief The error for a new request that may not start now, or nothing if it may.
    std::optional<ErrorBody> rejection();

    /// @brief Adds a hook that is called after each activation, and immediately if a configuration is in force already.
    void onActivated(ActivatedHook hook);

    /// @brief Requests the pointer from a peer that has reported, in a message of another slice, a revision unknown here.
    /// @param peer sender of the message
    /// @param revision highest revision that the sender has seen; ignored unless it is newer than all revisions known here
    void noteRevision(const base::DaemonId &peer, base::Revision revision);

    /// @brief What this daemon knows about revisions, as its messages to peers report it.
    configuration::RevisionNotice notice() const;

    /// @brief Last notice of each peer.
    const std::map<base::DaemonId, PeerRevision> &peerRevisions() const;

    /// @brief The newest accepted revisions known here.
    const configuration::Pointer &pointer() const;

    /// @brief Records that a draft was accepted through this daemon.
    /// @param pointer the pointer after the acceptance
    void noteAccepted(const configuration::Pointer &pointer);

    /// @brief Delay between an acceptance and its activation, in which all daemons read the pointer and fetch the objects; at most 5 s.
    base::Duration activationLead() const;

    /// @brief Options for operations on the stored configuration; objects that they fetch or put are cached.
    configuration::StoreDriverOptions storeDriverOptions();

    /// @brief Returns a function that looks up objects in this daemon's memory.
    configuration::ObjectLookup objectLookup() const;

private:
    void handle(const configuration::ActivationEvent &event);
    void schedule();
    void perform(const configuration::ReadPointer &action);
    void perform(const configuration::RequestPointer &action);
    void perform(const configuration::RequestObjects &action);
    void perform(const configuration::SwitchRevision &action);
    void perform(const configuration::NotifyPeers &action);
    void notifyPeers();
    void callPeer(const base::DaemonId &peer, const std::string &kind, std::string body, std::function<void(bool isComplete, std::string answer)> onDone);
    std::optional<base::Address> addressOf(const base::DaemonId &peer) const;
    void addPeerHandlers();
    void cacheObject(const std::string &name, const std::string &bytes);
    const std::string *findObject(const std::string &name) const;
    void logAdmission(configuration::Admission admission);

    Environment &m_environment;
    ConfigurationShellHooks m_hooks;
    configuration::Activation m_activation;
    boost::asio::steady_timer m_timer;
    std::map<base::DaemonId, PeerRevision> m_peerRevisions;
    std::vector<ActivatedHook> m_onActivated;
    configuration::ObjectCache m_cachedObjects; ///< objects of drafts that operators edit through this daemon
    std::size_t m_cachedBytes = 0;
    configuration::Admission m_lastAdmission = configuration::Admission::Starting;
    base::Duration m_storeLatency{}; ///< latency of a store access; never updated, so always zero
    bool m_isNoticePending = false;
};

/// @brief Name of an admission state in responses and logs.
std::string_view toString(configuration::Admission admission);

} // namespace turmericplank::daemon
