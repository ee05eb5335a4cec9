#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "turmericplank/routes/siteconfiguration.hpp"

namespace turmericplank::routes {

/// @brief Finds the route of a call in one version of the configuration; never changes.
class RouteTable
{
public:
    /// @param configuration the version in force; kept alive
    explicit RouteTable(std::shared_ptr<const SiteConfiguration> configuration);

    /// @brief The route with the longest prefix that begins the path.
    /// @param host value of the Host header; a port behind it is ignored
    /// @param path path of the target, without its query
    /// @return null if no route matches
    const Route *find(std::string_view host, std::string_view path) const;

    /// @brief The version that the routes come from.
    const SiteConfiguration &configuration() const;

private:
    std::shared_ptr<const SiteConfiguration> m_configuration;
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< longest prefix first
};

/// @brief The service that a call goes to, by the weights of its route; the same for all attempts of one request.
/// @param route the call's route
/// @param requestId name of the request
/// @return an empty name if the route leads nowhere
base::ServiceName chooseService(const Route &route, std::string_view requestId);

} // namespace turmericplank::routes
