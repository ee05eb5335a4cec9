#include "documentloader.hpp"

#include <algorithm>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::configuration {

DocumentLoader::DocumentLoader(ObjectLookup lookup)
    : m_lookup(std::move(lookup))
{
}

tl::expected<DocumentSnapshot, LoadFailure> DocumentLoader::load(const SectionDigests &sections)
{
    for (;;) {
        auto snapshot = assembleDocument(nullptr, sections, m_objects);
        if (snapshot) {
            return snapshot.value();
        }
        const auto &assemblyFailure = snapshot.error();
        if (assemblyFailure.isMalformed) {
            return tl::unexpected(LoadFailure());
        }
        LoadFailure loadFailure;
        bool hasNewObjects = false;
        for (const auto &it : assemblyFailure.missing) {
            if (find(it) != nullptr) {
                hasNewObjects = true;
            } else if (isAbsent(it)) {
                return tl::unexpected(LoadFailure());
            } else {
                loadFailure.names.push_back(it);
            }
        }
        if (!hasNewObjects) {
            return tl::unexpected(std::move(loadFailure));
        }
    }
}

const std::string *DocumentLoader::find(const std::string &digest)
{
    const auto found = m_objects.find(digest);
    if (found != m_objects.end()) {
        return &found->second;
    }
    const auto *known = m_lookup ? m_lookup(digest) : nullptr;
    return known == nullptr ? nullptr : &m_objects.emplace(digest, *known).first->second;
}

void DocumentLoader::add(const std::vector<std::string> &requested, const ObjectCache &objects)
{
    for (const auto &it : requested) {
        const auto found = objects.find(it);
        if (found != objects.end() && base::digest(found->second) == it) {
            m_objects.insert_or_assign(it, found->second);
        } else {
            m_absent.insert(it);
        }
    }
}

bool DocumentLoader::isAbsent(const std::string &digest) const
{
    return m_absent.contains(digest);
}

} // namespace turmericplank::configuration
