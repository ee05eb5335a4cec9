#include "turmericplank/daemon/routes.hpp"

#include "turmericplank/daemon/errorbody.hpp"

namespace turmericplank::daemon {

void Routes::add(std::string method, std::string prefix, Handler handler)
{
    m_routes.push_back({std::move(method), std::move(prefix), std::move(handler)});
}

void Routes::dispatch(const net::ExchangePointer &exchange) const
{
    const auto &request = exchange->request();
    const auto path = net::path(request.target);
    const Route *best = nullptr;
    bool isKnownPath = false;
    for (const auto &it : m_routes) {
        if (!path.starts_with(it.prefix)) {
            continue;
        }
        isKnownPath = true;
        const bool matchesMethod = it.method == "*" || it.method == request.method;
        if (matchesMethod && (!best || it.prefix.size() > best->prefix.size())) {
            best = &it;
        }
    }
    if (best) {
        const auto handler = best->handler;
        handler(exchange);
        return;
    }
    exchange->respond(isKnownPath ? errorResponse({405, "method_not_allowed", base::Outcome::NotRun, "this path does not support the method"})
                                  : errorResponse({404, "path_not_found", base::Outcome::NotRun, "no such path"}));
}

} // namespace turmericplank::daemon
