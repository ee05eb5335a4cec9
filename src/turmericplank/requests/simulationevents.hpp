#pragma once

#include "simulation.hpp"

namespace turmericplank::requests::fake {

/// @brief A kind of event in a simulation.
struct SimulationEvent
{
    using Effect = std::function<void(Simulation &, unsigned number)>;

    int weight = 1; ///< relative frequency
    const char *name = "";
    Effect effect; ///< the number selects the daemon, endpoint or message
};

inline std::string keyOf(unsigned number)
{
    return "k" + std::to_string(number % 4);
}

/// @brief Resends a request whose answer has ended, at any daemon.
inline void resend(Simulation &simulation, unsigned number)
{
    const auto &all = simulation.oracle.submissions;
    if (all.empty()) {
        return;
    }
    const auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(number % all.size()));
    const auto submission = it->second;
    if (simulation.isFinal(submission) && !submission.isPoison) {
        simulation.submit(number / 7, submission.kind, submission.content, submission.key);
    }
}

/// @brief Sends the request that crashes endpoints; its only caller resends it when the last attempt has ended.
inline void sendPoison(Simulation &simulation, unsigned number)
{
    for (const auto &[call, it] : simulation.oracle.submissions) {
        if (it.isPoison && !simulation.isFinal(it)) {
            return;
        }
    }
    simulation.submit(number, number % 2 == 0 ? RequestKind::Model : RequestKind::Lookup, Simulation::PoisonContent, "");
}

/// @brief Disconnects a caller.
inline void disconnectOne(Simulation &simulation, unsigned number)
{
    const auto &all = simulation.oracle.submissions;
    if (all.empty()) {
        return;
    }
    const auto it = std::next(all.begin(), static_cast<std::ptrdiff_t>(number % all.size()));
    if (!it->second.isPoison) {
        simulation.disconnect(it->first);
    }
}

inline const std::vector<SimulationEvent> &simulationEvents()
{
    static const std::vector<SimulationEvent> all = {
        {6, "model",
         [](Simulation &simulation, unsigned number) {
             simulation.submit(number, RequestKind::Model, 1 + number % 20, "");
         }},
        {2, "lookup",
         [](Simulation &simulation, unsigned number) {
             simulation.submit(number, RequestKind::Lookup, 1 + number % 20, "");
         }},
        {4, "booking",
         [](Simulation &simulation, unsigned number) {
             simulation.submit(number, RequestKind::Booking, 100 + number % 4, keyOf(number));
         }},
        {3, "booking at two daemons",
         [](Simulation &simulation, unsigned number) {
             simulation.submit(number, RequestKind::Booking, 100 + number % 4, keyOf(number));
             simulation.submit(number + 1, RequestKind::Booking, 100 + number % 4, keyOf(number));
         }},
        {2, "booking with another body",
         [](Simulation &simulation, unsigned number) {
             simulation.submit(number, RequestKind::Booking, 200 + number % 4, keyOf(number));
         }},
        {3, "resend", resend},
        {4, "poison", sendPoison},
        {2, "disconnect", disconnectOne},
        {18, "flow",
         [](Simulation &simulation, unsigned number) {
             simulation.flow(1 + number % 3);
         }},
        {8, "deliver",
         [](Simulation &simulation, unsigned number) {
             simulation.deliver(number);
         }},
        {8, "deliver item",
         [](Simulation &simulation, unsigned number) {
             simulation.deliverItem(number);
         }},
        {4, "lose message",
         [](Simulation &simulation, unsigned number) {
             simulation.loseMessage(number);
         }},
        {4, "give up message",
         [](Simulation &simulation, unsigned number) {
             simulation.giveUpMessage(number);
         }},
        {3, "duplicate",
         [](Simulation &simulation, unsigned number) {
             simulation.duplicateMessage(number);
         }},
        {3, "stall",
         [](Simulation &simulation, unsigned number) {
             simulation.stallConnection(number);
         }},
        {2, "break connection",
         [](Simulation &simulation, unsigned number) {
             simulation.breakConnection(number);
         }},
        {8, "advance",
         [](Simulation &simulation, unsigned number) {
             simulation.advance(10 + number % 400);
         }},
        {2, "advance far",
         [](Simulation &simulation, unsigned number) {
             simulation.advance(1000 + number % 6000);
         }},
        {2, "store down",
         [](Simulation &simulation, unsigned) {
             simulation.table.isDown = true;
         }},
        {3, "store up",
         [](Simulation &simulation, unsigned) {
             simulation.table.isDown = false;
         }},
        {2, "pause",
         [](Simulation &simulation, unsigned number) {
             simulation.pause(number, true);
         }},
        {4, "resume",
         [](Simulation &simulation, unsigned number) {
             simulation.pause(number, false);
         }},
        {1, "kill daemon",
         [](Simulation &simulation, unsigned number) {
             simulation.killDaemon(number);
         }},
        {1, "drain",
         [](Simulation &simulation, unsigned number) {
             simulation.drain(number);
         }},
        {1, "crash endpoint",
         [](Simulation &simulation, unsigned number) {
             simulation.crashEndpoint(number);
         }},
        {3, "start endpoint",
         [](Simulation &simulation, unsigned number) {
             simulation.startEndpoint(number);
         }},
        {1, "leaving",
         [](Simulation &simulation, unsigned number) {
             simulation.setLeaving(number, true);
         }},
        {1, "staying",
         [](Simulation &simulation, unsigned number) {
             simulation.setLeaving(number, false);
         }},
    };
    return all;
}

/// @brief Indexes of the events, each repeated according to its weight.
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
