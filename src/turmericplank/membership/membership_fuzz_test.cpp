#include <array>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "turmericplank/membership/simulatedcell.hpp"

using namespace turmericplank;
using namespace turmericplank::membership;
using namespace turmericplank::membership::testing;

namespace {

constexpr base::Duration MaxDetectionTime = std::chrono::seconds(4); ///< suspicion timeout, two heartbeats and their delay
constexpr base::Duration SettleTime = std::chrono::seconds(5); ///< after the end of the last fault
constexpr base::Duration MaxFalseSuspicionTime = std::chrono::milliseconds(2500); ///< of a healthy daemon, after consecutive lost heartbeats
constexpr base::Duration MaxLeavePropagationTime = std::chrono::seconds(3); ///< until no daemon considers a leaving one live

enum class Fault {
    Kill,
    Restart,
    Pause,
    Resume,
    CutOneWay,
    CutBothWays,
    CutZone,
    EndpointSilent,
    Heal,
    Leave,
    Demand,
};

/// Actual state of the cell: since when each daemon has been unable to send, and since when there have been no faults.
struct Oracle
{
    std::array<std::optional<base::Time>, DaemonCount> silentSince;
    std::array<std::optional<base::Time>, DaemonCount> leavingSince;
    std::array<std::array<std::optional<base::Time>, DaemonCount>, DaemonCount> suspectedSince; ///< by observer and subject
    base::Time healthySince;
    base::Time graceStartedAt;
};

struct Run
{
    SimulatedCell cell;
    Oracle oracle;

    explicit Run(std::uint64_t seed, CellRules rules = {})
        : cell(seed, std::move(rules))
    {
        oracle.healthySince = cell.now();
    }
};

bool isFaulty(const SimulatedCell &cell)
{
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        if (!cell.doesAnswer(n)) {
            return true;
        }
        for (std::size_t to = 0; to < DaemonCount; ++to) {
            if (cell.isCut(n, to)) {
                return true;
            }
        }
    }
    return false;
}

bool cannotSend(const SimulatedCell &cell, std::size_t n)
{
    if (!cell.isActive(n)) {
        return true;
    }
    for (std::size_t to = 0; to < DaemonCount; ++to) {
        if (to != n && cell.isActive(to) && !cell.isCut(n, to)) {
            return false;
        }
    }
    return true;
}

void updateOracle(Run &run)
{
    const auto now = run.cell.now();
    bool isAnyPaused = false;
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        auto &since = run.oracle.silentSince[n];
        since = cannotSend(run.cell, n) ? since.value_or(now) : std::optional<base::Time>();
        isAnyPaused = isAnyPaused || (run.cell.node(n).isRunning && run.cell.node(n).isPaused);
    }
    if (isAnyPaused || isFaulty(run.cell)) {
        run.oracle.healthySince = now;
    }
}

/// Describes the first violated invariant, empty if there is none.
std::string violation(Run &run)
{
    auto &cell = run.cell;
    const auto now = cell.now();
    const bool isSettled = now - run.oracle.healthySince > SettleTime;
    std::size_t running = 0;
    for (std::size_t n = 0; n < DaemonCount; ++n) {
        running += cell.isActive(n) ? 1 : 0;
    }
    if (cell.totalShare() > Limit * 1.000001) {
        return "the shares exceed the limit";
    }
    for (std::size_t observer = 0; observer < DaemonCount; ++observer) {
        // Skips daemons without a current view. A resumed daemon has MaxDetectionTime from graceStartedAt to detect silent ones.
        if (!cell.isActive(observer) || now - run.oracle.healthySince < base::Duration(0)) {
            continue;
        }
        for (std::size_t subject = 0; subject < DaemonCount; ++subject) {
            const auto state = cell.state(observer, subject);
            const auto &silent = run.oracle.silentSince[subject];
            const auto &leaving = run.oracle.leavingSince[subject];
            if (subject != observer && silent && now - *silent > MaxDetectionTime && now - run.oracle.graceStartedAt > MaxDetectionTime
                && state == LiveState::Live) {
                return "a silent daemon counts as live";
            }
            const bool isHealthy = isSettled && running * 2 > DaemonCount && cell.isActive(subject) && !leaving;
            auto &suspectedSince = run.oracle.suspectedSince[observer][subject];
            suspectedSince = isHealthy && state == LiveState::Suspect ? suspectedSince.value_or(now) : std::optional<base::Time>();
            if (isHealthy && state != LiveState::Live && state != LiveState::Suspect) {
                return "a healthy daemon is removed";
            }
            if (suspectedSince && now - *suspectedSince > MaxFalseSuspicionTime) {
                return "a healthy daemon stays suspect";
            }
            // A daemon that became silent before it could announce its leaving is covered by the check for silent daemons.
            const bool couldAnnounce = leaving && (!silent || *silent - *leaving > MaxLeavePropagationTime);
            if (isSettled && couldAnnounce && now - *leaving > MaxLeavePropagationTime && state == LiveState::Live) {
                return "a leaving daemon counts as live";
            }
        }
        const auto endpoint = cell.endpointState(observer);
        if (cell.doesAnswer(observer) && isSettled && endpoint != LiveState::Live) {
            return "a healthy endpoint does not count as live";
        }
    }
    return {};
}

void apply(Run &run, Fault fault, std::size_t a, std::size_t b)
{
    auto &cell = run.cell;
    auto &oracle = run.oracle;
    switch (fault) {
    case Fault::Kill:
        cell.node(a).isRunning = false;
        break;
    case Fault::Restart:
        cell.start(a);
        oracle.leavingSince[a].reset();
        oracle.healthySince = cell.now();
        oracle.graceStartedAt = cell.now();
        break;
    case Fault::Pause:
        cell.node(a).isPaused = true;
        break;
    case Fault::Resume:
        cell.node(a).isPaused = false;
        oracle.graceStartedAt = cell.now();
        break;
    case Fault::CutOneWay:
        cell.setLink(a, b, false);
        break;
    case Fault::CutBothWays:
        cell.setLink(a, b, false);
        cell.setLink(b, a, false);
        break;
    case Fault::CutZone:
        for (std::size_t from = 0; from < DaemonCount; ++from) {
            for (std::size_t to = 0; to < DaemonCount; ++to) {
                if ((from < 2) != (to < 2)) {
                    cell.setLink(from, to, false);
                }
            }
        }
        break;
    case Fault::EndpointSilent:
        cell.setAnswers(a, false);
        break;
    case Fault::Heal:
        cell.heal();
        oracle.healthySince = cell.now();
        oracle.graceStartedAt = cell.now();
        break;
    case Fault::Leave:
        if (cell.isActive(a) && !oracle.leavingSince[a]) {
            cell.leave(a);
            oracle.leavingSince[a] = cell.now();
        }
        break;
    case Fault::Demand:
        cell.node(a).demand = b == 0 ? 0 : Limit;
        break;
    }
}

std::string advance(Run &run, int steps)
{
    for (int n = 0; n < steps; ++n) {
        run.cell.step();
        updateOracle(run);
        auto broken = violation(run);
        if (!broken.empty()) {
            return broken;
        }
    }
    return {};
}

/// The model only counts commands; the actual state is kept in the oracle because it depends on simulated time.
struct Model
{
    int commands = 0;
};

struct Command : rc::state::Command<Model, Run>
{
    Fault fault = *rc::gen::element(Fault::Kill, Fault::Restart, Fault::Restart, Fault::Pause, Fault::Resume, Fault::CutOneWay, Fault::CutBothWays,
                                    Fault::CutZone, Fault::EndpointSilent, Fault::Heal, Fault::Heal, Fault::Leave, Fault::Demand, Fault::Demand, Fault::Demand);
    std::size_t first = *rc::gen::inRange<std::size_t>(0, DaemonCount);
    std::size_t second = *rc::gen::inRange<std::size_t>(0, DaemonCount);
    int steps = *rc::gen::inRange(0, 60);

    void apply(Model &model) const override
    {
        ++model.commands;
    }

    void run(const Model & /*model*/, Run &run) const override
    {
        ::apply(run, fault, first, second);
        updateOracle(run);
        const auto broken = advance(run, steps);
        if (!broken.empty()) {
            RC_FAIL(broken);
        }
    }

    void show(std::ostream &out) const override
    {
        out << "fault " << static_cast<int>(fault) << " on " << first << " and " << second << ", then " << steps << " steps";
    }
};

} // namespace

TEST_CASE("views and shared limits keep their invariants under faults")
{
    CHECK(rc::check("cell", [] {
        Run run(*rc::gen::arbitrary<std::uint64_t>());
        rc::state::check(Model(), run, rc::state::gen::execOneOfWithArgs<Command>());
    }));
}
