#include "requesttimeline.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace turmericplank::cli {

namespace {

constexpr std::int64_t OrdersBefore = 15'000; ///< milliseconds; a load from the weight store, with the room that is made for it, takes less
constexpr std::int64_t EndpointBefore = 10'000; ///< milliseconds; three heartbeats and the grace of a draining endpoint
constexpr std::int64_t EndpointAfter = 5'000; ///< milliseconds by which a failed endpoint's entry is gone
constexpr std::size_t DateLength = 23; // 2026-12-04 03:00:28,123

bool isDigit(char it)
{
    return it >= '0' && it <= '9';
}

bool isDateAt(const std::string &line, std::size_t at)
{
    constexpr const char *Shape = "dddd-dd-dd dd:dd:dd,ddd";
    for (std::size_t n = 0; n < DateLength; ++n) {
        const char it = line[at + n];
        if (Shape[n] == 'd' ? !isDigit(it) : it != Shape[n]) {
            return false;
        }
    }
    return true;
}

std::int64_t number(const std::string &line, std::size_t at, std::size_t length)
{
    std::int64_t value = 0;
    std::from_chars(line.data() + at, line.data() + at + length, value);
    return value;
}

/// Milliseconds since a fixed day; the day is counted by the civil calendar.
std::int64_t timeAt(const std::string &line, std::size_t at)
{
    const auto month = number(line, at + 5, 2);
    const auto year = number(line, at, 4) - (month <= 2 ? 1 : 0);
    const auto dayOfYear = (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + number(line, at + 8, 2);
    const auto days = 365 * year + year / 4 - year / 100 + year / 400 + dayOfYear;
    const auto seconds = ((days * 24 + number(line, at + 11, 2)) * 60 + number(line, at + 14, 2)) * 60 + number(line, at + 17, 2);
    return seconds * 1000 + number(line, at + 20, 3);
}

/// The value that starts at a position; moves the position behind it.
std::string takeValue(const std::string &text, std::size_t &at)
{
    std::string value;
    if (at < text.size() && text[at] == '"') {
        for (++at; at < text.size() && text[at] != '"'; ++at) {
            at += text[at] == '\\' && at + 1 < text.size() ? 1 : 0;
            value += text[at];
        }
        ++at;
        return value;
    }
    while (at < text.size() && text[at] != ' ') {
        value += text[at++];
    }
    return value;
}

void readFields(LogLine &line, const std::string &text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const auto end = std::min(text.find(' ', at), text.size());
        const auto equals = text.find('=', at);
        if (equals == std::string::npos || equals > end) {
            line.sentence += (line.sentence.empty() ? "" : " ") + text.substr(at, end - at);
            at = end + 1;
            continue;
        }
        const auto name = text.substr(at, equals - at);
        at = equals + 1;
        line.fields[name] = takeValue(text, at);
        ++at;
    }
}

std::string field(const LogLine &line, const std::string &name)
{
    const auto it = line.fields.find(name);
    return it == line.fields.end() ? std::string() : it->second;
}

/// Facts about a request that its own lines name.
struct Request
{
    std::string id;
    std::int64_t from = 0;
    std::int64_t until = 0;
    std::set<std::string> daemons;
    std::set<std::string> endpoints;
    std::string model; ///< without its adapter
};

Request requestOf(const std::vector<LogLine> &lines, const std::string &id)
{
    Request request{id, INT64_MAX, INT64_MIN, {}, {}, {}};
    for (const auto &it : lines) {
        if (field(it, "request") != id) {
            continue;
        }
        std::int64_t after = 0;
        const auto text = field(it, it.sentence == "ended" ? "total_ms" : "after_ms");
        std::from_chars(text.data(), text.data() + text.size(), after);
        request.from = std::min(request.from, it.at - after);
        request.until = std::max(request.until, it.at);
        request.daemons.insert(it.source);
        const auto endpoint = field(it, "endpoint");
        if (!endpoint.empty() && endpoint != "none") {
            request.endpoints.insert(endpoint);
        }
        const auto work = field(it, "work");
        const auto colon = work.find(':');
        if (colon != std::string::npos) {
            request.model = work.substr(colon + 1, work.find('/', colon) - colon - 1);
        }
    }
    return request;
}

bool isBetween(const LogLine &line, std::int64_t from, std::int64_t until)
{
    return line.at >= from && line.at <= until;
}

/// Whether all lines of a kind near the request belong to its story.
bool isEventOf(const LogLine &line, const Request &request)
{
    if (line.slice == "endpoints" && request.endpoints.contains(field(line, "endpoint"))) {
        return request.daemons.contains(line.source) && isBetween(line, request.from - EndpointBefore, request.until + EndpointAfter);
    }
    const bool isOrder = line.slice == "placement" && (line.sentence == "orders" || line.sentence == "order answered");
    if (isOrder && !request.model.empty() && field(line, "model") == request.model && field(line, "adapter").empty()) {
        return isBetween(line, request.from - OrdersBefore, request.until);
    }
    return false;
}

/// Name of a belief of which only the last word before the request counts; empty for other lines.
std::string beliefOf(const LogLine &line, const Request &request)
{
    if (line.slice == "placement" && (line.sentence == "demand" || line.sentence.starts_with("holds the lease") || line.sentence == "gives the lease up")) {
        return line.sentence == "demand" ? "demand" : "lease";
    }
    if (!request.daemons.contains(line.source)) {
        return {};
    }
    if (line.slice == "configuration" && line.sentence == "in force") {
        return "configuration of " + line.source;
    }
    if (line.slice == "store" || (line.slice == "daemon" && line.sentence != "reload")) {
        return line.slice + " of " + line.source;
    }
    if (line.slice == "peers" && (line.sentence == "silent" || line.sentence == "heard")) {
        return "daemon " + field(line, "daemon") + " as heard by " + line.source;
    }
    return {};
}

void nameMissing(const Request &request, const std::map<std::string, std::size_t> &beliefs, const std::vector<LogLine> &lines, Story &story)
{
    for (const auto &it : request.daemons) {
        if (!beliefs.contains("configuration of " + it)) {
            story.missing.push_back("no line on the configuration that " + it + " had in force");
        }
    }
    if (!request.model.empty() && !beliefs.contains("lease")) {
        story.missing.push_back("no line on who held the placement lease: its daemon's log is not among these, or nobody gave orders");
    }
    const bool hasEnd = std::ranges::any_of(lines, [&](const auto &it) { return field(it, "request") == request.id && it.sentence == "ended"; });
    if (!hasEnd) {
        story.missing.push_back("no line on its end: it still ran, its daemon ended, or lines on answered calls were left out");
    }
}

} // namespace

std::optional<LogLine> parseLogLine(const std::string &source, const std::string &line)
{
    std::size_t at = 0;
    while (at + DateLength <= line.size() && !isDateAt(line, at)) {
        ++at;
    }
    const auto levelAt = at + DateLength + 1;
    const auto level = line.find(' ', levelAt);
    const auto colon = line.find(": ", levelAt);
    if (levelAt >= line.size() || level == std::string::npos || colon == std::string::npos) {
        return std::nullopt;
    }
    LogLine result;
    result.source = source;
    const auto nameEnd = line.find_last_not_of(' ', at == 0 ? 0 : at - 1);
    if (at > 0 && nameEnd != std::string::npos) {
        const auto nameBegin = line.find_last_of(' ', nameEnd);
        result.source = line.substr(nameBegin == std::string::npos ? 0 : nameBegin + 1, nameEnd - (nameBegin == std::string::npos ? 0 : nameBegin + 1) + 1);
    }
    result.at = timeAt(line, at);
    const auto sliceAt = line.find_first_not_of(' ', level);
    result.slice = line.substr(sliceAt, colon - sliceAt);
    result.text = line.substr(sliceAt);
    readFields(result, line.substr(colon + 2));
    return result;
}

Story storyOf(std::vector<LogLine> lines, const std::string &request)
{
    std::ranges::stable_sort(lines, {}, &LogLine::at);
    const auto subject = requestOf(lines, request);
    Story story;
    if (subject.daemons.empty()) {
        story.missing.push_back("no line of this request");
        return story;
    }
    std::map<std::string, std::size_t> beliefs;
    for (std::size_t n = 0; n < lines.size(); ++n) {
        const auto belief = beliefOf(lines[n], subject);
        const bool isBefore = lines[n].at <= subject.from;
        if (!belief.empty() && isBefore) {
            beliefs[belief] = n;
        } else if (field(lines[n], "request") == request) {
            story.entries.push_back({lines[n], subject.from - lines[n].at, false});
        } else if ((!belief.empty() && lines[n].at <= subject.until) || isEventOf(lines[n], subject)) {
            story.entries.push_back({lines[n], subject.from - lines[n].at, true});
        }
    }
    for (const auto &[belief, n] : beliefs) {
        story.entries.push_back({lines[n], subject.from - lines[n].at, true});
    }
    std::ranges::stable_sort(story.entries, {}, [](const auto &it) { return it.line.at; });
    nameMissing(subject, beliefs, lines, story);
    return story;
}

} // namespace turmericplank::cli
