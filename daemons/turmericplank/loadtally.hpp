#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "answercheck.hpp"
#include "bookingcheck.hpp"

namespace turmericplank::cli {

/// @brief Lengths of time with their exact quantiles; the difference of two paths is too small for a histogram's bins.
class Samples
{
public:
    /// @brief Adds a length of time.
    /// @param duration the length
    void add(base::Duration duration);

    /// @brief Quantile in milliseconds, zero if there are no samples.
    /// @param share between 0 and 1
    double quantile(double share) const;

private:
    mutable std::vector<base::Duration> m_samples;
    mutable bool m_isSorted = true;
};

/// @brief What callers expect of a streamed answer.
struct Expectation
{
    base::Duration firstToken = std::chrono::milliseconds(1500);
    base::Duration tokenInterval = std::chrono::milliseconds(44);
};

/// @brief Figures of the calls that went one way, through the daemons or straight to an engine.
class LoadTally
{
public:
    /// @param expectation what counts as in time
    explicit LoadTally(Expectation expectation);

    /// @brief Notes the end of a model call.
    /// @param check what came
    /// @param verdict how it ended
    /// @param started when the call was due
    void noteChat(const AnswerCheck &check, Verdict verdict, base::Time started);

    /// @brief Notes the end of a call of a service.
    /// @param took how long it took
    /// @param verdict how it ended
    void noteService(base::Duration took, Verdict verdict);

    /// @brief Counts an outcome.
    /// @param code answered, a verdict's word or an error's code
    void noteOutcome(const std::string &code);

    /// @brief Share of the model calls that were answered whole and in time.
    double attainment() const;
    /// @brief Answers that were wrong.
    std::uint64_t wrongAnswers() const;
    /// @brief Calls that were answered whole.
    std::uint64_t answered() const;
    /// @brief Times to the first token.
    const Samples &firstTokens() const;

    /// @brief All figures.
    /// @param elapsed length of the load
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
