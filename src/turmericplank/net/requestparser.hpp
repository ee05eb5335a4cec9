#pragma once

#include <optional>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "turmericplank/net/transfercoding.hpp"

namespace turmericplank::net {

/// @brief Parses one HTTP/1.1 request, and rejects it if its end is in doubt: what follows could be another request or a part of this one.
///
/// Beast takes a request for one without a body if it knows neither its length nor its last transfer coding.
class RequestParser final : public boost::beast::http::request_parser<boost::beast::http::string_body>
{
public:
    using ErrorCode = boost::beast::error_code;

    /// @brief Parses bytes, at most up to the end of the header section or of a part of the body.
    /// @return the number of bytes that were parsed
    std::size_t parse(boost::asio::const_buffer bytes, ErrorCode &ec)
    {
        namespace http = boost::beast::http;
        const bool isHeaderSection = !is_header_done();
        const auto n = put(bytes, ec);
        if (isHeaderSection && (!ec || ec == http::error::need_more) && hasFoldedLine({static_cast<const char *>(bytes.data()), n})) {
            ec = http::error::bad_obs_fold;
        }
        return n;
    }

    /// @brief HTTP status of the response to a request that cannot be parsed.
    /// @param ec as set by parse()
    int rejectionStatus(const ErrorCode &ec) const
    {
        namespace http = boost::beast::http;
        // A line of a chunk or a trailer does not fit into the buffer.
        if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
            return 431;
        }
        if (ec == http::error::body_limit) {
            return 413;
        }
        return m_codingError == TransferCodingError::Unsupported ? 501 : 400;
    }

private:
    using View = boost::beast::string_view;

    /// Beast joins a field that is folded into several lines, which other implementations take for several fields.
    static bool hasFoldedLine(std::string_view lines)
    {
        return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
    }

    /// Trailing fields are dropped: merged with the others, they would change a request whose header section has been checked.
    void on_field_impl(boost::beast::http::field field, View name, View value, ErrorCode &) override
    {
        if (!is_header_done()) {
            get().insert(field, name, value);
        }
    }

    void on_header_impl(ErrorCode &ec) override
    {
        m_codingError = checkTransferCodings(transferCodings(get()), get().version() < 11);
        ec = m_codingError ? make_error_code(boost::beast::http::error::bad_transfer_encoding) : ErrorCode();
    }

    std::optional<TransferCodingError> m_codingError;
};

} // namespace turmericplank::net
