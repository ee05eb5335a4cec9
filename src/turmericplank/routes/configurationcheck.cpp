#include "turmericplank/routes/configurationcheck.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace turmericplank::routes {

namespace {

std::string milliseconds(base::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
}

/// A number without decimals that are zero.
std::string number(double value)
{
    auto text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}

/// Collects the findings on one entry.
class Entry
{
public:
    Entry(std::vector<Finding> &findings, std::string place)
        : m_findings(findings)
        , m_place(std::move(place))
    {
    }

    void add(FindingKind kind, std::string text)
    {
        m_findings.push_back({kind, m_place, std::move(text)});
    }

private:
    std::vector<Finding> &m_findings;
    std::string m_place;
};

void checkMatching(const Route &route, std::map<std::pair<std::string, std::string>, std::string> &byPrefix, Entry &entry)
{
    if (route.host.empty()) {
        entry.add(FindingKind::NeverMatches, "has no host");
    } else if (route.host.find(':') != std::string::npos) {
        entry.add(FindingKind::NeverMatches, "host \"" + route.host + "\" has a port, which is left out when calls are matched");
    }
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
        entry.add(FindingKind::Error, "prefix \"" + route.prefix + "\" must begin and end with a slash");
    }
    const auto [other, isFirst] = byPrefix.try_emplace({route.host, route.prefix}, route.name);
    if (!isFirst) {
        entry.add(FindingKind::NeverMatches, "route " + other->second + " before it has the same host and prefix");
    }
}

void checkSplit(const Route &route, const SiteConfiguration &configuration, Entry &entry)
{
    std::uint64_t total = 0;
    for (const auto &it : route.services) {
        total += it.weight;
        if (!configuration.services.contains(it.service)) {
            entry.add(FindingKind::Error, "service \"" + it.service.text() + "\" is not configured");
        }
    }
    if (route.services.empty()) {
        entry.add(FindingKind::Error, "has no service");
    } else if (total == 0) {
        entry.add(FindingKind::Contradiction, "all weights of its services are 0, so that the first one gets all calls");
    }
    for (const auto &it : route.services) {
        if (total > 0 && it.weight == 0) {
            entry.add(FindingKind::NeverMatches, "service " + it.service.text() + " has the weight 0");
        }
    }
}

void checkTimes(const Route &route, Entry &entry)
{
    const auto timeout = route.timeout;
    if (timeout <= base::Duration(0)) {
        entry.add(FindingKind::Error, "has no timeout");
        return;
    }
    if (route.objective > timeout) {
        entry.add(FindingKind::Contradiction, "objective of " + milliseconds(route.objective) + " is longer than its timeout of " + milliseconds(timeout));
    }
    if (route.eventGapObjective > timeout) {
        entry.add(FindingKind::Contradiction,
                  "objective of " + milliseconds(route.eventGapObjective) + " between events is longer than its timeout of " + milliseconds(timeout));
    }
}

void checkService(const ServiceSpec &service, bool isUsed, Entry &entry)
{
    if (!isUsed) {
        entry.add(FindingKind::NeverMatches, "no route uses it");
    }
    if (service.connectionLimit == 0) {
        entry.add(FindingKind::Error, "allows no connection");
    }
    if (!service.engine) {
        return;
    }
    std::set<base::ModelName> names;
    for (const auto &it : service.engine->models) {
        const auto name = "model " + it.name.text();
        if (!names.insert(it.name).second) {
            entry.add(FindingKind::Error, name + " is listed twice");
        }
        if (it.memoryMb > service.engine->memoryMb) {
            entry.add(FindingKind::Contradiction,
                      name + " needs " + std::to_string(it.memoryMb) + " MB, an engine has " + std::to_string(service.engine->memoryMb) + " MB");
        } else if (it.adapters > 0 && it.memoryMb + it.adapterMemoryMb > service.engine->memoryMb) {
            entry.add(FindingKind::Contradiction,
                      "no adapter of " + name + " fits next to it on an engine with " + std::to_string(service.engine->memoryMb) + " MB");
        }
    }
}

void checkAccount(const accounts::Account &account, std::map<accounts::KeyDigest, std::string> &keys, Entry &entry)
{
    if (account.keys.empty()) {
        entry.add(FindingKind::NeverMatches, "has no key");
    }
    for (const auto &it : account.keys) {
        const auto [other, isFirst] = keys.try_emplace(it, account.name.text());
        if (!isFirst) {
            entry.add(FindingKind::NeverMatches, other->second == account.name.text() ? "has a key twice" : "shares a key with account " + other->second);
        }
    }
    const auto &limit = account.limit;
    const double plainCall = limit.unit == accounts::UsageUnit::Calls ? 1 : limit.plainCallTokens;
    if (limit.isLimited() && limit.burst < plainCall) {
        entry.add(FindingKind::Contradiction, "burst of " + number(limit.burst) + " is less than the " + number(plainCall) + " of one call");
    }
    if (!limit.isLimited() && limit.burst > 0) {
        entry.add(FindingKind::Contradiction, "burst of " + number(limit.burst) + " has no effect without a rate");
    }
}

void checkAccounts(const SiteConfiguration &configuration, std::vector<Finding> &findings)
{
    if (!configuration.accounts) {
        return;
    }
    if (configuration.accounts->empty() && std::ranges::none_of(configuration.routes, &Route::isPublic)) {
        Entry(findings, "accounts").add(FindingKind::Error, "are required but none is listed, and no route is public: all calls are refused");
    }
    std::map<accounts::KeyDigest, std::string> keys;
    std::set<base::CallerName> names;
    for (const auto &it : *configuration.accounts) {
        Entry entry(findings, "account " + it.name.text());
        if (!names.insert(it.name).second) {
            entry.add(FindingKind::Error, "is listed twice");
        }
        checkAccount(it, keys, entry);
    }
}

using Fields = std::vector<std::pair<std::string, std::string>>; ///< names and values

Fields fieldsOf(const Route &route)
{
    std::string services;
    for (const auto &it : route.services) {
        services += (services.empty() ? "" : ", ") + it.service.text() + ':' + std::to_string(it.weight);
    }
    const auto yesOrNo = [](bool value) {
        return std::string(value ? "yes" : "no");
    };
    return {{"host", route.host},
            {"prefix", route.prefix},
            {"may run again", yesOrNo(route.kind.mayRunAgain())},
            {"streamed", yesOrNo(route.kind.isStreamed)},
            {"resumable", yesOrNo(route.kind.isResumable)},
            {"timeout", milliseconds(route.timeout)},
            {"objective", milliseconds(route.objective)},
            {"objective between events", milliseconds(route.eventGapObjective)},
            {"priority", std::to_string(route.rank)},
            {"endpoints per call", std::to_string(route.sendLimit)},
            {"services", services},
            {"public", yesOrNo(route.isPublic)}};
}

Fields fieldsOf(const ServiceSpec &service)
{
    Fields fields{{"connections", std::to_string(service.connectionLimit)}, {"engine", service.engine ? "yes" : "no"}};
    if (service.engine) {
        const auto &engine = *service.engine;
        std::string models;
        for (const auto &it : engine.models) {
            models += (models.empty() ? "" : ", ") + it.name.text();
        }
        fields.insert(fields.end(),
                      {{"concurrency", std::to_string(engine.concurrency)},
                       {"cache tokens", std::to_string(engine.cacheTokens)},
                       {"memory", std::to_string(engine.memoryMb) + " MB"},
                       {"adapter slots", std::to_string(engine.adapterSlots)},
                       {"weight loads", number(engine.weightLoadsPerSecond) + " per second"},
                       {"models", models}});
    }
    return fields;
}

Fields fieldsOf(const accounts::Account &account)
{
    const auto &limit = account.limit;
    return {{"keys", std::to_string(account.keys.size())},
            {"priority", account.priority ? std::to_string(*account.priority) : "none"},
            {"unit", limit.unit == accounts::UsageUnit::Tokens ? "tokens" : "calls"},
            {"rate", limit.isLimited() ? number(limit.perSecond) + " per second" : "unlimited"},
            {"burst", number(limit.burst)},
            {"tokens of a plain call", number(limit.plainCallTokens)}};
}

Fields fieldsOf(const CallerBounds &bounds)
{
    return {{"header", std::to_string(bounds.headerBytes) + " B"},
            {"body", std::to_string(bounds.bodyBytes) + " B"},
            {"request timeout", milliseconds(bounds.requestTimeout)},
            {"idle timeout", milliseconds(bounds.idleTimeout)}};
}

/// Both lists have the same names in the same order, or one of them is longer.
std::string changedFields(const Fields &current, const Fields &next)
{
    std::string text;
    for (std::size_t n = 0; n < std::max(current.size(), next.size()); ++n) {
        const auto &name = n < next.size() ? next[n].first : current[n].first;
        const auto before = n < current.size() ? current[n].second : "none";
        const auto after = n < next.size() ? next[n].second : "none";
        if (before != after) {
            text += (text.empty() ? "" : "; ") + name + ' ' + before + " -> " + after;
        }
    }
    return text;
}

template<typename T>
void describeEntries(const std::string &kind, const std::map<std::string, const T *> &current, const std::map<std::string, const T *> &next,
                     std::vector<std::string> &lines)
{
    for (const auto &[name, entry] : current) {
        if (!next.contains(name)) {
            lines.push_back(kind + ' ' + name + " is removed");
        }
    }
    for (const auto &[name, entry] : next) {
        const auto before = current.find(name);
        if (before == current.end()) {
            lines.push_back(kind + ' ' + name + " is added");
        } else if (!(*before->second == *entry)) {
            const auto fields = changedFields(fieldsOf(*before->second), fieldsOf(*entry));
            lines.push_back(kind + ' ' + name + ": " + (fields.empty() ? "other keys, or other properties of models" : fields));
        }
    }
}

std::map<std::string, const Route *> routesByName(const SiteConfiguration &configuration)
{
    std::map<std::string, const Route *> byName;
    for (const auto &it : configuration.routes) {
        byName[it.name] = &it;
    }
    return byName;
}

std::map<std::string, const ServiceSpec *> servicesByName(const SiteConfiguration &configuration)
{
    std::map<std::string, const ServiceSpec *> byName;
    for (const auto &[name, it] : configuration.services) {
        byName[name.text()] = &it;
    }
    return byName;
}

std::map<std::string, const accounts::Account *> accountsByName(const SiteConfiguration &configuration)
{
    std::map<std::string, const accounts::Account *> byName;
    if (configuration.accounts) {
        for (const auto &it : *configuration.accounts) {
            byName[it.name.text()] = &it;
        }
    }
    return byName;
}

} // namespace

std::string_view toString(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Error:
        return "error";
    case FindingKind::NeverMatches:
        return "never matches";
    case FindingKind::Contradiction:
        break;
    }
    return "contradiction";
}

std::vector<Finding> checkConfiguration(const SiteConfiguration &configuration)
{
    std::vector<Finding> findings;
    std::map<std::pair<std::string, std::string>, std::string> byPrefix;
    std::set<std::string> names;
    std::set<base::ServiceName> used;
    for (const auto &it : configuration.routes) {
        Entry entry(findings, "route " + it.name);
        if (!names.insert(it.name).second) {
            entry.add(FindingKind::Error, "is listed twice");
        }
        checkMatching(it, byPrefix, entry);
        checkSplit(it, configuration, entry);
        checkTimes(it, entry);
        for (const auto &service : it.services) {
            used.insert(service.service);
        }
    }
    for (const auto &[name, it] : configuration.services) {
        Entry entry(findings, "service " + name.text());
        checkService(it, used.contains(name), entry);
    }
    checkAccounts(configuration, findings);
    return findings;
}

std::vector<std::string> describeChanges(const SiteConfiguration &current, const SiteConfiguration &next)
{
    std::vector<std::string> lines;
    if (next.revision <= current.revision) {
        lines.push_back("version " + std::to_string(next.revision.value()) + " is not later than version " + std::to_string(current.revision.value())
                        + " in force, so that daemons ignore it");
    }
    describeEntries("route", routesByName(current), routesByName(next), lines);
    describeEntries("service", servicesByName(current), servicesByName(next), lines);
    if (current.accounts.has_value() != next.accounts.has_value()) {
        lines.emplace_back(next.accounts ? "calls need the key of an account from now on, unless their route is public" : "calls need no key any more");
    }
    describeEntries("account", accountsByName(current), accountsByName(next), lines);
    if (const auto fields = changedFields(fieldsOf(current.bounds), fieldsOf(next.bounds)); !fields.empty()) {
        lines.push_back("limits of callers: " + fields);
    }
    return lines;
}

} // namespace turmericplank::routes
