#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

namespace {

/// Escapes the characters that have a meaning in a doctest filter.
std::string filterFor(const std::string &testCase)
{
    std::string filter;
    for (const char it : testCase) {
        filter += it == ',' || it == '\\' ? std::string{'\\', it} : std::string{it};
    }
    return filter;
}

/// Leaves out the test cases that TURMERICPLANK_EXCLUDED_CASES lists, one a line, each behind the program's name and a tab.
void excludeCases(doctest::Context &context, const std::string &program)
{
    const char *list = std::getenv("TURMERICPLANK_EXCLUDED_CASES");
    std::istringstream lines(list == nullptr ? "" : list);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(program + '\t')) {
            context.addFilter("test-case-exclude", filterFor(line.substr(program.size() + 1)).c_str());
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    doctest::Context context(argc, argv);
    excludeCases(context, std::filesystem::path(argv[0]).filename().string());
    return context.run();
}
