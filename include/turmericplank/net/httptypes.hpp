#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::net {

/// @brief One header field; header() compares names case-insensitively.
struct HeaderField
{
    std::string name;
    std::string value;

    friend bool operator==(const HeaderField &, const HeaderField &) = default;
};

/// @brief Header fields in the order in which they are sent.
using Headers = std::vector<HeaderField>;

/// @brief Value of the first header field with a name.
/// @param name field name in any case
/// @return an empty view if there is none
std::string_view header(const Headers &headers, std::string_view name);

/// @brief A received or outgoing request with its whole body.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path and query
    Headers headers;
    std::string body;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

/// @brief Path of a request target, without its query.
/// @param target path and query
std::string_view path(std::string_view target);

/// @brief Percent-decoded value of a query parameter.
/// @param target path and query
/// @param name parameter name
/// @return an empty string if the parameter is absent
std::string queryParameter(std::string_view target, std::string_view name);

/// @brief A complete response.
struct HttpResponse
{
    int status = 200;
    Headers headers;
    std::string body;

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

} // namespace turmericplank::net
