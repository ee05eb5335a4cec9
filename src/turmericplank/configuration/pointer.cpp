#include "turmericplank/configuration/pointer.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericplank::configuration {

namespace {

using Json = nlohmann::json;

/// An entry is dropped once its successor has been in force this long, to allow for clock differences between daemons.
constexpr base::Duration SupersededRetention = std::chrono::seconds(10);

Json toJson(const PointerEntry &entry)
{
    Json sections = Json::object();
    for (const auto &[section, digest] : entry.sections) {
        sections[std::string(toString(section))] = digest;
    }
    return {{"revision", entry.revision.value()}, {"digest", entry.digest}, {"in_force_from", base::toMilliseconds(entry.inForceFrom)}, {"sections", sections}};
}

PointerEntry entryFromJson(const Json &json)
{
    PointerEntry entry;
    entry.revision = base::Revision(json.at("revision").get<std::uint64_t>());
    entry.digest = json.at("digest").get<std::string>();
    entry.inForceFrom = base::timeFromMilliseconds(json.at("in_force_from").get<std::int64_t>());
    for (const auto &[name, digest] : json.at("sections").items()) {
        if (const auto section = parseSectionName(name)) {
            entry.sections.emplace(*section, digest.get<std::string>());
        }
    }
    return entry;
}

bool isOrdered(const std::vector<PointerEntry> &entries)
{
    const auto isOutOfOrder = [](const auto &a, const auto &b) {
        return a.revision >= b.revision || a.inForceFrom > b.inForceFrom;
    };
    return std::adjacent_find(entries.begin(), entries.end(), isOutOfOrder) == entries.end();
}

} // namespace

base::Revision Pointer::highest() const
{
    return entries.empty() ? base::Revision() : entries.back().revision;
}

const PointerEntry *Pointer::inForceAt(base::Time now) const
{
    const auto isInForce = [now](const auto &it) {
        return it.inForceFrom <= now;
    };
    const auto found = std::find_if(entries.rbegin(), entries.rend(), isInForce);
    return found == entries.rend() ? nullptr : &*found;
}

Pointer appendEntry(const Pointer &pointer, PointerEntry entry, base::Time now)
{
    auto entries = pointer.entries;
    if (!entries.empty()) {
        entry.inForceFrom = std::max(entry.inForceFrom, entries.back().inForceFrom);
    }
    entries.push_back(std::move(entry));
    while (entries.size() > 1 && entries[1].inForceFrom + SupersededRetention <= now) {
        entries.erase(entries.begin());
    }
    return {std::move(entries)};
}

std::string changeObjectName(const std::string &from, const std::string &to)
{
    return "change/" + from + "/" + to;
}

std::string encodeObjects(const std::vector<ContentObject> &objects)
{
    Json json = Json::object();
    for (const auto &it : objects) {
        json[it.digest] = it.bytes;
    }
    const auto bytes = Json::to_msgpack(json);
    return {bytes.begin(), bytes.end()};
}

std::vector<ContentObject> decodeObjects(std::string_view bytes)
{
    std::vector<ContentObject> objects;
    const auto json = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!json.is_object()) {
        return objects;
    }
    for (const auto &[digest, content] : json.items()) {
        if (!content.is_string()) {
            continue;
        }
        auto object = contentObject(content.get<std::string>());
        if (object.digest == digest) {
            objects.push_back(std::move(object));
        }
    }
    return objects;
}

std::string encodePointer(const Pointer &pointer)
{
    Json entries = Json::array();
    for (const auto &it : pointer.entries) {
        entries.push_back(toJson(it));
    }
    return Json{{"entries", entries}}.dump();
}

std::optional<Pointer> decodePointer(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        Pointer pointer;
        for (const auto &it : json.at("entries")) {
            pointer.entries.push_back(entryFromJson(it));
        }
        return isOrdered(pointer.entries) ? std::optional(std::move(pointer)) : std::nullopt;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace turmericplank::configuration
