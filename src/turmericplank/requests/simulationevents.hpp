#pragma once

#include "simulation.hpp"

namespace turmericplank::requests::fake {

/// @brief One kind of thing that may happen to a world.
struct SimulationEvent
{
    using Effect = std::function<void(Simulation &, unsigned number)>;

    int weight = 1; ///< how often it happens among the others
    const char *name = "";
    Effect effect; ///< the number picks where
};

inline std::string keyOf(unsigned number)
{
    return "k" + std::to_string(number % 4);
}

inline void resend(Simulation &world, unsigned number)
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

/// @brief The crashing request has one caller, who sends it again once the last try has ended.
inline void sendPoison(Simulation &world, unsigned number)
{
    for (const auto &[call, it] : world.oracle.submissions) {
        if (it.isPoison && !world.isFinal(it)) {
            return;
        }
    }
    world.submit(number, number % 2 == 0 ? CallKind::Model : CallKind::Lookup, Simulation::PoisonContent, "");
}

inline void closeOne(Simulation &world, unsigned number)
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

inline const std::vector<SimulationEvent> &simulationEvents()
{
    static const std::vector<SimulationEvent> all = {
        {6, "model",
         [](Simulation &w, unsigned n) {
             w.submit(n, CallKind::Model, 1 + n % 20, "");
         }},
        {2, "lookup",
         [](Simulation &w, unsigned n) {
             w.submit(n, CallKind::Lookup, 1 + n % 20, "");
         }},
        {4, "booking",
         [](Simulation &w, unsigned n) {
             w.submit(n, CallKind::Booking, 100 + n % 4, keyOf(n));
         }},
        {3, "booking at two daemons",
         [](Simulation &w, unsigned n) {
             w.submit(n, CallKind::Booking, 100 + n % 4, keyOf(n));
             w.submit(n + 1, CallKind::Booking, 100 + n % 4, keyOf(n));
         }},
        {2, "other body",
         [](Simulation &w, unsigned n) {
             w.submit(n, CallKind::Booking, 200 + n % 4, keyOf(n));
         }},
        {3, "resend", resend},
        {4, "poison", sendPoison},
        {2, "close", closeOne},
        {18, "flow",
         [](Simulation &w, unsigned n) {
             w.flow(1 + n % 3);
         }},
        {8, "deliver",
         [](Simulation &w, unsigned n) {
             w.deliver(n);
         }},
        {8, "pump",
         [](Simulation &w, unsigned n) {
             w.pump(n);
         }},
        {4, "lose",
         [](Simulation &w, unsigned n) {
             w.lose(n);
         }},
        {4, "delay",
         [](Simulation &w, unsigned n) {
             w.delay(n);
         }},
        {3, "repeat",
         [](Simulation &w, unsigned n) {
             w.repeat(n);
         }},
        {3, "silence",
         [](Simulation &w, unsigned n) {
             w.silence(n);
         }},
        {2, "break",
         [](Simulation &w, unsigned n) {
             w.breakOff(n);
         }},
        {8, "advance",
         [](Simulation &w, unsigned n) {
             w.advance(10 + n % 400);
         }},
        {2, "advance far",
         [](Simulation &w, unsigned n) {
             w.advance(1000 + n % 6000);
         }},
        {2, "store down",
         [](Simulation &w, unsigned) {
             w.table.isDown = true;
         }},
        {3, "store up",
         [](Simulation &w, unsigned) {
             w.table.isDown = false;
         }},
        {2, "pause",
         [](Simulation &w, unsigned n) {
             w.pause(n, true);
         }},
        {4, "resume",
         [](Simulation &w, unsigned n) {
             w.pause(n, false);
         }},
        {1, "kill daemon",
         [](Simulation &w, unsigned n) {
             w.killDaemon(n);
         }},
        {1, "drain",
         [](Simulation &w, unsigned n) {
             w.drain(n);
         }},
        {1, "crash endpoint",
         [](Simulation &w, unsigned n) {
             w.crashEndpoint(n);
         }},
        {3, "start endpoint",
         [](Simulation &w, unsigned n) {
             w.startEndpoint(n);
         }},
        {1, "leaving",
         [](Simulation &w, unsigned n) {
             w.setLeaving(n, true);
         }},
        {1, "staying",
         [](Simulation &w, unsigned n) {
             w.setLeaving(n, false);
         }},
    };
    return all;
}

/// @brief Indexes of the happenings, each as often as its weight says.
inline const std::vector<std::size_t> &weightedEventIndexes()
{
    static const std::vector<std::size_t> weighted = [] {
        std::vector<std::size_t> indexes;
        for (std::size_t n = 0; n < simulationEvents().size(); ++n) {
            indexes.insert(indexes.end(), static_cast<std::size_t>(simulationEvents()[n].weight), n);
        }
        return indexes;
    }();
    return weighted;
}

} // namespace turmericplank::requests::fake
