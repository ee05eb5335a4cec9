#pragma once

#include <boost/asio/io_context.hpp>

#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

/// @brief Measures how late timers of a context run, which is how long an event may wait before it is handled.
///
/// The delay is recorded as event_loop_delay_seconds, and logged if it is so long that endpoints work on for callers that have left.
/// @param context runs the measurement until it stops
/// @param metrics must outlive the context's handlers
void observeLoopDelay(boost::asio::io_context &context, telemetry::Metrics &metrics);

} // namespace turmericplank::gateway
