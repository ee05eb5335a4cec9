#pragma once

#include <functional>
#include <string>
#include <vector>

#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::daemon {

/// @brief Which handler answers which path of one listener.
class Routes
{
public:
    using Handler = std::function<void(net::ExchangePointer)>;

    /// @brief Adds a handler; the longest prefix that fits goes first.
    /// @param method HTTP method, or * for all
    /// @param prefix start of the path
    /// @param handler answers the exchange
    void add(std::string method, std::string prefix, Handler handler);

    /// @brief Hands an exchange to its handler, or answers 404 or 405.
    /// @param exchange the request to answer
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
