#include "turmericplank/base/time.hpp"

#include <ctime>

namespace turmericplank::base {

namespace {

/// Unlike the steady clock of the standard library this one goes on while the VM is suspended, so that a lease which
/// others have taken over meanwhile has lapsed here too.
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
