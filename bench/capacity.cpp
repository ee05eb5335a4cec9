#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <random>

#include <malloc.h>

#include "section.hpp"
#include "turmericplank/membership/celldirectory.hpp"
#include "turmericplank/membership/daemonview.hpp"
#include "turmericplank/membership/entrydirectory.hpp"
#include "turmericplank/routing/router.hpp"
#include "turmericplank/routing/sharedlimit.hpp"

namespace turmericplank::bench {

namespace {

constexpr base::Time Start = base::timeFromMilliseconds(1'000'000);

/// Straight line through three measured sizes.
struct Line
{
    double slope = 0;
    double start = 0;
};

Line fit(const std::array<double, 3> &sizes, const std::array<double, 3> &values)
{
    const double meanSize = (sizes[0] + sizes[1] + sizes[2]) / 3;
    const double meanValue = (values[0] + values[1] + values[2]) / 3;
    double above = 0;
    double below = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        above += (sizes[n] - meanSize) * (values[n] - meanValue);
        below += (sizes[n] - meanSize) * (sizes[n] - meanSize);
    }
    return {above / below, meanValue - above / below * meanSize};
}

/// Measures at three sizes and prints each value and the slope.
void slope(const std::string &name, const std::array<double, 3> &sizes, const std::string &unit, const std::string &perWhat,
           const std::function<double(std::size_t size)> &measure)
{
    std::array<double, 3> values{};
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        values[n] = measure(static_cast<std::size_t>(sizes[n]));
        printFigure("capacity." + name + '.' + std::to_string(static_cast<int>(sizes[n])), values[n], unit, "-");
    }
    const auto line = fit(sizes, values);
    printFigure("capacity." + name + ".slope", line.slope, unit + ' ' + perWhat, "-");
    printFigure("capacity." + name + ".start", line.start, unit, "-");
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Heap that an object keeps.
template<typename Make>
double heapOf(Make make)
{
    const double before = heapBytes();
    const auto object = make();
    return heapBytes() - before + (object ? 0 : 1);
}

/// Mean time of a step in microseconds.
double microseconds(int repeats, const std::function<void()> &what)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < repeats; ++n) {
        what();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / repeats;
}

std::unique_ptr<routing::Router> makeRouter(std::size_t endpoints, std::size_t models)
{
    auto router = std::make_unique<routing::Router>();
    std::vector<routing::RoutableEndpoint> all;
    std::vector<base::ModelName> names;
    for (std::size_t n = 0; n < models; ++n) {
        names.emplace_back("model-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < endpoints; ++n) {
        all.push_back({base::EndpointId("site-engine-" + std::to_string(n)), {"10.0.0.1", 8000}, base::ZoneName("region/zone-1"), 32});
    }
    router->setEndpoints(all);
    router->setModels(names, {});
    for (std::size_t n = 0; n < endpoints; ++n) {
        routing::LoadReport report;
        report.incarnation = base::Incarnation(1);
        report.takenAt = Start;
        for (std::size_t k = 0; k < 4; ++k) {
            report.resident.push_back({names[(n * 7 + k * 13) % models], "1"});
        }
        router->noteReport(all[n].id, report, Start);
    }
    return router;
}

std::vector<membership::DaemonRecord> records(std::size_t count)
{
    std::vector<membership::DaemonRecord> all;
    for (std::size_t n = 0; n < count; ++n) {
        all.push_back({base::DaemonId("entry-" + std::to_string(n)), base::ZoneName("region/zone-1"), {"10.0.0.1", 1}, {"10.0.0.1", 2}});
    }
    return all;
}

membership::CellSummary summaryOf(std::size_t cell)
{
    constexpr std::size_t Models = 1300;
    constexpr std::size_t PerCell = 60;
    membership::CellSummary it{base::CellName("cell-" + std::to_string(cell)), "region-1", 1, {{"10.0.0.1", 1}, {"10.0.0.2", 1}}, {}, 0.5};
    for (std::size_t n = 0; n < PerCell; ++n) {
        it.models.emplace_back("model-" + std::to_string((cell * 26 + n) % Models));
    }
    return it;
}

/// Time of taking in one heartbeat and making one, by the daemons of a cell.
double heartbeatTime(std::size_t daemons)
{
    membership::DaemonView view(records(daemons).front(), base::Incarnation(1));
    membership::DaemonView other(records(daemons)[1], base::Incarnation(1));
    view.noteRecords(records(daemons), Start);
    other.noteRecords(records(daemons), Start);
    auto now = Start;
    return microseconds(2000, [&] {
        now += std::chrono::milliseconds(100);
        const auto heartbeat = membership::decodeHeartbeat(encode(other.heartbeat(now)));
        view.noteHeartbeat(*heartbeat, now);
        other.noteHeartbeat(view.heartbeat(now), now);
    });
}

void measureRouting(unsigned seed)
{
    slope("router_memory", {50, 150, 450}, "B", "an endpoint", [](std::size_t n) { return heapOf([n] { return makeRouter(n, 60); }); });
    slope("router_decision", {50, 150, 450}, "us", "an endpoint, 60 models", [seed](std::size_t n) {
        const auto router = makeRouter(n, 60);
        std::mt19937_64 random(seed);
        routing::RouteRequest request;
        request.deadline = base::Time::max();
        request.promptTokens = 800;
        std::size_t model = 0;
        return microseconds(20000, [&] {
            request.model = base::ModelName("model-" + std::to_string(model++ % 60));
            router->choose(request, Start, random);
        });
    });
    slope("prefix_index_memory", {10000, 20000, 40000}, "B", "a prefix", [](std::size_t n) {
        return heapOf([n] {
            auto index = std::make_unique<routing::PrefixIndex>();
            for (std::size_t k = 0; k < n; ++k) {
                index->noteUse(static_cast<routing::EndpointIndex>(k % 150), k * 0x9e3779b97f4a7c15ULL, Start);
            }
            return index;
        });
    });
    slope("attempt_memory", {1000, 2000, 4000}, "B", "a request in progress", [seed](std::size_t n) {
        const auto router = makeRouter(150, 60);
        std::mt19937_64 random(seed);
        routing::RouteRequest request;
        request.model = base::ModelName("model-1");
        request.deadline = base::Time::max();
        const double before = heapBytes();
        for (std::size_t k = 0; k < n; ++k) {
            const auto choice = router->choose(request, Start, random);
            router->noteSent(*choice, request, Start);
        }
        return heapBytes() - before;
    });
}

void measureMembership()
{
    slope("heartbeat_size", {8, 16, 32}, "B", "a daemon of the cell, without work", [](std::size_t n) {
        std::vector<membership::HeardAge> heard;
        membership::Heartbeat it;
        it.from = base::DaemonId("entry-0");
        it.incarnation = base::Incarnation(1'800'000'000'000);
        it.sequence = 1'800'000'000'000ULL << 20U;
        it.receiverSequence = it.sequence;
        it.receiverUseUntil = base::timeFromMilliseconds(1'800'000'000'000);
        for (std::size_t k = 1; k < n; ++k) {
            it.heard.push_back({membership::shortName("entry-" + std::to_string(k)), 500});
        }
        return static_cast<double>(encode(it).size());
    });
    slope("heartbeat_time", {8, 16, 32}, "us", "a daemon of the cell, made and taken in twice", heartbeatTime);
    slope("cell_directory_memory", {10, 25, 50}, "B", "a cell of 60 models", [](std::size_t n) {
        return heapOf([n] {
            auto directory = std::make_unique<membership::CellDirectory>(base::CellName("own"), "region-0");
            for (std::size_t cell = 0; cell < n; ++cell) {
                directory->noteSummary(summaryOf(cell), Start);
            }
            return directory;
        });
    });
    slope("entry_answer", {4, 8, 16}, "us", "a daemon of the cell", [](std::size_t n) {
        std::vector<membership::Member> members;
        for (const auto &it : records(n)) {
            members.push_back({it, membership::LiveState::Live, true, base::Incarnation(1), 10, {}});
        }
        membership::EntryDirectory directory;
        std::mt19937_64 random(1);
        return microseconds(20000, [&] { directory.answer(members, base::ZoneName("region/zone-1"), Start, random); });
    });
    slope("shared_limit_update", {8, 16, 32}, "us", "a daemon of the cell", [](std::size_t n) {
        routing::SharedLimitOptions options;
        options.limit = 100;
        routing::SharedLimit limit(base::DaemonId("entry-0"), options);
        std::vector<base::DaemonId> others;
        for (std::size_t k = 1; k < n; ++k) {
            others.emplace_back("entry-" + std::to_string(k));
        }
        limit.setOthers(others, n);
        std::uint64_t sequence = 0;
        return microseconds(20000, [&] {
            limit.claim(++sequence, Start);
            limit.noteClaim({others.front(), {1, 1}, sequence});
            limit.update(50, 0, Start);
        });
    });
}

void runCapacity(unsigned seed)
{
    measureRouting(seed);
    measureMembership();
}

const Section capacitySection("capacity", runCapacity);

} // namespace

} // namespace turmericplank::bench
