#include <ostream>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "testsimulation.hpp"

using namespace turmericplank::placement;
using namespace turmericplank::placement::test;

namespace {

/// What the commands may assume: nothing, any of them may come at any moment.
struct Model
{
    std::uint32_t commands = 0;
};

/// One command on the world; the oracle looks after every action inside it.
template<CommandKind Kind>
struct Step : rc::state::Command<Model, World>
{
    std::uint32_t value = *rc::gen::inRange<std::uint32_t>(0, 1000);

    void apply(Model &model) const override
    {
        ++model.commands;
    }

    void run(const Model & /*model*/, World &world) const override
    {
        carryOut(world, Kind, value);
        if (!world.violation().empty()) {
            RC_FAIL(world.violation());
        }
    }

    void show(std::ostream &out) const override
    {
        out << "Step " << static_cast<int>(Kind) << ' ' << value;
    }
};

void explore(const std::vector<bool> &checksFencing, std::uint32_t seed, std::size_t holders)
{
    WorldOptions options;
    options.seed = seed;
    options.holders = holders;
    options.checksFencing = checksFencing;
    World world(options);
    world.run(std::chrono::seconds(10));
    RC_ASSERT(world.violation().empty());
    rc::state::check(Model(), world,
                     rc::state::gen::execOneOfWithArgs<Step<CommandKind::Run>, Step<CommandKind::Run>, Step<CommandKind::RunLong>, Step<CommandKind::Pause>,
                                                       Step<CommandKind::PauseBeforeSend>, Step<CommandKind::Resume>, Step<CommandKind::RestartHolder>,
                                                       Step<CommandKind::RestartEngine>, Step<CommandKind::DeliverLate>, Step<CommandKind::TableDown>,
                                                       Step<CommandKind::TableUp>, Step<CommandKind::TableFault>, Step<CommandKind::SendFault>,
                                                       Step<CommandKind::Document>>());
}

} // namespace

TEST_CASE("memory is never overcommitted and no configured model lost, on engines that ignore terms and that check them")
{
    CHECK(rc::check("any faults in any order", [] {
        const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1U << 30U);
        const auto checks = *rc::gen::container<std::vector<bool>>(4, rc::gen::arbitrary<bool>());
        const auto holders = *rc::gen::inRange<std::size_t>(2, 4);
        explore(checks, seed, holders);
    }));
}
