#pragma once

#include <functional>
#include <string_view>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "turmericplank/net/httptypes.hpp"
#include "turmericplank/net/transfercoding.hpp"

namespace turmericplank::net {

/// @brief Parses one HTTP/1.1 response and passes its body on in chunks. Fails on one with a transfer coding other than "chunked", since
/// requests ask for none.
class ResponseParser final : public boost::beast::http::basic_parser<false>
{
public:
    using ErrorCode = boost::beast::error_code;

    /// @param onHeaders called once when status and headers are complete
    /// @param onBody called with each part of the body, without the chunk framing
    ResponseParser(std::function<void()> onHeaders, std::function<void(std::string_view)> onBody)
        : m_onHead(std::move(onHeaders))
        , m_onBody(std::move(onBody))
    {
        eager(true);
    }

    int status() const
    {
        return m_status;
    }

    const Headers &headers() const
    {
        return m_headers;
    }

private:
    using View = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, View, View, int, ErrorCode &) override
    {
    }

    void on_response_impl(int code, View, int version, ErrorCode &) override
    {
        m_status = code;
        m_isHttp10 = version < 11;
    }

    void on_field_impl(boost::beast::http::field, View name, View value, ErrorCode &) override
    {
        m_headers.push_back({std::string(name), std::string(value)});
    }

    void on_header_impl(ErrorCode &ec) override
    {
        if (checkTransferCodings(transferCodings(m_headers), m_isHttp10)) {
            ec = boost::beast::http::error::bad_transfer_encoding;
            return;
        }
        m_onHead();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &) override
    {
    }

    std::size_t on_body_impl(View body, ErrorCode &) override
    {
        m_onBody({body.data(), body.size()});
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, View body, ErrorCode &) override
    {
        m_onBody({body.data(), body.size()});
        return body.size();
    }

    void on_finish_impl(ErrorCode &) override
    {
    }

    std::function<void()> m_onHead;
    std::function<void(std::string_view)> m_onBody;
    int m_status = 0;
    bool m_isHttp10 = false;
    Headers m_headers;
};

} // namespace turmericplank::net
