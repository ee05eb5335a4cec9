#include "turmericplank/gateway/peerforwardmessage.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::timeFromMilliseconds(1'000'000);

PeerForwardRequest sampleRequest()
{
    return {{"POST", "/r/x?y=1", {{"Request-Id", "c1"}, {"Deadline-Ms", "900"}}, std::string("a\0b", 3)}, base::Revision(7), Start + 850ms, 2};
}

PeerForwardHead sampleHead()
{
    return {200, {{"Request-Id", "c1"}, {"Server-Seal", "x.y"}}, true};
}

struct Collected
{
    Collected()
    {
        reader.onHead = [this](PeerForwardHead it) {
            head = std::move(it);
        };
        reader.onBody = [this](const std::string &it) {
            body += it;
        };
    }

    PeerForwardReader reader;
    PeerForwardHead head;
    std::string body;
};

} // namespace

TEST_CASE("an encoded request to a peer decodes to the same request")
{
    CHECK(decodePeerForwardRequest(encode(sampleRequest(), Start), Start) == sampleRequest());
    const auto later = decodePeerForwardRequest(encode(sampleRequest(), Start + 50ms), Start + 1h);
    REQUIRE(later);
    CHECK(later->deadline == Start + 1h + 800ms);
    CHECK(decodePeerForwardRequest(encode(sampleRequest(), Start + 2s), Start)->deadline == Start);
}

TEST_CASE("a request to a peer that is cut off anywhere or of a wrong shape is rejected")
{
    const auto bytes = encode(sampleRequest(), Start);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decodePeerForwardRequest(std::string_view(bytes).substr(0, n), Start));
    }
    CHECK_FALSE(decodePeerForwardRequest("\x91\x01", Start));
}

TEST_CASE("a response of a peer is read whatever the sizes of the reads")
{
    const auto bytes = headFrame(sampleHead()) + bodyFrame("one") + bodyFrame("") + bodyFrame(std::string(300, 'x')) + endFrame();
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        Collected it;
        for (std::size_t at = 0; at < bytes.size(); at += size) {
            CHECK_FALSE(it.reader.isComplete());
            REQUIRE(it.reader.feed(std::string_view(bytes).substr(at, size)));
        }
        CHECK(it.head == sampleHead());
        CHECK(it.body == "one" + std::string(300, 'x'));
        CHECK(it.reader.isComplete());
    }
}

TEST_CASE("a response of a peer with frames out of order, of an unknown type or too large is rejected")
{
    const auto isRejected = [](const std::string &bytes) {
        Collected it;
        return !it.reader.feed(bytes);
    };
    CHECK(isRejected(bodyFrame("x")));
    CHECK(isRejected(endFrame()));
    CHECK(isRejected(headFrame(sampleHead()) + headFrame(sampleHead())));
    CHECK(isRejected(headFrame(sampleHead()) + endFrame() + bodyFrame("x")));
    CHECK(isRejected(headFrame(sampleHead()) + std::string("Z\0\0\0\0", 5)));
    CHECK(isRejected(std::string("H\x7f\0\0\0", 5)));
    CHECK(isRejected(std::string("H\0\0\0\1\xc1", 6)));
    CHECK_FALSE(isRejected(headFrame(sampleHead())));
}
