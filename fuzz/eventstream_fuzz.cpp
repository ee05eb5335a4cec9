#include <cstdlib>
#include <string_view>

#include "turmericplank/requests/eventstream.hpp"

using namespace turmericplank::requests;

/// Splits the stream at the offset in the first byte; checks that the tokens do not depend on the split.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const auto offset = bytes.substr(0, data[0]).size();
    EventStream unsplit;
    EventStream split;
    const auto tokens = unsplit.feed(bytes);
    auto first = split.feed(bytes.substr(0, offset));
    const auto second = first ? split.feed(bytes.substr(offset)) : first;
    if (first && second) {
        first->insert(first->end(), second->begin(), second->end());
    }
    if (tokens.has_value() != (first && second) || (tokens && *tokens != *first)) {
        std::abort();
    }
    for (const auto &token : tokens.value_or(std::vector<StreamedToken>())) {
        chunkText(token.chunk);
        chunkWithId(token.chunk, "r");
    }
    return 0;
}
