#include "turmericplank/daemon/requestsshell.hpp"

#include "requestsparts.hpp"
#include "turmericplank/base/digest.hpp"
#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::daemon {

namespace {

using requests::CallError;
using requests::ErrorCode;

constexpr std::string_view ServicePrefix = "/services/";
constexpr auto TickInterval = std::chrono::milliseconds(10);
constexpr auto MaxDeadline = std::chrono::hours(24);

void reject(const net::ExchangePointer &exchange, ErrorCode code, std::string message)
{
    auto body = errorBody(CallError{code, base::Outcome::NotRun, std::nullopt});
    body.message = std::move(message);
    exchange->respond(errorResponse(body));
}

/// Rejects the request and returns true if no new request may start here now.
bool rejectIfNotServing(const net::ExchangePointer &exchange, const RequestsShellOptions &options)
{
    const auto rejection = options.rejection ? options.rejection() : std::nullopt;
    if (rejection) {
        exchange->respond(errorResponse(*rejection));
    }
    return rejection.has_value();
}

void rejectUnconfigured(const net::ExchangePointer &exchange)
{
    exchange->respond(
        errorResponse({503, "not_configured", base::Outcome::NotRun, "no configuration is in force here", base::now() + std::chrono::seconds(1)}));
}

/// Uses the operation with the longest matching prefix; a call that matches none is not repeatable.
bool isRepeatable(const configuration::Service &service, const net::HttpRequest &request)
{
    const configuration::Operation *best = nullptr;
    const auto path = net::path(request.target);
    for (const auto &it : service.operations) {
        if (it.method == request.method && path.starts_with(it.pathPrefix) && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best != nullptr && best->isRepeatable;
}

} // namespace

RequestsShell::Parts::Parts(Environment &sharedEnvironment, RequestsShellOptions shellOptions)
    : environment(sharedEnvironment)
    , options(std::move(shellOptions))
    , dispatcher(std::make_unique<requests::Dispatcher>(dispatcherOptions()))
    , requestIdPrefix(environment.settings.id.text() + '-' + base::digest(std::to_string(environment.random())).substr(0, 8) + '-')
{
}

void RequestsShell::Parts::addRoutes()
{
    const auto weak = weak_from_this();
    environment.callerRoutes.add("POST", "/v1/chat/completions", [weak](const net::ExchangePointer &it) {
        if (const auto parts = weak.lock()) {
            parts->handleModelCall(it);
        }
    });
    environment.callerRoutes.add("*", std::string(ServicePrefix), [weak](const net::ExchangePointer &it) {
        if (const auto parts = weak.lock()) {
            parts->handleServiceCall(it);
        }
    });
}

void RequestsShell::Parts::startTicking()
{
    callEvery(environment.context, TickInterval, [weak = weak_from_this()] {
        if (const auto parts = weak.lock()) {
            parts->tick();
        }
    });
}

bool RequestsShell::Parts::isKnownModel(const base::ModelName &name) const
{
    const auto document = options.document();
    return document->models.contains(name) || document->adapters.contains(base::AdapterName(name.text()));
}

std::optional<requests::CallerHeaders> RequestsShell::Parts::readHeaders(const net::ExchangePointer &exchange) const
{
    const auto &fields = exchange->request().headers;
    auto headers = requests::readCallerHeaders([&fields](std::string_view name) { return net::header(fields, name); });
    if (!headers) {
        reject(exchange, ErrorCode::BadHeader, std::string(requirementFor(headers.error())));
        return std::nullopt;
    }
    const auto document = options.document();
    const auto policy = document->callers.find(headers->caller);
    if (policy != document->callers.end()) {
        headers->priority = std::max(headers->priority, policy->second.highestPriority);
    }
    return *headers;
}

void RequestsShell::Parts::handleModelCall(const net::ExchangePointer &exchange)
{
    if (rejectIfNotServing(exchange, options)) {
        return;
    }
    if (!options.document()) {
        rejectUnconfigured(exchange);
        return;
    }
    const auto headers = readHeaders(exchange);
    if (!headers) {
        return;
    }
    auto body = requests::readChatBody(exchange->request().body);
    if (!body) {
        reject(exchange, ErrorCode::BadRequest, std::string(requirementFor(body.error())));
        return;
    }
    if (!isKnownModel(body->model)) {
        reject(exchange, ErrorCode::UnknownModel, "no model or adapter of this name is configured");
        return;
    }
    requests::IncomingCall incoming;
    incoming.kind = requests::RequestKind::Model;
    incoming.target = body->model;
    incoming.fingerprint = body->fingerprint;
    incoming.prompt = std::make_shared<const std::string>(body->prompt);
    Session session;
    session.chat = std::move(*body);
    submitCall(std::move(incoming), *headers, std::move(session), exchange);
}

void RequestsShell::Parts::handleServiceCall(const net::ExchangePointer &exchange)
{
    if (rejectIfNotServing(exchange, options)) {
        return;
    }
    const auto document = options.document();
    if (!document) {
        rejectUnconfigured(exchange);
        return;
    }
    const auto headers = readHeaders(exchange);
    if (!headers) {
        return;
    }
    const auto &request = exchange->request();
    const auto rest = request.target.substr(ServicePrefix.size());
    const auto slash = rest.find('/');
    const auto service = document->services.find(base::ServiceName(rest.substr(0, slash)));
    if (service == document->services.end()) {
        reject(exchange, ErrorCode::UnknownService, "no service of this name is configured");
        return;
    }
    Session session;
    session.request = {request.method, slash == std::string::npos ? "/" : rest.substr(slash), {}, request.body};
    for (const auto *name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        if (const auto value = net::header(request.headers, name); !value.empty()) {
            session.request.headers.push_back({name, std::string(value)});
        }
    }
    requests::IncomingCall incoming;
    incoming.kind = isRepeatable(service->second, session.request) ? requests::RequestKind::Lookup : requests::RequestKind::Booking;
    if (incoming.kind == requests::RequestKind::Booking && headers->idempotencyKey.isEmpty()) {
        reject(exchange, ErrorCode::MissingIdempotencyKey, "a call that is not repeatable requires an Idempotency-Key");
        return;
    }
    const auto content = session.request.method + ' ' + session.request.target + '\n' + session.request.body;
    incoming.target = base::ModelName(service->first.text());
    incoming.fingerprint = requests::Fingerprint(base::fingerprint(service->first.text() + '\n' + content));
    incoming.bodyDigest = base::digest(content);
    incoming.rowKey = requests::bookingRowKey(service->first, headers->caller, headers->idempotencyKey);
    submitCall(std::move(incoming), *headers, std::move(session), exchange);
}

void RequestsShell::Parts::submitCall(requests::IncomingCall incoming, const requests::CallerHeaders &headers, Session session,
                                      const net::ExchangePointer &exchange)
{
    const auto now = base::now();
    lastCall = lastCall.next();
    incoming.call = lastCall;
    incoming.id = base::RequestId(requestIdPrefix + std::to_string(lastCall.value()));
    incoming.caller = headers.caller;
    incoming.priority = headers.priority;
    incoming.deadline = std::min<base::Time>(headers.deadline.value_or(requests::defaultDeadline(headers.priority, now)), now + MaxDeadline);
    const auto form = !session.chat ? AnswerForm::Service : session.chat->isStreamed ? AnswerForm::Stream : AnswerForm::ChatCompletion;
    session.caller = std::make_unique<CallerSession>(exchange, incoming.id.text(), incoming.target.text(), form);
    session.priority = headers.priority;
    session.id = incoming.id;
    session.arrivedAt = now;
    sessions.emplace(incoming.call, std::move(session));
    exchange->setOnClosed([weak = weak_from_this(), call = incoming.call] {
        if (const auto parts = weak.lock()) {
            parts->onCallerDisconnected(call);
        }
    });
    perform(dispatcher->submit(incoming, now));
}

std::optional<requests::EndpointChoice> RequestsShell::Parts::chooseInstance(const requests::ChoiceQuery &query, base::Time now)
{
    const auto document = options.document();
    const auto service = document ? document->services.find(base::ServiceName(query.model.text())) : decltype(document->services.end())();
    if (!document || service == document->services.end()) {
        return std::nullopt;
    }
    std::vector<requests::EndpointChoice> instances;
    for (const auto &it : service->second.instances) {
        if (!options.isInstanceUsable || options.isInstanceUsable(it.id)) {
            instances.push_back(requests::EndpointChoice{it.id, it.address});
        }
    }
    return services.choose(instances, query, now);
}

requests::DispatcherOptions RequestsShell::Parts::dispatcherOptions()
{
    requests::DispatcherOptions result;
    result.choose = [this](const requests::ChoiceQuery &query, base::Time now) {
        return query.isService ? chooseInstance(query, now) : options.chooseEngine(query, now);
    };
    // Choices of service instances have no ticket.
    result.feedback.onSent = [this](const requests::ChoiceQuery &query, const requests::EndpointChoice &choice, base::Time now) {
        if (query.isService) {
            services.sent(choice.endpoint);
        } else if (options.engineFeedback.onSent) {
            options.engineFeedback.onSent(query, choice, now);
        }
    };
    result.feedback.onFirstPiece = [this](const requests::EndpointChoice &choice, base::Time now) {
        if (choice.ticket != 0 && options.engineFeedback.onFirstPiece) {
            options.engineFeedback.onFirstPiece(choice, now);
        }
    };
    result.feedback.onEnded = [this](const requests::EndpointChoice &choice, requests::AttemptResult attemptResult, base::Time now) {
        if (choice.ticket == 0) {
            services.ended(choice.endpoint, attemptResult, now);
        } else if (options.engineFeedback.onEnded) {
            options.engineFeedback.onEnded(choice, attemptResult, now);
        }
    };
    result.feedback.onCancelled = [this](const requests::EndpointChoice &choice, base::Time now) {
        if (choice.ticket == 0) {
            services.cancelled(choice.endpoint);
        } else if (options.engineFeedback.onCancelled) {
            options.engineFeedback.onCancelled(choice, now);
        }
    };
    result.admission.modelLimit = options.modelLimit;
    result.admission.callerLimit = [this](const base::CallerName &caller) {
        const auto document = options.document();
        const auto policy = document->callers.find(caller);
        if (policy == document->callers.end()) {
            return requests::CallerLimit();
        }
        const requests::CallerLimit totalLimit{policy->second.requestsPerSecond, policy->second.concurrency};
        return options.localCallerLimit ? options.localCallerLimit(caller, totalLimit) : totalLimit;
    };
    result.bookings.self = environment.settings.id;
    result.bookings.makeToken = [this] {
        return base::digest(std::to_string(environment.random()) + ' ' + std::to_string(environment.random())).substr(0, 32);
    };
    result.suspects.self = environment.settings.id;
    result.suspects.peers = [this] {
        std::vector<base::DaemonId> peers;
        for (const auto &peer : options.peers ? options.peers() : std::vector<PeerTarget>()) {
            peers.push_back(peer.id);
        }
        return peers;
    };
    result.engineSilence = options.engineSilence;
    result.serviceSilence = options.serviceSilence;
    return result;
}

RequestsShell::RequestsShell(Environment &environment, RequestsShellOptions options)
    : m_parts(std::make_shared<Parts>(environment, std::move(options)))
{
    m_parts->addRoutes();
    m_parts->addPeerHandlers();
    m_parts->startTicking();
}

RequestsShell::~RequestsShell() = default;

void RequestsShell::startDraining()
{
    telemetry::log(telemetry::LogLevel::Info, "requests", "drain started", {{"in_progress", std::uint64_t(inProgress())}});
    m_parts->dispatcher->startDraining();
}

std::size_t RequestsShell::inProgress() const
{
    return m_parts->dispatcher->inProgress();
}

} // namespace turmericplank::daemon
