#include <cstdlib>
#include <string_view>

#include "turmericplank/requests/eventstream.hpp"

using namespace turmericplank::requests;

/// The first byte says where the stream is cut; the tokens must not depend on it.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const auto cut = bytes.substr(0, data[0]).size();
    EventStream whole;
    EventStream parted;
    const auto tokens = whole.feed(bytes);
    auto first = parted.feed(bytes.substr(0, cut));
    const auto second = first ? parted.feed(bytes.substr(cut)) : first;
    if (first && second) {
        first->insert(first->end(), second->begin(), second->end());
    }
    if (tokens.has_value() != (first && second) || (tokens && *tokens != *first)) {
        std::abort();
    }
    for (const auto &it : tokens.value_or(std::vector<StreamedToken>())) {
        chunkText(it.chunk);
        chunkWithId(it.chunk, "r");
    }
    return 0;
}
