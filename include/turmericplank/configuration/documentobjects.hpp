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

/// @brief Bytes that are named by their own digest, so that they never change.
struct ContentObject
{
    std::string digest;
    std::string bytes;

    friend auto operator<=>(const ContentObject &, const ContentObject &) = default;
    friend bool operator==(const ContentObject &, const ContentObject &) = default;
};

/// @brief Makes an object out of its bytes.
/// @param bytes the content
ContentObject contentObject(std::string bytes);

/// @brief Objects by digest, as a daemon holds them.
using ObjectCache = std::map<std::string, std::string, std::less<>>;

/// @brief Digest of each section.
using SectionDigests = std::map<Section, std::string>;

/// @brief One section as objects: pages of some tables each, and the list of the pages.
///
/// A page ends behind a name whose hash says so; a change of one table therefore changes one page and the list.
struct SectionObjects
{
    std::string digest; ///< digest of the list
    std::vector<ContentObject> objects; ///< the list first, then the pages in order

    friend bool operator==(const SectionObjects &, const SectionObjects &) = default;
};

/// @brief Cuts one section into objects.
/// @param document where the section is taken from
/// @param section which section
SectionObjects sectionObjects(const Document &document, Section section);

/// @brief The object that lists all sections' digests; its own digest names the whole document.
/// @param sections digest of each section
ContentObject documentObject(const SectionDigests &sections);

/// @brief Reads the list of a documentObject().
/// @param bytes content of the object
/// @return nothing if it is malformed
std::optional<SectionDigests> parseDocumentObject(std::string_view bytes);

/// @brief A document together with the objects it was put together from; replaced, never changed.
struct Image
{
    SectionDigests sections;
    std::map<Section, std::vector<std::string>> pages; ///< digests of each section's pages
    std::shared_ptr<const Document> document;
};

/// @brief Why an image cannot be put together yet.
struct Incomplete
{
    std::vector<std::string> missing; ///< digests of objects to fetch
    bool isMalformed = false; ///< an object is there and cannot be read; fetching does not help

    friend bool operator==(const Incomplete &, const Incomplete &) = default;
};

/// @brief Puts a document together, reading only the pages in which it differs from another.
/// @param base an image that is there already, or nullptr
/// @param sections digest of each section of the wanted document
/// @param cache objects that are there
/// @return the image, or the objects to fetch first
tl::expected<Image, Incomplete> assembleDocument(const Image *base, const SectionDigests &sections, const ObjectCache &cache);

/// @brief Cuts a whole document into objects, for a first draft and for tests.
/// @param document the document
/// @param cache receives the objects
/// @return digest of each section
SectionDigests splitDocument(const Document &document, ObjectCache &cache);

} // namespace turmericplank::configuration
