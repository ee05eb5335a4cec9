#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/gateway/peerstatus.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::gateway {

/// @brief A caller's request that a daemon forwards to a peer, which sends it to an endpoint.
struct PeerForwardRequest
{
    net::HttpRequest request; ///< as the caller sent it
    base::Revision revision; ///< of the configuration in force at the sender; the peer must not have an older one
    base::Time deadline; ///< for the final answer
    std::uint32_t maxSends = 1; ///< endpoints to which the peer may send it

    friend bool operator==(const PeerForwardRequest &, const PeerForwardRequest &) = default;
};

/// @brief Encodes a request as msgpack, with the time until the deadline in milliseconds.
std::string encode(const PeerForwardRequest &request, base::Time now);

/// @brief Decodes the output of encode(); the time counts from the receiver's now, since clocks of daemons differ.
tl::expected<PeerForwardRequest, MessageDecodeFailure> decodePeerForwardRequest(std::string_view bytes, base::Time now);

/// @brief Status and headers of a response that a peer returns.
struct PeerForwardHead
{
    int status = 0;
    net::Headers headers;
    bool isStream = false; ///< the body is to be passed on as it arrives

    friend bool operator==(const PeerForwardHead &, const PeerForwardHead &) = default;
};

/// @brief Frames of a response: a head, any number of body frames, and an end. A response without an end is incomplete.
std::string headFrame(const PeerForwardHead &head);
std::string bodyFrame(std::string_view body);
std::string endFrame();

/// @brief Splits the bytes of a response into frames, whatever the sizes of the reads.
class PeerForwardReader
{
public:
    std::function<void(PeerForwardHead)> onHead; ///< called first, once
    std::function<void(std::string)> onBody;

    /// @brief Reads the next bytes and calls the callbacks for each complete frame.
    /// @return an error if a frame is malformed, of an unknown type, too large or out of order
    tl::expected<void, MessageDecodeFailure> feed(std::string_view bytes);

    /// @brief Whether the end of the response has been read.
    bool isComplete() const;

private:
    bool readFrame(char type, std::string_view payload);

    std::string m_buffer; ///< bytes of incomplete frames
    bool m_hasHead = false;
    bool m_isComplete = false;
};

} // namespace turmericplank::gateway
