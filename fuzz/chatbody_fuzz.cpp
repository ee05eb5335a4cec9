#include <cstdlib>
#include <string_view>

#include "turmericplank/requests/chatbody.hpp"

using namespace turmericplank::requests;

/// Checks that the body sent to an endpoint can be read again, is streamed and has the fingerprint and prompt of the original.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const auto body = readChatBody({reinterpret_cast<const char *>(data), size});
    if (!body) {
        return 0;
    }
    const auto sent = readChatBody(endpointBody(*body, 7));
    if (!sent || sent->fingerprint != body->fingerprint || !sent->isStreamed || sent->prompt != body->prompt || body->prompt.empty()) {
        std::abort();
    }
    return 0;
}
