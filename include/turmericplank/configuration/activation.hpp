#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/documentobjects.hpp"
#include "turmericplank/configuration/pointer.hpp"
#include "turmericplank/configuration/rules.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::configuration {

/// @brief Timeouts and intervals of Activation.
struct ActivationOptions
{
    base::Duration pollInterval = std::chrono::milliseconds(1200); ///< age at which the known pointer is read again
    base::Duration readDelay{}; ///< added to pollInterval; differs between the daemons of a cell, so that one reads and notifies the others
    base::Duration maxPollInterval = std::chrono::seconds(6); ///< between this daemon's own reads while peers read the pointer
    base::Duration readTimeout = std::chrono::seconds(4); ///< time after which an unanswered read or fetch from the store is retried
    base::Duration peerTimeout = std::chrono::seconds(1); ///< time after which the next source is asked if a peer does not respond
    base::Duration retryInterval = std::chrono::milliseconds(250); ///< between fetches that returned nothing
    base::Duration isolationTimeout = std::chrono::seconds(30); ///< time without contact to store or peers until new requests are rejected, if there are peers
    base::Duration maxTickGap = std::chrono::seconds(2); ///< a longer gap between ticks counts as a pause; the pointer must then be confirmed
    base::Duration confirmationTimeout = std::chrono::seconds(2); ///< new requests are rejected until that confirmation, but at most this long
    ActivationRules rules;
};

/// @brief A daemon's state of the configuration, as sent to its peers.
struct RevisionNotice
{
    base::Revision highest; ///< newest accepted revision known to the sender
    base::Time inForceFrom; ///< when the newest accepted revision comes into force
    base::Revision ready; ///< newest revision whose document the sender has assembled
    base::Revision inForce; ///< revision that the sender serves requests under
    base::Time confirmedAt; ///< start of the latest table read that is known to have confirmed this state

    friend bool operator==(const RevisionNotice &, const RevisionNotice &) = default;
};

/// @brief The configuration that a daemon serves requests under.
struct ActiveConfiguration
{
    base::Revision revision;
    std::string digest;
    std::shared_ptr<const Document> document;
};

/// @brief The pointer row was read, or reading it failed; holds an empty optional if nothing was ever accepted.
struct PointerRead
{
    std::uint64_t read = 0; ///< number of the ReadPointer action that this responds to
    tl::expected<std::optional<Pointer>, store::TableFailure> pointer;
};

/// @brief A notice of a peer was received.
struct NoticeReceived
{
    base::DaemonId peer;
    RevisionNotice notice;
};

/// @brief A peer's pointer was received; empty if the peer did not respond.
struct PeerPointerReceived
{
    base::DaemonId peer;
    std::optional<Pointer> pointer;
};

/// @brief Objects from the store or a peer were received; objects that the source does not hold are left out.
struct ObjectsReceived
{
    std::optional<base::DaemonId> peer; ///< empty for the store
    ObjectCache objects;
};

/// @brief This daemon executed an acceptance.
struct LocallyAccepted
{
    Pointer pointer; ///< as written to the table
    ObjectCache objects; ///< the objects that validating the document required
};

/// @brief The list of the cell's daemons was read from the table.
struct PeersListed
{
    bool hasOthers = false; ///< whether it contains daemons other than this one
};

/// @brief Time has passed. Must be handled by nextDeadline() at the latest.
struct Tick
{
};

using ActivationEvent = std::variant<PointerRead, NoticeReceived, PeerPointerReceived, ObjectsReceived, LocallyAccepted, PeersListed, Tick>;

/// @brief Read the pointer row.
struct ReadPointer
{
    std::uint64_t read = 0; ///< number to return in PointerRead
};

/// @brief Request a peer's pointer.
struct RequestPointer
{
    base::DaemonId peer;
};

/// @brief Request objects from the store or from a peer.
struct RequestObjects
{
    std::optional<base::DaemonId> peer; ///< empty for the store
    std::vector<std::string> names;
};

/// @brief Serve new requests under this configuration.
struct SwitchRevision
{
    ActiveConfiguration inForce;
    bool isLate = false; ///< whether the agreed time to switch has passed by more than retryInterval; false for the first revision of a process
};

/// @brief Send a notice to all peers.
struct NotifyPeers
{
    RevisionNotice notice;
};

using ActivationAction = std::variant<ReadPointer, RequestPointer, RequestObjects, SwitchRevision, NotifyPeers>;

/// @brief Whether new requests are served, and if not, why.
enum class Admission {
    Serve,
    Starting, ///< no configuration is in force here yet
    Late, ///< a newer revision is in force, or may be because this process was paused
    Isolated, ///< there are peers, but no contact with them or the store for too long
};

/// @brief State machine that brings accepted revisions into force on one daemon.
///
/// All daemons switch to a revision at the same time and never go back to a lower one.
class Activation
{
public:
    Activation(ActivationOptions options, base::Time now);
    ~Activation();
    Activation(const Activation &) = delete;
    Activation &operator=(const Activation &) = delete;

    /// @brief Processes one event.
    /// @param event the event
    /// @param now current time
    /// @return the actions to execute, in order
    std::vector<ActivationAction> handle(const ActivationEvent &event, base::Time now);

    /// @brief Returns the time by which the next Tick must be handled.
    base::Time nextDeadline() const;

    /// @brief Returns the configuration in force on this daemon; its document is null before the first switch.
    const ActiveConfiguration &inForce() const;

    /// @brief Returns whether new requests are served.
    /// @param now current time
    Admission admission(base::Time now) const;

    /// @brief Returns the notice to send to peers.
    RevisionNotice notice() const;

    /// @brief Returns the newest known pointer, also for peers that request it.
    const Pointer &pointer() const;

    /// @brief Returns the content of an object, also for peers that request it.
    /// @param name digest of the object
    /// @return `nullptr` if this daemon does not hold it
    const std::string *object(const std::string &name) const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
