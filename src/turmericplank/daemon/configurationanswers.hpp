#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "turmericplank/configuration/accept.hpp"
#include "turmericplank/configuration/edit.hpp"
#include "turmericplank/configuration/view.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::daemon {

/// @brief Builds a response with a JSON body.
net::HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// @brief Formats the tables that differ, each with its canonical text before and after.
nlohmann::json toJson(const configuration::Difference &difference);

/// @brief Response to PUT /admin/sections/NAME.
net::HttpResponse answerTo(const configuration::EditResult &result);

/// @brief Response to POST /admin/accept.
net::HttpResponse answerTo(const configuration::AcceptResult &result);

/// @brief Response to GET /admin/document.
net::HttpResponse documentAnswer(const tl::expected<configuration::ViewResult, configuration::StoreFailure> &result);

/// @brief Response to POST /admin/diff.
net::HttpResponse differenceAnswer(const tl::expected<configuration::ViewResult, configuration::StoreFailure> &result);

} // namespace turmericplank::daemon
