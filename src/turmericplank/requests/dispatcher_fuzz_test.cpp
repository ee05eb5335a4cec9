#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "simulationevents.hpp"

using namespace turmericplank;
using namespace turmericplank::requests;
using fake::Simulation;
using fake::Violation;

namespace {

/// Model state of the command generator, which needs none; the oracle in the simulation checks the results.
struct EmptyModel
{
};

using Command = rc::state::Command<EmptyModel, Simulation>;

/// A simulation event with the number that selects what it applies to.
class EventCommand : public Command
{
public:
    using Effect = fake::SimulationEvent::Effect;

    EventCommand(const char *name, Effect effect, unsigned number)
        : m_name(name)
        , m_effect(std::move(effect))
        , m_number(number)
    {
    }

    void run(const EmptyModel &, Simulation &simulation) const override
    {
        m_effect(simulation, m_number);
        RC_ASSERT(simulation.oracle.firstViolation() == std::string());
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

rc::Gen<std::shared_ptr<const Command>> nextCommand(const EmptyModel &)
{
    return rc::gen::exec([] {
        const auto index = *rc::gen::elementOf(fake::weightedEventIndexes());
        const auto number = *rc::gen::resize(100, rc::gen::inRange(0U, 10000U));
        return std::shared_ptr<const Command>(
            std::make_shared<EventCommand>(fake::simulationEvents()[index].name, fake::simulationEvents()[index].effect, number));
    });
}

/// Property: random events on a simulated cell cause no violation.
std::function<void()> holdsGuarantees(std::size_t daemons, std::function<void(DispatcherOptions &)> modify)
{
    return [daemons, modify] {
        Simulation::Options options;
        options.daemons = daemons;
        options.modify = modify;
        Simulation simulation(options);
        rc::state::check(EmptyModel(), simulation, nextCommand);
        simulation.settle();
        RC_ASSERT(simulation.oracle.firstViolation() == std::string());
    };
}

/// Whether the property detects a broken variant within `maxSuccess` sequences.
bool isDetected(const std::function<void(DispatcherOptions &)> &modify)
{
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 4000;
    params.disableShrinking = true;
    const auto result = rc::detail::checkTestable(holdsGuarantees(3, modify), rc::detail::TestMetadata(), params);
    return result.is<rc::detail::FailureResult>();
}

} // namespace

TEST_CASE("requests keep their guarantees with two to four daemons under faults")
{
    for (const std::size_t daemons : {2U, 3U, 4U}) {
        CAPTURE(daemons);
        CHECK(rc::check("guarantees under faults", holdsGuarantees(daemons, nullptr)));
    }
}

TEST_CASE("the property detects each broken rule")
{
    const auto always = [](const auto &...) {
        return true;
    };
    const std::vector<std::pair<const char *, std::function<void(DispatcherOptions &)>>> variants = {
        {"callers are always told not_run",
         [](auto &it) {
             it.callRules.outcome = [](const OutcomeRecord &) {
                 return base::Outcome::NotRun;
             };
         }},
        {"an ambiguous write counts as done",
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
        {"pieces of earlier attempts are accepted",
         [always](auto &it) {
             it.callRules.isCurrent = always;
         }},
        {"offsets are ignored",
         [always](auto &it) {
             it.callRules.isNext = always;
         }},
        {"suspects are never blocked",
         [](auto &it) {
             it.suspects.lossLimit = 100;
         }},
        {"attempts never time out",
         [](auto &it) {
             it.callRules.timesOutSilentAttempts = false;
         }},
        {"a draining daemon accepts requests",
         [](auto &it) {
             it.rejectsWhileDraining = false;
         }},
        {"retries have no budget",
         [](auto &it) {
             it.retries.retryRatio = 1000;
             it.retries.reserve = 1000;
         }},
    };
    for (const auto &it : variants) {
        CAPTURE(it.first);
        CHECK(isDetected(it.second));
    }
}
