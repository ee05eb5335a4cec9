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

/// @brief Counts the model calls of this daemon and the time that engines spend on them.
class DemandMeter
{
public:
    /// @param document configuration in force, or nothing; tells adapters from models
    explicit DemandMeter(std::function<std::shared_ptr<const configuration::Document>()> document);

    /// @brief Wraps routing's decision: a request counts when it first asks for an endpoint, also if there is none.
    requests::ChooseEndpoint wrap(requests::ChooseEndpoint choose);

    /// @brief Wraps the hooks that say what became of an attempt.
    requests::AttemptFeedback wrap(requests::AttemptFeedback feedback);

    /// @brief What was counted since the start.
    const placement::DemandCounters &counters() const;

private:
    struct Attempt
    {
        base::ModelName model;
        base::Time sentAt;
    };

    base::ModelName baseModel(const base::ModelName &name) const;
    void countRequest(const requests::ChoiceQuery &query);
    void countEnd(const requests::EndpointChoice &choice, base::Time now);

    std::function<std::shared_ptr<const configuration::Document>()> m_document;
    placement::DemandCounters m_counters;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::unordered_set<std::string> m_counted;
    std::deque<std::string> m_countedInOrder;
};

} // namespace turmericplank::daemon
