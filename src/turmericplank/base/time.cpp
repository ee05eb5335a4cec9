#include "turmericplank/base/time.hpp"

#include <ctime>

namespace turmericplank::base {

namespace {

/// CLOCK_BOOTTIME keeps counting while the VM is suspended, unlike std::chrono::steady_clock. A lease that another
/// daemon took over in the meantime has therefore expired here as well.
Duration sinceBoot()
{
    timespec buf{};
    clock_gettime(CLOCK_BOOTTIME, &buf);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(buf.tv_sec) + std::chrono::nanoseconds(buf.tv_nsec));
}

} // namespace

Time now()
{
    static const auto bootAnchor = sinceBoot();
    static const auto wallAnchor = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    return wallAnchor + (sinceBoot() - bootAnchor);
}

} // namespace turmericplank::base
