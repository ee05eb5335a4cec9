#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/time.hpp"
#include "turmericplank/forwarding/streamorigins.hpp"
#include "turmericplank/gateway/peerstatus.hpp"

namespace turmericplank::gateway {

/// @brief What a daemon tells its peers about streams while services are mixed.
struct StreamOriginsMessage
{
    std::vector<forwarding::StreamOrigin> origins;
    std::vector<forwarding::MixedService> mixed;

    friend bool operator==(const StreamOriginsMessage &, const StreamOriginsMessage &) = default;
};

/// @brief Encodes a message as msgpack, with origins grouped by version and times as whole milliseconds from now.
std::string encode(const StreamOriginsMessage &message, base::Time now);

/// @brief Decodes the output of encode(); the times count from the receiver's now, since clocks of daemons differ.
tl::expected<StreamOriginsMessage, MessageDecodeFailure> decodeStreamOrigins(std::string_view bytes, base::Time now);

/// @brief Encodes versions as JSON: for each service an object with the milliseconds that are left for each version.
std::string encode(const forwarding::VersionHistory &history, base::Time now);

/// @brief Decodes the output of encode(); the times count from the receiver's now, since clocks of daemons differ.
/// @return nothing if it is malformed
std::optional<forwarding::VersionHistory> decodeVersionHistory(std::string_view text, base::Time now);

} // namespace turmericplank::gateway
