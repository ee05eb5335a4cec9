#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "rawendpoint.hpp"
#include "turmericplank/net/httpclient.hpp"

using namespace turmericplank;
using namespace turmericplank::net;
using testing::RawEndpoint;

// Guards against a caller who gets an endpoint's answer with a status of 000.
TEST_CASE("a call whose response has no final status fails")
{
    for (const std::string status : {"000", "099", "100", "199"}) {
        CAPTURE(status);
        boost::asio::io_context context;
        RawEndpoint endpoint(context);
        HttpCallOptions options;
        options.to = endpoint.address();
        options.request = {"GET", "/x", {}, {}};
        std::optional<tl::expected<HttpResponse, CallFailure>> result;
        fetchResponse(context, std::move(options), [&result](const auto &response) { result = response; });
        REQUIRE(endpoint.readHead(0));
        endpoint.write(0, "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
        endpoint.close(0);
        REQUIRE(endpoint.runUntil([&result] { return result.has_value(); }));
        REQUIRE_FALSE(*result);
        CHECK(result->error() == CallFailure::Malformed);
    }
}
