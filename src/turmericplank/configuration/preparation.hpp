#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::configuration {

/// @brief Fetches the objects of accepted revisions and assembles their documents before they come into force.
class Preparation
{
public:
    explicit Preparation(const ActivationOptions &options);

    /// @brief Records the newest revision whose objects a peer holds.
    void setPeerRevision(const base::DaemonId &peer, base::Revision revision);
    /// @brief Takes received objects and drops those whose content does not match their name.
    void objectsReceived(const ObjectsReceived &event, base::Time now);
    /// @brief Records that there is nothing to prepare until the next call of advance().
    void setIdle();
    /// @brief Continues to prepare one revision.
    /// @param entry the revision
    /// @param now current time
    /// @param actions receives the requests for missing objects
    /// @return whether the revision is ready
    bool advance(const PointerEntry &entry, base::Time now, std::vector<ActivationAction> &actions);
    /// @brief Whether the document of a revision is assembled.
    bool isReady(base::Revision revision) const;
    /// @brief Returns the newest revision whose document is assembled.
    base::Revision newestReady() const;
    /// @brief Returns the document of a revision and drops lower revisions.
    /// @return `nullptr` if the revision is not ready
    std::shared_ptr<const Document> take(base::Revision revision);
    /// @brief Returns the content of an object, `nullptr` if it is not held.
    const std::string *object(const std::string &name) const;
    /// @brief Returns the time by which advance() must be called, the maximum time if nothing is being prepared.
    base::Time nextDeadline() const;

private:
    struct Prepared
    {
        std::string digest;
        DocumentSnapshot snapshot;
    };

    /// State of fetching from the store or from peers; at most one request of each kind is in flight.
    struct Fetch
    {
        base::Time timeoutAt; ///< when a request without a response no longer counts as in flight
        base::Time retryAt; ///< earliest time of the next request
        bool isInFlight = false;
    };

    bool tryAssemble(const PointerEntry &entry);
    std::vector<std::string> namesToFetch(const PointerEntry &entry, std::vector<std::string> missing);
    std::optional<base::DaemonId> choosePeer(base::Revision revision);
    void fetch(const PointerEntry &entry, const std::vector<std::string> &missing, base::Time now, std::vector<ActivationAction> &actions);
    void addObject(std::string name, std::string bytes);
    void dropUnused();

    ActivationOptions m_options;
    std::map<base::Revision, Prepared> m_prepared;
    ObjectCache m_objects;
    std::map<base::DaemonId, base::Revision> m_peerRevisions;
    std::set<base::DaemonId> m_askedPeers; ///< peers that were asked for objects of the revision being prepared
    std::set<std::string> m_requestedChanges; ///< change objects that were requested; each is requested only once
    bool m_isFetchingChange = false; ///< whether the request to the store is for a change object
    base::Revision m_currentRevision; ///< revision being prepared
    std::vector<std::string> m_missing; ///< objects that the last attempt to assemble it lacked
    bool m_hasNewObjects = false; ///< whether objects were received since then
    bool m_isIdle = true;
    Fetch m_store;
    Fetch m_peer;
};

} // namespace turmericplank::configuration
