#include "turmericplank/gateway/peernotice.hpp"

#include <doctest/doctest.h>

using namespace turmericplank;
using namespace turmericplank::gateway;

TEST_CASE("a notice survives its encoding")
{
    PeerNotice notice;
    notice.from = base::DaemonId("entry-1");
    notice.peers = {"10.0.0.1", 7380};
    notice.callers = {"10.0.0.1", 8149};
    notice.zone = base::ZoneName("a");
    notice.incarnation = base::Incarnation(77);
    notice.isReady = true;
    notice.term = base::Term(3);
    notice.revision = base::Revision(9);
    notice.work = {{base::EndpointId("e1"), 4, 1, 2, 300, 400}};
    notice.leavingEndpoints = {{base::EndpointId("e2"), base::Incarnation(4)}};
    notice.engines = {{base::EndpointId("e1"), base::Incarnation(5), 6, {{base::ModelName("m"), {"a1", "a2"}}, {base::ModelName("n"), {}}}}};
    CHECK(decodePeerNotice(encode(notice)) == notice);
    notice.demand.emplace();
    CHECK(decodePeerNotice(encode(notice)) == notice);
    notice.demand->models = {{base::ModelName("m"), {10, 2000}}};
    notice.demand->adapters = {{base::AdapterName("m/a1"), 4}};
    CHECK(decodePeerNotice(encode(notice)) == notice);
}

TEST_CASE("other bytes are refused")
{
    CHECK(decodePeerNotice("").error() == NoticeFailure::Malformed);
    CHECK(decodePeerNotice("\x81\xa4\x66rom\x01").error() == NoticeFailure::Malformed);
    const auto whole = encode(PeerNotice());
    CHECK(decodePeerNotice(std::string_view(whole).substr(0, whole.size() / 2)).error() == NoticeFailure::Malformed);
}
