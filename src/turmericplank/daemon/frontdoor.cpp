#include "turmericplank/daemon/frontdoor.hpp"

#include <nlohmann/json.hpp>

namespace turmericplank::daemon {

namespace {

constexpr auto EntryLifetime = std::chrono::seconds(10);

} // namespace

FrontDoor::FrontDoor(Environment &environment)
    : m_environment(environment)
{
    environment.callerRoutes.add("GET", "/v1/entry", [this](const net::ExchangePointer &it) { answerEntry(it); });
}

void FrontDoor::answerEntry(const net::ExchangePointer &exchange)
{
    const nlohmann::json body = {{"addresses", {toString(m_environment.settings.callerListen)}},
                                 {"use_until", base::toMilliseconds(base::now() + EntryLifetime)}};
    exchange->respond({200, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace turmericplank::daemon
