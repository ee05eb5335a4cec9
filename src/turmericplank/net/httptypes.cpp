#include "turmericplank/net/httptypes.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace turmericplank::net {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto isSame = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), isSame);
}

std::string percentDecode(std::string_view text)
{
    constexpr int HexBase = 16;
    std::string buf;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned value = 0;
        const auto digits = text.substr(std::min(n + 1, text.size()), 2);
        const auto end = digits.data() + digits.size();
        if (text[n] == '%' && digits.size() == 2 && std::from_chars(digits.data(), end, value, HexBase).ptr == end) {
            buf += static_cast<char>(value);
            n += 2;
        } else {
            buf += text[n] == '+' ? ' ' : text[n];
        }
    }
    return buf;
}

} // namespace

std::string_view header(const Headers &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
    return it == headers.end() ? std::string_view() : std::string_view(it->value);
}

std::string_view path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto questionMark = target.find('?');
    auto query = questionMark == std::string_view::npos ? std::string_view() : target.substr(questionMark + 1);
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        }
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
    }
    return {};
}

} // namespace turmericplank::net
