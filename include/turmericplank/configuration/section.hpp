#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace turmericplank::configuration {

/// @brief A part of the document that one team owns and edits.
enum class Section {
    Site,
    Models,
    Adapters,
    Priorities,
    Placement,
    Endpoints,
    Services,
};

/// @brief All sections in the order of the canonical form.
inline constexpr std::array AllSections = {Section::Site,      Section::Models,    Section::Adapters, Section::Priorities,
                                           Section::Placement, Section::Endpoints, Section::Services};

/// @brief Name of a section as it stands in the document.
/// @param section the section
std::string_view toString(Section section);

/// @brief Reads a section's name.
/// @param text for example models
/// @return nothing if there is no such section
std::optional<Section> parseSectionName(std::string_view text);

} // namespace turmericplank::configuration
