#pragma once

#include <string>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>

#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::net {

/// @brief Converts Beast's header fields, keeping their order.
inline Headers toHeaders(const boost::beast::http::fields &fields)
{
    Headers headers;
    for (const auto &it : fields) {
        headers.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    return headers;
}

/// @brief Adds header fields to a Beast message.
inline void addHeaders(const Headers &headers, boost::beast::http::fields &fields)
{
    for (const auto &it : headers) {
        fields.insert(it.name, it.value);
    }
}

/// @brief Reason phrase of a status code; empty for a code that Beast has no name for.
inline std::string reasonPhrase(int status)
{
    namespace http = boost::beast::http;
    const auto known = http::int_to_status(static_cast<unsigned>(status));
    return known == http::status::unknown ? std::string() : std::string(http::obsolete_reason(known));
}

/// @brief Status line and header section of a response.
///
/// Beast's own serializer takes only the status codes that it has names for.
/// @param status any code of three digits
/// @param fields of a message whose own status is not used
inline std::string serializeResponseHead(int status, const boost::beast::http::fields &fields)
{
    std::string buf = "HTTP/1.1 " + std::to_string(status) + ' ' + reasonPhrase(status) + "\r\n";
    for (const auto &it : fields) {
        buf.append(it.name_string().data(), it.name_string().size()).append(": ").append(it.value().data(), it.value().size()).append("\r\n");
    }
    return buf.append("\r\n");
}

} // namespace turmericplank::net
