#include "turmericplank/daemon/frontdoor.hpp"

#include <nlohmann/json.hpp>

#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/net/httpclient.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

namespace {

using base::Outcome;

constexpr std::string_view ServicePrefix = "/services/";

net::HttpResponse notConfigured()
{
    return errorResponse({503, "not_configured", Outcome::NotRun, "no configuration is in force here", base::now() + std::chrono::seconds(1)});
}

} // namespace

FrontDoor::FrontDoor(Environment &environment, routing::Router &router, DocumentSource document)
    : m_environment(environment)
    , m_router(router)
    , m_document(std::move(document))
{
    environment.callerRoutes.add("POST", "/v1/chat/completions", [this](const net::ExchangePointer &it) { relayModelCall(it); });
    environment.callerRoutes.add("*", std::string(ServicePrefix), [this](const net::ExchangePointer &it) { relayServiceCall(it); });
}

void FrontDoor::relayModelCall(const net::ExchangePointer &exchange)
{
    if (!m_document()) {
        exchange->respond(notConfigured());
        return;
    }
    const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        exchange->respond(errorResponse({400, "malformed_body", Outcome::NotRun, "expected a JSON object with a model"}));
        return;
    }
    routing::RouteRequest request;
    request.model = base::ModelName(body["model"]);
    request.deadline = base::now() + std::chrono::seconds(10);
    const auto choice = m_router.choose(request, base::now(), m_environment.random);
    if (!choice) {
        const bool isUnknown = choice.error().reason == routing::NoRouteReason::UnknownModel;
        exchange->respond(errorResponse({isUnknown ? 404 : 503, isUnknown ? "unknown_model" : "no_endpoint", Outcome::NotRun,
                                         std::string(toString(choice.error().reason)), choice.error().retryAt}));
        return;
    }
    telemetry::log(telemetry::LogLevel::Info, "routing", "chose endpoint",
                   {{"model", request.model.text()}, {"endpoint", choice->endpoint.text()}, {"reason", toString(choice->reason)}});
    m_router.noteSent(*choice, request, base::now());
    relay(exchange, choice->address, {"POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, exchange->request().body},
          [this, ticket = choice->ticket](bool isWhole) {
              m_router.noteEnded(ticket, isWhole ? routing::AttemptEnd::Answered : routing::AttemptEnd::Lost, base::now());
          });
}

void FrontDoor::relayServiceCall(const net::ExchangePointer &exchange)
{
    const auto document = m_document();
    if (!document) {
        exchange->respond(notConfigured());
        return;
    }
    const auto &request = exchange->request();
    const auto rest = request.target.substr(ServicePrefix.size());
    const auto service = document->services.find(base::ServiceName(rest.substr(0, rest.find('/'))));
    if (service == document->services.end() || service->second.instances.empty()) {
        exchange->respond(errorResponse({404, "unknown_service", Outcome::NotRun, "no service of this name is configured"}));
        return;
    }
    const auto slash = rest.find('/');
    const auto target = slash == std::string::npos ? std::string("/") : rest.substr(slash);
    relay(exchange, service->second.instances.front().address, {request.method, target, {}, request.body}, [](bool) {});
}

void FrontDoor::relay(const net::ExchangePointer &exchange, const base::Address &to, net::HttpRequest request, std::function<void(bool)> onEnd)
{
    net::HttpCallOptions options;
    options.to = to;
    options.request = std::move(request);
    const auto hasStarted = std::make_shared<bool>(false);
    options.onHead = [exchange, hasStarted](int status, const net::Headers &headers) {
        *hasStarted = true;
        exchange->startStream(status, {{"Content-Type", std::string(net::header(headers, "content-type"))}});
    };
    options.onPiece = [exchange](std::string_view piece) {
        exchange->writePiece(std::string(piece));
    };
    options.onEnd = [exchange, hasStarted, onEnd](tl::expected<void, net::CallFailure> result) {
        onEnd(result.has_value());
        if (result) {
            exchange->endStream();
        } else if (*hasStarted) {
            exchange->abort();
        } else {
            const bool isNotSent = result.error() == net::CallFailure::NotSent;
            exchange->respond(errorResponse({502, "endpoint_lost", isNotSent ? Outcome::NotRun : Outcome::Unknown, "the endpoint did not answer"}));
        }
    };
    const auto call = startCall(m_environment.context, std::move(options));
    exchange->setOnClosed([call, onEnd] {
        call->cancel();
        onEnd(false);
    });
}

} // namespace turmericplank::daemon
