#include "testfleet.hpp"

#include <cstdlib>
#include <set>

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t EndpointCount = 8;
constexpr std::size_t FirstOfOtherService = 6; ///< endpoints from this number on are of service t, the others of s
constexpr auto StartTime = 3500ms; ///< until all daemons know each other and the endpoints
constexpr auto ContactTime = 3000ms; ///< from the loss of contact until calls must be served
constexpr auto MeasuredTime = 2000ms;
constexpr auto EndTime = 2500ms; ///< until all calls have ended, which have 2 s
constexpr std::size_t ZoneCount = 3;
constexpr std::uint32_t ConnectionsPerDaemon = 7; ///< to one endpoint
constexpr std::size_t DefaultCallsPerSecond = 600; ///< of all callers together, since all parts share one thread

bool allInContact(std::size_t, std::size_t)
{
    return true;
}

std::size_t numberFrom(const char *variable, std::size_t fallback)
{
    const auto *text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoul(text);
}

/// More daemons than form one mesh; by hand also other sizes.
std::size_t siteSize()
{
    constexpr std::size_t DefaultDaemons = 24;
    return numberFrom("SITE_DAEMONS", DefaultDaemons);
}

/// Two thirds of the daemons are in the first zone, which then has more than one group.
std::size_t zoneOf(std::size_t daemon)
{
    return daemon % ZoneCount == 0 ? 1 + daemon / ZoneCount % 2 : 0;
}

std::string serviceOf(std::size_t endpoint)
{
    return endpoint < FirstOfOtherService ? "s" : "t";
}

/// The daemons that lose their contact to each service.
struct Cut
{
    std::set<std::size_t> ofService;
    std::set<std::size_t> ofOtherService;
};

Cut cutOfBoth(const std::set<std::size_t> &daemons)
{
    return {daemons, daemons};
}

std::set<std::size_t> daemonsWhere(const std::function<bool(std::size_t)> &isIncluded)
{
    std::set<std::size_t> found;
    for (std::size_t n = 0; n < siteSize(); ++n) {
        if (isIncluded(n)) {
            found.insert(n);
        }
    }
    return found;
}

std::set<std::size_t> firstZone()
{
    return daemonsWhere([](std::size_t n) { return zoneOf(n) == 0; });
}

std::set<std::size_t> allButTwo()
{
    return daemonsWhere([](std::size_t n) { return n != 1 && n + 1 != siteSize(); });
}

/// Sixty in a hundred daemons, each service others.
Cut mostOfEach()
{
    return {daemonsWhere([](std::size_t n) { return n % 5 < 3; }), daemonsWhere([](std::size_t n) { return n % 5 > 1; })};
}

struct Share
{
    std::size_t served = 0;
    std::size_t sent = 0;
};

/// A site of several zones and two services, and callers that send calls of all kinds to all daemons, once each.
class Site
{
public:
    Site()
    {
        const auto configuration = TestFleet::makeConfiguration(2, "/r/");
        for (auto &[name, service] : configuration->services) {
            service.connectionLimit = ConnectionsPerDaemon * siteSize();
        }
        fleet.store.put(configuration);
        fleet.runFor(StartTime);
        sendFor(500ms);
    }

    void setLinks(const Cut &cut, LinkState state)
    {
        for (std::size_t e = 0; e < EndpointCount; ++e) {
            for (const auto n : e < FirstOfOtherService ? cut.ofService : cut.ofOtherService) {
                fleet.setLink(n, e, state);
            }
        }
        m_cut = cut;
    }

    void sendFor(base::Duration time)
    {
        const std::vector<std::string> targets = {"/r/x", "/o/x", "/t/x", "/s/x"};
        const auto interval = std::chrono::milliseconds(1000 * siteSize() / numberFrom("SITE_CALLS", DefaultCallsPerSecond));
        for (const auto end = base::now() + time; base::now() < end;) {
            for (std::size_t n = 0; n < siteSize(); ++n) {
                const auto &target = targets[(m_calls.size() / siteSize() + n) % targets.size()];
                m_calls.push_back({n, target == "/t/x", fleet.call(n, {{"Prompt", "1 2"}}, "question", target)});
            }
            fleet.runFor(interval);
        }
    }

    /// Counts calls that are sent from now on.
    void beginMeasurement()
    {
        m_firstMeasured = m_calls.size();
    }

    /// Calls at daemons with or without contact to their service that were answered with success.
    Share share(bool isCut) const
    {
        Share it;
        for (auto n = m_firstMeasured; n < m_calls.size(); ++n) {
            const auto &call = m_calls[n];
            const auto &cut = call.isOfOtherService ? m_cut.ofOtherService : m_cut.ofService;
            const bool isCounted = cut.contains(call.daemon) == isCut;
            it.sent += isCounted ? 1 : 0;
            it.served += isCounted && call.result->status == 200 ? 1 : 0;
        }
        return it;
    }

    /// Bytes that each daemon has sent to others and received from them.
    std::vector<double> meshBytes()
    {
        std::vector<double> all(siteSize());
        std::size_t left = siteSize();
        for (std::size_t n = 0; n < siteSize(); ++n) {
            net::HttpCallOptions options;
            options.to = TestFleet::metricsAddress(n);
            options.request = {"GET", "/metrics", {}, {}};
            net::fetchResponse(fleet.callers(), std::move(options), [&all, &left, n](const tl::expected<net::HttpResponse, net::CallFailure> &response) {
                constexpr std::string_view Name = "mesh_bytes ";
                const auto text = response ? response->body : std::string();
                const auto begin = text.rfind(Name);
                REQUIRE(begin != std::string::npos);
                all[n] = std::stod(text.substr(begin + Name.size()));
                --left;
            });
        }
        while (left > 0) {
            fleet.runFor(1ms);
        }
        return all;
    }

    /// Number of calls since the start that daemons refused for a reason.
    std::size_t refused(RejectionReason reason) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_calls, [reason](const auto &it) { return it.result->body == toString(reason); }));
    }

    TestFleet fleet{siteSize(), EndpointCount, allInContact, 200ms, {[](std::size_t n) { return "z" + std::to_string(zoneOf(n)); }, serviceOf}};

private:
    struct Call
    {
        std::size_t daemon;
        bool isOfOtherService;
        std::shared_ptr<TestFleet::Result> result;
    };

    std::vector<Call> m_calls;
    std::size_t m_firstMeasured = 0;
    Cut m_cut;
};

/// Checks that calls are served nearly as often at daemons without contact to their service as at the others, and that none is refused for its content.
/// @param isQuiet whether no calls are sent within the contact time, so that idle connections expire
void checkCut(const Cut &cut, LinkState state, bool isQuiet = false)
{
    Site site;
    site.setLinks(cut, state);
    if (isQuiet) {
        site.fleet.runFor(ContactTime);
    } else {
        site.sendFor(ContactTime);
    }
    site.beginMeasurement();
    site.sendFor(MeasuredTime);
    site.fleet.runFor(EndTime);
    const auto lost = site.share(true);
    const auto others = site.share(false);
    MESSAGE("served " << lost.served << " of " << lost.sent << " at daemons without contact, " << others.served << " of " << others.sent << " at the others, "
                      << site.refused(RejectionReason::CrashesEndpoints) << " refused for their contents");
    CHECK(others.served * 10 >= others.sent * 9);
    CHECK(10 * lost.served * others.sent >= 9 * others.served * lost.sent);
    CHECK(site.refused(RejectionReason::CrashesEndpoints) == 0);
}

} // namespace

TEST_CASE("callers are served while connections from all daemons of a zone to endpoints hang")
{
    checkCut(cutOfBoth(firstZone()), LinkState::Hanging);
}

TEST_CASE("callers are served while connections from all daemons of a zone to endpoints are reset")
{
    checkCut(cutOfBoth(firstZone()), LinkState::Resetting);
}

TEST_CASE("callers are served while no daemon of a zone can open new connections to endpoints")
{
    checkCut(cutOfBoth(firstZone()), LinkState::RefusingNew, true);
}

TEST_CASE("callers are served while connections from most daemons to the endpoints of one service hang, from others to those of another one")
{
    checkCut(mostOfEach(), LinkState::Hanging);
}

TEST_CASE("callers are served while connections from most daemons to the endpoints of one service are reset, from others to those of another one")
{
    checkCut(mostOfEach(), LinkState::Resetting);
}

TEST_CASE("callers are served while most daemons can open no new connections to the endpoints of one service, others to those of another one")
{
    checkCut(mostOfEach(), LinkState::RefusingNew, true);
}

TEST_CASE("callers are served while connections from all daemons but two to endpoints hang")
{
    checkCut(cutOfBoth(allButTwo()), LinkState::Hanging);
}

TEST_CASE("callers are served while connections from all daemons but two to endpoints are reset")
{
    checkCut(cutOfBoth(allButTwo()), LinkState::Resetting);
}

TEST_CASE("callers are served while only two daemons can open new connections to endpoints")
{
    checkCut(cutOfBoth(allButTwo()), LinkState::RefusingNew, true);
}

TEST_CASE("what daemons tell each other takes less than 6 KB a second, and their contact to services adds less than that")
{
    constexpr double MaxBytesPerSecond = 6 * 1024;
    static constexpr int Seconds = 3;
    Site site;
    const auto bytesPerSecond = [&site] {
        const auto before = site.meshBytes();
        site.fleet.runFor(std::chrono::seconds(Seconds));
        auto bytes = site.meshBytes();
        std::ranges::transform(bytes, before, bytes.begin(), [](double after, double earlier) { return (after - earlier) / Seconds; });
        return bytes;
    };
    site.fleet.runFor(EndTime);
    auto inContact = bytesPerSecond();
    site.setLinks(mostOfEach(), LinkState::Resetting);
    site.sendFor(1s);
    site.fleet.runFor(EndTime);
    const auto withCut = bytesPerSecond();
    std::vector<double> added;
    std::ranges::transform(withCut, inContact, std::back_inserter(added), std::minus<>());
    for (auto *it : {&inContact, &added}) {
        std::ranges::sort(*it); // the lease holder, which tells all others, comes last
    }
    const auto middle = siteSize() / 2;
    const auto last = siteSize() - 1;
    MESSAGE("bytes a second, median, second highest and highest: all in contact " << inContact[middle] << ", " << inContact[last - 1] << ", " << inContact[last]
                                                                                  << "; added while most are cut off " << added[middle] << ", "
                                                                                  << added[last - 1] << ", " << added[last]);
    CHECK(added[last - 1] < MaxBytesPerSecond);
    CHECK(inContact[middle] < MaxBytesPerSecond);
    CHECK(inContact[last - 1] < MaxBytesPerSecond);
}
