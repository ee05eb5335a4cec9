#include <cstdlib>
#include <string_view>

#include "turmericplank/requests/callerheaders.hpp"

using namespace turmericplank;

/// Reads the four caller headers from the first four lines of the input; checks that an accepted caller name has no blanks and
/// an accepted deadline is not negative.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto line = [bytes](std::size_t number) {
        auto rest = bytes;
        for (; number > 0 && !rest.empty(); --number) {
            const auto end = rest.find('\n');
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
        return rest.substr(0, rest.find('\n'));
    };
    const auto headers = requests::readCallerHeaders([&line](std::string_view name) {
        return line(name == "X-Priority" ? 0 : name == "X-Deadline" ? 1 : name == "X-Caller" ? 2 : 3);
    });
    if (headers && (headers->caller.text().find(' ') != std::string::npos || (headers->deadline && *headers->deadline < base::Time()))) {
        std::abort();
    }
    return 0;
}
