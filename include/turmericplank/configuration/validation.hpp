#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief Why a document cannot be served as it stands.
enum class Reason {
    MissingSite, ///< the site has no name
    UnknownModel, ///< an adapter names a model that is not there
    AmbiguousName, ///< an adapter has the name of a model, so that callers cannot tell them apart
    DuplicateAddress, ///< two endpoints or instances share an address
    DuplicateEndpoint, ///< two instances share an id
    NoInstance, ///< a service has no instance
    NoServingEndpoint, ///< no endpoint with a role that serves has the memory for the model
    TooFewEndpoints, ///< fewer endpoints fit the model than its least number of replicas
    NoPlaceForModel, ///< the least numbers of replicas of all models do not fit together
    NoPlaceForAdapter, ///< no replica of its model has memory left for the adapter
    NoRoomForChange, ///< models of before and after the change do not fit together while it goes on
    NoEndpointKept, ///< a model that stays would have no endpoint that stays
};

/// @brief One reason against a document, with the numbers that show it.
struct ValidationError
{
    Reason reason = Reason::MissingSite;
    Section section = Section::Site;
    std::string name; ///< table within the section
    std::string other; ///< the other party, where there is one
    std::uint64_t required = 0; ///< MiB or count that is needed
    std::uint64_t available = 0; ///< MiB or count that is there

    friend auto operator<=>(const ValidationError &, const ValidationError &) = default;
    friend bool operator==(const ValidationError &, const ValidationError &) = default;
};

/// @brief One line about a reason, as the operators' commands print it.
/// @param refusal the reason
std::string toString(const ValidationError &refusal);

/// @brief Checks whether every model and adapter of a document can be served, also while the change to it goes on.
///
/// Memory is checked by placing the largest first; a document that only a cleverer arrangement could fit is refused.
/// @param next the document to accept
/// @param previous the document before it, or nullptr if it is the first
/// @return every reason against it, empty if it can be accepted
std::vector<ValidationError> validate(const Document &next, const Document *previous);

} // namespace turmericplank::configuration
