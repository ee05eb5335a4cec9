#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/time.hpp"

namespace turmericplank::daemon {

/// @brief Calls a hook periodically until the context stops.
/// @param context runs the hook
/// @param interval time between two calls; the first call comes after one interval
/// @param hook function to call
void callEvery(boost::asio::io_context &context, base::Duration interval, std::function<void()> hook);

/// @brief Calls a hook once.
/// @param context runs the hook
/// @param deadline time of the call
/// @param hook function to call
void callAt(boost::asio::io_context &context, base::Time deadline, std::function<void()> hook);

} // namespace turmericplank::daemon
