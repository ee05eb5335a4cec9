#include <CLI/CLI.hpp>

#include "command.hpp"

int main(int argc, char **argv)
{
    CLI::App app("Operates and tests turmericplank. Exit codes: 0 success, 1 negative result, 2 undecodable file, 3 no response, 4 conflict with "
                 "another change, 5 unknown whether the change took effect, others for wrong usage.");
    app.require_subcommand(1);
    turmericplank::cli::addCommands(app);
    CLI11_PARSE(app, argc, argv);
    return turmericplank::cli::Success;
}
