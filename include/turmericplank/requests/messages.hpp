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

/// @brief Header of every message between daemons.
struct MessageHeader
{
    base::DaemonId from;
    base::Revision revision; ///< highest configuration revision known to the sender

    friend bool operator==(const MessageHeader &, const MessageHeader &) = default;
};

/// @brief Asks another daemon whether a trial may run.
struct TrialQuestionMessage
{
    MessageHeader header;
    TrialQuestion question;

    friend bool operator==(const TrialQuestionMessage &, const TrialQuestionMessage &) = default;
};

/// @brief Reply to a TrialQuestionMessage.
struct TrialReplyMessage
{
    MessageHeader header;
    TrialReply reply;

    friend bool operator==(const TrialReplyMessage &, const TrialReplyMessage &) = default;
};

/// @brief Notifies a daemon of one suspect, or of all known ones. An empty message requests all suspects.
struct SuspectsMessage
{
    MessageHeader header;
    std::vector<SuspectNotification> suspects;

    friend bool operator==(const SuspectsMessage &, const SuspectsMessage &) = default;
};

/// @brief Announces that a daemon stops: it rejects new requests and finishes those in progress.
struct StopMessage
{
    MessageHeader header;
    base::Time stopsAt; ///< latest time of its exit

    friend bool operator==(const StopMessage &, const StopMessage &) = default;
};

/// @brief A caller's request that another daemon of the cell should handle; a request is forwarded at most once.
struct ForwardedRequest
{
    MessageHeader header;
    std::string method;
    std::string target;
    std::string priority;
    std::string caller;
    std::string idempotencyKey;
    base::Time deadline;
    std::string body;

    friend bool operator==(const ForwardedRequest &, const ForwardedRequest &) = default;
};

/// @brief Encodes a message as msgpack.
std::string encode(const TrialQuestionMessage &message);
std::string encode(const TrialReplyMessage &message);
std::string encode(const SuspectsMessage &message);
std::string encode(const StopMessage &message);
std::string encode(const ForwardedRequest &message);

/// @brief Decodes a message; fields that a later version appends are ignored.
template<typename Message>
tl::expected<Message, DecodeFailure> decodeMessage(std::string_view bytes);

} // namespace turmericplank::requests
