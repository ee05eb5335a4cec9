#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::standins::engine {

/// @brief Limits and speed of the scheduler.
struct SchedulerOptions
{
    std::uint32_t concurrency = 16; ///< maximum number of running streams
    std::uint32_t waitingLimit = 64; ///< maximum number of waiting streams; further ones are rejected
    base::Duration tokenInterval = std::chrono::milliseconds(20);
};

/// @brief A stream to schedule.
struct Job
{
    std::string id;
    base::Priority priority = base::Priority::Normal;
    base::Duration firstToken{}; ///< time from its start to its first token
    std::uint32_t tokens = 0; ///< tokens to generate, at least one
};

/// @brief A generated token.
struct GeneratedToken
{
    std::string id;
    bool isFirst = false;
    bool isLast = false;

    friend bool operator==(const GeneratedToken &, const GeneratedToken &) = default;
};

/// @brief Simulates continuous batching: a running set of limited size and a waiting set ordered by priority, then arrival.
class Scheduler
{
public:
    explicit Scheduler(SchedulerOptions options);

    /// @brief Adds a stream to the running or the waiting set.
    /// @param job the stream; its id must not be in either set
    /// @return false if both sets are full
    bool admit(Job job, base::Time now);

    /// @brief Removes a stream from both sets.
    /// @param now current time, at which a waiting stream may start in its place
    void cancel(const std::string &id, base::Time now);

    /// @brief Generates all tokens due by now.
    /// @return tokens ordered by the time at which they were due
    std::vector<GeneratedToken> advance(base::Time now);

    /// @brief Time at which the next token is due; empty if no stream is running.
    std::optional<base::Time> nextDue() const;

    /// @brief Number of running streams.
    std::size_t running() const;
    /// @brief Number of waiting streams.
    std::size_t waiting() const;

private:
    struct Running
    {
        base::Time due;
        std::uint32_t generated = 0;
        std::uint32_t tokens = 0;
    };

    void start(const Job &job, base::Time now);
    void startWaiting(base::Time now);

    SchedulerOptions m_options;
    std::map<std::string, Running> m_running;
    std::set<std::pair<base::Time, std::string>> m_due;
    std::map<base::Priority, std::list<Job>> m_waiting;
    std::size_t m_waitingCount = 0;
};

} // namespace turmericplank::standins::engine
