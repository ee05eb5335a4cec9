#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "turmericplank/configuration/canonical.hpp"
#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/configuration/validation.hpp"

using namespace turmericplank::configuration;

/// Whatever is read must be written and read back to the same values, and must be judged without a fault.
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
    const auto again = parseDocument(canonicalText(*document));
    if (!again || *again != *document) {
        std::abort();
    }
    (void)validate(*document, nullptr);
    return 0;
}
