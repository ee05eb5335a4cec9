#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::configuration {

/// @brief Fetches the objects of accepted revisions and puts their documents together before they are in force.
class Preparation
{
public:
    explicit Preparation(const ActivationOptions &options);

    /// @brief Notes which revision a peer holds the objects of.
    void peerHolds(const base::DaemonId &peer, base::Revision revision);
    /// @brief Takes objects that came; those whose bytes do not fit their name are dropped.
    void arrived(const ObjectsReceived &event, base::Time now);
    /// @brief Notes that nothing is to be prepared until the next call of advance().
    void setIdle();
    /// @brief Works on one revision.
    /// @param entry the revision
    /// @param now the present
    /// @param actions receives the fetches
    /// @return whether it is ready now
    bool advance(const PointerEntry &entry, base::Time now, std::vector<ActivationAction> &actions);
    /// @brief Whether the document of a revision is there.
    bool isReady(base::Revision revision) const;
    /// @brief The newest revision whose document is there.
    base::Revision newestReady() const;
    /// @brief Takes the document of a revision for use and forgets what lower ones needed.
    /// @return nullptr if it is not ready
    std::shared_ptr<const Document> take(base::Revision revision);
    /// @brief Bytes of an object, nullptr if it is not held.
    const std::string *object(const std::string &name) const;
    /// @brief When advance() is due at the latest.
    base::Time nextDeadline() const;

private:
    struct Prepared
    {
        std::string digest;
        Image image;
    };

    /// One fetch that may be under way, from the store or from a peer.
    struct Fetch
    {
        base::Time giveUpAt; ///< without an answer the source is free again
        base::Time retryAt; ///< not before
        bool isUnderWay = false;
    };

    bool tryAssemble(const PointerEntry &entry);
    std::vector<std::string> wantedNames(const PointerEntry &entry, std::vector<std::string> missing);
    std::optional<base::DaemonId> choosePeer(base::Revision revision);
    void fetch(const PointerEntry &entry, const std::vector<std::string> &missing, base::Time now, std::vector<ActivationAction> &actions);
    void addObject(std::string name, std::string bytes);
    void dropUnused();

    ActivationOptions m_options;
    std::map<base::Revision, Prepared> m_prepared;
    ObjectCache m_objects;
    std::map<base::DaemonId, base::Revision> m_holders;
    std::set<base::DaemonId> m_tried; ///< peers that were asked for the revision being prepared
    std::set<std::string> m_changesTried; ///< change objects that were asked for once
    bool m_isAskingForChange = false; ///< the fetch from the store is for a change object
    base::Revision m_current; ///< revision being prepared
    std::vector<std::string> m_missing; ///< what it lacks, as of the last try
    bool m_hasNews = false; ///< whether objects came since
    bool m_isIdle = true;
    Fetch m_store;
    Fetch m_peer;
};

} // namespace turmericplank::configuration
