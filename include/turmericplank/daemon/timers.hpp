#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/time.hpp"

namespace turmericplank::daemon {

/// @brief Calls a hook again and again until the context stops.
/// @param context runs the hook
/// @param interval time between two calls
/// @param hook what to call
void callEvery(boost::asio::io_context &context, base::Duration interval, std::function<void()> hook);

/// @brief Calls a hook once.
/// @param context runs the hook
/// @param deadline when to call it
/// @param hook what to call
void callAt(boost::asio::io_context &context, base::Time deadline, std::function<void()> hook);

} // namespace turmericplank::daemon
