#pragma once

#include <memory>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::gateway {

/// @brief Converts an engine specification to the configuration document that the placement policy uses.
/// @param engine models and limits of the engines of one service
std::shared_ptr<const configuration::Document> placementDocument(const routes::EngineSpec &engine);

} // namespace turmericplank::gateway
