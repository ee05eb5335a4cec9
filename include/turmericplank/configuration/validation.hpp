#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/configuration/section.hpp"

namespace turmericplank::configuration {

/// @brief Why a document cannot be served.
enum class ValidationErrorKind {
    MissingSiteName, ///< the site has no name
    UnknownModel, ///< an adapter refers to a model that does not exist
    AmbiguousName, ///< an adapter has the same name as a model, so requests for it would be ambiguous
    DuplicateAddress, ///< two endpoints or service instances share an address
    DuplicateInstanceId, ///< a service instance has the id of an endpoint or of another instance
    NoInstances, ///< a service has no instances
    ModelTooLarge, ///< the model exceeds the memory of every endpoint that serves callers
    TooFewEndpoints, ///< fewer endpoints have enough memory for the model than its minimum number of replicas
    ModelDoesNotFit, ///< the minimum replicas of all models do not fit into memory together
    AdapterDoesNotFit, ///< no endpoint that holds the adapter's model has enough memory left
    TransitionDoesNotFit, ///< the models and adapters do not fit together while old and new models are resident during the transition
    NoRetainedEndpoint, ///< the endpoints that are in both documents with the same address cannot hold one replica of every model in both
};

/// @brief One reason why a document cannot be served.
struct ValidationError
{
    ValidationErrorKind kind = ValidationErrorKind::MissingSiteName;
    Section section = Section::Site;
    std::string name; ///< name of the table within the section
    std::string other; ///< the conflicting or missing entry, if there is one
    std::uint64_t required = 0; ///< required MiB or count
    std::uint64_t available = 0; ///< available MiB or count

    friend auto operator<=>(const ValidationError &, const ValidationError &) = default;
    friend bool operator==(const ValidationError &, const ValidationError &) = default;
};

/// @brief Formats an error as the single line that the operators' commands print.
std::string toString(const ValidationError &error);

/// @brief Checks whether every model and adapter of a document can be served, also during the transition to it.
///
/// Memory is checked by placing the largest models first, so a document that only an optimal packing could fit is rejected.
/// Whether all models fit together is checked only if there is no other error, and the transition only if they do.
/// @param next the document to check
/// @param previous the document that it replaces, `nullptr` if it is the first
/// @return all errors found, empty if the document can be accepted
std::vector<ValidationError> validate(const Document &next, const Document *previous);

} // namespace turmericplank::configuration
