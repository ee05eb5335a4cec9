#include "turmericplank/base/time.hpp"

namespace turmericplank::base {

Time now()
{
    using std::chrono::duration_cast;
    using std::chrono::steady_clock;
    using std::chrono::system_clock;
    static const auto steadyAnchor = steady_clock::now();
    static const auto wallAnchor = std::chrono::time_point_cast<Duration>(system_clock::now());
    return wallAnchor + duration_cast<Duration>(steady_clock::now() - steadyAnchor);
}

} // namespace turmericplank::base
