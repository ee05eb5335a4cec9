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

/// @brief Short name of a daemon or endpoint in heartbeats: 32 bits of the hash of its identifier.
using ShortName = std::uint32_t;

/// @brief Short name of an identifier's text.
ShortName shortName(std::string_view text);

/// @brief How long ago the sender heard another daemon.
struct HeardAge
{
    ShortName daemon = 0;
    std::uint32_t milliseconds = 0;

    friend auto operator<=>(const HeardAge &, const HeardAge &) = default;
    friend bool operator==(const HeardAge &, const HeardAge &) = default;
};

/// @brief A leaving mark that the sender has from the leaving party itself or from the platform's list.
struct LeavingMark
{
    ShortName subject = 0; ///< daemon or endpoint
    base::Incarnation incarnation; ///< the mark does not apply to a later one

    friend auto operator<=>(const LeavingMark &, const LeavingMark &) = default;
    friend bool operator==(const LeavingMark &, const LeavingMark &) = default;
};

/// @brief What the sender knows at first hand of an endpoint.
struct EndpointOpinion
{
    ShortName endpoint = 0;
    bool isSuspect = false;

    friend auto operator<=>(const EndpointOpinion &, const EndpointOpinion &) = default;
    friend bool operator==(const EndpointOpinion &, const EndpointOpinion &) = default;
};

/// @brief The sender's work on one endpoint; endpoints without work are left out.
struct EndpointWorkDigest
{
    ShortName endpoint = 0;
    std::uint32_t streams = 0;
    std::uint32_t urgentWaiting = 0; ///< requests without a first token
    std::uint32_t otherWaiting = 0;
    std::uint32_t urgentTokens = 0; ///< prompt tokens of those
    std::uint32_t otherTokens = 0;

    friend auto operator<=>(const EndpointWorkDigest &, const EndpointWorkDigest &) = default;
    friend bool operator==(const EndpointWorkDigest &, const EndpointWorkDigest &) = default;
};

/// @brief Share that the sender reserves of a limit over all daemons, and what it could use.
struct ShareClaim
{
    ShortName limit = 0;
    double reserved = 0;
    double demand = 0;

    friend auto operator<=>(const ShareClaim &, const ShareClaim &) = default;
    friend bool operator==(const ShareClaim &, const ShareClaim &) = default;
};

/// @brief A load report that the sender polled, in short.
struct LoadDigest
{
    ShortName endpoint = 0;
    std::uint32_t ageMilliseconds = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t contentHash = 0; ///< hash of what changes seldom

    friend auto operator<=>(const LoadDigest &, const LoadDigest &) = default;
    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

/// @brief What a daemon tells each other daemon of its cell, again and again; always whole, so that a lost one does no harm.
struct Heartbeat
{
    base::DaemonId from;
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    base::Revision revision; ///< highest configuration revision seen
    std::uint32_t load = 0; ///< streams of callers on the sender
    std::vector<HeardAge> heard;
    std::vector<LeavingMark> leaving;
    std::vector<EndpointOpinion> suspects; ///< endpoints that the sender suspects; it thinks well of all others
    std::vector<EndpointWorkDigest> work;
    std::vector<ShareClaim> shares;
    std::uint64_t receiverSequence = 0; ///< highest sequence that the sender has of the receiver
    base::Time receiverUseUntil; ///< latest time up to which the sender directed a caller to the receiver
    std::vector<LoadDigest> reports; ///< of the endpoints that the sender polls for the others

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// @brief Why bytes are not a heartbeat.
enum class DecodeFailure {
    Malformed,
    UnknownVersion, ///< of a newer daemon; its sender still counts as heard by its connection only
};

/// @brief Writes a heartbeat as msgpack, the version first.
std::string encode(const Heartbeat &heartbeat);

/// @brief Reads a heartbeat; unknown trailing fields of later versions are ignored.
tl::expected<Heartbeat, DecodeFailure> decodeHeartbeat(std::string_view bytes);

} // namespace turmericplank::membership
