#include "command.hpp"

#include <vector>

#include <CLI/CLI.hpp>

namespace turmericplank::cli {

namespace {

std::vector<std::function<void(CLI::App &)>> &commands()
{
    static std::vector<std::function<void(CLI::App &)>> registered;
    return registered;
}

} // namespace

Command::Command(std::function<void(CLI::App &)> add)
{
    commands().push_back(std::move(add));
}

} // namespace turmericplank::cli

int main(int argc, char **argv)
{
    CLI::App app("Drives and tests turmericplank. Exit codes: 0 success, 1 negative result, 3 nothing answered, others for wrong usage.");
    app.require_subcommand(1);
    for (const auto &add : turmericplank::cli::commands()) {
        add(app);
    }
    CLI11_PARSE(app, argc, argv);
    return turmericplank::cli::Success;
}
