#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fakeworld.hpp"

using namespace turmericplank;
using namespace turmericplank::requests;
using fake::Violation;
using fake::World;

namespace {

/// What the generator needs to know of the world; the oracle itself stands beside the world.
struct Nothing
{
};

using Command = rc::state::Command<Nothing, World>;

/// One thing that happens, with a number that picks where.
class Happening : public Command
{
public:
    using Effect = std::function<void(World &, unsigned)>;

    Happening(const char *name, Effect effect, unsigned number)
        : m_name(name)
        , m_effect(std::move(effect))
        , m_number(number)
    {
    }

    void run(const Nothing &, World &world) const override
    {
        m_effect(world, m_number);
        RC_ASSERT(world.oracle.verdict() == std::string());
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

struct Kind
{
    int weight;
    const char *name;
    Happening::Effect effect;
};

std::string keyOf(unsigned number)
{
    return "k" + std::to_string(number % 4);
}

void resend(World &world, unsigned number)
{
    const auto &all = world.oracle.submissions;
    if (all.empty()) {
        return;
    }
    const auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(number % all.size()));
    const auto submission = it->second;
    if (world.isFinal(submission) && !submission.isPoison) {
        world.submit(number / 7, submission.kind, submission.content, submission.key);
    }
}

/// The crashing request has one caller, who sends it again once the last try has ended.
void sendPoison(World &world, unsigned number)
{
    for (const auto &[call, it] : world.oracle.submissions) {
        if (it.isPoison && !world.isFinal(it)) {
            return;
        }
    }
    world.submit(number, number % 2 == 0 ? CallKind::Model : CallKind::Lookup, World::PoisonContent, "");
}

void closeOne(World &world, unsigned number)
{
    const auto &all = world.oracle.submissions;
    if (all.empty()) {
        return;
    }
    const auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(number % all.size()));
    if (!it->second.isPoison) {
        world.close(it->first);
    }
}

const std::vector<Kind> &kinds()
{
    static const std::vector<Kind> all = {
        {6, "model",
         [](World &w, unsigned n) {
             w.submit(n, CallKind::Model, 1 + n % 20, "");
         }},
        {2, "lookup",
         [](World &w, unsigned n) {
             w.submit(n, CallKind::Lookup, 1 + n % 20, "");
         }},
        {4, "booking",
         [](World &w, unsigned n) {
             w.submit(n, CallKind::Booking, 100 + n % 4, keyOf(n));
         }},
        {3, "booking at two daemons",
         [](World &w, unsigned n) {
             w.submit(n, CallKind::Booking, 100 + n % 4, keyOf(n));
             w.submit(n + 1, CallKind::Booking, 100 + n % 4, keyOf(n));
         }},
        {2, "other body",
         [](World &w, unsigned n) {
             w.submit(n, CallKind::Booking, 200 + n % 4, keyOf(n));
         }},
        {3, "resend", resend},
        {4, "poison", sendPoison},
        {2, "close", closeOne},
        {18, "flow",
         [](World &w, unsigned n) {
             w.flow(1 + n % 3);
         }},
        {8, "deliver",
         [](World &w, unsigned n) {
             w.deliver(n);
         }},
        {8, "pump",
         [](World &w, unsigned n) {
             w.pump(n);
         }},
        {4, "lose",
         [](World &w, unsigned n) {
             w.lose(n);
         }},
        {4, "delay",
         [](World &w, unsigned n) {
             w.delay(n);
         }},
        {3, "repeat",
         [](World &w, unsigned n) {
             w.repeat(n);
         }},
        {3, "silence",
         [](World &w, unsigned n) {
             w.silence(n);
         }},
        {2, "break",
         [](World &w, unsigned n) {
             w.breakOff(n);
         }},
        {8, "advance",
         [](World &w, unsigned n) {
             w.advance(10 + n % 400);
         }},
        {2, "advance far",
         [](World &w, unsigned n) {
             w.advance(1000 + n % 6000);
         }},
        {2, "store down",
         [](World &w, unsigned) {
             w.table.isDown = true;
         }},
        {3, "store up",
         [](World &w, unsigned) {
             w.table.isDown = false;
         }},
        {2, "pause",
         [](World &w, unsigned n) {
             w.pause(n, true);
         }},
        {4, "resume",
         [](World &w, unsigned n) {
             w.pause(n, false);
         }},
        {1, "kill daemon",
         [](World &w, unsigned n) {
             w.killDaemon(n);
         }},
        {1, "drain",
         [](World &w, unsigned n) {
             w.drain(n);
         }},
        {1, "crash endpoint",
         [](World &w, unsigned n) {
             w.crashEndpoint(n);
         }},
        {3, "start endpoint",
         [](World &w, unsigned n) {
             w.startEndpoint(n);
         }},
        {1, "leaving",
         [](World &w, unsigned n) {
             w.setLeaving(n, true);
         }},
        {1, "staying",
         [](World &w, unsigned n) {
             w.setLeaving(n, false);
         }},
    };
    return all;
}

rc::Gen<std::shared_ptr<const Command>> nextCommand(const Nothing &)
{
    return rc::gen::exec([] {
        static const std::vector<std::size_t> weighted = [] {
            std::vector<std::size_t> indexes;
            for (std::size_t n = 0; n < kinds().size(); ++n) {
                indexes.insert(indexes.end(), static_cast<std::size_t>(kinds()[n].weight), n);
            }
            return indexes;
        }();
        const auto index = *rc::gen::elementOf(weighted);
        const auto number = *rc::gen::resize(100, rc::gen::inRange(0U, 10000U));
        return std::shared_ptr<const Command>(std::make_shared<Happening>(kinds()[index].name, kinds()[index].effect, number));
    });
}

std::function<void()> promises(std::size_t daemons, std::function<void(DispatcherOptions &)> change)
{
    return [daemons, change] {
        World::Options options;
        options.daemons = daemons;
        options.change = change;
        World world(options);
        rc::state::check(Nothing(), world, nextCommand);
        world.settle();
        RC_ASSERT(world.oracle.verdict() == std::string());
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
