#include <algorithm>
#include <chrono>
#include <ctime>
#include <memory>
#include <optional>
#include <random>

#include <boost/asio/io_context.hpp>
#include <malloc.h>

#include "section.hpp"
#include "turmericplank/membership/celldirectory.hpp"
#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/endpointview.hpp"
#include "turmericplank/membership/entrydirectory.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/routing/router.hpp"
#include "turmericplank/routing/workselector.hpp"

namespace turmericplank::bench {

namespace {

using membership::DaemonView;
using membership::Heartbeat;
using membership::LiveState;

constexpr base::Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr base::Duration StepInterval = std::chrono::milliseconds(100);
constexpr std::size_t CellDaemons = 8;
constexpr std::size_t WorkLimit = 20; ///< max endpoints in a heartbeat
constexpr double LossProbability = 0.05;
constexpr base::Time Start = base::timeFromMilliseconds(1'000'000);
constexpr std::uint16_t MeshPort = 25950;

base::DaemonId daemonId(std::size_t n)
{
    return base::DaemonId("entry-" + std::to_string(n));
}

base::EndpointId endpointId(std::size_t n)
{
    return base::EndpointId("site-engine-" + std::to_string(n));
}

std::vector<membership::DaemonRecord> makeRecords()
{
    std::vector<membership::DaemonRecord> records;
    for (std::size_t n = 0; n < CellDaemons; ++n) {
        records.push_back({daemonId(n), base::ZoneName("region/zone-" + std::to_string(n % 3)), {"10.0.0.1", 8080}, {"10.0.0.1", 8081}});
    }
    return records;
}

/// The daemons of a cell that exchange heartbeats over lossy links in simulated time.
class LossyCell
{
public:
    explicit LossyCell(unsigned seed)
        : m_random(seed)
    {
        for (const auto &it : makeRecords()) {
            m_views.push_back(std::make_unique<DaemonView>(it, base::Incarnation(1)));
            m_views.back()->noteRecords(makeRecords(), m_now);
            m_nextHeartbeatAt.push_back(m_now + base::Duration(static_cast<std::int64_t>(m_random() % 1'000'000)));
        }
    }

    void step()
    {
        m_now += StepInterval;
        auto arrived = std::move(m_messagesInFlight);
        m_messagesInFlight.clear();
        for (auto &it : arrived) {
            m_views[it.to]->noteHeartbeat(it.heartbeat, m_now);
        }
        for (std::size_t n = 0; n < m_views.size(); ++n) {
            m_views[n]->tick(m_now);
            if (m_now >= m_nextHeartbeatAt[n]) {
                m_nextHeartbeatAt[n] = m_now + HeartbeatInterval;
                sendHeartbeats(n);
            }
        }
    }

    /// A daemon leaves and notifies the others immediately; a lost notification is repeated by the next heartbeat.
    void leave(std::size_t n)
    {
        m_views[n]->leave();
        sendHeartbeats(n);
    }

    std::size_t countOf(std::size_t subject, LiveState state) const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < m_views.size(); ++n) {
            count += n != subject && m_views[n]->state(daemonId(subject), m_now) == state ? 1 : 0;
        }
        return count;
    }

    base::Time now() const
    {
        return m_now;
    }

private:
    struct Message
    {
        std::size_t to = 0;
        Heartbeat heartbeat;
    };

    void sendHeartbeats(std::size_t from)
    {
        const auto heartbeat = m_views[from]->heartbeat(m_now);
        for (std::size_t to = 0; to < m_views.size(); ++to) {
            if (to != from && std::uniform_real_distribution<double>(0, 1)(m_random) >= LossProbability) {
                m_messagesInFlight.push_back({to, heartbeat});
            }
        }
    }

    std::mt19937_64 m_random;
    base::Time m_now = Start;
    std::vector<std::unique_ptr<DaemonView>> m_views;
    std::vector<base::Time> m_nextHeartbeatAt;
    std::vector<Message> m_messagesInFlight;
};

void measureLeaving(unsigned seed)
{
    constexpr int Runs = 500;
    constexpr int WarmUpSteps = 50;
    constexpr int MaxSteps = 200;
    std::vector<double> seconds;
    for (int run = 0; run < Runs; ++run) {
        LossyCell cell(seed * 10'000 + static_cast<unsigned>(run));
        for (int n = 0; n < WarmUpSteps + run % 10; ++n) {
            cell.step();
        }
        const auto from = cell.now();
        cell.leave(3);
        int steps = 0;
        while (cell.countOf(3, LiveState::Live) > 0 && steps++ < MaxSteps) {
            cell.step();
        }
        seconds.push_back(std::chrono::duration<double>(cell.now() - from).count());
    }
    std::ranges::sort(seconds);
    printFigure("membership.leaving_to_no_new_work", seconds[seconds.size() * 99 / 100], "s", "<= 3");
}

void measureFalseRemovals(unsigned seed)
{
    constexpr int Hours = 4;
    LossyCell cell(seed);
    for (int n = 0; n < 100; ++n) {
        cell.step();
    }
    double removals = 0;
    double suspectSeconds = 0;
    double seconds = 0;
    const auto until = Start + std::chrono::hours(Hours);
    while (cell.now() < until) {
        cell.step();
        for (std::size_t n = 0; n < CellDaemons; ++n) {
            removals += static_cast<double>(cell.countOf(n, LiveState::Gone) + cell.countOf(n, LiveState::Leaving));
            suspectSeconds += static_cast<double>(cell.countOf(n, LiveState::Suspect)) / 10;
            seconds += static_cast<double>(CellDaemons - 1) / 10;
        }
    }
    printFigure("membership.false_removals", removals, "views", "0");
    printFigure("membership.false_suspicion_share", suspectSeconds / seconds, "share", "-");
}

/// Bytes sent and received for one call of the mesh, without its body.
double meshOverhead()
{
    constexpr int Calls = 200;
    constexpr std::size_t BodyBytes = 400;
    boost::asio::io_context context;
    const auto open = [&context](std::uint16_t port, std::size_t n) {
        peer::MeshOptions options;
        options.listen = {"127.0.0.1", port};
        options.self = daemonId(n);
        return peer::openMesh(context, options);
    };
    const auto first = open(MeshPort, 0);
    const auto second = open(MeshPort + 1, 1);
    second->handle("membership/heartbeat", [](const base::DaemonId &, const std::string &, const peer::PeerResponder &answer) { answer.end(); });
    int endedCalls = 0;
    std::uint64_t before = 0;
    std::function<void()> next = [&] {
        peer::PeerCall call;
        call.kind = "membership/heartbeat";
        call.body = std::string(BodyBytes, 'x');
        call.onChunk = [](std::string_view) {
        };
        call.onEnd = [&](tl::expected<void, peer::PeerFailure>) {
            if (++endedCalls == 1) {
                before = first->bytesTransferred();
            }
            if (endedCalls <= Calls) {
                next();
            } else {
                context.stop();
            }
        };
        first->call({"127.0.0.1", MeshPort + 1}, std::move(call));
    };
    next();
    context.run_for(std::chrono::seconds(5));
    return static_cast<double>(first->bytesTransferred() - before) / Calls - BodyBytes;
}

/// Size of a fleet, as far as it matters to one daemon.
struct FleetSize
{
    std::size_t daemons;
    std::size_t cellEndpoints;
    std::size_t cellModels;
    std::size_t models;

    std::size_t cells() const
    {
        return (daemons + CellDaemons - 1) / CellDaemons;
    }
};

/// Membership and routing state of one daemon, which gets the same input as in a running cell.
struct DaemonState
{
    DaemonView view{makeRecords().front(), base::Incarnation(1)};
    membership::EndpointView endpoints;
    membership::EntryDirectory directory;
    membership::CellDirectory cells{base::CellName("own"), "region-0"};
    routing::Router router;
    routing::WorkSelector workSelector;
    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<DaemonView>> others;
    std::map<membership::ShortName, base::EndpointId> endpointsByShortName;
    std::size_t heartbeatBytes = 0;
    const FleetSize size;

    explicit DaemonState(const FleetSize &fleetSize)
        : size(fleetSize)
    {
        view.noteRecords(makeRecords(), Start);
        std::vector<base::EndpointId> ids;
        std::vector<routing::RoutableEndpoint> routable;
        for (std::size_t n = 0; n < size.cellEndpoints; ++n) {
            ids.push_back(endpointId(n));
            endpointsByShortName.emplace(membership::shortName(ids.back().text()), ids.back());
            routable.push_back({ids.back(), {"10.0.0.1", 8000}, base::ZoneName("region/zone-1"), 32});
        }
        endpoints.setEndpoints(ids, Start);
        router.setEndpoints(routable);
        std::vector<base::ModelName> models;
        for (std::size_t n = 0; n < size.cellModels; ++n) {
            models.emplace_back("model-" + std::to_string(n));
        }
        router.setModels(models, {});
        for (std::size_t n = 1; n < CellDaemons; ++n) {
            others.push_back(std::make_unique<DaemonView>(makeRecords()[n], base::Incarnation(1)));
            others.back()->noteRecords(makeRecords(), Start);
        }
    }

    Heartbeat fullHeartbeat(DaemonView &from, base::Time now)
    {
        auto heartbeat = from.heartbeat(now);
        heartbeat.incarnation = base::Incarnation(1);
        heartbeat.receiverSequence = heartbeat.sequence;
        heartbeat.receiverUseUntil = now;
        heartbeat.load = 60;
        for (const auto &it : view.members(now)) {
            if (heartbeat.heard.size() + 1 < CellDaemons) {
                heartbeat.heard.push_back({membership::shortName(it.record.id.text()), 500});
            }
        }
        // The callers of each daemon keep a few streams on every endpoint of the cell in progress.
        std::vector<routing::EndpointWork> own;
        for (std::size_t n = 0; n < size.cellEndpoints; ++n) {
            own.push_back({endpointId(n), static_cast<std::uint32_t>(random() % 6), 1, 1, 600, 1200});
        }
        for (const auto &it : workSelector.select(own, WorkLimit, now)) {
            const auto name = membership::shortName(it.endpoint.text());
            heartbeat.work.push_back({name, it.streams, it.urgentWaiting, it.otherWaiting, it.urgentTokens, it.otherTokens});
        }
        return heartbeat;
    }

    /// Handles one second of heartbeats and ticks.
    void simulateSecond(base::Time now)
    {
        for (const auto &it : others) {
            const auto bytes = encode(fullHeartbeat(*it, now));
            heartbeatBytes = bytes.size();
            const auto heartbeat = membership::decodeHeartbeat(bytes);
            view.noteHeartbeat(*heartbeat, now);
            endpoints.noteHeartbeat(*heartbeat);
            std::vector<routing::EndpointWork> work;
            for (const auto &entry : heartbeat->work) {
                work.push_back(
                    {endpointsByShortName.at(entry.endpoint), entry.streams, entry.urgentWaiting, entry.otherWaiting, entry.urgentTokens, entry.otherTokens});
            }
            router.notePeerWork(heartbeat->from, work, now);
            encode(fullHeartbeat(view, now));
        }
        for (int n = 0; n < 10; ++n) {
            view.tick(now);
            const auto heard = view.heardDaemons(now);
            for (std::size_t k = 0; k < size.cellEndpoints; ++k) {
                endpoints.state(endpointId(k), heard, now);
            }
            directory.answer(view.members(now), base::ZoneName("region/zone-1"), now, random);
        }
    }

    void noteSummaries(base::Time now, std::uint64_t sequence)
    {
        for (std::size_t cell = 0; cell < size.cells(); ++cell) {
            membership::CellSummary summary{base::CellName("cell-" + std::to_string(cell)), "region-1", sequence, {{"10.0.0.1", 1}, {"10.0.0.2", 1}}, {}, 0.5};
            for (std::size_t n = 0; n < size.cellModels; ++n) {
                summary.models.emplace_back("model-" + std::to_string((cell * 26 + n) % size.models));
            }
            cells.noteSummary(summary, now);
        }
    }
};

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Growth of the heap in MiB, including large blocks that are mapped separately.
double heapGrowth(const struct mallinfo2 &before)
{
    const auto after = mallinfo2();
    return static_cast<double>(after.uordblks + after.hblkhd - before.uordblks - before.hblkhd) / 1048576;
}

void measureSize(const FleetSize &size, double overhead)
{
    constexpr int Seconds = 60;
    constexpr int SummaryInterval = 10; ///< seconds between two updates of the cells' summaries
    const auto name = "." + std::to_string(size.daemons);
    const auto before = mallinfo2();
    DaemonState state(size);
    state.noteSummaries(Start, 1);
    state.simulateSecond(Start);
    const auto memory = heapGrowth(before);
    const double begin = cpuSeconds();
    for (int n = 1; n <= Seconds; ++n) {
        state.simulateSecond(Start + n * HeartbeatInterval);
        if (n % SummaryInterval == 0) {
            state.noteSummaries(Start + n * HeartbeatInterval, static_cast<std::uint64_t>(n));
        }
    }
    const double share = (cpuSeconds() - begin) / Seconds * 100;
    const double bytesPerHeartbeat = static_cast<double>(state.heartbeatBytes) + overhead;
    printFigure("membership.heartbeat_bytes" + name, static_cast<double>(state.heartbeatBytes), "B", "-");
    printFigure("membership.bytes_per_second" + name, bytesPerHeartbeat * (CellDaemons - 1) * 2, "B/s sent and received", "<= 6144");
    printFigure("membership.cpu_share" + name, share, "% of a core", "<= 4.9");
    printFigure("membership.memory" + name, memory, "MiB", "<= 256");
}

void runMembership(unsigned seed)
{
    measureLeaving(seed);
    measureFalseRemovals(seed);
    const double overhead = meshOverhead();
    printFigure("membership.call_overhead", overhead, "B a call", "-");
    measureSize({8, 18, 35, 35}, overhead);
    measureSize({40, 150, 60, 180}, overhead);
    measureSize({410, 150, 60, 1300}, overhead);
}

const Section membershipSection("membership", runMembership);

} // namespace

} // namespace turmericplank::bench
