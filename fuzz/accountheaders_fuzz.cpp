#include <algorithm>
#include <cstdlib>
#include <string_view>

#include "turmericplank/gateway/interface.hpp"
#include "wireformat.hpp"

using namespace turmericplank;

namespace {

constexpr const char *Account = "known";

/// Lines of the form 'name: value'; others are left out.
net::Headers headersOf(std::string_view bytes)
{
    net::Headers headers;
    while (!bytes.empty()) {
        const auto end = std::min(bytes.find('\n'), bytes.size());
        const auto line = bytes.substr(0, end);
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos) {
            headers.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
        }
        bytes.remove_prefix(std::min(end + 1, bytes.size()));
    }
    return headers;
}

std::ptrdiff_t countOf(const net::Headers &headers, std::string_view name)
{
    return std::ranges::count_if(headers, [name](const auto &it) { return !net::header({{it.name, "value"}}, name).empty(); });
}

} // namespace

/// Reads the headers of a call as lines of the input. Checks that an endpoint gets the name of the caller's account and no key, whatever the caller
/// has sent, and that two keys are no key.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    static const auto format = platform::wireFormat();
    const net::HttpRequest request{"POST", "/", headersOf({reinterpret_cast<const char *>(data), size}), ""};
    const auto call = format.decodeCall(request);
    if (call.key && countOf(request.headers, "Authorization") != 1) {
        std::abort();
    }
    gateway::AttemptHeaders head;
    head.account = base::CallerName(Account);
    const auto forwarded = format.makeAttemptRequest(request, head).headers;
    if (countOf(forwarded, "Authorization") != 0 || countOf(forwarded, "Tenant") != 1 || net::header(forwarded, "Tenant") != Account) {
        std::abort();
    }
    return 0;
}
