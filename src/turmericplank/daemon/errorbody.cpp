#include "turmericplank/daemon/errorbody.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericplank::daemon {

std::string toJson(const ErrorBody &error)
{
    nlohmann::json body = {{"code", error.code}, {"outcome", toString(error.outcome)}, {"message", error.message}};
    if (error.retryAt) {
        body["retry_at"] = base::toMilliseconds(*error.retryAt);
    }
    if (!error.addresses.empty()) {
        auto &addresses = body["addresses"] = nlohmann::json::array();
        for (const auto &it : error.addresses) {
            addresses.push_back(base::toString(it));
        }
    }
    return nlohmann::json{{"error", body}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::HttpResponse errorResponse(const ErrorBody &error)
{
    net::HttpResponse response{error.status, {{"Content-Type", "application/json"}}, toJson(error)};
    if (error.retryAt) {
        const auto wait = std::chrono::ceil<std::chrono::seconds>(*error.retryAt - base::now());
        response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(wait.count(), 0))});
    }
    return response;
}

net::HttpResponse badRequestResponse(int status)
{
    switch (status) {
    case 408:
        return errorResponse({status, "request_timeout", base::Outcome::NotRun, "the request took too long to arrive"});
    case 413:
        return errorResponse({status, "body_too_large", base::Outcome::NotRun, "the body exceeds the size limit"});
    case 431:
        return errorResponse({status, "headers_too_large", base::Outcome::NotRun, "the headers exceed the size limit"});
    case 501:
        return errorResponse(
            {status, "unsupported_transfer_coding", base::Outcome::NotRun, "bodies have a length or are sent in chunks, without another coding"});
    default:
        return errorResponse({status, "malformed_http", base::Outcome::NotRun, "the request is not valid HTTP"});
    }
}

} // namespace turmericplank::daemon
