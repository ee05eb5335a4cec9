#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/requests/dispatcher.hpp"

namespace turmericplank::requests::fake {

/// @brief Violations of the guarantees that the simulation checks.
enum class Violation { FalseNotRun, DoubleRun, WrongAnswer, TooManyEndpointsLost, Unfinished, AdmittedWhileDraining, TooManyRetries };

/// @brief Name of a violation in test output.
inline std::string_view toString(Violation violation)
{
    constexpr std::string_view Names[] = {"false not_run",           "double run",      "wrong answer", "too many endpoints lost", "unfinished",
                                          "admitted while draining", "too many retries"};
    return Names[static_cast<std::size_t>(violation)];
}

/// @brief A request from a caller and its result so far.
struct Submission
{
    CallNumber call;
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0; ///< incarnation of the daemon
    RequestKind kind = RequestKind::Model;
    unsigned content = 0;
    std::string key; ///< idempotency key, set for bookings
    base::Time deadline;
    bool isPoison = false; ///< crashes the endpoints that run it
    bool isAfterDrain = false; ///< sent after the daemon began to drain
    bool hasRun = false;
    bool isDisconnected = false; ///< the caller has disconnected
    bool isComplete = false;
    std::optional<CallError> error;
    std::uint64_t received = 0; ///< pieces
    std::uint64_t lastSource = 0; ///< connection that delivered the last piece
};

/// @brief Test oracle: records what ran and what each caller received, and collects violations.
class Oracle
{
public:
    static constexpr std::uint64_t PieceCount = 4; ///< of an answer from a model

    /// @brief Text of a piece: its content, its index and the connection that delivers it.
    static std::string pieceText(unsigned content, std::uint64_t index, std::uint64_t source)
    {
        return std::to_string(content) + '/' + std::to_string(index) + '@' + std::to_string(source);
    }

    Submission &add(Submission submission)
    {
        const auto call = submission.call;
        return submissions.emplace(call, std::move(submission)).first->second;
    }

    /// @brief Name of the first violation, empty if there is none.
    std::string firstViolation() const
    {
        return violations.empty() ? std::string() : std::string(toString(violations.front()));
    }

    /// @brief Records that an endpoint starts to run a call.
    void recordRun(CallNumber call)
    {
        auto &it = submissions.at(call);
        it.hasRun = true;
        if (it.error && it.error->outcome == base::Outcome::NotRun) {
            violations.push_back(Violation::FalseNotRun);
        }
        if (it.isAfterDrain) {
            violations.push_back(Violation::AdmittedWhileDraining);
        }
        if (it.kind == RequestKind::Booking) {
            bookingRuns[it.key].push_back(it.content);
            if (bookingRuns[it.key].size() > 1) {
                violations.push_back(Violation::DoubleRun);
            }
        }
    }

    /// @brief Records that a call crashed an endpoint.
    /// @param allowed crashes allowed for requests with this content
    void recordCrash(CallNumber call, unsigned allowed)
    {
        if (++endpointsLost[submissions.at(call).content] > allowed) {
            violations.push_back(Violation::TooManyEndpointsLost);
        }
    }

    /// @brief Records a piece that a caller received.
    void recordPiece(CallNumber call, const DeliverPiece &piece)
    {
        auto &it = submissions.at(call);
        if (it.isComplete || it.error || piece.offset != it.received) {
            violations.push_back(Violation::WrongAnswer);
        }
        ++it.received;
        const auto at = piece.text.find('@');
        if (it.kind != RequestKind::Model || at == std::string::npos) {
            checkStoredAnswer(it, piece.text);
            return;
        }
        const auto source = std::stoull(piece.text.substr(at + 1));
        if (piece.text != pieceText(it.content, piece.offset, source) || source < it.lastSource) {
            violations.push_back(Violation::WrongAnswer);
        }
        it.lastSource = source;
    }

    /// @brief Records the end of a complete answer.
    void recordCompletion(CallNumber call)
    {
        auto &it = submissions.at(call);
        const auto expected = it.kind == RequestKind::Model ? PieceCount : 1;
        if (it.isComplete || it.error || it.received != expected) {
            violations.push_back(Violation::WrongAnswer);
        }
        it.isComplete = true;
    }

    /// @brief Records an error that a caller received.
    void recordError(CallNumber call, const CallError &error)
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
    void checkStoredAnswer(const Submission &submission, const std::string &text)
    {
        const auto answer = decodeAnswer(text);
        if (!answer || answer->body != std::to_string(submission.content)) {
            violations.push_back(Violation::WrongAnswer);
        }
    }
};

} // namespace turmericplank::requests::fake
