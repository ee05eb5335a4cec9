#include "outputbuffer.hpp"

#include <array>
#include <string>

#include <doctest/doctest.h>
#include <unistd.h>

using turmericplank::telemetry::OutputBuffer;

namespace {

std::string readAll(int descriptor, std::size_t maxBytes)
{
    std::string text;
    std::array<char, 65536> buf{};
    while (text.size() < maxBytes) {
        const auto n = read(descriptor, buf.data(), std::min(buf.size(), maxBytes - text.size()));
        if (n <= 0) {
            break;
        }
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
}

} // namespace

TEST_CASE("a stalled reader does not block the writer, and only whole lines are dropped")
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    OutputBuffer buffer(ends[1], 64 * 1024);
    const std::string line = std::string(99, 'x') + '\n';
    for (int n = 0; n < 5000; ++n) {
        buffer.write(line);
    }
    CHECK(buffer.dropped() > 3000);
    const auto kept = 5000 - buffer.dropped();
    std::string text = readAll(ends[0], 60000);
    while (text.size() < kept * line.size()) {
        buffer.flush();
        text += readAll(ends[0], std::min<std::size_t>(4096, kept * line.size() - text.size()));
    }
    CHECK(text.size() == kept * line.size());
    buffer.write(line);
    const auto report = readAll(ends[0], 60);
    CHECK(report.find("log: lines were dropped") == 0);
    close(ends[0]);
    close(ends[1]);
}
