#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/documentobjects.hpp"
#include "turmericplank/configuration/storeaction.hpp"

namespace turmericplank::configuration {

/// @brief Why a document cannot be loaded yet.
struct LoadFailure
{
    std::vector<std::string> names; ///< objects to fetch first; empty if the document cannot be loaded at all
};

/// @brief Loads documents from objects that the daemon holds or that were fetched.
class DocumentLoader
{
public:
    explicit DocumentLoader(ObjectLookup lookup);

    /// @brief Assembles a document or returns the objects to fetch first.
    /// @param sections digest of each section
    tl::expected<DocumentSnapshot, LoadFailure> load(const SectionDigests &sections);

    /// @brief Returns the content of one object.
    /// @return `nullptr` if it is not available yet
    const std::string *find(const std::string &digest);

    /// @brief Adds fetched objects. Objects that are missing or do not match their digest count as absent.
    /// @param requested names that were requested
    /// @param objects the objects received
    void add(const std::vector<std::string> &requested, const ObjectCache &objects);

    /// @brief Whether an object was requested and the store does not have it.
    bool isAbsent(const std::string &digest) const;

private:
    ObjectLookup m_lookup;
    ObjectCache m_objects;
    std::set<std::string> m_absent;
};

} // namespace turmericplank::configuration
