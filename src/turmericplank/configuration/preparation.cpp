#include "preparation.hpp"

#include <algorithm>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::configuration {

Preparation::Preparation(const ActivationOptions &options)
    : m_options(options)
{
}

void Preparation::peerHolds(const base::DaemonId &peer, base::Revision revision)
{
    m_holders[peer] = revision;
}

void Preparation::arrived(const ObjectsReceived &event, base::Time now)
{
    auto &source = event.peer ? m_peer : m_store;
    source.isUnderWay = false;
    const auto mayAskAgain = !event.objects.empty() || (!event.peer && m_isAskingForChange);
    source.retryAt = mayAskAgain ? now : now + m_options.retryInterval;
    m_hasNews = m_hasNews || !event.objects.empty();
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
    if (m_current != entry.revision) {
        m_current = entry.revision;
        m_tried.clear();
        m_hasNews = true;
    }
    if (m_hasNews && tryAssemble(entry)) {
        return true;
    }
    if (!m_missing.empty()) {
        fetch(entry, m_missing, now, actions);
    }
    return false;
}

bool Preparation::tryAssemble(const PointerEntry &entry)
{
    m_hasNews = false;
    const auto *base = m_prepared.empty() ? nullptr : &m_prepared.rbegin()->second.image;
    auto image = assembleDocument(base, entry.sections, m_objects);
    if (image) {
        m_prepared.insert_or_assign(entry.revision, Prepared{entry.digest, std::move(*image)});
        m_current = {};
        return true;
    }
    m_missing = std::move(image.error().missing);
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
    const auto document = found->second.image.document;
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
        if (it->isUnderWay) {
            deadline = std::min(deadline, it->giveUpAt);
        } else if (it->retryAt != base::Time()) {
            deadline = std::min(deadline, it->retryAt);
        }
    }
    return deadline;
}

/// One object holds all that the revision changed; it is tried first, once.
std::vector<std::string> Preparation::wantedNames(const PointerEntry &entry, std::vector<std::string> missing)
{
    m_isAskingForChange = false;
    if (m_prepared.empty()) {
        return missing;
    }
    auto name = changeName(m_prepared.rbegin()->second.digest, entry.digest);
    m_isAskingForChange = m_changesTried.insert(name).second;
    return m_isAskingForChange ? std::vector{std::move(name)} : missing;
}

std::optional<base::DaemonId> Preparation::choosePeer(base::Revision revision)
{
    for (const auto &[peer, held] : m_holders) {
        if (held >= revision && m_tried.insert(peer).second) {
            return peer;
        }
    }
    // All holders were asked: start again with the next try.
    m_tried.clear();
    return std::nullopt;
}

void Preparation::fetch(const PointerEntry &entry, const std::vector<std::string> &missing, base::Time now, std::vector<ActivationAction> &actions)
{
    const auto isFree = [now](const Fetch &it) {
        return it.isUnderWay ? now >= it.giveUpAt : now >= it.retryAt;
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
        actions.push_back(RequestObjects{std::nullopt, wantedNames(entry, missing)});
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

/// Keeps the objects of the revision in force and of those that follow.
void Preparation::dropUnused()
{
    std::set<std::string, std::less<>> used;
    for (const auto &[revision, prepared] : m_prepared) {
        for (const auto &it : prepared.image.sections) {
            used.insert(it.second);
        }
        for (const auto &[section, pages] : prepared.image.pages) {
            used.insert(pages.begin(), pages.end());
        }
    }
    std::erase_if(m_objects, [&used](const auto &it) { return !used.contains(it.first); });
    m_changesTried.clear();
}

} // namespace turmericplank::configuration
