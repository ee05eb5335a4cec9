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

/// Straight line fitted to the values measured at three sizes.
struct LinearFit
{
    double slope = 0;
    double intercept = 0;
};

LinearFit fitLine(const std::array<double, 3> &sizes, const std::array<double, 3> &values)
{
    const double meanSize = (sizes[0] + sizes[1] + sizes[2]) / 3;
    const double meanValue = (values[0] + values[1] + values[2]) / 3;
    double covariance = 0;
    double variance = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        covariance += (sizes[n] - meanSize) * (values[n] - meanValue);
        variance += (sizes[n] - meanSize) * (sizes[n] - meanSize);
    }
    return {covariance / variance, meanValue - covariance / variance * meanSize};
}

/// Measures at three sizes and prints each value, the slope and the intercept.
void measureScaling(const std::string &name, const std::array<double, 3> &sizes, const std::string &unit, const std::string &perUnit,
                    const std::function<double(std::size_t size)> &measure)
{
    std::array<double, 3> values{};
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        values[n] = measure(static_cast<std::size_t>(sizes[n]));
        printFigure("capacity." + name + '.' + std::to_string(static_cast<int>(sizes[n])), values[n], unit, "-");
    }
    const auto line = fitLine(sizes, values);
    printFigure("capacity." + name + ".slope", line.slope, unit + ' ' + perUnit, "-");
    printFigure("capacity." + name + ".start", line.intercept, unit, "-");
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Bytes of heap that an object occupies.
template<typename MakeObject>
double heapBytesOf(MakeObject makeObject)
{
    const double before = heapBytes();
    const auto object = makeObject();
    return heapBytes() - before + (object ? 0 : 1);
}

/// Mean time of one step in microseconds.
double meanMicroseconds(int repeats, const std::function<void()> &step)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int n = 0; n < repeats; ++n) {
        step();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / repeats;
}

std::unique_ptr<routing::Router> makeRouter(std::size_t endpointCount, std::size_t modelCount)
{
    auto router = std::make_unique<routing::Router>();
    std::vector<routing::RoutableEndpoint> endpoints;
    std::vector<base::ModelName> models;
    for (std::size_t n = 0; n < modelCount; ++n) {
        models.emplace_back("model-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < endpointCount; ++n) {
        endpoints.push_back({base::EndpointId("site-engine-" + std::to_string(n)), {"10.0.0.1", 8000}, base::ZoneName("region/zone-1"), 32});
    }
    router->setEndpoints(endpoints);
    router->setModels(models, {});
    for (std::size_t n = 0; n < endpointCount; ++n) {
        routing::LoadReport report;
        report.incarnation = base::Incarnation(1);
        report.takenAt = Start;
        for (std::size_t k = 0; k < 4; ++k) {
            report.resident.push_back({models[(n * 7 + k * 13) % modelCount], "1"});
        }
        router->noteReport(endpoints[n].id, report, Start);
    }
    return router;
}

std::vector<membership::DaemonRecord> makeRecords(std::size_t count)
{
    std::vector<membership::DaemonRecord> all;
    for (std::size_t n = 0; n < count; ++n) {
        all.push_back({base::DaemonId("entry-" + std::to_string(n)), base::ZoneName("region/zone-1"), {"10.0.0.1", 1}, {"10.0.0.1", 2}});
    }
    return all;
}

membership::CellSummary makeSummary(std::size_t cell)
{
    constexpr std::size_t Models = 1300;
    constexpr std::size_t ModelsPerCell = 60;
    membership::CellSummary summary{base::CellName("cell-" + std::to_string(cell)), "region-1", 1, {{"10.0.0.1", 1}, {"10.0.0.2", 1}}, {}, 0.5};
    for (std::size_t n = 0; n < ModelsPerCell; ++n) {
        summary.models.emplace_back("model-" + std::to_string((cell * 26 + n) % Models));
    }
    return summary;
}

/// Mean time of exchanging one heartbeat in each direction, in microseconds.
/// @param daemons number of daemons in the cell
double heartbeatTime(std::size_t daemons)
{
    membership::DaemonView view(makeRecords(daemons).front(), base::Incarnation(1));
    membership::DaemonView other(makeRecords(daemons)[1], base::Incarnation(1));
    view.noteRecords(makeRecords(daemons), Start);
    other.noteRecords(makeRecords(daemons), Start);
    auto now = Start;
    return meanMicroseconds(2000, [&] {
        now += std::chrono::milliseconds(100);
        const auto heartbeat = membership::decodeHeartbeat(encode(other.heartbeat(now)));
        view.noteHeartbeat(*heartbeat, now);
        other.noteHeartbeat(view.heartbeat(now), now);
    });
}

void measureRouting(unsigned seed)
{
    measureScaling("router_memory", {50, 150, 450}, "B", "an endpoint", [](std::size_t n) { return heapBytesOf([n] { return makeRouter(n, 60); }); });
    measureScaling("router_decision", {50, 150, 450}, "us", "an endpoint, 60 models", [seed](std::size_t n) {
        const auto router = makeRouter(n, 60);
        std::mt19937_64 random(seed);
        routing::RouteRequest request;
        request.deadline = base::Time::max();
        request.promptTokens = 800;
        std::size_t model = 0;
        return meanMicroseconds(20000, [&] {
            request.model = base::ModelName("model-" + std::to_string(model++ % 60));
            router->choose(request, Start, random);
        });
    });
    measureScaling("prefix_index_memory", {10000, 20000, 40000}, "B", "a prefix", [](std::size_t n) {
        return heapBytesOf([n] {
            auto index = std::make_unique<routing::PrefixIndex>();
            for (std::size_t k = 0; k < n; ++k) {
                index->noteUse(static_cast<routing::EndpointIndex>(k % 150), k * 0x9e3779b97f4a7c15ULL, Start);
            }
            return index;
        });
    });
    measureScaling("attempt_memory", {1000, 2000, 4000}, "B", "a request in progress", [seed](std::size_t n) {
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
    measureScaling("heartbeat_size", {8, 16, 32}, "B", "a daemon of the cell, without work", [](std::size_t n) {
        std::vector<membership::HeardAge> heard;
        membership::Heartbeat heartbeat;
        heartbeat.from = base::DaemonId("entry-0");
        heartbeat.incarnation = base::Incarnation(1'800'000'000'000);
        heartbeat.sequence = 1'800'000'000'000ULL << 20U;
        heartbeat.receiverSequence = heartbeat.sequence;
        heartbeat.receiverUseUntil = base::timeFromMilliseconds(1'800'000'000'000);
        for (std::size_t k = 1; k < n; ++k) {
            heartbeat.heard.push_back({membership::shortName("entry-" + std::to_string(k)), 500});
        }
        return static_cast<double>(encode(heartbeat).size());
    });
    measureScaling("heartbeat_time", {8, 16, 32}, "us", "a daemon of the cell, made and taken in twice", heartbeatTime);
    measureScaling("cell_directory_memory", {10, 25, 50}, "B", "a cell of 60 models", [](std::size_t n) {
        return heapBytesOf([n] {
            auto directory = std::make_unique<membership::CellDirectory>(base::CellName("own"), "region-0");
            for (std::size_t cell = 0; cell < n; ++cell) {
                directory->noteSummary(makeSummary(cell), Start);
            }
            return directory;
        });
    });
    measureScaling("entry_answer", {4, 8, 16}, "us", "a daemon of the cell", [](std::size_t n) {
        std::vector<membership::Member> members;
        for (const auto &it : makeRecords(n)) {
            members.push_back({it, membership::LiveState::Live, true, base::Incarnation(1), 10, {}});
        }
        membership::EntryDirectory directory;
        std::mt19937_64 random(1);
        return meanMicroseconds(20000, [&] { directory.answer(members, base::ZoneName("region/zone-1"), Start, random); });
    });
    measureScaling("shared_limit_update", {8, 16, 32}, "us", "a daemon of the cell", [](std::size_t n) {
        routing::SharedLimitOptions options;
        options.limit = 100;
        routing::SharedLimit limit(base::DaemonId("entry-0"), options);
        std::vector<base::DaemonId> others;
        for (std::size_t k = 1; k < n; ++k) {
            others.emplace_back("entry-" + std::to_string(k));
        }
        limit.setOthers(others, n);
        std::uint64_t sequence = 0;
        return meanMicroseconds(20000, [&] {
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
