#include "turmericplank/daemon/membershipshell.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/daemon/errorbody.hpp"

namespace turmericplank::daemon {

namespace {

net::HttpResponse jsonResponse(const nlohmann::json &body)
{
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace

void MembershipShell::answerEntry(const net::ExchangePointer &exchange)
{
    const auto &target = exchange->request().target;
    const base::ModelName model(net::queryParameter(target, "model"));
    if (!model.isEmpty() && m_hooks.isModelConfigured && !m_hooks.isModelConfigured(model)) {
        exchange->respond(errorResponse({404, "unknown_model", base::Outcome::NotRun, "no model or adapter of this name is configured"}));
        return;
    }
    const base::ZoneName zone(net::queryParameter(target, "zone"));
    const auto now = base::now();
    const auto answer = m_directory.answer(members(), zone, now, m_environment.random);
    if (!answer) {
        exchange->respond(errorResponse({503, "no_daemon", base::Outcome::NotRun, "no daemon accepts new callers", now + std::chrono::seconds(1)}));
        return;
    }
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto &it : answer->addresses) {
        addresses.push_back(toString(it));
    }
    exchange->respond(jsonResponse({{"addresses", addresses}, {"use_until", base::toMilliseconds(answer->useUntil)}, {"revision", answer->revision.value()}}));
}

void MembershipShell::answerMembers(const net::ExchangePointer &exchange)
{
    nlohmann::json daemons = nlohmann::json::array();
    for (const auto &it : members()) {
        daemons.push_back({{"id", it.record.id.text()},
                           {"zone", it.record.zone.text()},
                           {"state", toString(it.state)},
                           {"reachable", it.isReachable},
                           {"incarnation", it.incarnation.value()},
                           {"load", it.load},
                           {"revision", it.revision.value()},
                           {"caller_address", toString(it.record.callerAddress)},
                           {"peer_address", toString(it.record.peerAddress)}});
    }
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto &[id, state] : m_endpointStates) {
        endpoints.push_back({{"id", id.text()}, {"state", toString(state)}});
    }
    exchange->respond(jsonResponse({{"daemons", daemons}, {"endpoints", endpoints}}));
}

} // namespace turmericplank::daemon
