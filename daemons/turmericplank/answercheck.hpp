#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/answertext.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

/// @brief Result of comparing an answer with the expected one.
enum class Verdict {
    Whole, ///< every token once and in order, followed by the end marker
    Truncated, ///< the answer ended normally, but tokens or the end marker are missing
    Doubled, ///< a token or the end marker was received twice
    Reordered, ///< a token was received before an earlier one
    Crossed, ///< text of another answer was received
    Refused, ///< an error was received instead of the answer or within it
    Lost, ///< the connection broke, which a caller can tell from a normal end
};

/// @brief Name of a verdict in reports.
std::string_view nameOf(Verdict verdict);

/// @brief Whether a caller would take a wrong answer for a correct one.
bool isWrong(Verdict verdict);

/// @brief Error in an answer.
struct AnswerError
{
    std::string code;
    std::string outcome; ///< not_run or unknown
    std::vector<std::string> addresses; ///< daemons to use instead

    friend bool operator==(const AnswerError &, const AnswerError &) = default;
};

/// @brief Reads the error from a JSON body.
/// @param body {"error": {...}}
/// @return an error with an empty code if the body contains none
AnswerError readError(std::string_view body);

/// @brief Checks a streamed answer while it is received.
class AnswerCheck
{
public:
    /// @param expected text that the engine must generate
    /// @param tokens number of requested tokens
    AnswerCheck(standins::AnswerText expected, std::uint32_t tokens);

    /// @brief Processes the next bytes of the stream.
    /// @param piece bytes, which may end anywhere within an event
    /// @param now current time
    void addBytes(std::string_view piece, base::Time now);

    /// @brief Returns the verdict on the answer after its last byte.
    /// @param isEndSeen whether the response ended normally
    Verdict end(bool isEndSeen) const;

    /// @brief Number of tokens received in order.
    std::uint32_t tokens() const;
    /// @brief Time of the first token; the epoch if there was none.
    base::Time firstToken() const;
    /// @brief Times between consecutive tokens.
    const std::vector<base::Duration> &gaps() const;
    /// @brief Error event of the stream; its code is empty if there was none.
    const AnswerError &error() const;

private:
    void processEvent(std::string_view event, base::Time now);
    void processToken(const std::string &text, base::Time now);
    Verdict classify(const std::string &text) const;

    standins::AnswerText m_expected;
    std::uint32_t m_tokens;
    std::uint32_t m_next = 0;
    std::string m_buffer;
    bool m_isDone = false;
    Verdict m_fault = Verdict::Whole;
    AnswerError m_error;
    base::Time m_firstToken{};
    base::Time m_lastToken{};
    std::vector<base::Duration> m_gaps;
};

} // namespace turmericplank::cli
