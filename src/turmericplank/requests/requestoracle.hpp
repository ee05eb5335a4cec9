#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/requests/dispatcher.hpp"

namespace turmericplank::requests::fake {

/// @brief How a promise was broken.
enum class Violation { FalseNotRun, DoubleRun, WrongAnswer, TooManyEndpointsLost, Unfinished, AdmittedWhileDraining, TooManyRetries };

/// @brief The word of a violation in test output.
inline std::string_view toString(Violation violation)
{
    constexpr std::string_view Words[] = {"false not_run",           "double run",      "wrong answer", "too many endpoints lost", "unfinished",
                                          "admitted while draining", "too many retries"};
    return Words[static_cast<std::size_t>(violation)];
}

/// @brief What one caller sent and what became of it.
struct Submission
{
    CallNumber call;
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0; ///< of the daemon
    CallKind kind = CallKind::Model;
    unsigned content = 0;
    std::string key; ///< idempotency key of a booking
    base::Time deadline;
    bool isPoison = false;
    bool isAfterDrain = false;
    bool hasRun = false;
    bool isClosed = false;
    bool isComplete = false;
    std::optional<CallError> error;
    std::uint64_t received = 0;
    std::uint64_t lastSource = 0; ///< connection that the last piece came from
};

/// @brief The simple oracle: what ran, what each caller was told and what each received.
class Oracle
{
public:
    static constexpr std::uint64_t PieceCount = 4;

    /// @brief Text of a piece: content and index, and the connection that brought it.
    static std::string pieceText(unsigned content, std::uint64_t index, std::uint64_t source)
    {
        return std::to_string(content) + '/' + std::to_string(index) + '@' + std::to_string(source);
    }

    Submission &add(Submission submission)
    {
        const auto call = submission.call;
        return submissions.emplace(call, std::move(submission)).first->second;
    }

    /// @brief The first violation, empty if there is none.
    std::string firstViolation() const
    {
        return violations.empty() ? std::string() : std::string(toString(violations.front()));
    }

    /// @brief An endpoint starts to run a call.
    void ran(CallNumber call)
    {
        auto &it = submissions.at(call);
        it.hasRun = true;
        if (it.error && it.error->outcome == base::Outcome::NotRun) {
            violations.push_back(Violation::FalseNotRun);
        }
        if (it.isAfterDrain) {
            violations.push_back(Violation::AdmittedWhileDraining);
        }
        if (it.kind == CallKind::Booking) {
            bookingRuns[it.key].push_back(it.content);
            if (bookingRuns[it.key].size() > 1) {
                violations.push_back(Violation::DoubleRun);
            }
        }
    }

    /// @brief An endpoint went down because of a call.
    void crashed(CallNumber call, unsigned allowed)
    {
        if (++endpointsLost[submissions.at(call).content] > allowed) {
            violations.push_back(Violation::TooManyEndpointsLost);
        }
    }

    /// @brief A caller received a piece.
    void received(CallNumber call, const DeliverPiece &piece)
    {
        auto &it = submissions.at(call);
        if (it.isComplete || it.error || piece.offset != it.received) {
            violations.push_back(Violation::WrongAnswer);
        }
        ++it.received;
        const auto at = piece.text.find('@');
        if (it.kind != CallKind::Model || at == std::string::npos) {
            checkStored(it, piece.text);
            return;
        }
        const auto source = std::stoull(piece.text.substr(at + 1));
        if (piece.text != pieceText(it.content, piece.offset, source) || source < it.lastSource) {
            violations.push_back(Violation::WrongAnswer);
        }
        it.lastSource = source;
    }

    /// @brief A caller's answer ended whole.
    void completed(CallNumber call)
    {
        auto &it = submissions.at(call);
        const auto expected = it.kind == CallKind::Model ? PieceCount : 1;
        if (it.isComplete || it.error || it.received != expected) {
            violations.push_back(Violation::WrongAnswer);
        }
        it.isComplete = true;
    }

    /// @brief A caller was told an error.
    void failed(CallNumber call, const CallError &error)
    {
        auto &it = submissions.at(call);
        if (it.isComplete || it.error) {
            violations.push_back(Violation::WrongAnswer);
        }
        if (error.outcome == base::Outcome::NotRun && it.hasRun) {
            violations.push_back(Violation::FalseNotRun);
        }
        it.error = error;
    }

    std::map<CallNumber, Submission> submissions;
    std::map<std::string, std::vector<unsigned>> bookingRuns;
    std::map<unsigned, unsigned> endpointsLost;
    std::vector<Violation> violations;

private:
    void checkStored(const Submission &submission, const std::string &text)
    {
        const auto answer = decodeAnswer(text);
        if (!answer || answer->body != std::to_string(submission.content)) {
            violations.push_back(Violation::WrongAnswer);
        }
    }
};

} // namespace turmericplank::requests::fake
