#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fakecluster.hpp"

using namespace turmericplank;
using namespace turmericplank::configuration;
using namespace std::chrono_literals;

namespace {

constexpr int Daemons = 4;
constexpr int Operators = 3;

/// Only decides which commands are possible; the oracle checks the cluster's behavior.
struct ModelState
{
    std::array<bool, Daemons> isUp{true, true, true, true};
};

struct Simulation
{
    Simulation()
        : cluster({.daemons = Daemons})
    {
        Document document;
        document.site = "site";
        const base::EndpointId endpoint("e-1");
        document.endpoints[endpoint] = {.id = endpoint, .address = {"10.0.0.1", 80}, .zone = base::ZoneName("r/a"), .memoryMib = 100};
        const base::ModelName model("m");
        document.models[model] = {.name = model, .version = "1", .memoryMib = 10};
        cluster.seed(document);
        cluster.run(1s);
    }

    FakeCluster cluster;
    std::array<FakeCluster::Operator, Operators> operators;
    int edits = 0;
};

using Command = rc::state::Command<ModelState, Simulation>;

/// Base of all commands: acts, lets time pass, asks every daemon to admit a request, and checks that there was no violation.
struct Step : Command
{
    int delay = *rc::gen::inRange(0, 1200); ///< ms before each of three rounds of admissions

    virtual void act(Simulation &simulation) const = 0;

    void run(const ModelState &, Simulation &simulation) const override
    {
        act(simulation);
        for (int n = 0; n < 3; ++n) {
            simulation.cluster.run(std::chrono::milliseconds(delay));
            for (std::size_t it = 0; it < Daemons; ++it) {
                simulation.cluster.admit(it);
            }
        }
        RC_ASSERT(simulation.cluster.oracle.violations.empty());
    }
};

struct ReadDraft : Step
{
    std::size_t user = *rc::gen::inRange<std::size_t>(0, Operators);

    void act(Simulation &simulation) const override
    {
        simulation.cluster.readDraft(simulation.operators[user]);
    }

    void show(std::ostream &out) const override
    {
        out << "read draft operator=" << user << " then " << delay;
    }
};

struct EditSection : Step
{
    std::size_t user = *rc::gen::inRange<std::size_t>(0, Operators);
    bool isModels = *rc::gen::arbitrary<bool>();
    bool readsFirst = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});

    void act(Simulation &simulation) const override
    {
        simulation.edits += 1;
        if (readsFirst) {
            simulation.cluster.readDraft(simulation.operators[user]);
        }
        const auto number = std::to_string(simulation.edits);
        const auto text = isModels ? "[models.m]\nversion = \"" + number + "\"\nmemory_mib = 10\n" : "[placement]\nmove_price = " + number + "\n";
        simulation.cluster.edit(simulation.operators[user], isModels ? Section::Models : Section::Placement, text);
    }

    void show(std::ostream &out) const override
    {
        out << "edit operator=" << user << " models=" << isModels << " reads=" << readsFirst << " then " << delay;
    }
};

struct AcceptDraft : Step
{
    std::size_t user = *rc::gen::inRange<std::size_t>(0, Operators);
    bool readsFirst = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});

    void act(Simulation &simulation) const override
    {
        if (readsFirst) {
            simulation.cluster.readDraft(simulation.operators[user]);
        }
        simulation.cluster.accept(simulation.operators[user]);
    }

    void show(std::ostream &out) const override
    {
        out << "accept operator=" << user << " reads=" << readsFirst << " then " << delay;
    }
};

struct StoreFault : Step
{
    int kind = *rc::gen::inRange(0, 6); ///< 0 outage, 1 slow store, 2 lost responses, 3 lost responses with late writes, 4 lost notices, 5 none

    void act(Simulation &simulation) const override
    {
        auto &store = simulation.cluster.store;
        simulation.cluster.lastFault = simulation.cluster.queue.now();
        store.isDown = kind == 0;
        store.latency = kind == 1 ? base::Duration(1s) : base::Duration(10ms);
        store.answersToLose = kind == 2 || kind == 3 ? 2 : 0;
        store.lostWriteDelay = kind == 3 ? base::Duration(4s) : base::Duration(0s);
        simulation.cluster.noticeLoss = kind == 4 ? 0.7 : 0.0;
    }

    void show(std::ostream &out) const override
    {
        out << "store fault kind=" << kind << " then " << delay;
    }
};

struct CutDaemon : Step
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
    bool fromStore = *rc::gen::arbitrary<bool>();
    bool fromPeers = *rc::gen::arbitrary<bool>();

    void act(Simulation &simulation) const override
    {
        simulation.cluster.lastFault = simulation.cluster.queue.now();
        simulation.cluster.daemons[daemon].isCutFromStore = fromStore;
        simulation.cluster.daemons[daemon].isCutFromPeers = fromPeers;
    }

    void show(std::ostream &out) const override
    {
        out << "cut daemon=" << daemon << " store=" << fromStore << " peers=" << fromPeers << " then " << delay;
    }
};

struct StopDaemon : Step
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);

    void checkPreconditions(const ModelState &model) const override
    {
        RC_PRE(model.isUp[daemon]);
    }

    void apply(ModelState &model) const override
    {
        model.isUp[daemon] = false;
    }

    void act(Simulation &simulation) const override
    {
        simulation.cluster.stop(daemon);
    }

    void show(std::ostream &out) const override
    {
        out << "stop daemon=" << daemon << " then " << delay;
    }
};

struct StartDaemon : Step
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);

    void checkPreconditions(const ModelState &model) const override
    {
        RC_PRE(!model.isUp[daemon]);
    }

    void apply(ModelState &model) const override
    {
        model.isUp[daemon] = true;
    }

    void act(Simulation &simulation) const override
    {
        simulation.cluster.start(daemon);
    }

    void show(std::ostream &out) const override
    {
        out << "start daemon=" << daemon << " then " << delay;
    }
};

struct PauseDaemon : Step
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
    int length = *rc::gen::inRange(100, 9000); ///< ms

    void checkPreconditions(const ModelState &model) const override
    {
        RC_PRE(model.isUp[daemon]);
    }

    void act(Simulation &simulation) const override
    {
        simulation.cluster.pause(daemon);
        simulation.cluster.run(std::chrono::milliseconds(length));
        simulation.cluster.resume(daemon);
        simulation.cluster.lastFault = simulation.cluster.queue.now();
    }

    void show(std::ostream &out) const override
    {
        out << "pause daemon=" << daemon << " for " << length << " then " << delay;
    }
};

/// Ends all faults, waits, and checks that all running daemons serve the newest revision in the table.
void checkConvergence(const ModelState &model, Simulation &simulation)
{
    auto &cluster = simulation.cluster;
    cluster.lastFault = cluster.queue.now();
    cluster.store.isDown = false;
    cluster.store.latency = 10ms;
    cluster.store.answersToLose = 0;
    cluster.noticeLoss = 0;
    for (auto &it : cluster.daemons) {
        it.isCutFromStore = false;
        it.isCutFromPeers = false;
    }
    cluster.run(40s);
    const auto pointer = Oracle::pointerOf(cluster.store.rows);
    for (std::size_t n = 0; n < Daemons; ++n) {
        if (model.isUp[n]) {
            RC_ASSERT(cluster.admit(n) == Admission::Serve);
            RC_ASSERT(cluster.daemons[n].activation->inForce().revision == pointer.highest());
        }
    }
    RC_ASSERT(cluster.oracle.violations.empty());
    // No request was applied twice, and no rejected request was applied, not even late.
    for (const auto &[token, request] : cluster.oracle.requests) {
        RC_ASSERT(request.timesApplied <= 1);
        RC_ASSERT(!request.isRejected || request.timesApplied == 0);
    }
}

} // namespace

TEST_CASE("edits, acceptance and activation keep their guarantees under faults")
{
    const auto holds = rc::check("commands", [] {
        const ModelState initial;
        Simulation simulation;
        const auto commands = *rc::state::gen::commands(initial,
                                                        rc::state::gen::execOneOfWithArgs<ReadDraft, EditSection, EditSection, AcceptDraft, AcceptDraft,
                                                                                          StoreFault, CutDaemon, StopDaemon, StartDaemon, PauseDaemon>());
        rc::state::runAll(commands, initial, simulation);
        auto model = initial;
        for (const auto &it : commands) {
            it->apply(model);
        }
        checkConvergence(model, simulation);
    });
    CHECK(holds);
}
