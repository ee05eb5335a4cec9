#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief Why the body of a message cannot be delimited or decoded.
enum class TransferCodingError {
    Ambiguous, ///< receivers may disagree on where the body ends
    Unsupported, ///< chunked, but with a coding beneath that is not decoded
};

/// @brief Values of all Transfer-Encoding fields.
std::vector<std::string_view> transferCodings(const boost::beast::http::fields &fields);
std::vector<std::string_view> transferCodings(const Headers &headers);

/// @brief Whether a message has no transfer coding or is chunked, the only two cases in which Beast delimits its body reliably.
///
/// Source: RFC 9112, sections 6.1 and 6.3.
/// @param codings values of all Transfer-Encoding fields of the message
/// @param isHttp10 whether the message is HTTP/1.0, which has no transfer codings
std::optional<TransferCodingError> checkTransferCodings(const std::vector<std::string_view> &codings, bool isHttp10);

} // namespace turmericplank::net
