#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/number.hpp"
#include "turmericplank/requests/bookingrow.hpp"
#include "turmericplank/requests/suspects.hpp"

namespace turmericplank::requests {

/// @brief What every message between daemons carries.
struct MessageHeader
{
    base::DaemonId from;
    base::Revision revision; ///< highest configuration revision that the sender has seen

    friend bool operator==(const MessageHeader &, const MessageHeader &) = default;
};

/// @brief Another daemon asks for a trial.
struct QuestionMessage
{
    MessageHeader head;
    TrialQuestion question;

    friend bool operator==(const QuestionMessage &, const QuestionMessage &) = default;
};

/// @brief Answer to a question.
struct ReplyMessage
{
    MessageHeader head;
    TrialReply reply;

    friend bool operator==(const ReplyMessage &, const ReplyMessage &) = default;
};

/// @brief Suspects: one that is told, or all that a daemon remembers. Without any, it asks for all.
struct SuspectsMessage
{
    MessageHeader head;
    std::vector<SuspectNotification> suspects;

    friend bool operator==(const SuspectsMessage &, const SuspectsMessage &) = default;
};

/// @brief A daemon stops: it refuses new work and lets what is in progress end.
struct StopMessage
{
    MessageHeader head;
    base::Time stopsAt; ///< when it exits at the latest

    friend bool operator==(const StopMessage &, const StopMessage &) = default;
};

/// @brief A caller's request that another daemon of the cell is to carry; it is forwarded once, never twice.
struct ForwardedRequest
{
    MessageHeader head;
    std::string method;
    std::string target;
    std::string priority;
    std::string caller;
    std::string idempotencyKey;
    base::Time deadline;
    std::string body;

    friend bool operator==(const ForwardedRequest &, const ForwardedRequest &) = default;
};

std::string encode(const QuestionMessage &message);
std::string encode(const ReplyMessage &message);
std::string encode(const SuspectsMessage &message);
std::string encode(const StopMessage &message);
std::string encode(const ForwardedRequest &message);

/// @brief Reads a message; fields that a later version appends are ignored.
template<typename Message>
tl::expected<Message, DecodeFailure> decodeMessage(std::string_view bytes);

} // namespace turmericplank::requests
