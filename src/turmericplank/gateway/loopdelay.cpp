#include "turmericplank/gateway/loopdelay.hpp"

#include <algorithm>
#include <memory>

#include "turmericplank/base/time.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr auto Interval = std::chrono::milliseconds(100);
constexpr auto LoggedDelay = std::chrono::milliseconds(250); ///< half of the time within which the end of a caller must reach its endpoint

} // namespace

void observeLoopDelay(boost::asio::io_context &context, telemetry::Metrics &metrics)
{
    daemon::callEvery(context, Interval, [&metrics, expectedAt = std::make_shared<base::Time>(base::now() + Interval)] {
        const auto now = base::now();
        const auto delay = std::max<base::Duration>(now - *expectedAt, base::Duration(0));
        *expectedAt = now + Interval;
        metrics.observe("event_loop_delay_seconds", std::chrono::duration<double>(delay).count());
        if (delay >= LoggedDelay) {
            telemetry::log(LogLevel::Warning, "daemon", "events were handled late", {{"delay_ms", base::inMilliseconds(delay)}});
        }
    });
}

} // namespace turmericplank::gateway
