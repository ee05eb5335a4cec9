#include <cstdio>
#include <iostream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "command.hpp"
#include "loadrunner.hpp"

namespace turmericplank::cli {

namespace {

using nlohmann::json;

struct Arguments
{
    LoadOptions options;
    std::vector<std::string> entries;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    std::vector<std::string> models;
    double seconds = 10;
    double graceSeconds = 30;
    std::int64_t firstTokenMilliseconds = 1500;
    std::int64_t tokenMilliseconds = 44;
    bool isJson = false;
};

std::string checkAddress(const std::string &text)
{
    return base::parseAddress(text) ? std::string() : "expected IP:PORT, not " + text;
}

std::vector<base::Address> addresses(const std::vector<std::string> &texts)
{
    std::vector<base::Address> list;
    for (const auto &it : texts) {
        list.push_back(*base::parseAddress(it));
    }
    return list;
}

base::Duration seconds(double value)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

ModelShare readModel(const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos) {
        return {text, 1};
    }
    return {text.substr(0, colon), std::stod(text.substr(colon + 1))};
}

LoadOptions toOptions(const Arguments &arguments)
{
    auto options = arguments.options;
    options.entries = addresses(arguments.entries);
    options.engines = addresses(arguments.engines);
    options.serviceInstances = addresses(arguments.services);
    for (const auto &it : arguments.models) {
        options.plan.models.push_back(readModel(it));
    }
    options.duration = seconds(arguments.seconds);
    options.grace = seconds(arguments.graceSeconds);
    options.expectation = {std::chrono::milliseconds(arguments.firstTokenMilliseconds), std::chrono::milliseconds(arguments.tokenMilliseconds)};
    return options;
}

json toJson(const LoadOptions &options, const LoadResult &result)
{
    json report = {{"seconds", base::inMilliseconds(result.elapsed) / 1000},
                   {"left_out", result.skipped},
                   {"unanswered", result.unanswered},
                   {"wrong_outcomes", result.wrongOutcomes()},
                   {"bookings",
                    {{"double_runs", result.bookings.doubleRuns},
                     {"false_not_run", result.bookings.falseNotRun},
                     {"lost", result.bookings.lost},
                     {"unequal_answers", result.bookings.unequalAnswers},
                     {"runs_known", result.reportingInstances == options.serviceInstances.size() && !options.serviceInstances.empty()}}}};
    if (!options.entries.empty()) {
        report["daemons"] = result.daemons.toJson(result.elapsed);
    }
    if (!options.engines.empty()) {
        report["direct"] = result.engines.toJson(result.elapsed);
    }
    if (result.daemons.answered() > 0 && result.engines.answered() > 0) {
        const auto added = [&result](double share) {
            return result.daemons.firstTokens().quantile(share) - result.engines.firstTokens().quantile(share);
        };
        report["added_first_token_ms"] = {{"p50", added(0.5)}, {"p95", added(0.95)}, {"p99", added(0.99)}};
    }
    return report;
}

/// Prints each value of the report on a line of its own, after its dotted name.
void printLines(const json &node, const std::string &name)
{
    for (const auto &[key, value] : node.items()) {
        const auto full = name.empty() ? key : name + '.' + key;
        if (value.is_object()) {
            printLines(value, full);
        } else if (value.is_number_float()) {
            std::printf("%s\t%.6g\n", full.c_str(), value.get<double>());
        } else {
            std::printf("%s\t%s\n", full.c_str(), value.dump().c_str());
        }
    }
}

void run(const Arguments &arguments)
{
    const auto options = toOptions(arguments);
    if (options.entries.empty() && options.engines.empty()) {
        throw CLI::RequiredError("--entry or --direct");
    }
    const auto result = LoadRunner(options).run();
    const auto report = toJson(options, result);
    if (arguments.isJson) {
        std::cout << report.dump(2) << '\n';
    } else {
        printLines(report, {});
    }
    const bool areRunsMissing = result.reportingInstances < options.serviceInstances.size();
    if (result.wrongOutcomes() > 0 || areRunsMissing) {
        throw CLI::RuntimeError(Failed);
    }
    if (result.daemons.answered() + result.engines.answered() == 0) {
        throw CLI::RuntimeError(Unreachable);
    }
}

void addTargets(CLI::App &command, Arguments &it)
{
    const CLI::Validator isAddress(checkAddress, "IP:PORT");
    command.add_option("--entry", it.entries, "daemons to query for the addresses to use")->check(isAddress);
    command.add_option("--direct", it.engines, "engines to call directly; with --entry, every other model call goes to an engine")->check(isAddress);
    command.add_option("--service-at", it.services, "service instances to query for the runs of each booking")->check(isAddress);
    command.add_option("--service", it.options.service, "name of the service for bookings and lookups");
    command.add_option("--booking-path", it.options.bookingPath, "path of a booking below its service");
    command.add_option("--lookup-path", it.options.lookupPath, "path of a lookup below its service");
}

void addMix(CLI::App &command, Arguments &it)
{
    auto &plan = it.options.plan;
    command.add_option("--model", it.models, "model of the model calls, as MODEL[:WEIGHT]");
    command.add_option("--rate", plan.callsPerSecond, "calls per second, independent of the answers")->check(CLI::PositiveNumber);
    command.add_option("--bookings", plan.bookingShare, "share of bookings")->check(CLI::Range(0.0, 1.0));
    command.add_option("--lookups", plan.lookupShare, "share of lookups")->check(CLI::Range(0.0, 1.0));
    command.add_option("--duplicates", plan.duplicateShare, "share of the bookings that are sent twice with the same key")->check(CLI::Range(0.0, 1.0));
    command.add_option("--urgent", plan.urgentShare, "share of urgent model calls")->check(CLI::Range(0.0, 1.0));
    command.add_option("--bulk", plan.bulkShare, "share of bulk model calls")->check(CLI::Range(0.0, 1.0));
    command.add_option("--fewest-tokens", plan.minTokens, "minimum number of tokens of an answer")->check(CLI::PositiveNumber);
    command.add_option("--most-tokens", plan.maxTokens, "maximum number of tokens of an answer")->check(CLI::PositiveNumber);
    command.add_option("--seed", plan.seed, "seed of the random mix and times");
}

void addLoad(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto &it = *arguments;
    auto &command = *app.add_subcommand("load", "Sends an open-loop load and checks every answer. Exit code 1 if any answer or booking was wrong.");
    addTargets(command, it);
    addMix(command, it);
    command.add_option("--seconds", it.seconds, "duration of the load in seconds");
    command.add_option("--count", it.options.count, "maximum number of calls, 0 for no limit");
    command.add_option("--grace-seconds", it.graceSeconds, "maximum wait for answers after the last call, in seconds");
    command.add_option("--concurrency", it.options.concurrency, "maximum calls in progress; a call that comes due beyond it is skipped");
    command.add_option("--first-token-ms", it.firstTokenMilliseconds, "maximum time to the first token of an answer in time");
    command.add_option("--token-ms", it.tokenMilliseconds, "maximum mean time between tokens of an answer in time");
    command.add_flag("--json", it.isJson, "print the results as JSON");
    command.callback([arguments] { run(*arguments); });
}

const Command load(addLoad);

} // namespace

} // namespace turmericplank::cli
