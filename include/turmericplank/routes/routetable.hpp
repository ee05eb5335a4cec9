#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "turmericplank/accounts/accounttable.hpp"
#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::routes {

/// @brief Finds the route of a call in one version of the configuration; immutable.
class RouteTable
{
public:
    /// @param configuration the version in force; the table keeps it alive
    explicit RouteTable(std::shared_ptr<const SiteConfiguration> configuration);

    /// @brief The route of a host with the longest prefix that matches the path.
    /// @param host value of the Host header; a port is ignored
    /// @param path path of the request target, without the query
    /// @return null if no route matches
    const Route *find(std::string_view host, std::string_view path) const;

    /// @brief Number of different priorities that the routes of a service have.
    std::size_t rankCount(const base::ServiceName &service) const;

    /// @brief Priorities of the accounts, in ascending order; an account without one counts as the most urgent.
    const std::vector<std::uint32_t> &accountPriorities() const;

    /// @brief The account that has an API key.
    /// @return null if no account has it
    const accounts::Account *findAccount(const accounts::KeyDigest &key) const;

    /// @brief The configuration version that contains the routes.
    const SiteConfiguration &configuration() const;

private:
    std::shared_ptr<const SiteConfiguration> m_configuration;
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< longest prefix first
    std::map<base::ServiceName, std::set<std::uint32_t>> m_ranks; ///< of the routes of each service
    std::vector<std::uint32_t> m_accountPriorities;
    accounts::AccountTable m_accounts;
};

/// @brief Chooses the service of a call by the weights of its route; the same for all attempts of one request.
/// @param route the call's route
/// @param requestId identifier of the request
/// @return the first service if all weights are zero; an empty name if the route has no services
base::ServiceName chooseService(const Route &route, std::string_view requestId);

} // namespace turmericplank::routes
