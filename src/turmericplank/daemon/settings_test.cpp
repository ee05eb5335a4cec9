#include "turmericplank/daemon/settings.hpp"

#include <doctest/doctest.h>

#include "turmericplank/configuration/reader.hpp"

using namespace turmericplank;
using namespace turmericplank::daemon;

namespace {

const std::string completeSettings = R"(id = "entry-1"
zone = "tx/a"
caller_listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
operator_listen = "127.0.0.1:8082"
platform = "127.0.0.1:9000,127.0.0.1:9001"
)";

}

TEST_CASE("settings are read, and the command line takes precedence")
{
    const auto settings = readSettings(completeSettings, {{"zone", "tx/b"}, {"log_level", "debug"}});
    REQUIRE(settings);
    CHECK(settings->id == base::DaemonId("entry-1"));
    CHECK(settings->zone == base::ZoneName("tx/b"));
    CHECK(settings->platform.size() == 2);
    CHECK(settings->logLevel == telemetry::LogLevel::Debug);
}

TEST_CASE("all errors are reported at once, with key and line")
{
    const auto settings = readSettings("id = 7\nzone = \"tx/a\"\ncolour = \"red\"\ncaller_listen = \"nowhere\"\n", {{"log_level", "loud"}});
    REQUIRE_FALSE(settings);
    const auto &errors = settings.error();
    const auto has = [&](const std::string &key, int line) {
        return std::any_of(errors.begin(), errors.end(), [&](const auto &it) { return it.key == key && it.line == line; });
    };
    CHECK(has("id", 1));
    CHECK(has("colour", 3));
    CHECK(has("caller_listen", 4));
    CHECK(has("peer_listen", 0));
    CHECK(has("platform", 0));
    CHECK(has("log_level", 0));
}

TEST_CASE("a file that is not TOML is reported with its line")
{
    const auto settings = readSettings("id = \"a\"\nzone = [\n", {});
    REQUIRE_FALSE(settings);
    CHECK(settings.error().front().line >= 2);
}

TEST_CASE("non-ASCII characters are reported with their line")
{
    const auto settings = readSettings("id = \"a\"\nzone = \"caf\xc3\xa9\"\n", {});
    REQUIRE_FALSE(settings);
    CHECK(settings.error().front().line == 2);
}

TEST_CASE("settings and documents can be read in the same program")
{
    CHECK(readSettings(completeSettings, {}));
    CHECK(configuration::parseDocument("[site]\nname = \"x\"\n[models.m]\nversion = \"1\"\nmemory_mib = 10\n"));
}
