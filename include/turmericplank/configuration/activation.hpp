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

/// @brief Timeouts and intervals of one daemon's activation.
struct ActivationOptions
{
    base::Duration pollInterval = std::chrono::milliseconds(1200); ///< age of the knowledge of the pointer at which it is read again
    base::Duration readDelay{}; ///< this daemon's own wait beyond that, so that one of a cell reads and tells the others
    base::Duration longestPollInterval = std::chrono::seconds(6); ///< between own reads while peers read it
    base::Duration readTimeout = std::chrono::seconds(4); ///< a read without an answer is tried again
    base::Duration peerTimeout = std::chrono::seconds(1); ///< a peer without an answer is left for the next source
    base::Duration retryInterval = std::chrono::milliseconds(250); ///< between two fetches that brought nothing
    base::Duration isolationLimit = std::chrono::seconds(30); ///< without store and peers before new requests are refused
    base::Duration pauseLimit = std::chrono::seconds(2); ///< between two ticks; a longer gap makes the knowledge doubtful
    base::Duration confirmationLimit = std::chrono::seconds(2); ///< wait for a confirmation after such a gap
    ActivationRules rules;
};

/// @brief What every message between daemons says about the configuration.
struct RevisionNotice
{
    base::Revision highest; ///< newest accepted revision that the sender knows
    base::Time inForceFrom; ///< when the newest one is in force
    base::Revision ready; ///< newest revision whose objects the sender holds
    base::Revision inForce; ///< revision that the sender admits requests under
    base::Time confirmedAt; ///< when the table was last known to be read with this result

    friend bool operator==(const RevisionNotice &, const RevisionNotice &) = default;
};

/// @brief The configuration that a daemon serves under.
struct ActiveConfiguration
{
    base::Revision revision;
    std::string digest;
    std::shared_ptr<const Document> document;
};

/// @brief Answer of the table; an empty optional if nothing was ever accepted.
struct PointerRead
{
    std::uint64_t read = 0; ///< number of the ReadPointer that it answers
    tl::expected<std::optional<Pointer>, store::TableFailure> pointer;
};

/// @brief A peer's notice came in.
struct NoticeReceived
{
    base::DaemonId peer;
    RevisionNotice notice;
};

/// @brief A peer's whole pointer, or nothing if it did not answer.
struct PeerPointerReceived
{
    base::DaemonId peer;
    std::optional<Pointer> pointer;
};

/// @brief Objects from the store or a peer; those that it does not hold are left out.
struct ObjectsReceived
{
    std::optional<base::DaemonId> peer; ///< nothing for the store
    ObjectCache objects;
};

/// @brief This daemon carried out an acceptance itself.
struct LocallyAccepted
{
    Pointer pointer; ///< as it stands in the table now
    ObjectCache objects; ///< what it needed to check the document
};

/// @brief The list of the cell's daemons was read.
struct PeersListed
{
    bool hasOthers = false; ///< whether it names any but this one
};

/// @brief Time has passed.
struct Tick
{
};

using ActivationEvent = std::variant<PointerRead, NoticeReceived, PeerPointerReceived, ObjectsReceived, LocallyAccepted, PeersListed, Tick>;

/// @brief Read the pointer's row.
struct ReadPointer
{
    std::uint64_t read = 0; ///< number to give back with the answer
};

/// @brief Ask a peer for its pointer.
struct RequestPointer
{
    base::DaemonId peer;
};

/// @brief Fetch objects from the store or from a peer.
struct RequestObjects
{
    std::optional<base::DaemonId> peer;
    std::vector<std::string> names;
};

/// @brief Serve new requests under this configuration from now on.
struct SwitchRevision
{
    ActiveConfiguration inForce;
    bool isLate = false; ///< it was in force elsewhere before
};

/// @brief Tell all peers at once.
struct NotifyPeers
{
    RevisionNotice notice;
};

using ActivationAction = std::variant<ReadPointer, RequestPointer, RequestObjects, SwitchRevision, NotifyPeers>;

/// @brief Whether a new request may start, and if not, why.
enum class Admission {
    Serve,
    Starting, ///< no configuration is in force here yet
    Late, ///< a newer revision is in force, or may be after a pause of this process
    Isolated, ///< neither the store nor any peer was heard for long
};

/// @brief Brings accepted revisions in force on one daemon, at the same time as on all others and never a lower one.
class Activation
{
public:
    Activation(ActivationOptions options, base::Time now);
    ~Activation();
    Activation(const Activation &) = delete;
    Activation &operator=(const Activation &) = delete;

    /// @brief Takes one event.
    /// @param event what happened
    /// @param now the present
    /// @return what to do, in this order
    std::vector<ActivationAction> handle(const ActivationEvent &event, base::Time now);

    /// @brief When the next Tick is due at the latest.
    base::Time nextDeadline() const;

    /// @brief The configuration in force here, with a null document before the first.
    const ActiveConfiguration &inForce() const;

    /// @brief Whether a new request may start.
    /// @param now the present
    Admission admission(base::Time now) const;

    /// @brief What to tell peers.
    RevisionNotice notice() const;

    /// @brief The newest pointer that is known, for peers that ask.
    const Pointer &pointer() const;

    /// @brief Bytes of an object, for peers that ask.
    /// @param name digest
    /// @return nullptr if it is not held
    const std::string *object(const std::string &name) const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace turmericplank::configuration
