#pragma once

#include <memory>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::gateway {

/// @brief The part of a site's configuration that the placement policy plans by.
/// @param engine models and limits of the engines of one service
std::shared_ptr<const configuration::Document> placementDocument(const routes::EngineSpec &engine);

} // namespace turmericplank::gateway
