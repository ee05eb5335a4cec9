#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::daemon {

/// @brief A notice and where its sender listens for peers, so that a daemon that knows no addresses yet can ask back.
struct NoticeMessage
{
    configuration::RevisionNotice notice;
    base::Address sender;

    friend bool operator==(const NoticeMessage &, const NoticeMessage &) = default;
};

/// @brief Writes a notice as msgpack, the version first.
std::string encodeNotice(const NoticeMessage &message);

/// @brief Reads a notice; fields that a later version adds are ignored.
/// @return nothing if it is malformed
std::optional<NoticeMessage> decodeNotice(std::string_view bytes);

/// @brief Writes names of objects as msgpack.
std::string encodeNames(const std::vector<std::string> &names);

/// @brief Reads names of objects.
/// @return nothing if they are malformed
std::optional<std::vector<std::string>> decodeNames(std::string_view bytes);

} // namespace turmericplank::daemon
