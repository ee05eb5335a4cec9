#include "turmericplank/daemon/demandmeter.hpp"

namespace turmericplank::daemon {

namespace {

constexpr std::size_t MaxRememberedRequests = 8192; ///< latest requests whose retries are not counted again
constexpr std::size_t MaxOpenAttempts = 65536;

} // namespace

DemandMeter::DemandMeter(std::function<std::shared_ptr<const configuration::Document>()> document)
    : m_document(std::move(document))
{
}

requests::ChooseEndpoint DemandMeter::wrap(requests::ChooseEndpoint choose)
{
    return [this, choose = std::move(choose)](const requests::ChoiceQuery &query, base::Time now) {
        countRequest(query);
        return choose(query, now);
    };
}

requests::AttemptFeedback DemandMeter::wrap(requests::AttemptFeedback feedback)
{
    auto wrapped = feedback;
    wrapped.onSent = [this, inner = feedback.onSent](const requests::ChoiceQuery &query, const requests::EndpointChoice &choice, base::Time now) {
        if (m_openAttempts.size() < MaxOpenAttempts) {
            m_openAttempts.emplace(choice.ticket, Attempt{baseModel(query.model), now});
        }
        if (inner) {
            inner(query, choice, now);
        }
    };
    wrapped.onEnded = [this, inner = feedback.onEnded](const requests::EndpointChoice &choice, requests::AttemptResult result, base::Time now) {
        countAttempt(choice, now);
        if (inner) {
            inner(choice, result, now);
        }
    };
    wrapped.onCancelled = [this, inner = feedback.onCancelled](const requests::EndpointChoice &choice, base::Time now) {
        countAttempt(choice, now);
        if (inner) {
            inner(choice, now);
        }
    };
    return wrapped;
}

const placement::DemandCounters &DemandMeter::counters() const
{
    return m_counters;
}

base::ModelName DemandMeter::baseModel(const base::ModelName &name) const
{
    const auto document = m_document();
    if (!document) {
        return name;
    }
    const auto it = document->adapters.find(base::AdapterName(name.text()));
    return it == document->adapters.end() ? name : it->second.model;
}

void DemandMeter::countRequest(const requests::ChoiceQuery &query)
{
    if (query.isService || !m_countedRequests.insert(query.request.text()).second) {
        return;
    }
    m_countedInOrder.push_back(query.request.text());
    if (m_countedInOrder.size() > MaxRememberedRequests) {
        m_countedRequests.erase(m_countedInOrder.front());
        m_countedInOrder.pop_front();
    }
    const auto model = baseModel(query.model);
    ++m_counters.models[model].requests;
    if (model != query.model) {
        ++m_counters.adapters[base::AdapterName(query.model.text())];
    }
}

void DemandMeter::countAttempt(const requests::EndpointChoice &choice, base::Time now)
{
    const auto it = m_openAttempts.find(choice.ticket);
    if (it == m_openAttempts.end()) {
        return;
    }
    const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(now - it->second.sentAt).count();
    m_counters.models[it->second.model].streamMilliseconds += static_cast<std::uint64_t>(std::max<std::int64_t>(0, spent));
    m_openAttempts.erase(it);
}

} // namespace turmericplank::daemon
