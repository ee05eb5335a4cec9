#include "documentloader.hpp"

#include <algorithm>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::configuration {

Loader::Loader(ObjectLookup lookup)
    : m_lookup(std::move(lookup))
{
}

tl::expected<Image, LoadPending> Loader::load(const SectionDigests &sections)
{
    for (;;) {
        auto image = assembleDocument(nullptr, sections, m_objects);
        if (image) {
            return image.value();
        }
        const auto &failure = image.error();
        if (failure.isMalformed) {
            return tl::unexpected(LoadPending());
        }
        LoadPending pending;
        bool hasNew = false;
        for (const auto &it : failure.missing) {
            if (find(it) != nullptr) {
                hasNew = true;
            } else if (isAbsent(it)) {
                return tl::unexpected(LoadPending());
            } else {
                pending.names.push_back(it);
            }
        }
        if (!hasNew) {
            return tl::unexpected(std::move(pending));
        }
    }
}

const std::string *Loader::find(const std::string &digest)
{
    const auto found = m_objects.find(digest);
    if (found != m_objects.end()) {
        return &found->second;
    }
    const auto *held = m_lookup ? m_lookup(digest) : nullptr;
    return held == nullptr ? nullptr : &m_objects.emplace(digest, *held).first->second;
}

void Loader::add(const std::vector<std::string> &asked, const ObjectCache &objects)
{
    for (const auto &it : asked) {
        const auto found = objects.find(it);
        if (found != objects.end() && base::digest(found->second) == it) {
            m_objects.insert_or_assign(it, found->second);
        } else {
            m_absent.insert(it);
        }
    }
}

bool Loader::isAbsent(const std::string &digest) const
{
    return m_absent.contains(digest);
}

} // namespace turmericplank::configuration
