#include <cstdlib>
#include <string_view>

#include "turmericplank/requests/bookingrow.hpp"

using namespace turmericplank::requests;

/// Checks that a decoded booking row or stored answer stays the same when it is encoded and decoded again.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (const auto row = decodeBookingRow(bytes); row && decodeBookingRow(encode(*row)) != *row) {
        std::abort();
    }
    if (const auto answer = decodeAnswer(bytes); answer && decodeAnswer(encode(*answer)) != *answer) {
        std::abort();
    }
    return 0;
}
