#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace turmericplank::configuration {

/// @brief A part of the document that one team owns and edits as a whole.
enum class Section {
    Site,
    Models,
    Adapters,
    Priorities,
    Placement,
    Endpoints,
    Services,
};

/// @brief All sections in the order in which the canonical text lists them.
inline constexpr std::array AllSections = {Section::Site,      Section::Models,    Section::Adapters, Section::Priorities,
                                           Section::Placement, Section::Endpoints, Section::Services};

/// @brief Returns a section's name as written in the document.
/// @param section the section
std::string_view toString(Section section);

/// @brief Parses a section's name.
/// @param text the name, for example `models`
/// @return `std::nullopt` if there is no such section
std::optional<Section> parseSectionName(std::string_view text);

} // namespace turmericplank::configuration
