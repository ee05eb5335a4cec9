#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/configuration/activation.hpp"

namespace turmericplank::daemon {

/// @brief A notice with the address at which its sender listens for peers, so that a daemon that knows no addresses yet can reply.
struct NoticeMessage
{
    configuration::RevisionNotice notice;
    base::Address sender;

    friend bool operator==(const NoticeMessage &, const NoticeMessage &) = default;
};

/// @brief Encodes a notice as msgpack; the first field is the message version.
std::string encodeNotice(const NoticeMessage &message);

/// @brief Decodes a notice; fields added by later versions are ignored.
/// @return nothing if the message is malformed
std::optional<NoticeMessage> decodeNotice(std::string_view bytes);

/// @brief Encodes names of objects as msgpack.
std::string encodeNames(const std::vector<std::string> &names);

/// @brief Decodes names of objects.
/// @return nothing if the message is malformed
std::optional<std::vector<std::string>> decodeNames(std::string_view bytes);

} // namespace turmericplank::daemon
