#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "simulationevents.hpp"

using namespace turmericplank;
using namespace turmericplank::requests;
using fake::Simulation;
using fake::Violation;

namespace {

/// What the generator needs to know of the world; the oracle itself stands beside the world.
struct Nothing
{
};

using Command = rc::state::Command<Nothing, Simulation>;

/// One thing that happens, with a number that picks where.
class HappeningCommand : public Command
{
public:
    using Effect = fake::SimulationEvent::Effect;

    HappeningCommand(const char *name, Effect effect, unsigned number)
        : m_name(name)
        , m_effect(std::move(effect))
        , m_number(number)
    {
    }

    void run(const Nothing &, Simulation &world) const override
    {
        m_effect(world, m_number);
        RC_ASSERT(world.oracle.firstViolation() == std::string());
    }

    void show(std::ostream &out) const override
    {
        out << m_name << ' ' << m_number;
    }

private:
    const char *m_name;
    Effect m_effect;
    unsigned m_number;
};

rc::Gen<std::shared_ptr<const Command>> nextCommand(const Nothing &)
{
    return rc::gen::exec([] {
        const auto index = *rc::gen::elementOf(fake::weightedEventIndexes());
        const auto number = *rc::gen::resize(100, rc::gen::inRange(0U, 10000U));
        return std::shared_ptr<const Command>(
            std::make_shared<HappeningCommand>(fake::simulationEvents()[index].name, fake::simulationEvents()[index].effect, number));
    });
}

std::function<void()> promises(std::size_t daemons, std::function<void(DispatcherOptions &)> change)
{
    return [daemons, change] {
        Simulation::Options options;
        options.daemons = daemons;
        options.change = change;
        Simulation world(options);
        rc::state::check(Nothing(), world, nextCommand);
        world.settle();
        RC_ASSERT(world.oracle.firstViolation() == std::string());
    };
}

/// A broken variant must be caught within this many sequences.
bool isCaught(const std::function<void(DispatcherOptions &)> &change)
{
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 4000;
    params.disableShrinking = true;
    const auto result = rc::detail::checkTestable(promises(3, change), rc::detail::TestMetadata(), params);
    return result.is<rc::detail::FailureResult>();
}

} // namespace

TEST_CASE("requests keep their promises with two to four daemons under faults")
{
    for (const std::size_t daemons : {2U, 3U, 4U}) {
        CAPTURE(daemons);
        CHECK(rc::check("promises under faults", promises(daemons, nullptr)));
    }
}

TEST_CASE("each broken rule is caught")
{
    const auto always = [](const auto &...) {
        return true;
    };
    const std::vector<std::pair<const char *, std::function<void(DispatcherOptions &)>>> variants = {
        {"not_run is always said",
         [](auto &it) {
             it.callRules.outcome = [](const OutcomeRecord &) {
                 return base::Outcome::NotRun;
             };
         }},
        {"an ambiguous write is taken as done",
         [](auto &it) {
             it.bookings.rules.readsBackAmbiguousWrites = false;
         }},
        {"a sent booking is taken over",
         [always](auto &it) {
             it.bookings.rules.mayTakeOver = always;
         }},
        {"an unrepeatable call is sent again",
         [always](auto &it) {
             it.callRules.mayRepeat = always;
         }},
        {"bodies are not compared",
         [](auto &it) {
             it.bookings.rules.comparesBodies = false;
         }},
        {"pieces of earlier attempts are heard",
         [always](auto &it) {
             it.callRules.isCurrent = always;
         }},
        {"offsets are ignored",
         [always](auto &it) {
             it.callRules.isNext = always;
         }},
        {"suspects are never condemned",
         [](auto &it) {
             it.suspects.lossLimit = 100;
         }},
        {"silence is not noticed",
         [](auto &it) {
             it.callRules.endsSilentAttempts = false;
         }},
        {"a draining daemon admits",
         [](auto &it) {
             it.refusesWhileDraining = false;
         }},
        {"retries have no budget",
         [](auto &it) {
             it.retries.share = 1000;
             it.retries.reserve = 1000;
         }},
    };
    for (const auto &it : variants) {
        CAPTURE(it.first);
        CHECK(isCaught(it.second));
    }
}
