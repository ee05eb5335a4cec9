#include "section.hpp"

#include <cstdio>
#include <map>
#include <vector>

#include <CLI/CLI.hpp>

namespace turmericplank::bench {

namespace {

std::map<std::string, std::function<void(unsigned)>> &sections()
{
    static std::map<std::string, std::function<void(unsigned)>> sectionsByName;
    return sectionsByName;
}

} // namespace

void printFigure(const std::string &name, double value, const std::string &unit, const std::string &target)
{
    std::printf("%s\t%.6g\t%s\t%s\n", name.c_str(), value, unit.c_str(), target.c_str());
}

Section::Section(const std::string &sectionName, std::function<void(unsigned)> run)
{
    sections().emplace(sectionName, std::move(run));
}

} // namespace turmericplank::bench

int main(int argc, char **argv)
{
    CLI::App app("Measures the decisions of turmericplank and prints one figure per line: name, value, unit, target.");
    std::string name;
    std::vector<unsigned> seeds = {1, 2};
    app.add_option("section", name, "section to run, or all")->required();
    app.add_option("--seed", seeds, "seeds; the section is run once with each");
    CLI11_PARSE(app, argc, argv);
    bool isFound = false;
    for (const auto &[sectionName, run] : turmericplank::bench::sections()) {
        if (name != "all" && name != sectionName) {
            continue;
        }
        isFound = true;
        for (const auto seed : seeds) {
            std::printf("# %s seed %u\n", sectionName.c_str(), seed);
            run(seed);
        }
    }
    if (!isFound) {
        std::fprintf(stderr, "unknown section %s\n", name.c_str());
    }
    return isFound ? 0 : 2;
}
