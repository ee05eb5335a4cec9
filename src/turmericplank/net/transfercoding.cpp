#include "turmericplank/net/transfercoding.hpp"

#include <algorithm>
#include <iterator>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace turmericplank::net {

namespace {

namespace http = boost::beast::http;
using View = boost::beast::string_view;

constexpr std::string_view Chunked = "chunked";

bool isChunked(View coding)
{
    return boost::beast::iequals(coding, View(Chunked.data(), Chunked.size()));
}

/// Whether a list ends with "chunked" after other codings.
bool endsChunked(std::string_view list)
{
    const auto comma = list.rfind(',');
    if (comma == std::string_view::npos) {
        return false;
    }
    const auto last = list.substr(std::min(list.find_first_not_of(" \t", comma + 1), list.size()));
    const http::token_list others(View(list.data(), comma));
    return isChunked(View(last.data(), last.size())) && others.begin() != others.end() && std::none_of(others.begin(), others.end(), isChunked);
}

} // namespace

std::vector<std::string_view> transferCodings(const http::fields &fields)
{
    std::vector<std::string_view> codings;
    const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
    std::transform(begin, end, std::back_inserter(codings), [](const auto &it) { return std::string_view(it.value().data(), it.value().size()); });
    return codings;
}

std::vector<std::string_view> transferCodings(const Headers &headers)
{
    std::vector<std::string_view> codings;
    for (const auto &it : headers) {
        if (boost::beast::iequals(it.name, http::to_string(http::field::transfer_encoding))) {
            codings.push_back(it.value);
        }
    }
    return codings;
}

std::optional<TransferCodingError> checkTransferCodings(const std::vector<std::string_view> &codings, bool isHttp10)
{
    if (codings.empty()) {
        return std::nullopt;
    }
    if (isHttp10 || codings.size() > 1) {
        return TransferCodingError::Ambiguous;
    }
    const View coding(codings.front().data(), codings.front().size());
    if (isChunked(coding)) {
        return std::nullopt;
    }
    return endsChunked(codings.front()) ? TransferCodingError::Unsupported : TransferCodingError::Ambiguous;
}

} // namespace turmericplank::net
