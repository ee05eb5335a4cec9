// Prints all errors of a document that cannot be parsed, then those of a document that can be parsed but not served.
#include <iostream>

#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/configuration/validation.hpp"

using namespace turmericplank;

int main()
{
    const auto malformed = configuration::parseDocument("[site]\nname = \"example\"\n[models.advisor]\nversion = 4\nmemory = 100\n");
    if (malformed) {
        return 1;
    }
    for (const auto &it : malformed.error()) {
        std::cout << toString(it) << '\n';
    }

    const auto document = configuration::parseDocument(R"([site]
name = "example"
[models.advisor]
version = "4"
memory_mib = 9000
[endpoints.engine-1]
address = "10.0.0.1:8000"
zone = "tx/a"
memory_mib = 8000
concurrency = 16
checks_fencing = true
)");
    if (!document) {
        std::cout << toString(document.error().front()) << '\n';
        return 1;
    }
    const auto errors = configuration::validate(*document, nullptr);
    for (const auto &it : errors) {
        std::cout << toString(it) << '\n';
    }
    return errors.empty() ? 1 : 0;
}
