#pragma once

#include <compare>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"

namespace turmericplank::daemon {

/// @brief Another daemon of the cell.
struct PeerTarget
{
    base::DaemonId id;
    base::Address address; ///< address at which it listens for other daemons

    friend auto operator<=>(const PeerTarget &, const PeerTarget &) = default;
    friend bool operator==(const PeerTarget &, const PeerTarget &) = default;
};

} // namespace turmericplank::daemon
