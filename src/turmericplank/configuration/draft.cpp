#include "turmericplank/configuration/draft.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericplank::configuration {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxRecords = 32; ///< latest writes whose outcome can still be determined

DraftSection sectionFromJson(const Json &json)
{
    return {json.at("revision").get<std::uint64_t>(), json.at("digest").get<std::string>(), json.at("author").get<std::string>()};
}

WriteRecord recordFromJson(const Json &json)
{
    return {json.at("token").get<std::string>(), json.at("sequence").get<std::uint64_t>(), json.at("revision").get<std::uint64_t>()};
}

} // namespace

std::uint64_t Draft::revisionOf(Section section) const
{
    const auto found = sections.find(section);
    return found == sections.end() ? 0 : found->second.revision;
}

SectionDigests Draft::digests() const
{
    SectionDigests result;
    for (const auto &[section, value] : sections) {
        result.emplace(section, value.digest);
    }
    return result;
}

WriteOutcome findWriteOutcome(const Draft &draft, std::string_view token, std::uint64_t sequence, WriteRecord &record)
{
    const auto found = std::find_if(draft.recent.begin(), draft.recent.end(), [token](const auto &it) { return it.token == token; });
    if (found != draft.recent.end()) {
        record = *found;
        return WriteOutcome::Applied;
    }
    return draft.sequence >= sequence + MaxRecords ? WriteOutcome::Unknown : WriteOutcome::NotApplied;
}

Draft nextDraft(const Draft &draft, const std::string &token, std::uint64_t revision)
{
    auto next = draft;
    next.sequence += 1;
    next.recent.push_back({token, next.sequence, revision});
    if (next.recent.size() > MaxRecords) {
        next.recent.erase(next.recent.begin());
    }
    return next;
}

std::string encodeDraft(const Draft &draft)
{
    Json sections = Json::object();
    for (const auto &[section, value] : draft.sections) {
        sections[std::string(toString(section))] = {{"revision", value.revision}, {"digest", value.digest}, {"author", value.author}};
    }
    Json recent = Json::array();
    for (const auto &it : draft.recent) {
        recent.push_back({{"token", it.token}, {"sequence", it.sequence}, {"revision", it.revision}});
    }
    return Json{{"sequence", draft.sequence}, {"sections", sections}, {"recent", recent}}.dump();
}

std::optional<Draft> decodeDraft(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        Draft draft;
        draft.sequence = json.at("sequence").get<std::uint64_t>();
        for (const auto &[name, value] : json.at("sections").items()) {
            if (const auto section = parseSectionName(name)) {
                draft.sections.emplace(*section, sectionFromJson(value));
            }
        }
        for (const auto &it : json.at("recent")) {
            draft.recent.push_back(recordFromJson(it));
        }
        return draft;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace turmericplank::configuration
