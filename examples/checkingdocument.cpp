// Reads a document with mistakes, prints all of them, then checks a readable one that cannot be served.
#include <iostream>

#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/configuration/validation.hpp"

using namespace turmericplank;

int main()
{
    const auto broken = configuration::parseDocument("[site]\nname = \"example\"\n[models.advisor]\nversion = 4\nmemory = 100\n");
    if (broken) {
        return 1;
    }
    for (const auto &it : broken.error()) {
        std::cout << toString(it) << '\n';
    }

    const auto readable = configuration::parseDocument(R"([site]
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
    if (!readable) {
        std::cout << toString(readable.error().front()) << '\n';
        return 1;
    }
    const auto refusals = configuration::validate(*readable, nullptr);
    for (const auto &it : refusals) {
        std::cout << toString(it) << '\n';
    }
    return refusals.empty() ? 1 : 0;
}
