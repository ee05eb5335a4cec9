#include "turmericplank/configuration/reader.hpp"

#include <algorithm>

#include "tablereader.hpp"

namespace turmericplank::configuration {

namespace {

constexpr std::uint32_t LargestMemoryMib = 16U * 1024U * 1024U;
constexpr std::uint32_t LargestCount = 100000;
constexpr std::uint32_t LongestMilliseconds = 24U * 3600U * 1000U;
constexpr double LargestNumber = 1e9;
constexpr std::string_view NameRule = "name of letters, digits and . _ - : of at most 128 bytes";

using Mistakes = std::vector<ParseError>;

void readSite(const toml::table &table, Document &document, Mistakes &mistakes)
{
    TableReader reader(table, "site", mistakes);
    reader.text("name", Presence::Required, document.site);
    reader.finish();
}

void readPlacement(const toml::table &table, Document &document, Mistakes &mistakes)
{
    auto &policy = document.placement;
    TableReader reader(table, "placement", mistakes);
    reader.number("weight_loads_per_second", Presence::Optional, policy.weightLoadsPerSecond, LargestNumber);
    reader.whole("weight_loads_at_full_speed", Presence::Optional, policy.weightLoadsAtFullSpeed, 1, LargestCount);
    reader.whole("adapter_loads_in_flight", Presence::Optional, policy.adapterLoadsInFlight, 1, LargestCount);
    reader.number("move_price", Presence::Optional, policy.movePrice, LargestNumber);
    reader.number("lateness_price", Presence::Optional, policy.latenessPrice, LargestNumber);
    reader.whole("spread_zones", Presence::Optional, policy.spreadZones, 1, LargestCount);
    reader.finish();
}

void readModel(const std::string &name, const toml::table &table, Document &document, Mistakes &mistakes)
{
    Model model{.name = base::ModelName(name)};
    TableReader reader(table, "models." + name, mistakes);
    reader.text("version", Presence::Required, model.version);
    reader.whole("memory_mib", Presence::Required, model.memoryMib, 1, LargestMemoryMib);
    reader.whole("minimum_replicas", Presence::Optional, model.minimumReplicas, 1, LargestCount);
    reader.whole("first_token_ms", Presence::Optional, model.firstTokenMilliseconds, 1, LongestMilliseconds);
    reader.number("weight", Presence::Optional, model.weight, LargestNumber);
    reader.finish();
    document.models.emplace(model.name, std::move(model));
}

void readAdapter(const std::string &name, const toml::table &table, Document &document, Mistakes &mistakes)
{
    Adapter adapter{.name = base::AdapterName(name)};
    std::string model;
    TableReader reader(table, "adapters." + name, mistakes);
    reader.text("model", Presence::Required, model);
    reader.whole("memory_mib", Presence::Required, adapter.memoryMib, 1, LargestMemoryMib);
    reader.finish();
    adapter.model = base::ModelName(model);
    document.adapters.emplace(adapter.name, std::move(adapter));
}

void readCaller(const std::string &name, const toml::table &table, Document &document, Mistakes &mistakes)
{
    CallerPolicy caller{.name = base::CallerName(name)};
    auto highest = std::string(base::toString(caller.highestPriority));
    TableReader reader(table, "priorities." + name, mistakes);
    reader.word("highest", Presence::Optional, highest, {"urgent", "normal", "bulk"});
    reader.number("requests_per_second", Presence::Optional, caller.requestsPerSecond, LargestNumber);
    reader.whole("concurrency", Presence::Optional, caller.concurrency, 0, LargestCount);
    reader.finish();
    caller.highestPriority = base::parsePriority(highest).value_or(caller.highestPriority);
    document.callers.emplace(caller.name, std::move(caller));
}

void readEndpoint(const std::string &name, const toml::table &table, Document &document, Mistakes &mistakes)
{
    Endpoint endpoint{.id = base::EndpointId(name)};
    std::string zone;
    TableReader reader(table, "endpoints." + name, mistakes);
    reader.address("address", Presence::Required, endpoint.address);
    reader.zone("zone", Presence::Required, zone);
    reader.whole("memory_mib", Presence::Required, endpoint.memoryMib, 1, LargestMemoryMib);
    reader.whole("concurrency", Presence::Optional, endpoint.concurrency, 1, LargestCount);
    reader.flag("checks_fencing", Presence::Required, endpoint.checksFencing);
    reader.word("role", Presence::Optional, endpoint.role, {"serve", "prefill", "decode"});
    reader.finish();
    endpoint.zone = base::ZoneName(zone);
    document.endpoints.emplace(endpoint.id, std::move(endpoint));
}

ServiceInstance readInstance(const std::string &section, const toml::table &table, Mistakes &mistakes)
{
    ServiceInstance instance;
    std::string id;
    std::string zone;
    TableReader reader(table, section, mistakes);
    reader.text("id", Presence::Required, id);
    reader.address("address", Presence::Required, instance.address);
    reader.zone("zone", Presence::Required, zone);
    reader.finish();
    instance.id = base::EndpointId(id);
    instance.zone = base::ZoneName(zone);
    return instance;
}

Operation readOperation(const std::string &section, const toml::table &table, Mistakes &mistakes)
{
    Operation operation;
    TableReader reader(table, section, mistakes);
    reader.word("method", Presence::Required, operation.method, {"GET", "HEAD", "PUT", "POST", "PATCH", "DELETE"});
    reader.text("path", Presence::Required, operation.pathPrefix);
    reader.flag("repeatable", Presence::Required, operation.isRepeatable);
    reader.finish();
    return operation;
}

void readService(const std::string &name, const toml::table &table, Document &document, Mistakes &mistakes)
{
    Service service{.name = base::ServiceName(name)};
    const auto section = "services." + name;
    TableReader reader(table, section, mistakes);
    for (const auto *it : reader.tables("instances", Presence::Required)) {
        service.instances.push_back(readInstance(section + ".instances", *it, mistakes));
    }
    for (const auto *it : reader.tables("operations", Presence::Optional)) {
        service.operations.push_back(readOperation(section + ".operations", *it, mistakes));
    }
    reader.finish();
    document.services.emplace(service.name, std::move(service));
}

using EntryReader = void (*)(const std::string &, const toml::table &, Document &, Mistakes &);

void readEntries(std::string_view section, const toml::table &table, EntryReader read, Document &document, Mistakes &mistakes)
{
    for (const auto &[key, node] : table) {
        const std::string name(key.str());
        if (!isValidName(name)) {
            mistakes.push_back({MistakeKind::InvalidName, std::string(section), name, lineOf(node), std::string(NameRule)});
        } else if (const auto *entry = node.as_table()) {
            read(name, *entry, document, mistakes);
        } else {
            mistakes.push_back({MistakeKind::WrongType, std::string(section), name, lineOf(node), "table"});
        }
    }
}

void readSection(Section section, const toml::table &table, Document &document, Mistakes &mistakes)
{
    switch (section) {
    case Section::Site:
        return readSite(table, document, mistakes);
    case Section::Models:
        return readEntries("models", table, readModel, document, mistakes);
    case Section::Adapters:
        return readEntries("adapters", table, readAdapter, document, mistakes);
    case Section::Priorities:
        return readEntries("priorities", table, readCaller, document, mistakes);
    case Section::Placement:
        return readPlacement(table, document, mistakes);
    case Section::Endpoints:
        return readEntries("endpoints", table, readEndpoint, document, mistakes);
    case Section::Services:
        return readEntries("services", table, readService, document, mistakes);
    }
}

tl::expected<Document, Mistakes> readSections(const toml::table &root, std::optional<Section> only)
{
    Document document;
    Mistakes mistakes;
    const auto expected = only ? "only the section " + std::string(toString(*only)) : "site, models, adapters, priorities, placement, endpoints or services";
    for (const auto &[key, node] : root) {
        const auto section = parseSectionName(key.str());
        if (!section || (only && section != only)) {
            mistakes.push_back({MistakeKind::UnknownSection, std::string(key.str()), "", lineOf(node), expected});
        } else if (const auto *table = node.as_table()) {
            readSection(*section, *table, document, mistakes);
        } else {
            mistakes.push_back({MistakeKind::WrongType, std::string(key.str()), "", lineOf(node), "table"});
        }
    }
    const bool needsSite = !only || *only == Section::Site;
    if (needsSite && !root.contains("site")) {
        mistakes.push_back({MistakeKind::MissingKey, "site", "name", 1, "table with the site's name"});
    }
    if (mistakes.empty()) {
        return document;
    }
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
    return tl::unexpected(std::move(mistakes));
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

/// Text without what toml++ 3.3 does not survive: it reaches code that it takes for unreachable on some characters beyond
/// ASCII. Comment lines may hold them and are emptied; elsewhere they are mistakes.
tl::expected<std::string, Mistakes> asciiText(std::string_view text)
{
    std::string result;
    Mistakes mistakes;
    int number = 1;
    for (std::size_t begin = 0; begin <= text.size(); ++number) {
        const auto end = std::min(text.find('\n', begin), text.size());
        const auto line = text.substr(begin, end - begin);
        if (isAscii(line)) {
            result += line;
        } else if (!isComment(line)) {
            mistakes.push_back({MistakeKind::Syntax, "", "", number, "characters beyond ASCII may stand only in lines that begin with #"});
        }
        result += end < text.size() ? "\n" : "";
        begin = end + 1;
    }
    if (mistakes.empty()) {
        return result;
    }
    return tl::unexpected(std::move(mistakes));
}

tl::expected<Document, Mistakes> readText(std::string_view text, std::optional<Section> only)
{
    const auto ascii = asciiText(text);
    if (!ascii) {
        return tl::unexpected(ascii.error());
    }
    const auto parsed = toml::parse(std::string_view(*ascii));
    if (!parsed) {
        const auto &error = parsed.error();
        return tl::unexpected(Mistakes{{MistakeKind::Syntax, "", "", static_cast<int>(error.source().begin.line), std::string(error.description())}});
    }
    return readSections(parsed.table(), only);
}

} // namespace

std::string toString(const ParseError &mistake)
{
    auto text = "line " + std::to_string(mistake.line) + ": ";
    if (!mistake.section.empty()) {
        text += "[" + mistake.section + "] ";
    }
    if (!mistake.key.empty()) {
        text += mistake.key + ": ";
    }
    switch (mistake.kind) {
    case MistakeKind::Syntax:
        return text + "not TOML: " + mistake.expected;
    case MistakeKind::UnknownSection:
        return text + "unknown section, expected " + mistake.expected;
    case MistakeKind::UnknownKey:
        return text + "unknown key";
    case MistakeKind::MissingKey:
        return text + "missing, expected " + mistake.expected;
    case MistakeKind::WrongType:
    case MistakeKind::OutOfRange:
    case MistakeKind::InvalidName:
        return text + "expected " + mistake.expected;
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
