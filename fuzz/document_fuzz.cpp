#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/configuration/validation.hpp"

using namespace turmericplank::configuration;

/// Checks that a rejected document has at least one error, that a parsed one stays the same when it is written and parsed
/// again, and that validation does not crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto document = parseDocument(text);
    if (!document) {
        if (document.error().empty()) {
            std::abort();
        }
        return 0;
    }
    const auto reparsed = parseDocument(canonicalText(*document));
    if (!reparsed || *reparsed != *document) {
        std::abort();
    }
    (void)validate(*document, nullptr);
    return 0;
}
