#include "testfleet.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace turmericplank::gateway::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto StartTime = 2500ms; ///< until all daemons know each other and the endpoints
constexpr auto CutTime = 1s; ///< for which all connections of one daemon to endpoints end after each call
constexpr auto RecoveryTime = 1s; ///< for daemons to learn that the endpoints did not crash; a refused content is tried again only later
constexpr auto AnswerTime = 1s; ///< of a call or stream, with a margin
constexpr std::size_t CutDaemon = 0;
constexpr int NewPart = 7; ///< used by calls of the daemon that is cut off, and not answered before
constexpr int KnownPart = 1;
constexpr std::string_view CutQuery = "?cut"; ///< of calls whose connections end; contents that differ in the query only are the same

/// Sends calls to one daemon whose connections to all endpoints end after each call, and others beside them to the other daemons.
class Callers
{
public:
    explicit Callers(TestFleet &fleet)
        : m_fleet(fleet)
    {
        for (auto &it : fleet.endpoints) {
            it->isCut = [](const net::HttpRequest &request) {
                return request.target.ends_with(CutQuery);
            };
        }
    }

    /// Sends calls of one content, streams whose prompts share one part, and sound ones.
    void runFor(base::Duration time, bool isCut)
    {
        const auto end = base::now() + time;
        while (base::now() < end) {
            if (isCut) {
                m_fleet.call(CutDaemon, {}, "question", "/r/x" + std::string(CutQuery));
                sendStream(CutDaemon, NewPart, CutQuery);
            }
            for (std::size_t n = 0; n < m_fleet.daemonCount(); ++n) {
                if (n != CutDaemon) {
                    others.push_back(m_fleet.call(n, {}, "other question " + std::to_string(++m_next)));
                    others.push_back(sendStream(n, KnownPart));
                }
            }
            m_fleet.runFor(20ms);
        }
    }

    std::shared_ptr<TestFleet::Result> sendStream(std::size_t daemon, int part, std::string_view query = {})
    {
        const auto own = std::to_string(100000 + ++m_next);
        return m_fleet.call(daemon, {{"Prompt", std::to_string(part) + ' ' + own}}, "question " + own, "/s/" + own + std::string(query));
    }

    std::vector<std::shared_ptr<TestFleet::Result>> others; ///< calls to daemons that are not cut off

private:
    TestFleet &m_fleet;
    int m_next = 0;
};

std::size_t answered(const std::vector<std::shared_ptr<TestFleet::Result>> &results)
{
    return static_cast<std::size_t>(std::ranges::count_if(results, [](const auto &it) { return it->status == 200; }));
}

} // namespace

TEST_CASE("contents and parts of prompts that a daemon loses because it is cut off from all endpoints are not refused")
{
    TestFleet fleet(3, 6, [](std::size_t, std::size_t) { return true; });
    fleet.runFor(StartTime);
    Callers callers(fleet);
    callers.runFor(500ms, false);
    callers.runFor(CutTime, true);
    callers.runFor(RecoveryTime, false);
    std::vector<std::shared_ptr<TestFleet::Result>> contents;
    std::vector<std::shared_ptr<TestFleet::Result>> streams;
    for (std::size_t n = 0; n < fleet.daemonCount(); ++n) {
        contents.push_back(fleet.call(n, {}, "question"));
        streams.push_back(callers.sendStream(n, NewPart));
    }
    fleet.runFor(AnswerTime);
    CHECK(answered(contents) == contents.size());
    CHECK(answered(streams) == streams.size());
    CHECK(answered(callers.others) == callers.others.size());
    CHECK(fleet.crashes() == 0);
}
