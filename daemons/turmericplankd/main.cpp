#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <CLI/CLI.hpp>

#include "turmericplank/configuration/reader.hpp"
#include "turmericplank/daemon/daemon.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace {

using namespace turmericplank;

constexpr int WrongSettings = 2;

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

int run(const daemon::Settings &settings, std::shared_ptr<const configuration::Document> document)
{
    telemetry::startLogging(settings.logLevel);
    boost::asio::io_context context(1);
    daemon::Daemon daemon(context, settings, std::move(document));
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec) {
            daemon.beginDrain([&] { context.stop(); });
        }
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("The daemon of an entry VM. It ends after a graceful shutdown on SIGTERM or SIGINT.");
    std::string settingsFile;
    std::string documentFile;
    std::vector<std::string> overrides;
    app.add_option("--settings", settingsFile, "settings in TOML")->check(CLI::ExistingFile);
    app.add_option("--set", overrides, "a setting as KEY=VALUE; goes before the file");
    app.add_option("--document", documentFile, "configuration to serve until one is accepted")->check(CLI::ExistingFile);
    CLI11_PARSE(app, argc, argv);

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
        return WrongSettings;
    }
    std::shared_ptr<const configuration::Document> document;
    if (!documentFile.empty()) {
        document = readDocument(documentFile);
        if (!document) {
            return WrongSettings;
        }
    }
    try {
        return run(*settings, document);
    } catch (const std::exception &error) {
        std::cerr << "turmericplankd: " << error.what() << '\n';
        return 1;
    }
}
