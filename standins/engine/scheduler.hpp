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

/// @brief Size and speed of the batch.
struct SchedulerOptions
{
    std::uint32_t concurrency = 16; ///< streams that run at once
    std::uint32_t waitingLimit = 64; ///< streams that wait before more are refused
    base::Duration tokenInterval = std::chrono::milliseconds(20);
};

/// @brief A stream to generate.
struct Job
{
    std::string id;
    base::Priority priority = base::Priority::Normal;
    base::Duration firstToken{}; ///< time from its start to its first token
    std::uint32_t tokens = 0; ///< tokens to generate, at least one
};

/// @brief One token that is due.
struct GeneratedToken
{
    std::string id;
    bool isFirst = false;
    bool isLast = false;

    friend bool operator==(const GeneratedToken &, const GeneratedToken &) = default;
};

/// @brief Continuous batching: a running set of bounded size and a waiting set in the order of priority, then arrival.
class Scheduler
{
public:
    /// @param options size and speed
    explicit Scheduler(SchedulerOptions options);

    /// @brief Takes a stream into the running or the waiting set.
    /// @param job the stream; its id is none of a stream in either set
    /// @param now the present
    /// @return false if both sets are full
    bool admit(Job job, base::Time now);

    /// @brief Drops a stream from both sets.
    /// @param id the stream
    /// @param now the present, when a waiting one may start in its place
    void cancel(const std::string &id, base::Time now);

    /// @brief Generates what is due.
    /// @param now the present
    /// @return tokens in the order in which they were due
    std::vector<GeneratedToken> advance(base::Time now);

    /// @brief When the next token is due, nothing if no stream runs.
    std::optional<base::Time> nextDue() const;

    /// @brief Streams in the running set.
    std::size_t running() const;
    /// @brief Streams in the waiting set.
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
