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

/// @brief What a peer last said about its configuration.
struct PeerRevision
{
    configuration::RevisionNotice notice;
    base::Address address; ///< where it listens for peers
    base::Time heardAt;
};

/// @brief What the configuration asks of the rest of the daemon.
struct ConfigurationShellHooks
{
    std::function<std::vector<PeerTarget>()> peers; ///< daemons of the cell that are believed to live, this one left out
    configuration::ActivationOptions activation;
};

/// @brief Keeps the accepted configuration in force on this daemon and tells peers about revisions.
class ConfigurationShell
{
public:
    using ActivatedHook = std::function<void(const configuration::ActiveConfiguration &)>;

    /// @param environment shared parts, which outlive this
    /// @param hooks the rest of the daemon
    ConfigurationShell(Environment &environment, ConfigurationShellHooks hooks);

    /// @brief The configuration that new requests are served under, with a null document before the first.
    const configuration::ActiveConfiguration &inForce() const;

    /// @brief Whether a new request may start now; switches first if a switch is due.
    configuration::Admission admission();

    /// @brief What to answer to a new request that may not start now, or nothing.
    std::optional<ErrorBody> refusal();

    /// @brief Adds a hook that is called after each switch, and now if there was one already.
    void onActivated(ActivatedHook hook);

    /// @brief Another slice's message carried a revision.
    /// @param peer its sender
    /// @param revision highest revision that the sender has seen
    void heardRevision(const base::DaemonId &peer, base::Revision revision);

    /// @brief What this daemon knows of revisions, as every message to peers says it.
    configuration::RevisionNotice notice() const;

    /// @brief What peers said last.
    const std::map<base::DaemonId, PeerRevision> &peerRevisions() const;

    /// @brief The newest accepted revisions known here.
    const configuration::Pointer &pointer() const;

    /// @brief This daemon carried out an acceptance.
    /// @param pointer the pointer as it stands now
    void accepted(const configuration::Pointer &pointer);

    /// @brief Time from an acceptance until daemons switch: they read the pointer, then fetch, each at the store's latency.
    base::Duration activationLead() const;

    /// @brief Where operations on the configuration go; what they fetch and put is remembered.
    configuration::StoreDriverOptions driver();

    /// @brief Objects that are held here.
    configuration::ObjectLookup lookup() const;

private:
    void handle(const configuration::ActivationEvent &event);
    void schedule();
    void carryOut(const configuration::ReadPointer &action);
    void carryOut(const configuration::RequestPointer &action);
    void carryOut(const configuration::RequestObjects &action);
    void carryOut(const configuration::SwitchRevision &action);
    void carryOut(const configuration::NotifyPeers &action);
    void tellPeers();
    void callPeer(const base::DaemonId &peer, const std::string &kind, std::string body, std::function<void(bool isWhole, std::string answer)> onDone);
    std::optional<base::Address> addressOf(const base::DaemonId &peer) const;
    void answerPeers();
    void remember(const std::string &name, const std::string &bytes);
    const std::string *held(const std::string &name) const;
    void logAdmission(configuration::Admission admission);

    Environment &m_environment;
    ConfigurationShellHooks m_hooks;
    configuration::Activation m_activation;
    boost::asio::steady_timer m_timer;
    std::map<base::DaemonId, PeerRevision> m_peerRevisions;
    std::vector<ActivatedHook> m_onActivated;
    configuration::ObjectCache m_remembered; ///< objects of drafts that operators work on here
    std::size_t m_rememberedBytes = 0;
    configuration::Admission m_lastAdmission = configuration::Admission::Starting;
    base::Duration m_storeLatency{}; ///< longest recent read of the pointer, forgotten slowly
    bool m_isNoticePending = false;
};

/// @brief Word for the state of admission in answers and logs.
std::string_view toString(configuration::Admission admission);

} // namespace turmericplank::daemon
