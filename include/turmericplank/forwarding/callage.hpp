#pragma once

#include <map>
#include <optional>
#include <string>

#include "turmericplank/base/time.hpp"

namespace turmericplank::forwarding {

/// @brief Options of an estimator of call ages.
struct CallAgeOptions
{
    base::Duration memoryTime = std::chrono::seconds(10); ///< for which the longest time that callers wait is remembered, at least
};

/// @brief Estimates how long callers have been waiting since their first attempt.
///
/// Load that it answers: while an engine has too little room, callers that were refused come back seconds later and compete with new ones,
/// although their answers are late in any case. A caller's attempts do not name each other, but each states how long the caller still
/// waits; the longest time that was stated lately on a route is that of first attempts.
class CallAgeEstimator
{
public:
    explicit CallAgeEstimator(CallAgeOptions options = {});

    /// @brief Notes a call and estimates its age.
    /// @param route name of its route
    /// @param callerTimeout how long the caller still waits; nothing if it does not say
    /// @param now current time
    /// @return time since the caller's first attempt; zero if it is not known
    base::Duration note(const std::string &route, std::optional<base::Duration> callerTimeout, base::Time now);

    /// @brief Number of routes that are remembered.
    std::size_t routes() const;

private:
    struct Longest
    {
        base::Duration current{0}; ///< since the last change of periods
        base::Duration previous{0}; ///< in the period before
    };

    void beginPeriod(base::Time now);

    CallAgeOptions m_options;
    base::Time m_periodEnd;
    std::map<std::string, Longest> m_longest; ///< by route
};

/// @brief Whether a call will be answered late, so that it yields to calls that can still be answered in time.
///
/// Load that it answers: an engine gets more calls than it can begin. If all of them wait in one line, it soon is longer than their objective and each
/// is late; if those that would be late wait behind the others, as many are in time as the engine can begin.
/// @param age time since the caller's first attempt
/// @param expected time until the answer, or the first event of a stream
/// @param objective time within which it should come, from the first attempt; zero for none
bool isExpectedLate(base::Duration age, base::Duration expected, base::Duration objective);

} // namespace turmericplank::forwarding
