#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief An immutable object, addressed by the digest of its content.
struct ContentObject
{
    std::string digest;
    std::string bytes;

    friend auto operator<=>(const ContentObject &, const ContentObject &) = default;
    friend bool operator==(const ContentObject &, const ContentObject &) = default;
};

/// @brief Creates an object from its content.
ContentObject contentObject(std::string bytes);

/// @brief Content of objects by digest.
using ObjectCache = std::map<std::string, std::string, std::less<>>;

/// @brief Digest of each section.
using SectionDigests = std::map<Section, std::string>;

/// @brief One section as objects: pages of several tables each, and a list of the pages' digests.
///
/// Page boundaries depend only on the tables' names (a page ends after a name whose hash meets a condition), so a change
/// of one table replaces only its page and the list.
struct SectionObjects
{
    std::string digest; ///< digest of the list of pages
    std::vector<ContentObject> objects; ///< the list first, then the pages in order

    friend bool operator==(const SectionObjects &, const SectionObjects &) = default;
};

/// @brief Splits one section of a document into objects.
SectionObjects sectionObjects(const Document &document, Section section);

/// @brief Creates the object that lists all sections' digests. Its own digest identifies the whole document.
ContentObject documentObject(const SectionDigests &sections);

/// @brief Parses the content of a documentObject().
/// @return `std::nullopt` if it is malformed
std::optional<SectionDigests> parseDocumentObject(std::string_view bytes);

/// @brief A document together with the digests of the objects that it was assembled from. Snapshots are never modified.
struct DocumentSnapshot
{
    SectionDigests sections;
    std::map<Section, std::vector<std::string>> pages; ///< digests of the pages of each section
    std::shared_ptr<const Document> document;
};

/// @brief Why a document cannot be assembled yet.
struct AssemblyFailure
{
    std::vector<std::string> missing; ///< digests of objects to fetch
    bool isMalformed = false; ///< an object is available but cannot be parsed, so fetching does not help

    friend bool operator==(const AssemblyFailure &, const AssemblyFailure &) = default;
};

/// @brief Assembles a document, parsing only the pages in which it differs from a base snapshot.
/// @param base the base snapshot, or `nullptr`
/// @param sections digest of each section of the document to assemble
/// @param cache the available objects
/// @return the snapshot, or the objects to fetch first
tl::expected<DocumentSnapshot, AssemblyFailure> assembleDocument(const DocumentSnapshot *base, const SectionDigests &sections, const ObjectCache &cache);

/// @brief Splits a whole document into objects, for tests and benchmarks.
/// @param document the document
/// @param cache receives the objects
/// @return digest of each section
SectionDigests splitDocument(const Document &document, ObjectCache &cache);

} // namespace turmericplank::configuration
