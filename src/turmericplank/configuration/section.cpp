#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

std::string_view toString(Section section)
{
    switch (section) {
    case Section::Site:
        return "site";
    case Section::Models:
        return "models";
    case Section::Adapters:
        return "adapters";
    case Section::Priorities:
        return "priorities";
    case Section::Placement:
        return "placement";
    case Section::Endpoints:
        return "endpoints";
    case Section::Services:
        return "services";
    }
    return "site";
}

std::optional<Section> parseSectionName(std::string_view text)
{
    for (const auto it : AllSections) {
        if (text == toString(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace turmericplank::configuration
