#pragma once

#include <cstdint>

#include "turmericplank/base/time.hpp"

namespace turmericplank::bench {

/// @brief A duration of a fractional number of milliseconds, rounded towards zero to microseconds.
inline base::Duration milliseconds(double value)
{
    return base::Duration(static_cast<std::int64_t>(value * 1000));
}

} // namespace turmericplank::bench
