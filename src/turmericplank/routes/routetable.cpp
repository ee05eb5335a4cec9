#include "turmericplank/routes/routetable.hpp"

#include <algorithm>

#include <xxhash.h>

namespace turmericplank::routes {

RouteTable::RouteTable(std::shared_ptr<const SiteConfiguration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &it : m_configuration->routes) {
        m_byHost[it.host].push_back(&it);
        for (const auto &service : it.services) {
            m_ranks[service.service].insert(it.rank);
        }
    }
    for (auto &[host, routes] : m_byHost) {
        std::ranges::stable_sort(routes, [](const auto *a, const auto *b) { return a->prefix.size() > b->prefix.size(); });
    }
    if (m_configuration->accounts) {
        m_accounts = accounts::AccountTable(*m_configuration->accounts);
        std::set<std::uint32_t> values;
        for (const auto &it : *m_configuration->accounts) {
            values.insert(it.priority.value_or(0));
        }
        m_accountPriorities.assign(values.begin(), values.end());
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(std::string(host.substr(0, host.find(':'))));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    const auto it = std::ranges::find_if(found->second, [path](const auto *route) { return path.starts_with(route->prefix); });
    return it == found->second.end() ? nullptr : *it;
}

std::size_t RouteTable::rankCount(const base::ServiceName &service) const
{
    const auto it = m_ranks.find(service);
    return it == m_ranks.end() ? 0 : it->second.size();
}

const std::vector<std::uint32_t> &RouteTable::accountPriorities() const
{
    return m_accountPriorities;
}

const accounts::Account *RouteTable::findAccount(const accounts::KeyDigest &key) const
{
    return m_accounts.find(key);
}

const SiteConfiguration &RouteTable::configuration() const
{
    return *m_configuration;
}

base::ServiceName chooseService(const Route &route, std::string_view requestId)
{
    std::uint64_t totalWeight = 0;
    for (const auto &it : route.services) {
        totalWeight += it.weight;
    }
    if (totalWeight == 0) {
        return route.services.empty() ? base::ServiceName() : route.services.front().service;
    }
    auto point = XXH3_64bits(requestId.data(), requestId.size()) % totalWeight;
    for (const auto &it : route.services) {
        if (point < it.weight) {
            return it.service;
        }
        point -= it.weight;
    }
    return route.services.back().service;
}

} // namespace turmericplank::routes
