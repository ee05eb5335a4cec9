#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "turmericplank/configuration/document.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/requests/endpointchoice.hpp"

namespace turmericplank::daemon {

/// @brief Counts this daemon's model calls and the time that engines spend on them.
class DemandMeter
{
public:
    /// @param document returns the configuration in force, or null; used to find the base models of adapters
    explicit DemandMeter(std::function<std::shared_ptr<const configuration::Document>()> document);

    /// @brief Wraps the choice of endpoints; a request is counted at its first choice, even if no endpoint is found.
    requests::ChooseEndpoint wrap(requests::ChooseEndpoint choose);

    /// @brief Wraps the feedback about attempts, to measure their duration.
    requests::AttemptFeedback wrap(requests::AttemptFeedback feedback);

    /// @brief Totals since the start of the process.
    const placement::DemandCounters &counters() const;

private:
    struct Attempt
    {
        base::ModelName model;
        base::Time sentAt;
    };

    base::ModelName baseModel(const base::ModelName &name) const;
    void countRequest(const requests::ChoiceQuery &query);
    void countAttempt(const requests::EndpointChoice &choice, base::Time now);

    std::function<std::shared_ptr<const configuration::Document>()> m_document;
    placement::DemandCounters m_counters;
    std::unordered_map<std::uint64_t, Attempt> m_openAttempts;
    std::unordered_set<std::string> m_countedRequests;
    std::deque<std::string> m_countedInOrder;
};

} // namespace turmericplank::daemon
