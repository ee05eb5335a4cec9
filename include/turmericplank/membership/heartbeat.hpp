#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::membership {

/// @brief Short name of a daemon, endpoint or limit in heartbeats: 32 bits of the hash of its identifier.
using ShortName = std::uint32_t;

/// @brief Computes the short name of an identifier.
ShortName shortName(std::string_view text);

/// @brief Time since the sender last heard another daemon.
struct HeardAge
{
    ShortName daemon = 0;
    std::uint32_t milliseconds = 0;

    friend auto operator<=>(const HeardAge &, const HeardAge &) = default;
    friend bool operator==(const HeardAge &, const HeardAge &) = default;
};

/// @brief A daemon or endpoint that is leaving, as reported to the sender by itself or by the platform's list.
struct LeavingMark
{
    ShortName subject = 0; ///< daemon or endpoint
    base::Incarnation incarnation; ///< the mark does not apply to later incarnations

    friend auto operator<=>(const LeavingMark &, const LeavingMark &) = default;
    friend bool operator==(const LeavingMark &, const LeavingMark &) = default;
};

/// @brief The sender's own opinion on an endpoint.
struct EndpointOpinion
{
    ShortName endpoint = 0;
    bool isSuspect = false;

    friend auto operator<=>(const EndpointOpinion &, const EndpointOpinion &) = default;
    friend bool operator==(const EndpointOpinion &, const EndpointOpinion &) = default;
};

/// @brief The sender's work on one endpoint; endpoints without work are omitted.
struct EndpointWorkDigest
{
    ShortName endpoint = 0;
    std::uint32_t streams = 0;
    std::uint32_t urgentWaiting = 0; ///< urgent requests without a first token
    std::uint32_t otherWaiting = 0; ///< other requests without a first token
    std::uint32_t urgentTokens = 0; ///< prompt tokens of urgent requests without a first token
    std::uint32_t otherTokens = 0; ///< prompt tokens of other requests without a first token

    friend auto operator<=>(const EndpointWorkDigest &, const EndpointWorkDigest &) = default;
    friend bool operator==(const EndpointWorkDigest &, const EndpointWorkDigest &) = default;
};

/// @brief The sender's claim on a limit shared by all daemons.
struct ShareClaim
{
    ShortName limit = 0;
    double reserved = 0; ///< amount that it uses or is about to use
    double demand = 0; ///< amount that it could use

    friend auto operator<=>(const ShareClaim &, const ShareClaim &) = default;
    friend bool operator==(const ShareClaim &, const ShareClaim &) = default;
};

/// @brief Summary of a load report polled by the sender.
struct LoadDigest
{
    ShortName endpoint = 0;
    std::uint32_t ageMilliseconds = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t contentHash = 0; ///< hash of the rarely changing fields

    friend auto operator<=>(const LoadDigest &, const LoadDigest &) = default;
    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

/// @brief Message that a daemon sends periodically to each other daemon of its cell; always complete, so that losing one does no harm.
struct Heartbeat
{
    base::DaemonId from;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    base::Revision revision; ///< highest configuration revision known to the sender
    std::uint32_t load = 0; ///< number of caller streams on the sender
    std::vector<HeardAge> heard;
    std::vector<LeavingMark> leaving;
    std::vector<EndpointOpinion> suspects; ///< endpoints that the sender suspects; it does not suspect any others
    std::vector<EndpointWorkDigest> work;
    std::vector<ShareClaim> shares;
    std::uint64_t receiverSequence = 0; ///< highest sequence that the sender has received from the receiver
    base::Time receiverUseUntil; ///< latest time up to which the sender has directed a caller to the receiver
    std::vector<LoadDigest> reports; ///< reports of the endpoints that the sender polls for the others

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// @brief Why a heartbeat cannot be decoded.
enum class DecodeFailure {
    Malformed,
    UnknownVersion, ///< older than the oldest supported format version; later versions are decoded
};

/// @brief Encodes a heartbeat as a msgpack array that begins with the format version.
std::string encode(const Heartbeat &heartbeat);

/// @brief Decodes a heartbeat; additional trailing fields of later versions are ignored.
tl::expected<Heartbeat, DecodeFailure> decodeHeartbeat(std::string_view bytes);

} // namespace turmericplank::membership
