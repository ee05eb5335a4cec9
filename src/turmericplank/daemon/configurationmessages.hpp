#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::daemon {

/// @brief Writes a notice as msgpack, the version first.
std::string encodeNotice(const configuration::RevisionNotice &notice);

/// @brief Reads a notice; fields that a later version adds are ignored.
/// @return nothing if it is malformed
std::optional<configuration::RevisionNotice> decodeNotice(std::string_view bytes);

/// @brief Writes names of objects as msgpack.
std::string encodeNames(const std::vector<std::string> &names);

/// @brief Reads names of objects.
/// @return nothing if they are malformed
std::optional<std::vector<std::string>> decodeNames(std::string_view bytes);

} // namespace turmericplank::daemon
