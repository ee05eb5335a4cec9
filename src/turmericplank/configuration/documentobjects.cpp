#include "turmericplank/configuration/documentobjects.hpp"

#include <algorithm>
#include <set>
#include <sstream>

#include "turmericplank/base/digest.hpp"
#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/configuration/reader.hpp"

namespace turmericplank::configuration {

namespace {

/// Mean number of tables per page: a trade-off between the size of the list and the size of the page that a change replaces.
constexpr std::uint64_t TablesPerPage = 32;
constexpr std::size_t DigestLength = 64; ///< hexadecimal digits of a SHA-256 digest

bool endsPage(const std::string &name)
{
    return base::fingerprint(name) % TablesPerPage == 0;
}

std::vector<std::string> linesOf(std::string_view text)
{
    std::vector<std::string> lines;
    std::istringstream in{std::string(text)};
    for (std::string it; std::getline(in, it);) {
        lines.push_back(it);
    }
    return lines;
}

template<typename Map>
void addAll(Map &to, const Map &from)
{
    for (const auto &it : from) {
        to.insert_or_assign(it.first, it.second);
    }
}

template<typename Map>
void removeAll(Map &from, const Map &what)
{
    for (const auto &it : what) {
        from.erase(it.first);
    }
}

void addPage(Document &document, Section section, const Document &page)
{
    switch (section) {
    case Section::Site:
    case Section::Placement:
        return replaceSection(document, section, page);
    case Section::Models:
        return addAll(document.models, page.models);
    case Section::Adapters:
        return addAll(document.adapters, page.adapters);
    case Section::Priorities:
        return addAll(document.callers, page.callers);
    case Section::Endpoints:
        return addAll(document.endpoints, page.endpoints);
    case Section::Services:
        return addAll(document.services, page.services);
    }
}

void removePage(Document &document, Section section, const Document &page)
{
    removeAll(document.models, page.models);
    removeAll(document.adapters, page.adapters);
    removeAll(document.callers, page.callers);
    removeAll(document.endpoints, page.endpoints);
    removeAll(document.services, page.services);
    if (section == Section::Placement) {
        document.placement = PlacementPolicy();
    }
}

/// Pages that are in the first list only.
std::vector<std::string> pagesOnlyIn(const std::vector<std::string> &pages, const std::vector<std::string> &others)
{
    const std::set<std::string> known(others.begin(), others.end());
    std::vector<std::string> result;
    std::copy_if(pages.begin(), pages.end(), std::back_inserter(result), [&](const auto &it) { return !known.contains(it); });
    return result;
}

class DocumentAssembler
{
public:
    DocumentAssembler(const DocumentSnapshot *base, const ObjectCache &cache)
        : m_base(base)
        , m_cache(cache)
    {
    }

    void readSection(Section section, const std::string &digest)
    {
        const auto isUnchanged = m_base != nullptr && m_base->sections.contains(section) && m_base->sections.at(section) == digest;
        if (isUnchanged) {
            m_pages[section] = m_base->pages.at(section);
            return;
        }
        const auto list = m_cache.find(digest);
        if (list == m_cache.end()) {
            m_failure.missing.push_back(digest);
            return;
        }
        m_pages[section] = linesOf(list->second);
        comparePages(section);
    }

    tl::expected<DocumentSnapshot, AssemblyFailure> finish(const SectionDigests &sections)
    {
        if (m_failure.isMalformed || !m_failure.missing.empty()) {
            return tl::unexpected(m_failure);
        }
        auto document = m_base != nullptr ? std::make_shared<Document>(*m_base->document) : std::make_shared<Document>();
        for (const auto &[section, page] : m_removed) {
            removePage(*document, section, page);
        }
        for (const auto &[section, page] : m_added) {
            addPage(*document, section, page);
        }
        return DocumentSnapshot{sections, std::move(m_pages), std::move(document)};
    }

private:
    void comparePages(Section section)
    {
        static const std::vector<std::string> none;
        const auto hasBase = m_base != nullptr && m_base->pages.contains(section);
        const auto &old = hasBase ? m_base->pages.at(section) : none;
        for (const auto &it : pagesOnlyIn(old, m_pages[section])) {
            readPage(section, it, m_removed);
        }
        for (const auto &it : pagesOnlyIn(m_pages[section], old)) {
            readPage(section, it, m_added);
        }
    }

    void readPage(Section section, const std::string &digest, std::vector<std::pair<Section, Document>> &pages)
    {
        const auto found = m_cache.find(digest);
        if (found == m_cache.end()) {
            m_failure.missing.push_back(digest);
            return;
        }
        auto page = parseSection(section, found->second);
        if (!page) {
            m_failure.isMalformed = true;
            return;
        }
        pages.emplace_back(section, std::move(*page));
    }

    const DocumentSnapshot *m_base;
    const ObjectCache &m_cache;
    AssemblyFailure m_failure;
    std::map<Section, std::vector<std::string>> m_pages;
    std::vector<std::pair<Section, Document>> m_removed;
    std::vector<std::pair<Section, Document>> m_added;
};

} // namespace

ContentObject contentObject(std::string bytes)
{
    auto digest = base::digest(bytes);
    return {std::move(digest), std::move(bytes)};
}

SectionObjects sectionObjects(const Document &document, Section section)
{
    SectionObjects result;
    std::string list;
    std::string page;
    const auto closePage = [&] {
        result.objects.push_back(contentObject(std::move(page)));
        list += result.objects.back().digest + "\n";
        page.clear();
    };
    for (const auto &it : canonicalEntries(document, section)) {
        page += it.text;
        if (endsPage(it.name)) {
            closePage();
        }
    }
    if (!page.empty()) {
        closePage();
    }
    result.objects.insert(result.objects.begin(), contentObject(std::move(list)));
    result.digest = result.objects.front().digest;
    return result;
}

ContentObject documentObject(const SectionDigests &sections)
{
    std::string list;
    for (const auto &[section, digest] : sections) {
        list += std::string(toString(section)) + " " + digest + "\n";
    }
    return contentObject(std::move(list));
}

std::optional<SectionDigests> parseDocumentObject(std::string_view bytes)
{
    SectionDigests sections;
    for (const auto &it : linesOf(bytes)) {
        const auto blank = it.find(' ');
        const auto section = parseSectionName(std::string_view(it).substr(0, blank));
        if (blank == std::string::npos || !section || it.size() - blank - 1 != DigestLength) {
            return std::nullopt;
        }
        sections.emplace(*section, it.substr(blank + 1));
    }
    return sections;
}

tl::expected<DocumentSnapshot, AssemblyFailure> assembleDocument(const DocumentSnapshot *base, const SectionDigests &sections, const ObjectCache &cache)
{
    DocumentAssembler assembler(base, cache);
    for (const auto &[section, digest] : sections) {
        assembler.readSection(section, digest);
    }
    return assembler.finish(sections);
}

SectionDigests splitDocument(const Document &document, ObjectCache &cache)
{
    SectionDigests sections;
    for (const auto section : AllSections) {
        auto objects = sectionObjects(document, section);
        sections.emplace(section, objects.digest);
        for (auto &it : objects.objects) {
            cache.insert_or_assign(std::move(it.digest), std::move(it.bytes));
        }
    }
    return sections;
}

} // namespace turmericplank::configuration
