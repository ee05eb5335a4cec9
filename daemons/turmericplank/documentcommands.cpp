#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "operatorclient.hpp"
#include "sectionfile.hpp"
#include "turmericplank/configuration/validation.hpp"

namespace turmericplank::cli {

namespace {

using configuration::Section;
using nlohmann::json;

/// Values of the options of one command.
struct Arguments
{
    OperatorOptions operators;
    std::string section;
    std::string file;
    std::string digest;
    std::optional<std::uint64_t> revision;
};

std::string readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

void printMistakes(const std::string &file, const std::vector<configuration::ParseError> &mistakes)
{
    for (const auto &it : mistakes) {
        std::cerr << file << ": " << toString(it) << '\n';
    }
}

Section sectionOf(const std::string &name)
{
    const auto section = configuration::parseSectionName(name);
    if (!section) {
        std::cerr << name << ": expected site, models, adapters, priorities, placement, endpoints or services\n";
        throw CLI::RuntimeError(Failed);
    }
    return *section;
}

void check(const Arguments &arguments)
{
    const auto document = configuration::parseDocument(readFile(arguments.file));
    if (!document) {
        printMistakes(arguments.file, document.error());
        throw CLI::RuntimeError(Failed);
    }
    const auto refusals = configuration::validate(*document, nullptr);
    for (const auto &it : refusals) {
        std::cerr << arguments.file << ": " << toString(it) << '\n';
    }
    if (!refusals.empty()) {
        throw CLI::RuntimeError(Failed);
    }
    std::cout << arguments.file << ": " << document->models.size() << " models, " << document->adapters.size() << " adapters, " << document->endpoints.size()
              << " endpoints, " << document->services.size() << " services; everything has a place\n";
}

void printSection(const std::string &name, const json &section)
{
    std::cout << revisionLine(sectionOf(name), section.value("revision", std::uint64_t(0))) << section.value("text", std::string());
}

void show(const Arguments &arguments)
{
    const auto answer = callAny(arguments.operators, {"GET", "/admin/document", {}, {}});
    finish(arguments.operators, answer);
    if (arguments.operators.isJson) {
        return;
    }
    const auto sections = answer.body.value("sections", json::object());
    if (!arguments.section.empty()) {
        sectionOf(arguments.section);
        printSection(arguments.section, sections.value(arguments.section, json::object()));
        return;
    }
    std::cout << "# draft " << answer.body.value("digest", std::string()) << '\n';
    for (const auto it : configuration::AllSections) {
        const std::string name(toString(it));
        printSection(name, sections.value(name, json::object()));
    }
}

/// The same key on a repeated call lets the daemon tell that it is one edit.
std::string newKey()
{
    std::random_device random;
    return "cli-" + std::to_string((std::uint64_t(random()) << 32U) | random());
}

OperatorAnswer sendEdit(const OperatorOptions &options, const std::string &section, const std::string &text, std::uint64_t revision)
{
    return callAny(
        options,
        {"PUT", "/admin/sections/" + section, {{"If-Match", std::to_string(revision)}, {"X-Author", options.author}, {"Idempotency-Key", newKey()}}, text});
}

void edit(const Arguments &arguments)
{
    const auto section = sectionOf(arguments.section);
    const auto file = readSectionFile(section, readFile(arguments.file));
    if (!file) {
        printMistakes(arguments.file, file.error());
        throw CLI::RuntimeError(Failed);
    }
    const auto revision = arguments.revision ? arguments.revision : file->revision;
    if (!revision) {
        std::cerr << "the file does not say which revision it was made from: start from the output of show " << arguments.section
                  << ", or give --revision (0 for a section that nobody wrote yet)\n";
        throw CLI::RuntimeError(Failed);
    }
    const auto answer = sendEdit(arguments.operators, arguments.section, file->text, *revision);
    finish(arguments.operators, answer);
    if (!arguments.operators.isJson) {
        std::cout << arguments.section << " is at revision " << answer.body.value("revision", 0) << " in the draft; see diff, then accept\n";
    }
}

void submit(const Arguments &arguments)
{
    const auto text = readFile(arguments.file);
    const auto document = configuration::parseDocument(text);
    if (!document) {
        printMistakes(arguments.file, document.error());
        throw CLI::RuntimeError(Failed);
    }
    for (const auto it : configuration::AllSections) {
        const std::string name(toString(it));
        const auto file = readSectionFile(it, text);
        finish(arguments.operators, sendEdit(arguments.operators, name, file->text, file->revision.value_or(0)));
    }
    if (!arguments.operators.isJson) {
        std::cout << "all sections are in the draft; see diff, then accept\n";
    }
}

void diff(const Arguments &arguments)
{
    const auto answer = callAny(arguments.operators, {"POST", "/admin/diff", {}, "{}"});
    finish(arguments.operators, answer);
    if (!arguments.operators.isJson) {
        const auto text = answer.body.value("difference_text", std::string());
        std::cout << (text.empty() ? "nothing to accept\n" : text) << "draft " << answer.body.value("digest", std::string()) << '\n';
    }
}

void accept(const Arguments &arguments)
{
    const json body = {{"digest", arguments.digest}};
    const auto answer = callAny(arguments.operators,
                                {"POST",
                                 "/admin/accept",
                                 {{"Content-Type", "application/json"}, {"X-Author", arguments.operators.author}, {"Idempotency-Key", newKey()}},
                                 body.dump()});
    finish(arguments.operators, answer);
    if (!arguments.operators.isJson) {
        const auto inForceFrom = base::timeFromMilliseconds(answer.body.value("in_force_from", std::int64_t(0)));
        const auto wait = std::max(inForceFrom - base::now(), base::Duration());
        std::cout << "revision " << answer.body.value("revision", 0) << " is accepted and in force in " << base::inMilliseconds(wait) / 1000 << " s\n";
    }
}

using Run = void (*)(const Arguments &);

CLI::App *add(CLI::App &app, const std::string &name, const std::string &description, Run run, const std::shared_ptr<Arguments> &arguments)
{
    auto *command = app.add_subcommand(name, description);
    command->callback([run, arguments] { run(*arguments); });
    return command;
}

void addCheck(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = add(app, "check", "checks a document's file without any daemon", &check, arguments);
    command->add_option("file", arguments->file, "the document in TOML")->required()->check(CLI::ExistingFile);
}

void addShow(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = add(app, "show", "prints the draft or one section of it", &show, arguments);
    command->add_option("section", arguments->section, "section to print, all if left out");
    addOperatorOptions(*command, arguments->operators);
}

void addEdit(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = add(app, "edit", "puts a section into the draft, if nobody else changed it", &edit, arguments);
    command->alias("put");
    command->add_option("section", arguments->section, "section to replace")->required();
    command->add_option("file", arguments->file, "the section, or a whole document to take it from")->required()->check(CLI::ExistingFile);
    command->add_option("--revision", arguments->revision, "revision that the file was made from");
    addOperatorOptions(*command, arguments->operators);
}

void addSubmit(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = add(app, "submit", "puts all sections of a first document into the draft", &submit, arguments);
    command->add_option("file", arguments->file, "the document in TOML")->required()->check(CLI::ExistingFile);
    addOperatorOptions(*command, arguments->operators);
}

void addDiff(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = add(app, "diff", "prints what accepting the draft would change, and its digest", &diff, arguments);
    addOperatorOptions(*command, arguments->operators);
}

void addAccept(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = add(app, "accept", "puts the draft in force, if it is the one that was seen", &accept, arguments);
    command->add_option("digest", arguments->digest, "digest that diff printed")->required();
    addOperatorOptions(*command, arguments->operators);
}

const Command checkCommand(&addCheck);
const Command showCommand(&addShow);
const Command editCommand(&addEdit);
const Command submitCommand(&addSubmit);
const Command diffCommand(&addDiff);
const Command acceptCommand(&addAccept);

} // namespace

} // namespace turmericplank::cli
