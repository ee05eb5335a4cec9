#include "preparation.hpp"

#include <algorithm>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::configuration {

Preparation::Preparation(const ActivationOptions &options)
    : m_options(options)
{
}

void Preparation::setPeerRevision(const base::DaemonId &peer, base::Revision revision)
{
    m_peerRevisions[peer] = revision;
}

void Preparation::objectsReceived(const ObjectsReceived &event, base::Time now)
{
    auto &source = event.peer ? m_peer : m_store;
    source.isInFlight = false;
    const auto canRetryNow = !event.objects.empty() || (!event.peer && m_isFetchingChange);
    source.retryAt = canRetryNow ? now : now + m_options.retryInterval;
    m_hasNewObjects = m_hasNewObjects || !event.objects.empty();
    for (const auto &[name, bytes] : event.objects) {
        addObject(name, bytes);
    }
}

void Preparation::setIdle()
{
    m_isIdle = true;
}

bool Preparation::advance(const PointerEntry &entry, base::Time now, std::vector<ActivationAction> &actions)
{
    m_isIdle = false;
    if (m_currentRevision != entry.revision) {
        m_currentRevision = entry.revision;
        m_askedPeers.clear();
        m_hasNewObjects = true;
    }
    if (m_hasNewObjects && tryAssemble(entry)) {
        return true;
    }
    if (!m_missing.empty()) {
        fetch(entry, m_missing, now, actions);
    }
    return false;
}

bool Preparation::tryAssemble(const PointerEntry &entry)
{
    m_hasNewObjects = false;
    const auto *base = m_prepared.empty() ? nullptr : &m_prepared.rbegin()->second.snapshot;
    auto snapshot = assembleDocument(base, entry.sections, m_objects);
    if (snapshot) {
        m_prepared.insert_or_assign(entry.revision, Prepared{entry.digest, std::move(*snapshot)});
        m_currentRevision = {};
        return true;
    }
    m_missing = std::move(snapshot.error().missing);
    return false;
}

bool Preparation::isReady(base::Revision revision) const
{
    return m_prepared.contains(revision);
}

base::Revision Preparation::newestReady() const
{
    return m_prepared.empty() ? base::Revision() : m_prepared.rbegin()->first;
}

std::shared_ptr<const Document> Preparation::take(base::Revision revision)
{
    const auto found = m_prepared.find(revision);
    if (found == m_prepared.end()) {
        return nullptr;
    }
    const auto document = found->second.snapshot.document;
    m_prepared.erase(m_prepared.begin(), found);
    if (m_isIdle) {
        dropUnused();
    }
    return document;
}

const std::string *Preparation::object(const std::string &name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? nullptr : &found->second;
}

base::Time Preparation::nextDeadline() const
{
    auto deadline = base::Time::max();
    if (m_isIdle) {
        return deadline;
    }
    for (const auto *it : {&m_store, &m_peer}) {
        if (it->isInFlight) {
            deadline = std::min(deadline, it->timeoutAt);
        } else if (it->retryAt != base::Time()) {
            deadline = std::min(deadline, it->retryAt);
        }
    }
    return deadline;
}

/// Names to request from the store. A change object holds everything that the revision changed, so it is tried first, once.
std::vector<std::string> Preparation::namesToFetch(const PointerEntry &entry, std::vector<std::string> missing)
{
    m_isFetchingChange = false;
    if (m_prepared.empty()) {
        return missing;
    }
    auto name = changeObjectName(m_prepared.rbegin()->second.digest, entry.digest);
    m_isFetchingChange = m_requestedChanges.insert(name).second;
    return m_isFetchingChange ? std::vector{std::move(name)} : missing;
}

std::optional<base::DaemonId> Preparation::choosePeer(base::Revision revision)
{
    for (const auto &[peer, held] : m_peerRevisions) {
        if (held >= revision && m_askedPeers.insert(peer).second) {
            return peer;
        }
    }
    // All peers that hold the revision were asked: start over with the next attempt.
    m_askedPeers.clear();
    return std::nullopt;
}

void Preparation::fetch(const PointerEntry &entry, const std::vector<std::string> &missing, base::Time now, std::vector<ActivationAction> &actions)
{
    const auto isFree = [now](const Fetch &it) {
        return it.isInFlight ? now >= it.timeoutAt : now >= it.retryAt;
    };
    if (isFree(m_peer)) {
        if (const auto peer = choosePeer(entry.revision)) {
            m_peer = {now + m_options.peerTimeout, {}, true};
            actions.push_back(RequestObjects{peer, missing});
        } else {
            m_peer = {{}, now + m_options.retryInterval, false};
        }
    }
    if (isFree(m_store)) {
        m_store = {now + m_options.readTimeout, {}, true};
        actions.push_back(RequestObjects{std::nullopt, namesToFetch(entry, missing)});
    }
}

void Preparation::addObject(std::string name, std::string bytes)
{
    if (name.rfind("change/", 0) == 0) {
        for (auto &it : decodeObjects(bytes)) {
            m_objects.insert_or_assign(std::move(it.digest), std::move(it.bytes));
        }
    } else if (base::digest(bytes) == name) {
        m_objects.insert_or_assign(std::move(name), std::move(bytes));
    }
}

/// Drops all objects except those of the revision in force and of later ones.
void Preparation::dropUnused()
{
    std::set<std::string, std::less<>> used;
    for (const auto &[revision, prepared] : m_prepared) {
        for (const auto &it : prepared.snapshot.sections) {
            used.insert(it.second);
        }
        for (const auto &[section, pages] : prepared.snapshot.pages) {
            used.insert(pages.begin(), pages.end());
        }
    }
    std::erase_if(m_objects, [&used](const auto &it) { return !used.contains(it.first); });
    m_requestedChanges.clear();
}

} // namespace turmericplank::configuration
