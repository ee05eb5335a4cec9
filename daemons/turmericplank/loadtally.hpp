#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "answercheck.hpp"
#include "bookingcheck.hpp"

namespace turmericplank::cli {

/// @brief Durations with exact quantiles; a histogram's bins are too coarse for the difference between two paths.
class Samples
{
public:
    /// @brief Adds a duration.
    void add(base::Duration duration);

    /// @brief Quantile in milliseconds, zero if there are no samples.
    /// @param share between 0 and 1
    double quantile(double share) const;

private:
    mutable std::vector<base::Duration> m_samples;
    mutable bool m_isSorted = true;
};

/// @brief Latency targets for a streamed answer.
struct Expectation
{
    base::Duration firstToken = std::chrono::milliseconds(1500);
    base::Duration tokenInterval = std::chrono::milliseconds(44); ///< mean over the answer
};

/// @brief Statistics of the calls on one path: through the daemons, or directly to an engine.
class LoadTally
{
public:
    /// @param expectation targets for an answer in time
    explicit LoadTally(Expectation expectation);

    /// @brief Records the end of a model call.
    /// @param check the received answer
    /// @param verdict result of the check
    /// @param started when the call was due
    void noteChat(const AnswerCheck &check, Verdict verdict, base::Time started);

    /// @brief Records the end of a service call.
    /// @param took duration of the call
    /// @param verdict result of the check
    void noteService(base::Duration took, Verdict verdict);

    /// @brief Counts an outcome.
    /// @param code "answered", the name of a verdict or the code of an error
    void noteOutcome(const std::string &code);

    /// @brief Fraction of the model calls that were answered completely and in time.
    double attainment() const;
    /// @brief Number of wrong answers.
    std::uint64_t wrongAnswers() const;
    /// @brief Number of calls that were answered completely.
    std::uint64_t answered() const;
    /// @brief Times to the first token.
    const Samples &firstTokens() const;

    /// @brief Formats all statistics as JSON.
    /// @param elapsed duration of the load
    nlohmann::json toJson(base::Duration elapsed) const;

private:
    bool isInTime(const AnswerCheck &check, base::Duration firstToken) const;
    void noteVerdict(Verdict verdict);

    Expectation m_expectation;
    std::map<std::string, std::uint64_t> m_outcomes;
    std::uint64_t m_chats = 0;
    std::uint64_t m_services = 0;
    std::uint64_t m_inTime = 0;
    std::uint64_t m_wrong = 0;
    std::uint64_t m_tokens = 0;
    Samples m_firstTokens;
    Samples m_gaps;
    Samples m_serviceTimes;
};

} // namespace turmericplank::cli
