#include "turmericplank/daemon/settings.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

#include <toml++/toml.h>

namespace turmericplank::daemon {

namespace {

using Errors = std::vector<SettingsError>;

struct Value
{
    std::string text;
    int line = 0;
};

using Values = std::map<std::string, Value>;

constexpr std::array<std::string_view, 8> KnownKeys = {"id", "cell", "zone", "caller_listen", "peer_listen", "operator_listen", "platform", "log_level"};

bool isKnownKey(std::string_view key)
{
    return std::find(KnownKeys.begin(), KnownKeys.end(), key) != KnownKeys.end();
}

/// Line of the first non-ASCII character, zero if there is none. toml++ 3.3 crashes on some of them.
int firstNonAsciiLine(const std::string &text)
{
    const auto it = std::find_if(text.begin(), text.end(), [](unsigned char c) { return c > 127; });
    return it == text.end() ? 0 : 1 + static_cast<int>(std::count(text.begin(), it, '\n'));
}

void readToml(const std::string &text, Values &values, Errors &errors)
{
    if (const int line = firstNonAsciiLine(text)) {
        errors.push_back({"", line, "ASCII characters only"});
        return;
    }
    const auto parsed = toml::parse(text);
    if (!parsed) {
        const auto &error = parsed.error();
        errors.push_back({"", static_cast<int>(error.source().begin.line), "valid TOML: " + std::string(error.description())});
        return;
    }
    for (const auto &[key, node] : parsed.table()) {
        const std::string name(key.str());
        const int line = static_cast<int>(node.source().begin.line);
        if (!isKnownKey(name)) {
            errors.push_back({name, line, "a known setting"});
        } else if (const auto *it = node.as_string()) {
            values[name] = {it->get(), line};
        } else {
            errors.push_back({name, line, "a string"});
        }
    }
}

void applyOverrides(const std::vector<std::pair<std::string, std::string>> &overrides, Values &values, Errors &errors)
{
    for (const auto &[key, text] : overrides) {
        if (isKnownKey(key)) {
            values[key] = {text, 0};
        } else {
            errors.push_back({key, 0, "a known setting"});
        }
    }
}

std::string readName(const Values &values, const std::string &key, Errors &errors)
{
    const auto it = values.find(key);
    if (it == values.end() || it->second.text.empty()) {
        errors.push_back({key, it == values.end() ? 0 : it->second.line, "a non-empty name"});
        return {};
    }
    return it->second.text;
}

base::Address readAddress(const Values &values, const std::string &key, Errors &errors)
{
    const auto it = values.find(key);
    const auto address = it == values.end() ? std::nullopt : base::parseAddress(it->second.text);
    if (!address) {
        errors.push_back({key, it == values.end() ? 0 : it->second.line, "an IP address and port, such as 10.0.0.7:8080"});
        return {};
    }
    return *address;
}

std::vector<base::Address> readAddresses(const Values &values, const std::string &key, Errors &errors)
{
    std::vector<base::Address> addresses;
    const auto it = values.find(key);
    std::istringstream words(it == values.end() ? std::string() : it->second.text);
    for (std::string word; std::getline(words, word, ',');) {
        const auto address = base::parseAddress(word);
        if (!address) {
            errors.push_back({key, it->second.line, "IP addresses and ports, separated by commas"});
            return {};
        }
        addresses.push_back(*address);
    }
    if (addresses.empty()) {
        errors.push_back({key, 0, "IP addresses and ports, separated by commas"});
    }
    return addresses;
}

} // namespace

tl::expected<Settings, Errors> readSettings(const std::string &text, const std::vector<std::pair<std::string, std::string>> &overrides)
{
    Values values;
    Errors errors;
    readToml(text, values, errors);
    applyOverrides(overrides, values, errors);
    Settings settings;
    settings.id = base::DaemonId(readName(values, "id", errors));
    settings.zone = base::ZoneName(readName(values, "zone", errors));
    if (values.contains("cell")) {
        settings.cell = base::CellName(readName(values, "cell", errors));
    }
    settings.callerListen = readAddress(values, "caller_listen", errors);
    settings.peerListen = readAddress(values, "peer_listen", errors);
    settings.operatorListen = readAddress(values, "operator_listen", errors);
    settings.platform = readAddresses(values, "platform", errors);
    const auto level = values.find("log_level");
    if (level != values.end() && !telemetry::parseLogLevel(level->second.text, settings.logLevel)) {
        errors.push_back({"log_level", level->second.line, "debug, info, warning or error"});
    }
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return settings;
}

} // namespace turmericplank::daemon
