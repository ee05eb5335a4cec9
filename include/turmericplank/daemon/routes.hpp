#pragma once

#include <functional>
#include <string>
#include <vector>

#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::daemon {

/// @brief Dispatches the requests of one listener to handlers by method and path.
class Routes
{
public:
    using Handler = std::function<void(net::ExchangePointer)>;

    /// @brief Adds a handler; the longest matching prefix wins.
    /// @param method HTTP method, or * for all
    /// @param prefix prefix of the path
    /// @param handler responds to the exchange
    void add(std::string method, std::string prefix, Handler handler);

    /// @brief Passes an exchange to its handler, or responds with 404 or 405.
    /// @param exchange the request and its response
    void dispatch(const net::ExchangePointer &exchange) const;

private:
    struct Route
    {
        std::string method;
        std::string prefix;
        Handler handler;
    };

    std::vector<Route> m_routes;
};

} // namespace turmericplank::daemon
