#include <cstdlib>
#include <string_view>

#include "turmericplank/requests/messages.hpp"

using namespace turmericplank::requests;

namespace {

/// Checks that a decoded message stays the same when it is encoded and decoded again.
template<typename Message>
void checkRoundTrip(std::string_view bytes)
{
    const auto message = decodeMessage<Message>(bytes);
    if (message && decodeMessage<Message>(encode(*message)) != *message) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    checkRoundTrip<TrialQuestionMessage>(bytes);
    checkRoundTrip<TrialReplyMessage>(bytes);
    checkRoundTrip<SuspectsMessage>(bytes);
    checkRoundTrip<StopMessage>(bytes);
    checkRoundTrip<ForwardedRequest>(bytes);
    return 0;
}
