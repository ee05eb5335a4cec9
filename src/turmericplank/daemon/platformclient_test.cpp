#include "turmericplank/daemon/platformclient.hpp"

#include <doctest/doctest.h>

#include "turmericplank/net/httpserver.hpp"

using namespace turmericplank;
using namespace turmericplank::daemon;
using store::TableFailure;

namespace {

const base::Address platformAddress{"127.0.0.1", 20121};

struct Fixture
{
    explicit Fixture(std::function<void(net::ExchangePointer)> onRequest)
    {
        net::HttpServerOptions options;
        options.listen = platformAddress;
        options.onRequest = std::move(onRequest);
        server = net::listenHttp(context, options);
        client = makePlatformClient(context, {{platformAddress}, std::chrono::milliseconds(200), nullptr});
    }

    store::WriteResult transact()
    {
        store::WriteResult result;
        client.table.transact({{"a", base::RowVersion(3), "x"}, {"b", std::nullopt, std::nullopt}}, [&](const auto &it) {
            result = it;
            context.stop();
        });
        context.restart();
        context.run_for(std::chrono::seconds(10));
        return result;
    }

    boost::asio::io_context context;
    std::unique_ptr<net::HttpServer> server;
    PlatformClient client;
};

} // namespace

TEST_CASE("a transaction sends its conditions and returns the new row versions")
{
    std::string body;
    Fixture fixture([&](const net::ExchangePointer &exchange) {
        body = exchange->request().body;
        exchange->respond({200, {}, R"({"versions":[4,9]})"});
    });
    const auto result = fixture.transact();
    REQUIRE(result);
    CHECK(*result == std::vector{base::RowVersion(4), base::RowVersion(9)});
    CHECK(body == R"({"writes":[{"expect":3,"key":"a","value":"x"},{"expect":null,"key":"b","value":null}]})");
}

TEST_CASE("a failed condition returns the current rows")
{
    Fixture fixture([](const net::ExchangePointer &exchange) { exchange->respond({409, {}, R"({"conflicts":[{"key":"a","version":5,"value":"y"}]})"}); });
    const auto result = fixture.transact();
    REQUIRE_FALSE(result);
    CHECK(result.error().failure == TableFailure::Conflict);
    CHECK(result.error().conflicts.front() == store::Row{"a", base::RowVersion(5), "y"});
}

TEST_CASE("a write is unavailable only if it was refused or not sent, and ambiguous if the response is missing")
{
    Fixture refusing([](const net::ExchangePointer &exchange) { exchange->respond({503, {}, ""}); });
    CHECK(refusing.transact().error().failure == TableFailure::Unavailable);
    refusing.server->stopAccepting();
    refusing.server.reset();
    CHECK(refusing.transact().error().failure == TableFailure::Unavailable);

    net::ExchangePointer kept;
    Fixture silent([&](const net::ExchangePointer &exchange) { kept = exchange; });
    CHECK(silent.transact().error().failure == TableFailure::Ambiguous);
    kept.reset();
}

TEST_CASE("a write is ambiguous if the connection closes without a response")
{
    Fixture closing([](const net::ExchangePointer &exchange) { exchange->abort(); });
    CHECK(closing.transact().error().failure == TableFailure::Ambiguous);
}

TEST_CASE("a malformed response of the platform makes a write ambiguous")
{
    Fixture fixture([](const net::ExchangePointer &exchange) { exchange->respond({200, {}, "{"}); });
    CHECK(fixture.transact().error().failure == TableFailure::Ambiguous);
}
