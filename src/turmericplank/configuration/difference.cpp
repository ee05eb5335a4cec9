#include "turmericplank/configuration/difference.hpp"

#include <algorithm>
#include <sstream>

namespace turmericplank::configuration {

namespace {

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string it; std::getline(in, it);) {
        lines.push_back(it);
    }
    return lines;
}

std::string linesOnlyIn(const std::vector<std::string> &lines, const std::vector<std::string> &others, const char *prefix)
{
    std::string text;
    for (const auto &it : lines) {
        if (std::find(others.begin(), others.end(), it) == others.end()) {
            text += prefix + it + "\n";
        }
    }
    return text;
}

std::string headerLine(const EntryDifference &entry)
{
    const auto &text = entry.after.empty() ? entry.before : entry.after;
    return text.substr(0, text.find('\n')) + "\n";
}

std::string entryText(const EntryDifference &entry)
{
    const auto before = linesOf(entry.before);
    const auto after = linesOf(entry.after);
    if (entry.before.empty() || entry.after.empty()) {
        return linesOnlyIn(before, after, "- ") + linesOnlyIn(after, before, "+ ");
    }
    return "  " + headerLine(entry) + linesOnlyIn(before, after, "- ") + linesOnlyIn(after, before, "+ ");
}

} // namespace

Difference differenceOf(const Document &before, const Document &after, Section section)
{
    const auto old = canonicalEntries(before, section);
    const auto current = canonicalEntries(after, section);
    Difference difference;
    auto left = old.begin();
    auto right = current.begin();
    while (left != old.end() || right != current.end()) {
        if (right == current.end() || (left != old.end() && left->name < right->name)) {
            difference.push_back({section, left->name, left->text, ""});
            ++left;
        } else if (left == old.end() || right->name < left->name) {
            difference.push_back({section, right->name, "", right->text});
            ++right;
        } else {
            if (left->text != right->text) {
                difference.push_back({section, left->name, left->text, right->text});
            }
            ++left;
            ++right;
        }
    }
    return difference;
}

Difference differenceOf(const Document &before, const Document &after)
{
    Difference difference;
    for (const auto it : AllSections) {
        auto part = differenceOf(before, after, it);
        std::move(part.begin(), part.end(), std::back_inserter(difference));
    }
    return difference;
}

std::string toString(const Difference &difference)
{
    std::string text;
    for (const auto &it : difference) {
        text += entryText(it);
    }
    return text;
}

} // namespace turmericplank::configuration
