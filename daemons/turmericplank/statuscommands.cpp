#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>

#include "operatorclient.hpp"
#include "requesttimeline.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

namespace {

using nlohmann::json;

struct Arguments
{
    OperatorOptions operators;
    std::string subject;
};

double secondsSince(const json &time)
{
    const auto then = base::timeFromMilliseconds(time.is_number_integer() ? time.get<std::int64_t>() : 0);
    return base::inMilliseconds(base::now() - then) / 1000;
}

void printRow(const std::string &daemon, const std::string &revision, const std::string &state)
{
    std::cout << "  " << std::left << std::setw(24) << daemon << std::setw(10) << revision << state << '\n';
}

void printDaemon(const OperatorAnswer &answer)
{
    const auto configuration = answer.body.value("configuration", json::object());
    printRow(answer.body.value("daemon", answer.daemon), std::to_string(configuration.value("revision", std::uint64_t(0))),
             configuration.value("admission", std::string("unknown")));
}

/// Prints the daemons that were not queried, as last heard by the first daemon that responded.
void printPeers(const json &body, const std::vector<std::string> &asked)
{
    const auto peers = body.value("configuration", json::object()).value("peers", json::object());
    for (const auto &[id, peer] : peers.items()) {
        if (std::find(asked.begin(), asked.end(), id) == asked.end()) {
            const auto age = std::to_string(static_cast<int>(secondsSince(peer.value("heard_at", json()))));
            printRow(id, std::to_string(peer.value("revision", std::uint64_t(0))), "heard " + age + " s ago");
        }
    }
}

void printPending(const json &body)
{
    for (const auto &it : body.value("configuration", json::object()).value("pending", json::array())) {
        std::cout << "revision " << it.value("revision", 0) << " is in force in " << -secondsSince(it.value("in_force_from", json())) << " s\n";
    }
}

void printOtherParts(const json &body)
{
    for (const auto &[name, part] : body.items()) {
        if (part.is_object() && name != "configuration") {
            std::cout << name << '\n' << part.dump(2) << '\n';
        }
    }
}

void printStatus(const std::vector<OperatorAnswer> &answers)
{
    std::vector<std::string> asked;
    std::cout << "daemons\n";
    printRow("daemon", "revision", "state");
    for (const auto &it : answers) {
        if (it.status == 200) {
            asked.push_back(it.body.value("daemon", it.daemon));
            printDaemon(it);
        } else {
            printRow(it.daemon, "-", "no answer");
        }
    }
    const auto first = std::find_if(answers.begin(), answers.end(), [](const auto &it) { return it.status == 200; });
    printPeers(first->body, asked);
    printPending(first->body);
    printOtherParts(first->body);
}

json toJson(const std::vector<OperatorAnswer> &answers)
{
    auto list = json::array();
    for (const auto &it : answers) {
        list.push_back({{"address", it.daemon}, {"status", it.status}, {"body", it.body.is_discarded() ? json() : it.body}});
    }
    return list;
}

void requireAnswer(const std::vector<OperatorAnswer> &answers)
{
    if (std::none_of(answers.begin(), answers.end(), [](const auto &it) { return it.status == 200; })) {
        std::cerr << "no daemon answered\n";
        throw CLI::RuntimeError(Unreachable);
    }
}

void status(const Arguments &arguments)
{
    const auto answers = callAll(arguments.operators, {"GET", "/admin/status", {}, {}});
    requireAnswer(answers);
    if (arguments.operators.isJson) {
        std::cout << toJson(answers).dump(2) << '\n';
    } else {
        printStatus(answers);
    }
}

std::string percentEncoded(const std::string &text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string result;
    for (const auto it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) != 0 || it == '-' || it == '_' || it == '.') {
            result += it;
        } else {
            result += {'%', Digits[byte >> 4U], Digits[byte & 15U]};
        }
    }
    return result;
}

void explain(const Arguments &arguments)
{
    const auto answers = callAll(arguments.operators, {"GET", "/admin/explain?id=" + percentEncoded(arguments.subject), {}, {}});
    requireAnswer(answers);
    if (arguments.operators.isJson) {
        std::cout << toJson(answers).dump(2) << '\n';
        return;
    }
    std::vector<std::pair<std::int64_t, std::string>> lines;
    for (const auto &answer : answers) {
        for (const auto &it : answer.status == 200 ? answer.body.value("decisions", json::array()) : json::array()) {
            lines.emplace_back(it.value("at", std::int64_t(0)), answer.body.value("daemon", answer.daemon) + "  " + it.value("text", std::string()));
        }
    }
    std::sort(lines.begin(), lines.end());
    for (const auto &[at, text] : lines) {
        std::cout << at << "  " << text << '\n';
    }
    if (lines.empty()) {
        std::cerr << "no queried daemon has a decision about " << arguments.subject << '\n';
        throw CLI::RuntimeError(Failed);
    }
}

void drain(const Arguments &arguments)
{
    auto options = arguments.operators;
    options.daemons = {arguments.subject};
    finish(options, callAny(options, {"POST", "/admin/drain", {}, {}}));
    if (!options.isJson) {
        std::cout << arguments.subject << " is draining: callers are directed to other daemons, requests in progress are completed\n";
    }
}

void level(const Arguments &arguments)
{
    const auto answers = callAll(arguments.operators, {"PUT", "/admin/log-level", {}, arguments.subject});
    bool isChanged = true;
    for (const auto &it : answers) {
        const auto isDone = exitCodeOf(it) == Success && it.status != 0;
        std::cout << it.daemon << (isDone ? " logs at " + arguments.subject : " was not changed") << '\n';
        isChanged = isChanged && isDone;
    }
    if (!isChanged) {
        throw CLI::RuntimeError(Failed);
    }
}

using Run = void (*)(const Arguments &);

void addCommand(CLI::App &app, const std::string &name, const std::string &description, Run run, const std::string &subject, const std::string &help)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = app.add_subcommand(name, description);
    if (!subject.empty()) {
        command->add_option(subject, arguments->subject, help)->required();
    }
    addOperatorOptions(*command, arguments->operators);
    command->callback([run, arguments] { run(*arguments); });
}

const Command statusCommand([](CLI::App &app) {
    addCommand(app, "status", "prints the revision in force on each daemon and what the daemons report", &status, "", "");
});
struct LogArguments
{
    std::string request;
    std::vector<std::string> files;
};

/// Reads the structured lines of a log file, or of standard input for "-".
std::vector<LogLine> readLog(const std::string &file)
{
    std::ifstream opened;
    if (file != "-") {
        opened.open(file);
        if (!opened) {
            std::cerr << "the log " << file << " cannot be opened\n";
            throw CLI::RuntimeError(Failed);
        }
    }
    std::istream &in = file == "-" ? std::cin : opened;
    std::vector<LogLine> lines;
    for (std::string text; std::getline(in, text);) {
        if (auto line = parseLogLine(std::filesystem::path(file).stem().string(), text)) {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

void explainLogs(const LogArguments &arguments)
{
    std::vector<LogLine> lines;
    for (const auto &file : arguments.files) {
        auto more = readLog(file);
        lines.insert(lines.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    const auto timeline = buildTimeline(std::move(lines), arguments.request);
    for (const auto &it : timeline.entries) {
        std::cout << (it.isContext ? "  " : "* ") << std::right << std::setw(8) << -it.ageMilliseconds << " ms  " << std::left << std::setw(24)
                  << it.line.source << it.line.text << '\n';
    }
    for (const auto &it : timeline.missing) {
        std::cout << "missing: " << it << '\n';
    }
    if (timeline.entries.empty()) {
        throw CLI::RuntimeError(Failed);
    }
}

const Command explainCommand([](CLI::App &app) {
    addCommand(app, "explain", "prints the decisions about a request, model or endpoint", &explain, "id", "request id or name");
});
const Command explainLogsCommand([](CLI::App &app) {
    const auto arguments = std::make_shared<LogArguments>();
    auto *command = app.add_subcommand("explain-logs", "prints the timeline of one request from the logs of all daemons");
    command->add_option("request", arguments->request, "request id")->required();
    command->add_option("logs", arguments->files, "log files; - for standard input")->required();
    command->callback([arguments] { explainLogs(*arguments); });
});
const Command levelCommand([](CLI::App &app) {
    addCommand(app, "level", "changes the log level of running daemons", &level, "level", "debug, info, warning or error");
});

void addDrain(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = app.add_subcommand("drain", "stops one daemon gracefully");
    command->add_option("address", arguments->subject, "operators' address IP:PORT of the daemon")->required();
    command->add_flag("--json", arguments->operators.isJson, "print the answer as JSON");
    command->callback([arguments] { drain(*arguments); });
}

const Command drainCommand(&addDrain);

void addCompletion(CLI::App &app)
{
    auto *command = app.add_subcommand("completion", "prints a completion script for bash");
    command->callback([&app] {
        std::cout << "complete -W \"";
        for (const auto *it : app.get_subcommands([](CLI::App *) { return true; })) {
            std::cout << it->get_name() << ' ';
        }
        std::cout << "--daemon --json --author --help\" -o default turmericplank\n";
    });
}

const Command completionCommand(&addCompletion);

} // namespace

} // namespace turmericplank::cli
