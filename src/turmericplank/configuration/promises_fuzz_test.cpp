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

/// Bounds nothing of the cluster: the oracle keeps the truth, the model only says which commands make sense.
struct ModelState
{
    std::array<bool, Daemons> isUp{true, true, true, true};
};

struct World
{
    World()
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

using Command = rc::state::Command<ModelState, World>;

/// Common part: time passes, every daemon is asked to admit, and the oracle must be content.
struct Step : Command
{
    int pause = *rc::gen::inRange(0, 1200);

    virtual void act(World &world) const = 0;

    void run(const ModelState &, World &world) const override
    {
        act(world);
        for (int n = 0; n < 3; ++n) {
            world.cluster.run(std::chrono::milliseconds(pause));
            for (std::size_t it = 0; it < Daemons; ++it) {
                world.cluster.admit(it);
            }
        }
        RC_ASSERT(world.cluster.oracle.breaches.empty());
    }
};

struct Look : Step
{
    std::size_t who = *rc::gen::inRange<std::size_t>(0, Operators);

    void act(World &world) const override
    {
        world.cluster.readDraft(world.operators[who]);
    }

    void show(std::ostream &out) const override
    {
        out << "look operator=" << who << " then " << pause;
    }
};

struct EditSection : Step
{
    std::size_t who = *rc::gen::inRange<std::size_t>(0, Operators);
    bool isModels = *rc::gen::arbitrary<bool>();
    bool looksFirst = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});

    void act(World &world) const override
    {
        world.edits += 1;
        if (looksFirst) {
            world.cluster.readDraft(world.operators[who]);
        }
        const auto number = std::to_string(world.edits);
        const auto text = isModels ? "[models.m]\nversion = \"" + number + "\"\nmemory_mib = 10\n" : "[placement]\nmove_price = " + number + "\n";
        world.cluster.edit(world.operators[who], isModels ? Section::Models : Section::Placement, text);
    }

    void show(std::ostream &out) const override
    {
        out << "edit operator=" << who << " models=" << isModels << " looks=" << looksFirst << " then " << pause;
    }
};

struct AcceptDraft : Step
{
    std::size_t who = *rc::gen::inRange<std::size_t>(0, Operators);
    bool looksFirst = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});

    void act(World &world) const override
    {
        if (looksFirst) {
            world.cluster.readDraft(world.operators[who]);
        }
        world.cluster.accept(world.operators[who]);
    }

    void show(std::ostream &out) const override
    {
        out << "accept operator=" << who << " looks=" << looksFirst << " then " << pause;
    }
};

struct StoreFault : Step
{
    int kind = *rc::gen::inRange(0, 6);

    void act(World &world) const override
    {
        auto &store = world.cluster.store;
        world.cluster.lastFault = world.cluster.queue.now();
        store.isDown = kind == 0;
        store.latency = kind == 1 ? base::Duration(1s) : base::Duration(10ms);
        store.answersToLose = kind == 2 || kind == 3 ? 2 : 0;
        store.lostWriteDelay = kind == 3 ? base::Duration(4s) : base::Duration(0s);
        world.cluster.noticeLoss = kind == 4 ? 0.7 : 0.0;
    }

    void show(std::ostream &out) const override
    {
        out << "store fault kind=" << kind << " then " << pause;
    }
};

struct CutDaemon : Step
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
    bool fromStore = *rc::gen::arbitrary<bool>();
    bool fromPeers = *rc::gen::arbitrary<bool>();

    void act(World &world) const override
    {
        world.cluster.lastFault = world.cluster.queue.now();
        world.cluster.daemons[daemon].isCutFromStore = fromStore;
        world.cluster.daemons[daemon].isCutFromPeers = fromPeers;
    }

    void show(std::ostream &out) const override
    {
        out << "cut daemon=" << daemon << " store=" << fromStore << " peers=" << fromPeers << " then " << pause;
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

    void act(World &world) const override
    {
        world.cluster.stop(daemon);
    }

    void show(std::ostream &out) const override
    {
        out << "stop daemon=" << daemon << " then " << pause;
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

    void act(World &world) const override
    {
        world.cluster.start(daemon);
    }

    void show(std::ostream &out) const override
    {
        out << "start daemon=" << daemon << " then " << pause;
    }
};

struct PauseDaemon : Step
{
    std::size_t daemon = *rc::gen::inRange<std::size_t>(0, Daemons);
    int length = *rc::gen::inRange(100, 9000);

    void checkPreconditions(const ModelState &model) const override
    {
        RC_PRE(model.isUp[daemon]);
    }

    void act(World &world) const override
    {
        world.cluster.pause(daemon);
        world.cluster.run(std::chrono::milliseconds(length));
        world.cluster.resume(daemon);
        world.cluster.lastFault = world.cluster.queue.now();
    }

    void show(std::ostream &out) const override
    {
        out << "pause daemon=" << daemon << " for " << length << " then " << pause;
    }
};

/// Heals everything, waits, and checks that all daemons ended where the table says.
void checkConvergence(const ModelState &model, World &world)
{
    auto &cluster = world.cluster;
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
    RC_ASSERT(cluster.oracle.breaches.empty());
    // Every wish that was granted took effect once, and none that was denied took effect, however late.
    for (const auto &[token, wish] : cluster.oracle.wishes) {
        RC_ASSERT(wish.effects <= 1);
        RC_ASSERT(!wish.isDenied || wish.effects == 0);
    }
}

} // namespace

TEST_CASE("edits, acceptance and activation keep their promises under faults")
{
    const auto isKept = rc::check("commands", [] {
        const ModelState initial;
        World world;
        const auto commands = *rc::state::gen::commands(initial,
                                                        rc::state::gen::execOneOfWithArgs<Look, EditSection, EditSection, AcceptDraft, AcceptDraft, StoreFault,
                                                                                          CutDaemon, StopDaemon, StartDaemon, PauseDaemon>());
        rc::state::runAll(commands, initial, world);
        auto model = initial;
        for (const auto &it : commands) {
            it->apply(model);
        }
        checkConvergence(model, world);
    });
    CHECK(isKept);
}
