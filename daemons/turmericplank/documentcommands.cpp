#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "operatorclient.hpp"
#include "sectionfile.hpp"
#include "sitecheck.hpp"
#include "turmericplank/configuration/validation.hpp"

namespace turmericplank::cli {

namespace {

using configuration::Section;
using nlohmann::json;

/// Arguments of one command.
struct Arguments
{
    OperatorOptions operators;
    std::string section;
    std::string file;
    std::string inForce;
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

void printParseErrors(const std::string &file, const std::vector<configuration::ParseError> &errors)
{
    for (const auto &it : errors) {
        std::cerr << file << ": " << toString(it) << '\n';
    }
}

Section sectionFromName(const std::string &name)
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
    const auto text = readFile(arguments.file);
    if (isSiteConfiguration(text)) {
        const auto inForce = arguments.inForce.empty() ? std::string() : readFile(arguments.inForce);
        if (const int code = checkSiteConfiguration(arguments.file, text, inForce, std::cout); code != Success) {
            throw CLI::RuntimeError(code);
        }
        return;
    }
    const auto document = configuration::parseDocument(text);
    if (!document) {
        printParseErrors(arguments.file, document.error());
        throw CLI::RuntimeError(Failed);
    }
    const auto errors = configuration::validate(*document, nullptr);
    for (const auto &it : errors) {
        std::cerr << arguments.file << ": " << toString(it) << '\n';
    }
    if (!errors.empty()) {
        throw CLI::RuntimeError(Failed);
    }
    std::cout << arguments.file << ": " << document->models.size() << " models, " << document->adapters.size() << " adapters, " << document->endpoints.size()
              << " endpoints, " << document->services.size() << " services; the document is valid\n";
}

void printSection(const std::string &name, const json &section)
{
    std::cout << revisionLine(sectionFromName(name), section.value("revision", std::uint64_t(0))) << section.value("text", std::string());
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
        sectionFromName(arguments.section);
        printSection(arguments.section, sections.value(arguments.section, json::object()));
        return;
    }
    std::cout << "# draft " << answer.body.value("digest", std::string()) << '\n';
    for (const auto it : configuration::AllSections) {
        const std::string name(toString(it));
        printSection(name, sections.value(name, json::object()));
    }
}

/// Makes a random key for one request. If the request is sent again, the key tells the daemon that it is the same change.
std::string newIdempotencyKey()
{
    std::random_device random;
    return "cli-" + std::to_string((std::uint64_t(random()) << 32U) | random());
}

OperatorAnswer sendEdit(const OperatorOptions &options, const std::string &section, const std::string &text, std::uint64_t revision)
{
    return callAny(options,
                   {"PUT",
                    "/admin/sections/" + section,
                    {{"If-Match", std::to_string(revision)}, {"X-Author", options.author}, {"Idempotency-Key", newIdempotencyKey()}},
                    text});
}

void edit(const Arguments &arguments)
{
    const auto section = sectionFromName(arguments.section);
    const auto file = readSectionFile(section, readFile(arguments.file));
    if (!file) {
        printParseErrors(arguments.file, file.error());
        throw CLI::RuntimeError(Failed);
    }
    const auto revision = arguments.revision ? arguments.revision : file->revision;
    if (!revision) {
        std::cerr << "the file does not say which revision it is based on: start from the output of show " << arguments.section
                  << ", or give --revision (0 for a new section)\n";
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
        printParseErrors(arguments.file, document.error());
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
                                 {{"Content-Type", "application/json"}, {"X-Author", arguments.operators.author}, {"Idempotency-Key", newIdempotencyKey()}},
                                 body.dump()});
    finish(arguments.operators, answer);
    if (!arguments.operators.isJson) {
        const auto inForceFrom = base::timeFromMilliseconds(answer.body.value("in_force_from", std::int64_t(0)));
        const auto wait = std::max(inForceFrom - base::now(), base::Duration());
        std::cout << "revision " << answer.body.value("revision", 0) << " is accepted and in force in " << base::inMilliseconds(wait) / 1000 << " s\n";
    }
}

using Run = void (*)(const Arguments &);

CLI::App *addCommand(CLI::App &app, const std::string &name, const std::string &description, Run run, const std::shared_ptr<Arguments> &arguments)
{
    auto *command = app.add_subcommand(name, description);
    command->callback([run, arguments] { run(*arguments); });
    return command;
}

void addCheck(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = addCommand(app, "check", "checks a document file without contacting a daemon", &check, arguments);
    command->add_option("file", arguments->file, "the document in TOML, or the configuration of a site in JSON")->required()->check(CLI::ExistingFile);
    command->add_option("--in-force", arguments->inForce, "the site's configuration that the file is to replace, to list what changes")
        ->check(CLI::ExistingFile);
}

void addShow(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = addCommand(app, "show", "prints the draft or one section of it", &show, arguments);
    command->add_option("section", arguments->section, "section to print; all sections by default");
    addOperatorOptions(*command, arguments->operators);
}

void addEdit(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = addCommand(app, "edit", "replaces a section of the draft, unless it was changed in the meantime", &edit, arguments);
    command->alias("put");
    command->add_option("section", arguments->section, "section to replace")->required();
    command->add_option("file", arguments->file, "the section, or a whole document to take it from")->required()->check(CLI::ExistingFile);
    command->add_option("--revision", arguments->revision, "revision that the file is based on");
    addOperatorOptions(*command, arguments->operators);
}

void addSubmit(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = addCommand(app, "submit", "puts all sections of a document into the draft", &submit, arguments);
    command->add_option("file", arguments->file, "the document in TOML")->required()->check(CLI::ExistingFile);
    addOperatorOptions(*command, arguments->operators);
}

void addDiff(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = addCommand(app, "diff", "prints what accepting the draft would change, and its digest", &diff, arguments);
    addOperatorOptions(*command, arguments->operators);
}

void addAccept(CLI::App &app)
{
    const auto arguments = std::make_shared<Arguments>();
    auto *command = addCommand(app, "accept", "accepts the draft, if it still has the given digest", &accept, arguments);
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
