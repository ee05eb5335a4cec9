#include "turmericplank/configuration/canonical.hpp"

#include <array>
#include <charconv>

namespace turmericplank::configuration {

namespace {

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const auto it : text) {
        if (it == '"' || it == '\\') {
            result += '\\';
        }
        result += it;
    }
    return result + '"';
}

std::string numberText(double value)
{
    std::array<char, 64> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    std::string text(buf.data(), end);
    return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

std::string header(Section section, const std::string &name)
{
    return "[" + std::string(toString(section)) + "." + quoted(name) + "]\n";
}

std::string keyLine(std::string_view key, const std::string &value)
{
    return std::string(key) + " = " + value + "\n";
}

std::string keyLine(std::string_view key, std::uint32_t value)
{
    return keyLine(key, std::to_string(value));
}

std::string keyLine(std::string_view key, bool value)
{
    return keyLine(key, std::string(value ? "true" : "false"));
}

std::string entryText(const Model &model)
{
    return header(Section::Models, model.name.text()) + keyLine("version", quoted(model.version)) + keyLine("memory_mib", model.memoryMib)
        + keyLine("minimum_replicas", model.minimumReplicas) + keyLine("first_token_ms", model.firstTokenMilliseconds)
        + keyLine("weight", numberText(model.weight));
}

std::string entryText(const Adapter &adapter)
{
    return header(Section::Adapters, adapter.name.text()) + keyLine("model", quoted(adapter.model.text())) + keyLine("memory_mib", adapter.memoryMib);
}

std::string entryText(const CallerPolicy &caller)
{
    return header(Section::Priorities, caller.name.text()) + keyLine("highest", quoted(base::toString(caller.highestPriority)))
        + keyLine("requests_per_second", numberText(caller.requestsPerSecond)) + keyLine("concurrency", caller.concurrency);
}

std::string entryText(const Endpoint &endpoint)
{
    return header(Section::Endpoints, endpoint.id.text()) + keyLine("address", quoted(base::toString(endpoint.address)))
        + keyLine("zone", quoted(endpoint.zone.text())) + keyLine("memory_mib", endpoint.memoryMib) + keyLine("concurrency", endpoint.concurrency)
        + keyLine("checks_fencing", endpoint.checksFencing) + keyLine("role", quoted(endpoint.role));
}

std::string entryText(const Service &service)
{
    const auto table = "services." + quoted(service.name.text());
    auto text = header(Section::Services, service.name.text());
    if (service.instances.empty()) {
        text += "instances = []\n";
    }
    for (const auto &it : service.instances) {
        text += "[[" + table + ".instances]]\n" + keyLine("id", quoted(it.id.text())) + keyLine("address", quoted(base::toString(it.address)))
            + keyLine("zone", quoted(it.zone.text()));
    }
    for (const auto &it : service.operations) {
        text += "[[" + table + ".operations]]\n" + keyLine("method", quoted(it.method)) + keyLine("path", quoted(it.pathPrefix))
            + keyLine("repeatable", it.isRepeatable);
    }
    return text;
}

std::string entryText(const PlacementPolicy &policy)
{
    return "[placement]\n" + keyLine("weight_loads_per_second", numberText(policy.weightLoadsPerSecond))
        + keyLine("weight_loads_at_full_speed", policy.weightLoadsAtFullSpeed) + keyLine("adapter_loads_in_flight", policy.adapterLoadsInFlight)
        + keyLine("move_price", numberText(policy.movePrice)) + keyLine("lateness_price", numberText(policy.latenessPrice))
        + keyLine("spread_zones", policy.spreadZones);
}

template<typename Map>
std::vector<CanonicalEntry> entriesOf(const Map &map)
{
    std::vector<CanonicalEntry> entries;
    entries.reserve(map.size());
    for (const auto &[name, value] : map) {
        entries.push_back({name.text(), entryText(value)});
    }
    return entries;
}

} // namespace

std::vector<CanonicalEntry> canonicalEntries(const Document &document, Section section)
{
    switch (section) {
    case Section::Site:
        return {{"", "[site]\n" + keyLine("name", quoted(document.site))}};
    case Section::Models:
        return entriesOf(document.models);
    case Section::Adapters:
        return entriesOf(document.adapters);
    case Section::Priorities:
        return entriesOf(document.callers);
    case Section::Placement:
        return {{"", entryText(document.placement)}};
    case Section::Endpoints:
        return entriesOf(document.endpoints);
    case Section::Services:
        return entriesOf(document.services);
    }
    return {};
}

std::string canonicalText(const Document &document, Section section)
{
    std::string text;
    for (const auto &it : canonicalEntries(document, section)) {
        text += it.text;
    }
    return text;
}

std::string canonicalText(const Document &document)
{
    std::string text;
    for (const auto it : AllSections) {
        text += canonicalText(document, it);
    }
    return text;
}

void replaceSection(Document &document, Section section, const Document &source)
{
    switch (section) {
    case Section::Site:
        document.site = source.site;
        return;
    case Section::Models:
        document.models = source.models;
        return;
    case Section::Adapters:
        document.adapters = source.adapters;
        return;
    case Section::Priorities:
        document.callers = source.callers;
        return;
    case Section::Placement:
        document.placement = source.placement;
        return;
    case Section::Endpoints:
        document.endpoints = source.endpoints;
        return;
    case Section::Services:
        document.services = source.services;
        return;
    }
}

} // namespace turmericplank::configuration
