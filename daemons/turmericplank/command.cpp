#include "command.hpp"

#include <vector>

namespace turmericplank::cli {

namespace {

std::vector<std::function<void(CLI::App &)>> &registered()
{
    static std::vector<std::function<void(CLI::App &)>> list;
    return list;
}

} // namespace

Command::Command(std::function<void(CLI::App &)> add)
{
    registered().push_back(std::move(add));
}

void addCommands(CLI::App &app)
{
    for (const auto &add : registered()) {
        add(app);
    }
}

} // namespace turmericplank::cli
