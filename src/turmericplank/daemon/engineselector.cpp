#include "turmericplank/daemon/engineselector.hpp"

#include "turmericplank/telemetry/decisionlog.hpp"

namespace turmericplank::daemon {

namespace {

constexpr std::size_t MaxUnsentChoices = 4096; ///< all are dropped at this number, since calls that end before being sent leave theirs behind

routing::AttemptOutcome toAttemptOutcome(requests::AttemptResult result)
{
    switch (result) {
    case requests::AttemptResult::Answered:
        return routing::AttemptOutcome::Answered;
    case requests::AttemptResult::Refused:
        return routing::AttemptOutcome::Overloaded;
    case requests::AttemptResult::Malformed:
        return routing::AttemptOutcome::Failed;
    case requests::AttemptResult::NotSent:
    case requests::AttemptResult::Lost:
    case requests::AttemptResult::Silent:
        return routing::AttemptOutcome::Lost;
    }
    return routing::AttemptOutcome::Lost;
}

routing::RouteRequest routeRequest(const requests::ChoiceQuery &query)
{
    routing::RouteRequest request;
    request.model = query.model;
    request.priority = query.priority;
    request.deadline = query.deadline;
    request.excluded = query.avoid;
    if (query.prompt) {
        request.prefixes = routing::prefixChain(query.model, *query.prompt);
        request.promptTokens = routing::estimatedTokens(*query.prompt);
    }
    return request;
}

} // namespace

EngineSelector::EngineSelector(routing::Router &router, std::mt19937_64 &random)
    : m_router(router)
    , m_random(random)
{
}

std::optional<requests::EndpointChoice> EngineSelector::choose(const requests::ChoiceQuery &query, base::Time now)
{
    auto request = routeRequest(query);
    auto choice = m_router.choose(request, now, m_random);
    if (!choice) {
        telemetry::logDecision("routing", "found no endpoint",
                               {{"request", query.request.text()}, {"model", query.model.text()}, {"reason", toString(choice.error().reason)}});
        return std::nullopt;
    }
    telemetry::logDecision("routing", "chose endpoint",
                           {{"request", query.request.text()},
                            {"model", query.model.text()},
                            {"endpoint", choice->endpoint.text()},
                            {"reason", toString(choice->reason)},
                            {"runner_up", choice->runnerUp ? std::string_view(choice->runnerUp->text()) : std::string_view("-")},
                            {"expected_ms", base::inMilliseconds(choice->expectedFirstToken)},
                            {"runner_up_ms", base::inMilliseconds(choice->runnerUpFirstToken)},
                            {"cached_tokens", std::uint64_t(choice->cachedTokens)}});
    const requests::EndpointChoice result{choice->endpoint, choice->address, choice->ticket, choice->incarnation};
    if (m_unsentChoices.size() >= MaxUnsentChoices) {
        m_unsentChoices.clear();
    }
    m_unsentChoices.emplace(choice->ticket, UnsentChoice{std::move(*choice), std::move(request)});
    return result;
}

requests::AttemptFeedback EngineSelector::feedback()
{
    requests::AttemptFeedback hooks;
    hooks.onSent = [this](const requests::ChoiceQuery &, const requests::EndpointChoice &choice, base::Time now) {
        const auto it = m_unsentChoices.find(choice.ticket);
        if (it != m_unsentChoices.end()) {
            m_router.noteSent(it->second.choice, it->second.request, now);
            m_unsentChoices.erase(it);
        }
    };
    hooks.onFirstPiece = [this](const requests::EndpointChoice &choice, base::Time now) {
        m_router.noteFirstToken(choice.ticket, now);
    };
    hooks.onEnded = [this](const requests::EndpointChoice &choice, requests::AttemptResult result, base::Time now) {
        m_router.noteEnded(choice.ticket, toAttemptOutcome(result), now);
    };
    hooks.onCancelled = [this](const requests::EndpointChoice &choice, base::Time now) {
        m_router.noteEnded(choice.ticket, routing::AttemptOutcome::Cancelled, now);
    };
    return hooks;
}

} // namespace turmericplank::daemon
