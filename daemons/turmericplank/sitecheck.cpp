#include "sitecheck.hpp"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

#include "command.hpp"
#include "rows.hpp"
#include "turmericplank/routes/configurationcheck.hpp"

namespace turmericplank::cli {

namespace {

/// Where the text stops being JSON, as LINE:COLUMN; empty if it is JSON.
std::string syntaxErrorPosition(const std::string &text)
{
    try {
        (void)nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        const auto end = std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
        const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
        const auto lineBegin = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
        return std::to_string(line) + ':' + std::to_string(end - (lineBegin == std::string::npos ? 0 : lineBegin + 1) + 1);
    }
    return {};
}

tl::expected<routes::SiteConfiguration, std::string> decode(const std::string &name, const std::string &text)
{
    auto configuration = platform::readConfiguration(text);
    if (configuration) {
        return *std::move(configuration);
    }
    if (const auto position = syntaxErrorPosition(text); !position.empty()) {
        return tl::unexpected(name + ':' + position + ": is not JSON from here on");
    }
    const bool isObject = configuration.error() != platform::RowFailure::NotJson;
    return tl::unexpected(
        name
        + (isObject ? ": a required field is missing or has another type; expected version, and of each route name, host, prefix, kind and service or split"
                    : ": expected an object"));
}

} // namespace

bool isSiteConfiguration(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string_view::npos && text[first] == '{';
}

int checkSiteConfiguration(const std::string &name, const std::string &text, const std::string &inForce, std::ostream &output)
{
    const auto next = decode(name, text);
    if (!next) {
        output << next.error() << '\n';
        return Malformed;
    }
    const auto findings = routes::checkConfiguration(*next);
    for (const auto &it : findings) {
        output << name << ": " << toString(it.kind) << ": " << it.place << ": " << it.text << '\n';
    }
    if (!inForce.empty()) {
        const auto current = decode("in force", inForce);
        if (!current) {
            output << current.error() << '\n';
            return Malformed;
        }
        for (const auto &it : routes::describeChanges(*current, *next)) {
            output << name << ": change: " << it << '\n';
        }
    }
    output << name << ": version " << next->revision.value() << ", " << next->routes.size() << " routes, " << next->services.size() << " services, "
           << (next->accounts ? next->accounts->size() : 0) << " accounts; " << findings.size() << " findings\n";
    return findings.empty() ? Success : Failed;
}

} // namespace turmericplank::cli
