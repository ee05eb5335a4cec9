#include "requesttimeline.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace turmericplank::cli {

namespace {

constexpr std::int64_t OrderLookback = 15'000; ///< milliseconds; loading a model from the weight store, including evictions, takes less
constexpr std::int64_t EndpointLookback = 10'000; ///< milliseconds; three heartbeats and the grace period of a draining endpoint
constexpr std::int64_t EndpointLookahead = 5'000; ///< milliseconds; the entry of a failed endpoint is removed within this time
constexpr std::size_t DateLength = 23; ///< as in 2026-12-04 03:00:28,123

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

/// Milliseconds since a fixed date of the Gregorian calendar, without regard to time zones.
std::int64_t timeAt(const std::string &line, std::size_t at)
{
    const auto month = number(line, at + 5, 2);
    const auto year = number(line, at, 4) - (month <= 2 ? 1 : 0);
    const auto dayOfYear = (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + number(line, at + 8, 2);
    const auto days = 365 * year + year / 4 - year / 100 + year / 400 + dayOfYear;
    const auto seconds = ((days * 24 + number(line, at + 11, 2)) * 60 + number(line, at + 14, 2)) * 60 + number(line, at + 17, 2);
    return seconds * 1000 + number(line, at + 20, 3);
}

/// Reads the value at a position, which may be quoted, and advances the position past it.
std::string readValue(const std::string &text, std::size_t &at)
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
            line.message += (line.message.empty() ? "" : " ") + text.substr(at, end - at);
            at = end + 1;
            continue;
        }
        const auto name = text.substr(at, equals - at);
        at = equals + 1;
        line.fields[name] = readValue(text, at);
        ++at;
    }
}

std::string field(const LogLine &line, const std::string &name)
{
    const auto it = line.fields.find(name);
    return it == line.fields.end() ? std::string() : it->second;
}

/// Facts about a request, collected from its own lines.
struct RequestFacts
{
    std::string id;
    std::int64_t from = 0;
    std::int64_t until = 0;
    std::set<std::string> daemons;
    std::set<std::string> endpoints;
    std::string model; ///< base model, without the adapter
};

RequestFacts collectFacts(const std::vector<LogLine> &lines, const std::string &id)
{
    RequestFacts request{id, INT64_MAX, INT64_MIN, {}, {}, {}};
    for (const auto &it : lines) {
        if (field(it, "request") != id) {
            continue;
        }
        std::int64_t after = 0;
        const auto text = field(it, it.message == "ended" ? "total_ms" : "after_ms");
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

/// Whether a line is an event of an endpoint used or an order for the model, close enough in time to the request.
bool isRelatedEvent(const LogLine &line, const RequestFacts &request)
{
    if (line.slice == "endpoints" && request.endpoints.contains(field(line, "endpoint"))) {
        return request.daemons.contains(line.source) && isBetween(line, request.from - EndpointLookback, request.until + EndpointLookahead);
    }
    const bool isOrder = line.slice == "placement" && (line.message == "orders" || line.message == "order answered");
    if (isOrder && !request.model.empty() && field(line, "model") == request.model && field(line, "adapter").empty()) {
        return isBetween(line, request.from - OrderLookback, request.until);
    }
    return false;
}

/// Key of the state that a line describes, of which only the last line before the request matters; empty for other lines.
std::string stateKey(const LogLine &line, const RequestFacts &request)
{
    if (line.slice == "placement" && (line.message == "demand" || line.message.starts_with("holds the lease") || line.message == "gives the lease up")) {
        return line.message == "demand" ? "demand" : "lease";
    }
    if (!request.daemons.contains(line.source)) {
        return {};
    }
    if (line.slice == "configuration" && line.message == "in force") {
        return "configuration of " + line.source;
    }
    if (line.slice == "store" || (line.slice == "daemon" && line.message != "reload")) {
        return line.slice + " of " + line.source;
    }
    if (line.slice == "peers" && (line.message == "silent" || line.message == "heard")) {
        return "daemon " + field(line, "daemon") + " as heard by " + line.source;
    }
    return {};
}

void reportMissing(const RequestFacts &request, const std::map<std::string, std::size_t> &latestStates, const std::vector<LogLine> &lines,
                   RequestTimeline &timeline)
{
    for (const auto &it : request.daemons) {
        if (!latestStates.contains("configuration of " + it)) {
            timeline.missing.push_back("no line about the configuration that " + it + " had in force");
        }
    }
    if (!request.model.empty() && !latestStates.contains("lease")) {
        timeline.missing.push_back("no line about the holder of the placement lease: its log was not given, or no daemon held the lease");
    }
    const bool hasEnd = std::ranges::any_of(lines, [&](const auto &it) { return field(it, "request") == request.id && it.message == "ended"; });
    if (!hasEnd) {
        timeline.missing.push_back("no line about its end: it was still running, its daemon stopped, or lines about answered calls were left out");
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

RequestTimeline buildTimeline(std::vector<LogLine> lines, const std::string &request)
{
    std::ranges::stable_sort(lines, {}, &LogLine::at);
    const auto subject = collectFacts(lines, request);
    RequestTimeline timeline;
    if (subject.daemons.empty()) {
        timeline.missing.push_back("no line of this request");
        return timeline;
    }
    std::map<std::string, std::size_t> latestStates;
    for (std::size_t n = 0; n < lines.size(); ++n) {
        const auto key = stateKey(lines[n], subject);
        const bool isBefore = lines[n].at <= subject.from;
        if (!key.empty() && isBefore) {
            latestStates[key] = n;
        } else if (field(lines[n], "request") == request) {
            timeline.entries.push_back({lines[n], subject.from - lines[n].at, false});
        } else if ((!key.empty() && lines[n].at <= subject.until) || isRelatedEvent(lines[n], subject)) {
            timeline.entries.push_back({lines[n], subject.from - lines[n].at, true});
        }
    }
    for (const auto &[key, n] : latestStates) {
        timeline.entries.push_back({lines[n], subject.from - lines[n].at, true});
    }
    std::ranges::stable_sort(timeline.entries, {}, [](const auto &it) { return it.line.at; });
    reportMissing(subject, latestStates, lines, timeline);
    return timeline;
}

} // namespace turmericplank::cli
