#include "turmericplank/gateway/connectionfailures.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;
using net::ConnectionError;

namespace {

const base::EndpointId endpointA("a");
const base::EndpointId endpointB("b");
const base::Time startTime = base::Time() + std::chrono::seconds(100);

} // namespace

TEST_CASE("all endpoints count as failing only while the last connection to each of them has failed")
{
    ConnectionFailures failures;
    CHECK_FALSE(failures.areAllFailing());
    failures.addEndpoint(endpointA);
    failures.addEndpoint(endpointB);
    failures.noteResult(endpointA, ConnectionError::Refused, startTime);
    failures.noteResult(endpointA, ConnectionError::TimedOut, startTime);
    CHECK(failures.failingCount() == 1);
    CHECK_FALSE(failures.areAllFailing());
    failures.noteResult(endpointB, ConnectionError::Reset, startTime);
    CHECK(failures.areAllFailing());
    failures.noteResult(endpointA, ConnectionError::None, startTime);
    CHECK(failures.failingCount() == 1);
    CHECK_FALSE(failures.areAllFailing());
}

TEST_CASE("an endpoint that was removed does not count as failing")
{
    ConnectionFailures failures;
    failures.addEndpoint(endpointA);
    failures.addEndpoint(endpointB);
    failures.noteResult(endpointA, ConnectionError::Refused, startTime);
    failures.removeEndpoint(endpointA, startTime);
    CHECK(failures.failingCount() == 0);
    failures.noteResult(endpointA, ConnectionError::Refused, startTime);
    CHECK(failures.failingCount() == 0);
    failures.addEndpoint(endpointA);
    failures.noteResult(endpointA, ConnectionError::Refused, startTime);
    failures.removeEndpoint(endpointB, startTime);
    CHECK(failures.areAllFailing());
}
