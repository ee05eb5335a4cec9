#include "turmericplank/configuration/reader.hpp"

#include <algorithm>

#include "tablereader.hpp"

namespace turmericplank::configuration {

namespace {

constexpr std::uint32_t MaxMemoryMib = 16U * 1024U * 1024U;
constexpr std::uint32_t MaxCount = 100000;
constexpr std::uint32_t MaxMilliseconds = 24U * 3600U * 1000U;
constexpr double MaxNumber = 1e9;
constexpr std::string_view NameRule = "name of 1 to 128 letters, digits, or . _ - :";

using ParseErrors = std::vector<ParseError>;

void readSite(const toml::table &table, Document &document, ParseErrors &errors)
{
    TableReader reader(table, "site", errors);
    reader.text("name", Presence::Required, document.site);
    reader.rejectUnknownKeys();
}

void readPlacement(const toml::table &table, Document &document, ParseErrors &errors)
{
    auto &policy = document.placement;
    TableReader reader(table, "placement", errors);
    reader.number("weight_loads_per_second", Presence::Optional, policy.weightLoadsPerSecond, MaxNumber);
    reader.integer("weight_loads_at_full_speed", Presence::Optional, policy.weightLoadsAtFullSpeed, 1, MaxCount);
    reader.integer("adapter_loads_in_flight", Presence::Optional, policy.adapterLoadsInFlight, 1, MaxCount);
    reader.number("move_price", Presence::Optional, policy.movePrice, MaxNumber);
    reader.number("lateness_price", Presence::Optional, policy.latenessPrice, MaxNumber);
    reader.integer("spread_zones", Presence::Optional, policy.spreadZones, 1, MaxCount);
    reader.rejectUnknownKeys();
}

void readModel(const std::string &name, const toml::table &table, Document &document, ParseErrors &errors)
{
    Model model{.name = base::ModelName(name)};
    TableReader reader(table, "models." + name, errors);
    reader.text("version", Presence::Required, model.version);
    reader.integer("memory_mib", Presence::Required, model.memoryMib, 1, MaxMemoryMib);
    reader.integer("minimum_replicas", Presence::Optional, model.minimumReplicas, 1, MaxCount);
    reader.integer("first_token_ms", Presence::Optional, model.firstTokenMilliseconds, 1, MaxMilliseconds);
    reader.number("weight", Presence::Optional, model.weight, MaxNumber);
    reader.rejectUnknownKeys();
    document.models.emplace(model.name, std::move(model));
}

void readAdapter(const std::string &name, const toml::table &table, Document &document, ParseErrors &errors)
{
    Adapter adapter{.name = base::AdapterName(name)};
    std::string model;
    TableReader reader(table, "adapters." + name, errors);
    reader.text("model", Presence::Required, model);
    reader.integer("memory_mib", Presence::Required, adapter.memoryMib, 1, MaxMemoryMib);
    reader.rejectUnknownKeys();
    adapter.model = base::ModelName(model);
    document.adapters.emplace(adapter.name, std::move(adapter));
}

void readCaller(const std::string &name, const toml::table &table, Document &document, ParseErrors &errors)
{
    CallerPolicy caller{.name = base::CallerName(name)};
    auto highest = std::string(base::toString(caller.highestPriority));
    TableReader reader(table, "priorities." + name, errors);
    reader.choice("highest", Presence::Optional, highest, {"urgent", "normal", "bulk"});
    reader.number("requests_per_second", Presence::Optional, caller.requestsPerSecond, MaxNumber);
    reader.integer("concurrency", Presence::Optional, caller.concurrency, 0, MaxCount);
    reader.rejectUnknownKeys();
    caller.highestPriority = base::parsePriority(highest).value_or(caller.highestPriority);
    document.callers.emplace(caller.name, std::move(caller));
}

void readEndpoint(const std::string &name, const toml::table &table, Document &document, ParseErrors &errors)
{
    Endpoint endpoint{.id = base::EndpointId(name)};
    std::string zone;
    TableReader reader(table, "endpoints." + name, errors);
    reader.address("address", Presence::Required, endpoint.address);
    reader.zone("zone", Presence::Required, zone);
    reader.integer("memory_mib", Presence::Required, endpoint.memoryMib, 1, MaxMemoryMib);
    reader.integer("concurrency", Presence::Optional, endpoint.concurrency, 1, MaxCount);
    reader.boolean("checks_fencing", Presence::Required, endpoint.checksFencing);
    reader.choice("role", Presence::Optional, endpoint.role, {"serve", "prefill", "decode"});
    reader.rejectUnknownKeys();
    endpoint.zone = base::ZoneName(zone);
    document.endpoints.emplace(endpoint.id, std::move(endpoint));
}

ServiceInstance readInstance(const std::string &section, const toml::table &table, ParseErrors &errors)
{
    ServiceInstance instance;
    std::string id;
    std::string zone;
    TableReader reader(table, section, errors);
    reader.text("id", Presence::Required, id);
    reader.address("address", Presence::Required, instance.address);
    reader.zone("zone", Presence::Required, zone);
    reader.rejectUnknownKeys();
    instance.id = base::EndpointId(id);
    instance.zone = base::ZoneName(zone);
    return instance;
}

Operation readOperation(const std::string &section, const toml::table &table, ParseErrors &errors)
{
    Operation operation;
    TableReader reader(table, section, errors);
    reader.choice("method", Presence::Required, operation.method, {"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"});
    reader.text("path", Presence::Required, operation.pathPrefix);
    reader.boolean("repeatable", Presence::Required, operation.isRepeatable);
    reader.rejectUnknownKeys();
    return operation;
}

void readService(const std::string &name, const toml::table &table, Document &document, ParseErrors &errors)
{
    Service service{.name = base::ServiceName(name)};
    const auto section = "services." + name;
    TableReader reader(table, section, errors);
    for (const auto *it : reader.tables("instances", Presence::Required)) {
        service.instances.push_back(readInstance(section + ".instances", *it, errors));
    }
    for (const auto *it : reader.tables("operations", Presence::Optional)) {
        service.operations.push_back(readOperation(section + ".operations", *it, errors));
    }
    reader.rejectUnknownKeys();
    document.services.emplace(service.name, std::move(service));
}

using EntryReader = void (*)(const std::string &, const toml::table &, Document &, ParseErrors &);

void readEntries(std::string_view section, const toml::table &table, EntryReader read, Document &document, ParseErrors &errors)
{
    for (const auto &[key, node] : table) {
        const std::string name(key.str());
        if (!isValidName(name)) {
            errors.push_back({ParseErrorKind::InvalidName, std::string(section), name, lineOf(node), std::string(NameRule)});
        } else if (const auto *entry = node.as_table()) {
            read(name, *entry, document, errors);
        } else {
            errors.push_back({ParseErrorKind::WrongType, std::string(section), name, lineOf(node), "table"});
        }
    }
}

void readSection(Section section, const toml::table &table, Document &document, ParseErrors &errors)
{
    switch (section) {
    case Section::Site:
        return readSite(table, document, errors);
    case Section::Models:
        return readEntries("models", table, readModel, document, errors);
    case Section::Adapters:
        return readEntries("adapters", table, readAdapter, document, errors);
    case Section::Priorities:
        return readEntries("priorities", table, readCaller, document, errors);
    case Section::Placement:
        return readPlacement(table, document, errors);
    case Section::Endpoints:
        return readEntries("endpoints", table, readEndpoint, document, errors);
    case Section::Services:
        return readEntries("services", table, readService, document, errors);
    }
}

tl::expected<Document, ParseErrors> readSections(const toml::table &root, std::optional<Section> only)
{
    Document document;
    ParseErrors errors;
    const auto expected = only ? "only the section " + std::string(toString(*only)) : "site, models, adapters, priorities, placement, endpoints or services";
    for (const auto &[key, node] : root) {
        const auto section = parseSectionName(key.str());
        if (!section || (only && section != only)) {
            errors.push_back({ParseErrorKind::UnknownSection, std::string(key.str()), "", lineOf(node), expected});
        } else if (const auto *table = node.as_table()) {
            readSection(*section, *table, document, errors);
        } else {
            errors.push_back({ParseErrorKind::WrongType, std::string(key.str()), "", lineOf(node), "table"});
        }
    }
    const bool needsSite = !only || *only == Section::Site;
    if (needsSite && !root.contains("site")) {
        errors.push_back({ParseErrorKind::MissingKey, "site", "name", 1, "a table with the site's name"});
    }
    if (errors.empty()) {
        return document;
    }
    std::stable_sort(errors.begin(), errors.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
    return tl::unexpected(std::move(errors));
}

bool isAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char it) { return static_cast<unsigned char>(it) < 0x80; });
}

bool isComment(std::string_view line)
{
    const auto first = line.find_first_not_of(" \t");
    return first != std::string_view::npos && line[first] == '#';
}

/// toml++ 3.3 crashes on some non-ASCII characters (it reaches code marked unreachable). Comment lines with such characters
/// are emptied; anywhere else they are errors.
tl::expected<std::string, ParseErrors> withoutNonAsciiComments(std::string_view text)
{
    std::string result;
    ParseErrors errors;
    int number = 1;
    for (std::size_t begin = 0; begin <= text.size(); ++number) {
        const auto end = std::min(text.find('\n', begin), text.size());
        const auto line = text.substr(begin, end - begin);
        if (isAscii(line)) {
            result += line;
        } else if (!isComment(line)) {
            errors.push_back({ParseErrorKind::Syntax, "", "", number, "non-ASCII characters are allowed only in comment lines"});
        }
        result += end < text.size() ? "\n" : "";
        begin = end + 1;
    }
    if (errors.empty()) {
        return result;
    }
    return tl::unexpected(std::move(errors));
}

tl::expected<Document, ParseErrors> readText(std::string_view text, std::optional<Section> only)
{
    const auto ascii = withoutNonAsciiComments(text);
    if (!ascii) {
        return tl::unexpected(ascii.error());
    }
    const auto parsed = toml::parse(std::string_view(*ascii));
    if (!parsed) {
        const auto &error = parsed.error();
        return tl::unexpected(ParseErrors{{ParseErrorKind::Syntax, "", "", static_cast<int>(error.source().begin.line), std::string(error.description())}});
    }
    return readSections(parsed.table(), only);
}

} // namespace

std::string toString(const ParseError &error)
{
    auto text = "line " + std::to_string(error.line) + ": ";
    if (!error.section.empty()) {
        text += "[" + error.section + "] ";
    }
    if (!error.key.empty()) {
        text += error.key + ": ";
    }
    switch (error.kind) {
    case ParseErrorKind::Syntax:
        return text + "invalid TOML: " + error.expected;
    case ParseErrorKind::UnknownSection:
        return text + "unknown section, expected " + error.expected;
    case ParseErrorKind::UnknownKey:
        return text + "unknown key";
    case ParseErrorKind::MissingKey:
        return text + "missing, expected " + error.expected;
    case ParseErrorKind::WrongType:
    case ParseErrorKind::OutOfRange:
    case ParseErrorKind::InvalidName:
        return text + "expected " + error.expected;
    }
    return text;
}

tl::expected<Document, std::vector<ParseError>> parseDocument(std::string_view text)
{
    return readText(text, std::nullopt);
}

tl::expected<Document, std::vector<ParseError>> parseSection(Section section, std::string_view text)
{
    return readText(text, section);
}

} // namespace turmericplank::configuration
