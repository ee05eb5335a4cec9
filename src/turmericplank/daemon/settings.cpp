#include "turmericplank/daemon/settings.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

#include <toml++/toml.h>

namespace turmericplank::daemon {

namespace {

using Mistakes = std::vector<SettingsMistake>;

struct Value
{
    std::string text;
    int line = 0;
};

using Values = std::map<std::string, Value>;

constexpr std::array<std::string_view, 8> KnownKeys = {"id", "cell", "zone", "caller_listen", "peer_listen", "operator_listen", "platform", "log_level"};

bool isKnown(std::string_view key)
{
    return std::find(KnownKeys.begin(), KnownKeys.end(), key) != KnownKeys.end();
}

/// Line of the first character beyond ASCII, which toml++ 3.3 does not survive everywhere; zero if there is none.
int lineBeyondAscii(const std::string &text)
{
    const auto it = std::find_if(text.begin(), text.end(), [](unsigned char c) { return c > 127; });
    return it == text.end() ? 0 : 1 + static_cast<int>(std::count(text.begin(), it, '\n'));
}

void takeFile(const std::string &text, Values &values, Mistakes &mistakes)
{
    if (const int line = lineBeyondAscii(text)) {
        mistakes.push_back({"", line, "ASCII characters only"});
        return;
    }
    const auto parsed = toml::parse(text);
    if (!parsed) {
        const auto &error = parsed.error();
        mistakes.push_back({"", static_cast<int>(error.source().begin.line), "valid TOML: " + std::string(error.description())});
        return;
    }
    for (const auto &[key, node] : parsed.table()) {
        const std::string name(key.str());
        const int line = static_cast<int>(node.source().begin.line);
        if (!isKnown(name)) {
            mistakes.push_back({name, line, "a known setting"});
        } else if (const auto *it = node.as_string()) {
            values[name] = {it->get(), line};
        } else {
            mistakes.push_back({name, line, "a string"});
        }
    }
}

void takeOverrides(const std::vector<std::pair<std::string, std::string>> &overrides, Values &values, Mistakes &mistakes)
{
    for (const auto &[key, text] : overrides) {
        if (isKnown(key)) {
            values[key] = {text, 0};
        } else {
            mistakes.push_back({key, 0, "a known setting"});
        }
    }
}

std::string takeName(const Values &values, const std::string &key, Mistakes &mistakes)
{
    const auto it = values.find(key);
    if (it == values.end() || it->second.text.empty()) {
        mistakes.push_back({key, it == values.end() ? 0 : it->second.line, "a name"});
        return {};
    }
    return it->second.text;
}

base::Address takeAddress(const Values &values, const std::string &key, Mistakes &mistakes)
{
    const auto it = values.find(key);
    const auto address = it == values.end() ? std::nullopt : base::parseAddress(it->second.text);
    if (!address) {
        mistakes.push_back({key, it == values.end() ? 0 : it->second.line, "an IP number and a port, such as 10.0.0.7:8080"});
        return {};
    }
    return *address;
}

std::vector<base::Address> takeAddresses(const Values &values, const std::string &key, Mistakes &mistakes)
{
    std::vector<base::Address> addresses;
    const auto it = values.find(key);
    std::istringstream words(it == values.end() ? std::string() : it->second.text);
    for (std::string word; std::getline(words, word, ',');) {
        const auto address = base::parseAddress(word);
        if (!address) {
            mistakes.push_back({key, it->second.line, "IP numbers and ports, separated by commas"});
            return {};
        }
        addresses.push_back(*address);
    }
    if (addresses.empty()) {
        mistakes.push_back({key, 0, "IP numbers and ports, separated by commas"});
    }
    return addresses;
}

} // namespace

tl::expected<Settings, Mistakes> readSettings(const std::string &text, const std::vector<std::pair<std::string, std::string>> &overrides)
{
    Values values;
    Mistakes mistakes;
    takeFile(text, values, mistakes);
    takeOverrides(overrides, values, mistakes);
    Settings settings;
    settings.id = base::DaemonId(takeName(values, "id", mistakes));
    settings.zone = base::ZoneName(takeName(values, "zone", mistakes));
    if (values.contains("cell")) {
        settings.cell = base::CellName(takeName(values, "cell", mistakes));
    }
    settings.callerListen = takeAddress(values, "caller_listen", mistakes);
    settings.peerListen = takeAddress(values, "peer_listen", mistakes);
    settings.operatorListen = takeAddress(values, "operator_listen", mistakes);
    settings.platform = takeAddresses(values, "platform", mistakes);
    const auto level = values.find("log_level");
    if (level != values.end() && !telemetry::parseLogLevel(level->second.text, settings.logLevel)) {
        mistakes.push_back({"log_level", level->second.line, "debug, info, warning or error"});
    }
    if (!mistakes.empty()) {
        return tl::make_unexpected(std::move(mistakes));
    }
    return settings;
}

} // namespace turmericplank::daemon
