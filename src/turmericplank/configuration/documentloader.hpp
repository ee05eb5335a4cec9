#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/configuration/documentobjects.hpp"
#include "turmericplank/configuration/storeaction.hpp"

namespace turmericplank::configuration {

/// @brief Why a document cannot be loaded at once.
struct LoadPending
{
    std::vector<std::string> names; ///< objects to fetch first; empty if fetching does not help
};

/// @brief Collects the objects of documents, from what the daemon holds or by fetching.
class Loader
{
public:
    explicit Loader(ObjectLookup lookup);

    /// @brief Puts a document together or says what to fetch.
    tl::expected<Image, LoadPending> load(const SectionDigests &sections);

    /// @brief Bytes of one object.
    /// @return nullptr if it is not there yet
    const std::string *find(const std::string &digest);

    /// @brief Adds fetched objects; those whose bytes do not fit their digest are dropped.
    /// @param asked names that were asked for
    /// @param objects what came
    void add(const std::vector<std::string> &asked, const ObjectCache &objects);

    /// @brief Whether an object was asked for and is not in the store.
    bool isAbsent(const std::string &digest) const;

private:
    ObjectLookup m_lookup;
    ObjectCache m_objects;
    std::set<std::string> m_absent;
};

} // namespace turmericplank::configuration
