#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/requests/attemptresult.hpp"

namespace turmericplank::requests {

/// @brief What routing is told when an attempt needs an endpoint.
struct ChoiceQuery
{
    base::RequestId request;
    base::ModelName model; ///< model or adapter; the service's name for a plain service
    base::Priority priority = base::Priority::Normal;
    base::Time deadline;
    std::shared_ptr<const std::string> prompt; ///< compact JSON of the messages, for the prefix cache
    bool isService = false; ///< the target is a plain service
    std::vector<base::EndpointId> avoid; ///< endpoints that must not be chosen
    bool isTrial = false; ///< a suspect request: an idle endpoint is preferred

    friend bool operator==(const ChoiceQuery &, const ChoiceQuery &) = default;
};

/// @brief The endpoint of one attempt.
struct EndpointChoice
{
    base::EndpointId endpoint;
    base::Address address;
    std::uint64_t ticket = 0; ///< routing's name of the choice, handed back with what became of it
    base::Incarnation incarnation; ///< as last reported; zero for endpoints that report none

    friend bool operator==(const EndpointChoice &, const EndpointChoice &) = default;
};

/// @brief Routing's decision; nothing if no endpoint may serve.
using ChooseEndpoint = std::function<std::optional<EndpointChoice>(const ChoiceQuery &, base::Time now)>;

/// @brief What routing is told of the attempts that it chose endpoints for; empty hooks are not called.
struct AttemptFeedback
{
    std::function<void(const ChoiceQuery &, const EndpointChoice &, base::Time now)> onSent;
    std::function<void(const EndpointChoice &, base::Time now)> onFirstPiece;
    std::function<void(const EndpointChoice &, AttemptResult, base::Time now)> onEnded; ///< called once per attempt
    std::function<void(const EndpointChoice &, base::Time now)> onCancelled; ///< the caller went away
};

} // namespace turmericplank::requests
