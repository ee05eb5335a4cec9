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

/// @brief Query to routing for the endpoint of an attempt.
struct ChoiceQuery
{
    base::RequestId request;
    base::ModelName model; ///< name of a model or an adapter; name of the service for a plain service
    base::Priority priority = base::Priority::Normal;
    base::Time deadline;
    std::shared_ptr<const std::string> prompt; ///< compact JSON of the messages, for the prefix cache
    bool isService = false; ///< whether the target is a plain service
    std::vector<base::EndpointId> avoid; ///< endpoints that must not be chosen
    bool isTrial = false; ///< whether the attempt is the trial of a suspect, for which an idle endpoint is preferred

    friend bool operator==(const ChoiceQuery &, const ChoiceQuery &) = default;
};

/// @brief Endpoint chosen for one attempt.
struct EndpointChoice
{
    base::EndpointId endpoint;
    base::Address address;
    std::uint64_t ticket = 0; ///< identifies the choice in feedback to routing; zero for services
    base::Incarnation incarnation; ///< last reported incarnation; zero if the endpoint reports none

    friend bool operator==(const EndpointChoice &, const EndpointChoice &) = default;
};

/// @brief Chooses an endpoint; returns nothing if none is available.
using ChooseEndpoint = std::function<std::optional<EndpointChoice>(const ChoiceQuery &, base::Time now)>;

/// @brief Feedback to routing about the attempts at the chosen endpoints; empty callbacks are not called.
struct AttemptFeedback
{
    std::function<void(const ChoiceQuery &, const EndpointChoice &, base::Time now)> onSent;
    std::function<void(const EndpointChoice &, base::Time now)> onFirstPiece;
    std::function<void(const EndpointChoice &, AttemptResult, base::Time now)> onEnded; ///< called once per attempt
    std::function<void(const EndpointChoice &, base::Time now)> onCancelled; ///< called when the caller disconnects
};

} // namespace turmericplank::requests
