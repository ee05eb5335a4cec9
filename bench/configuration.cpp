#include "section.hpp"

#include <algorithm>
#include <array>
#include <chrono>

#include "../src/turmericplank/configuration/fakecluster.hpp"

namespace turmericplank::bench {

namespace {

using namespace configuration;
using namespace std::chrono_literals;

constexpr int TargetModels = 1300;
constexpr int TargetEndpoints = 7200;
constexpr auto StoreLatency = 1s;

double inSeconds(base::Duration duration)
{
    return base::inMilliseconds(duration) / 1000;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5);
    return values.empty() ? 0 : values[index];
}

Document makeDocument(int models, int endpoints)
{
    Document document;
    document.site = "target";
    for (int n = 0; n < models; ++n) {
        const base::ModelName name("model-" + std::to_string(n));
        document.models[name] = {.name = name, .version = "1", .memoryMib = 8000};
    }
    for (int n = 0; n < endpoints; ++n) {
        const base::EndpointId id("endpoint-" + std::to_string(n));
        const base::Address address{"10." + std::to_string(n / 65536) + "." + std::to_string(n / 256 % 256) + "." + std::to_string(n % 256), 8000};
        document.endpoints[id] = {.id = id, .address = address, .zone = base::ZoneName("r/a"), .memoryMib = 80000};
    }
    return document;
}

std::string placementText(int price)
{
    return "[placement]\nmove_price = " + std::to_string(price) + "\n";
}

/// Results of several changes that were accepted one after the other.
struct ActivationFigures
{
    std::vector<double> fromAcceptance; ///< seconds from the write of the pointer to the switch of the last daemon
    std::vector<double> fromRequest; ///< seconds from the operator's request to the switch of the last daemon
    std::vector<double> skews; ///< seconds between the switches of the first and the last daemon
    std::size_t missed = 0; ///< changes that at least one daemon did not switch to
};

/// When the daemons switched to a revision.
struct SwitchTimes
{
    base::Time first = base::Time::max();
    base::Time last;
    int count = 0;
};

ActivationFigures measureActivation(int daemons, unsigned seed)
{
    constexpr int Changes = 12;
    FakeCluster cluster({.daemons = daemons, .seed = seed, .checksAdmission = false});
    cluster.store.latency = StoreLatency;
    cluster.seed(makeDocument(20, 12));
    std::map<base::Revision, SwitchTimes> switches;
    cluster.onSwitched = [&](std::size_t, const SwitchRevision &it) {
        auto &entry = switches[it.inForce.revision];
        entry.first = std::min(entry.first, cluster.queue.now());
        entry.last = cluster.queue.now();
        entry.count += 1;
    };
    cluster.run(10s);
    ActivationFigures figures;
    FakeCluster::Operator user;
    for (int n = 0; n < Changes; ++n) {
        cluster.readDraft(user);
        cluster.edit(user, configuration::Section::Placement, placementText(n + 10));
        cluster.run(5s + std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 1500)(cluster.random)));
        cluster.readDraft(user);
        const auto requested = cluster.queue.now();
        cluster.accept(user);
        cluster.run(15s);
        const auto revision = base::Revision(static_cast<std::uint64_t>(n) + 2);
        const auto &it = switches[revision];
        figures.missed += it.count == daemons ? 0 : 1;
        figures.fromAcceptance.push_back(inSeconds(it.last - cluster.oracle.writtenAt[revision]));
        figures.fromRequest.push_back(inSeconds(it.last - requested));
        figures.skews.push_back(inSeconds(it.last - it.first));
    }
    return figures;
}

void printActivation(unsigned seed)
{
    for (const auto daemons : {8, 40, 410}) {
        const auto figures = measureActivation(daemons, seed);
        const auto suffix = ".daemons" + std::to_string(daemons);
        printFigure("configuration.time_to_force" + suffix, quantile(figures.fromAcceptance, 0.99), "s", "<= 8");
        printFigure("configuration.time_to_force_from_request" + suffix, quantile(figures.fromRequest, 0.99), "s", "<= 8");
        printFigure("configuration.activation_skew" + suffix, quantile(figures.skews, 0.99), "s", "<= 8");
        printFigure("configuration.missed_changes" + suffix, static_cast<double>(figures.missed), "changes", "0");
    }
}

/// Injects random faults into the store, one daemon and the network between them.
void injectFault(FakeCluster &cluster)
{
    const auto randomBelow = [&cluster](int bound) {
        return std::uniform_int_distribution<int>(0, bound - 1)(cluster.random);
    };
    auto &daemon = cluster.daemons[static_cast<std::size_t>(randomBelow(static_cast<int>(cluster.daemons.size())))];
    const auto n = static_cast<std::size_t>(&daemon - cluster.daemons.data());
    cluster.store.isDown = randomBelow(8) == 0;
    cluster.store.latency = randomBelow(4) == 0 ? base::Duration(StoreLatency) : base::Duration(10ms);
    cluster.store.answersToLose = randomBelow(3) == 0 ? 1 : 0;
    cluster.store.lostWriteDelay = randomBelow(2) == 0 ? base::Duration(4s) : base::Duration();
    cluster.noticeLoss = randomBelow(4) == 0 ? 0.5 : 0;
    daemon.isCutFromStore = randomBelow(4) == 0;
    daemon.isCutFromPeers = randomBelow(4) == 0;
    if (randomBelow(6) == 0) {
        cluster.stop(n);
        cluster.start(n);
    } else if (randomBelow(6) == 0 && daemon.activation != nullptr) {
        cluster.pause(n);
        cluster.run(std::chrono::milliseconds(randomBelow(6000)));
        cluster.resume(n);
    }
}

/// What a daemon can reach. This decides how long it may keep serving under an old revision.
enum class Reach {
    Store, ///< the store, directly or through a daemon that reaches it
    Nothing, ///< neither the store nor another daemon
    PeersOnly, ///< only daemons that do not reach the store either
};

struct FaultFigures
{
    std::uint64_t admissions = 0;
    std::uint64_t staleAdmissions = 0; ///< under a revision that had been superseded
    std::map<Reach, double> maxStaleness; ///< max age of a superseded revision at an admission, in seconds; counted at most from the last change of reach
    std::map<std::size_t, std::pair<Reach, base::Time>> reaches; ///< reach of each daemon and the time of its last change
    base::Time lastSample;
};

Reach reachOf(const FakeCluster &cluster, std::size_t n)
{
    const auto reachesStore = [&cluster](const FakeCluster::Daemon &it) {
        return it.activation != nullptr && !it.isPaused && !cluster.store.isDown && !it.isCutFromStore;
    };
    const auto &self = cluster.daemons[n];
    if (reachesStore(self)) {
        return Reach::Store;
    }
    if (self.isCutFromPeers) {
        return Reach::Nothing;
    }
    bool reachesPeer = false;
    for (const auto &it : cluster.daemons) {
        const auto isReachable = &it != &self && !it.isCutFromPeers && it.activation != nullptr;
        reachesPeer = reachesPeer || isReachable;
        if (isReachable && reachesStore(it)) {
            return Reach::Store;
        }
    }
    return reachesPeer ? Reach::PeersOnly : Reach::Nothing;
}

/// Records changes of reach. A change between two samples is dated to the earlier one, so that no staleness is underestimated.
void sampleReaches(const FakeCluster &cluster, FaultFigures &figures)
{
    for (std::size_t n = 0; n < cluster.daemons.size(); ++n) {
        const auto reach = reachOf(cluster, n);
        auto &recorded = figures.reaches[n];
        if (recorded.first != reach) {
            recorded = {reach, figures.lastSample};
        }
    }
    figures.lastSample = cluster.queue.now();
}

void sampleAdmissions(FakeCluster &cluster, FaultFigures &figures)
{
    sampleReaches(cluster, figures);
    for (std::size_t n = 0; n < cluster.daemons.size(); ++n) {
        if (cluster.admit(n) != Admission::Serve) {
            continue;
        }
        figures.admissions += 1;
        const auto next = cluster.oracle.accepted.upper_bound(cluster.daemons[n].activation->inForce().revision);
        if (next != cluster.oracle.accepted.end() && next->second.inForceFrom < cluster.queue.now()) {
            const auto since = std::max(next->second.inForceFrom, cluster.oracle.writtenAt[next->first]);
            const auto [reach, reachSince] = figures.reaches[n];
            const auto from = std::max(since, reachSince);
            figures.staleAdmissions += since < cluster.queue.now() ? 1 : 0;
            figures.maxStaleness[reach] = std::max(figures.maxStaleness[reach], inSeconds(cluster.queue.now() - from));
        }
    }
}

void printFaults(unsigned seed)
{
    constexpr int Rounds = 2000;
    FakeCluster cluster({.daemons = 8, .seed = seed});
    cluster.seed(makeDocument(20, 12));
    cluster.run(5s);
    FaultFigures figures;
    std::array<FakeCluster::Operator, 3> operators;
    for (int n = 0; n < Rounds; ++n) {
        auto &user = operators[static_cast<std::size_t>(n) % operators.size()];
        cluster.readDraft(user);
        if (n % 2 == 0) {
            cluster.edit(user, configuration::Section::Placement, placementText(n + 2));
        } else {
            cluster.accept(user);
        }
        if (n % 3 == 0) {
            injectFault(cluster);
        }
        for (int sample = 0; sample < 4; ++sample) {
            cluster.run(std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 800)(cluster.random)));
            sampleAdmissions(cluster, figures);
        }
    }
    auto &counts = cluster.oracle.counts;
    printFigure("configuration.accepted_under_faults", static_cast<double>(cluster.oracle.accepted.size() - 1), "changes", "-");
    printFigure("configuration.reverts", static_cast<double>(counts[Violation::Reverted]), "switches", "0");
    printFigure("configuration.lost_edits", static_cast<double>(counts[Violation::LostEdit]), "edits", "0");
    printFigure("configuration.unseen_edits", static_cast<double>(counts[Violation::UnseenEdit]), "acceptances", "0");
    printFigure("configuration.wrong_answers", static_cast<double>(counts[Violation::WrongAnswer]), "answers", "0");
    printFigure("configuration.old_after_notice", static_cast<double>(counts[Violation::StaleAdmission]), "admissions", "0");
    printFigure("configuration.old_admissions_under_faults", 100.0 * static_cast<double>(figures.staleAdmissions) / static_cast<double>(figures.admissions),
                "%", "-");
    // The first bound is the required one; the second adds the time after which an isolated daemon rejects requests.
    printFigure("configuration.oldest_admission_within_reach", figures.maxStaleness[Reach::Store], "s", "<= 8");
    printFigure("configuration.oldest_admission_cut_off_alone", figures.maxStaleness[Reach::Nothing], "s", "<= 38");
    printFigure("configuration.oldest_admission_cut_off_together", figures.maxStaleness[Reach::PeersOnly], "s", "-");
}

double medianMilliseconds(const std::function<void()> &work)
{
    constexpr int Runs = 20;
    std::vector<double> times;
    for (int n = 0; n < Runs; ++n) {
        const auto began = std::chrono::steady_clock::now();
        work();
        times.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count());
    }
    return quantile(std::move(times), 0.5);
}

std::size_t addedBytes(const ObjectCache &after, const ObjectCache &before)
{
    std::size_t total = 0;
    for (const auto &[name, bytes] : after) {
        total += before.contains(name) ? 0 : name.size() + bytes.size();
    }
    return total;
}

void printUpdateCost(const std::string &suffix, const Document &document, const std::function<void(Document &)> &change)
{
    ObjectCache before;
    const auto oldSections = splitDocument(document, before);
    const auto base = assembleDocument(nullptr, oldSections, before);
    auto changed = document;
    change(changed);
    auto after = before;
    const auto sections = splitDocument(changed, after);
    printFigure("configuration.whole_document" + suffix, static_cast<double>(canonicalText(document).size()) / 1024, "KiB", "-");
    printFigure("configuration.bytes_per_change" + suffix, static_cast<double>(addedBytes(after, before)) / 1024, "KiB", "-");
    printFigure("configuration.apply_change" + suffix, medianMilliseconds([&] { (void)assembleDocument(&*base, sections, after); }), "ms", "-");
    printFigure("configuration.apply_whole" + suffix, medianMilliseconds([&] { (void)assembleDocument(nullptr, sections, after); }), "ms", "-");
}

void printUpdateCosts()
{
    const auto models = makeDocument(TargetModels, 0);
    const auto target = makeDocument(TargetModels, TargetEndpoints);
    const auto changeModel = [](Document &it) {
        it.models.begin()->second.version = "2";
    };
    const auto changeEndpoint = [](Document &it) {
        it.endpoints.begin()->second.concurrency = 99;
    };
    printUpdateCost(".models1300", models, changeModel);
    printUpdateCost(".target_model", target, changeModel);
    printUpdateCost(".target_endpoint", target, changeEndpoint);
}

void printIdleCost(unsigned seed)
{
    constexpr int Daemons = 410;
    constexpr int Seconds = 60;
    FakeCluster cluster({.daemons = Daemons, .seed = seed, .noticeInterval = 5s, .checksAdmission = false});
    cluster.seed(makeDocument(20, 12));
    cluster.run(20s);
    const auto calls = cluster.store.calls;
    const auto bytes = cluster.store.bytesMoved;
    const auto notices = cluster.noticeBytes;
    cluster.run(std::chrono::seconds(Seconds));
    printFigure("configuration.idle_reads", static_cast<double>(cluster.store.calls - calls) / Seconds, "1/s", "<= 2000");
    printFigure("configuration.idle_bytes_per_daemon",
                static_cast<double>(cluster.store.bytesMoved - bytes + cluster.noticeBytes - notices) / Seconds / Daemons, "B/s", "<= 6000");
}

void run(unsigned seed)
{
    printActivation(seed);
    printFaults(seed);
    printUpdateCosts();
    printIdleCost(seed);
}

const bench::Section section("configuration", &run);

} // namespace

} // namespace turmericplank::bench
