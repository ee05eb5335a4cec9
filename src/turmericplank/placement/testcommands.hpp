#pragma once

#include <cstdint>
#include <random>

#include "testsimulation.hpp"

namespace turmericplank::placement::test {

/// @brief Kinds of commands in a simulated sequence.
enum class CommandKind {
    Run,
    RunLong,
    Pause,
    PauseBeforeSend,
    Resume,
    RestartHolder,
    RestartEngine,
    DeliverDelayed,
    TableDown,
    TableUp,
    TableFault,
    SendFault,
    Document,
};

constexpr std::uint32_t CommandKinds = 13;

/// @brief Executes one command.
/// @param simulation simulation to run the command on
/// @param kind kind of the command
/// @param value selects the holder, engine, fault, document change or duration
inline void execute(Simulation &simulation, CommandKind kind, std::uint32_t value)
{
    switch (kind) {
    case CommandKind::Run:
        simulation.run(std::chrono::milliseconds(250 * (1 + value % 8)));
        return;
    case CommandKind::RunLong:
        simulation.run(std::chrono::seconds(3 + value % 12));
        return;
    case CommandKind::Pause:
        simulation.pause(value, value / 8 % 8);
        return;
    case CommandKind::PauseBeforeSend:
        simulation.pauseBefore(isLoad);
        return;
    case CommandKind::Resume:
        simulation.resume(value);
        return;
    case CommandKind::RestartHolder:
        simulation.restartHolder(value);
        return;
    case CommandKind::RestartEngine:
        simulation.restartEngine(value);
        return;
    case CommandKind::DeliverDelayed:
        simulation.deliverDelayed(value);
        return;
    case CommandKind::TableDown:
        simulation.table().isDown = true;
        return;
    case CommandKind::TableUp:
        simulation.table().isDown = false;
        simulation.table().deliverDelayed();
        return;
    case CommandKind::TableFault:
        simulation.table().writeFaults.push_back(static_cast<FakeTable::WriteFault>(value % 3));
        return;
    case CommandKind::SendFault:
        simulation.addDeliveryFault(static_cast<DeliveryFault>(value % 4));
        return;
    case CommandKind::Document:
        simulation.changeDocument(value);
        return;
    }
}

/// @brief Runs a sequence of random commands.
/// @param options parameters of the simulation
/// @param length number of commands
/// @return the simulation after the last command
inline Simulation runSequence(const SimulationOptions &options, std::size_t length)
{
    Simulation simulation(options);
    std::mt19937 random(options.seed * 7919 + 1);
    for (std::size_t n = 0; n < length && simulation.violation().empty(); ++n) {
        const auto kind = static_cast<CommandKind>(random() % 3 == 0 ? 0 : random() % CommandKinds);
        execute(simulation, kind, static_cast<std::uint32_t>(random()));
    }
    return simulation;
}

} // namespace turmericplank::placement::test
