#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <CLI/CLI.hpp>

#include "settingsfile.hpp"
#include "storeclient.hpp"
#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/daemon/daemon.hpp"
#include "turmericplank/gateway/gateway.hpp"
#include "turmericplank/telemetry/log.hpp"
#include "wireformat.hpp"

namespace {

using namespace turmericplank;

constexpr int InvalidSettings = 2;
constexpr const char *PlatformSettingsVariable = "TURMERICPLANK_CONFIG";

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

std::shared_ptr<const configuration::Document> readDocument(const std::string &name)
{
    const auto document = configuration::parseDocument(readFile(name));
    if (document) {
        return std::make_shared<const configuration::Document>(*document);
    }
    for (const auto &it : document.error()) {
        std::cerr << name << ": " << toString(it) << '\n';
    }
    return nullptr;
}

/// Calls a hook at every reload signal.
void onReload(boost::asio::signal_set &signals, const std::function<void()> &hook)
{
    signals.async_wait([&signals, hook](boost::system::error_code ec, int) {
        if (!ec) {
            hook();
            onReload(signals, hook);
        }
    });
}

/// Runs a daemon until its graceful shutdown is complete.
template<typename Daemon>
void runUntilDrained(boost::asio::io_context &context, Daemon &daemon, const std::function<void()> &reload)
{
    boost::asio::signal_set stopSignals(context, SIGTERM, SIGINT);
    stopSignals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec) {
            daemon.beginDrain([&] { context.stop(); });
        }
    });
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    onReload(reloadSignals, reload);
    context.run();
    telemetry::log(telemetry::LogLevel::Info, "daemon", "stopped");
}

int run(const daemon::Settings &settings, std::shared_ptr<const configuration::Document> document)
{
    telemetry::startLogging(settings.logLevel);
    boost::asio::io_context context(1);
    daemon::Daemon daemon(context, settings, std::move(document));
    runUntilDrained(context, daemon, [] { telemetry::log(telemetry::LogLevel::Info, "daemon", "reload: no settings to reload"); });
    return 0;
}

std::optional<platform::PlatformSettings> readPlatformSettings(const std::string &file)
{
    const auto settings = platform::readSettingsFile(readFile(file));
    if (settings) {
        return *settings;
    }
    const auto &error = settings.error();
    std::cerr << "setting " << (error.key.empty() ? "file" : error.key) << " line " << error.line << ": expected " << error.expected << '\n';
    return std::nullopt;
}

/// Checks the changed settings file. Changes take effect at the next start, since the addresses and identity of a running process are fixed.
void reloadPlatformSettings(const std::string &file, const platform::PlatformSettings &running)
{
    const auto settings = readPlatformSettings(file);
    const auto *outcome = !settings ? "unreadable" : (*settings == running ? "unchanged" : "at the next start");
    telemetry::log(telemetry::LogLevel::Info, "daemon", "reload", {{"outcome", outcome}});
}

int runOnPlatform(const std::string &file)
{
    const auto settings = readPlatformSettings(file);
    if (!settings) {
        return InvalidSettings;
    }
    telemetry::startLogging(telemetry::LogLevel::Info);
    boost::asio::io_context context(1);
    platform::StoreClientOptions store;
    store.address = settings->storeAddress;
    store.watchTimeout = settings->gateway.bounds.configurationTime * 60 / 100; // leaves time to replace a wait that does not end
    gateway::Gateway gateway(context, settings->gateway, platform::wireFormat(), platform::makeSiteStore(context, store));
    runUntilDrained(context, gateway, [&] { reloadPlatformSettings(file, *settings); });
    return 0;
}

int runOwn(const std::string &settingsFile, const std::vector<std::string> &overrides, const std::string &documentFile)
{
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const auto &it : overrides) {
        const auto equals = it.find('=');
        pairs.emplace_back(it.substr(0, equals), equals == std::string::npos ? std::string() : it.substr(equals + 1));
    }
    const auto settings = daemon::readSettings(settingsFile.empty() ? std::string() : readFile(settingsFile), pairs);
    if (!settings) {
        for (const auto &it : settings.error()) {
            std::cerr << "setting " << (it.key.empty() ? "file" : it.key) << " line " << it.line << ": expected " << it.expected << '\n';
        }
        return InvalidSettings;
    }
    std::shared_ptr<const configuration::Document> document;
    if (!documentFile.empty()) {
        document = readDocument(documentFile);
        if (!document) {
            return InvalidSettings;
        }
    }
    return run(*settings, document);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Daemon of an entry VM. SIGTERM and SIGINT start a graceful shutdown.");
    std::string settingsFile;
    std::string documentFile;
    std::vector<std::string> overrides;
    std::string site = "own";
    app.add_option("--settings", settingsFile,
                   "settings in TOML; with --site platform, the default is the file that " + std::string(PlatformSettingsVariable) + " names")
        ->check(CLI::ExistingFile);
    app.add_option("--set", overrides, "a setting as KEY=VALUE; takes precedence over the file");
    app.add_option("--document", documentFile, "configuration to serve until one is accepted")->check(CLI::ExistingFile);
    app.add_option("--site", site, "interface to use: turmericplank's own, or that of the users' platform")->check(CLI::IsMember({"own", "platform"}));
    CLI11_PARSE(app, argc, argv);
    try {
        if (site == "own") {
            return runOwn(settingsFile, overrides, documentFile);
        }
        const char *variable = std::getenv(PlatformSettingsVariable);
        return runOnPlatform(settingsFile.empty() && variable != nullptr ? variable : settingsFile);
    } catch (const std::exception &error) {
        std::cerr << "turmericplankd: " << error.what() << '\n';
        return 1;
    }
}
