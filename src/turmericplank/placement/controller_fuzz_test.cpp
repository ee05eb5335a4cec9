#include <ostream>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "testcommands.hpp"

using namespace turmericplank::placement;
using namespace turmericplank::placement::test;

namespace {

/// RapidCheck's model of the state. It holds no preconditions, because every command is allowed at any time.
struct Model
{
    std::uint32_t commands = 0;
};

/// Runs one command on the simulation, which checks its invariants after every action.
template<CommandKind Kind>
struct Step : rc::state::Command<Model, Simulation>
{
    std::uint32_t value = *rc::gen::inRange<std::uint32_t>(0, 1000);

    void apply(Model &model) const override
    {
        ++model.commands;
    }

    void run(const Model & /*model*/, Simulation &simulation) const override
    {
        execute(simulation, Kind, value);
        if (!simulation.violation().empty()) {
            RC_FAIL(simulation.violation());
        }
    }

    void show(std::ostream &out) const override
    {
        out << "Step " << static_cast<int>(Kind) << ' ' << value;
    }
};

/// Runs the simulation for 10 seconds without faults and then random commands.
void runRandomCommands(const std::vector<bool> &checksFencing, std::uint32_t seed, std::size_t holders)
{
    SimulationOptions options;
    options.seed = seed;
    options.holders = holders;
    options.checksFencing = checksFencing;
    Simulation simulation(options);
    simulation.run(std::chrono::seconds(10));
    RC_ASSERT(simulation.violation().empty());
    rc::state::check(Model(), simulation,
                     rc::state::gen::execOneOfWithArgs<Step<CommandKind::Run>, Step<CommandKind::Run>, Step<CommandKind::RunLong>, Step<CommandKind::Pause>,
                                                       Step<CommandKind::PauseBeforeSend>, Step<CommandKind::Resume>, Step<CommandKind::RestartHolder>,
                                                       Step<CommandKind::RestartEngine>, Step<CommandKind::DeliverDelayed>, Step<CommandKind::TableDown>,
                                                       Step<CommandKind::TableUp>, Step<CommandKind::TableFault>, Step<CommandKind::SendFault>,
                                                       Step<CommandKind::Document>>());
}

} // namespace

TEST_CASE("memory is never overcommitted and no configured model becomes unreachable, whether engines check terms or not")
{
    CHECK(rc::check("any faults in any order", [] {
        const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1U << 30U);
        const auto checks = *rc::gen::container<std::vector<bool>>(4, rc::gen::arbitrary<bool>());
        const auto holders = *rc::gen::inRange<std::size_t>(2, 4);
        runRandomCommands(checks, seed, holders);
    }));
}
