#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/answertext.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

/// @brief What an answer turned out to be, compared with what the engine must have said.
enum class Verdict {
    Whole, ///< every token once and in order, then the end mark
    Truncated, ///< it ended as if it were whole, but tokens or the end mark are missing
    Doubled, ///< a token came twice
    Reordered, ///< a token came before an earlier one
    Crossed, ///< text of another answer
    Refused, ///< an error said so, before or amid the answer
    Lost, ///< the connection broke, which the caller can tell from an end
};

/// @brief The word of a verdict in reports.
/// @param verdict the verdict
std::string_view nameOf(Verdict verdict);

/// @brief Whether a caller was given a wrong answer as if it were right.
/// @param verdict the verdict
bool isWrong(Verdict verdict);

/// @brief Error that an answer carries.
struct AnswerError
{
    std::string code;
    std::string outcome; ///< not_run or unknown
    std::vector<std::string> addresses; ///< where to go instead

    friend bool operator==(const AnswerError &, const AnswerError &) = default;
};

/// @brief Reads the error out of a JSON body.
/// @param body {"error": {...}}
/// @return an error with an empty code if the body carries none
AnswerError readError(std::string_view body);

/// @brief Checks a streamed answer piece by piece.
class AnswerCheck
{
public:
    /// @param expected what the engine must say
    /// @param tokens number of tokens that were asked for
    AnswerCheck(standins::AnswerText expected, std::uint32_t tokens);

    /// @brief Takes the next bytes of the stream.
    /// @param piece bytes, cut anywhere
    /// @param now the present
    void take(std::string_view piece, base::Time now);

    /// @brief Ends the answer.
    /// @param isEndSeen whether the connection brought the answer's end
    Verdict end(bool isEndSeen) const;

    /// @brief Tokens that came in their order.
    std::uint32_t tokens() const;
    /// @brief When the first token came, the epoch if none did.
    base::Time firstToken() const;
    /// @brief Times between tokens.
    const std::vector<base::Duration> &gaps() const;
    /// @brief Error event of the stream, with an empty code if there was none.
    const AnswerError &error() const;

private:
    void takeEvent(std::string_view event, base::Time now);
    void takeToken(const std::string &text, base::Time now);
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
