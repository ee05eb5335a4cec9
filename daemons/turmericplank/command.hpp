#pragma once

#include <functional>

#include <CLI/CLI.hpp>

namespace turmericplank::cli {

/// @brief Exit codes of the command line, the same for all commands.
enum ExitCode : int {
    Success = 0,
    Failed = 1, ///< the command ran and its result is negative, for example an invalid document
    Malformed = 2, ///< a file cannot be decoded at all
    Unreachable = 3, ///< no daemon or platform responded
    Conflict = 4, ///< another change came first; this one had no effect
    Unsettled = 5, ///< whether the change took effect is unknown
};

/// @brief Registers a subcommand of the program; define one static object per subcommand.
struct Command
{
    /// @param add adds the subcommand with its options and a callback to the program; the callback runs the command and
    /// throws CLI::RuntimeError with an ExitCode if it does not succeed
    explicit Command(std::function<void(CLI::App &)> add);
};

/// @brief Adds all registered subcommands to the program.
void addCommands(CLI::App &app);

} // namespace turmericplank::cli
