#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

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

} // namespace turmericplank::net
