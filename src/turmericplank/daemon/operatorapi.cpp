#include "turmericplank/daemon/operatorapi.hpp"

#include <charconv>

#include "turmericplank/daemon/errorbody.hpp"
#include "turmericplank/telemetry/decisionlog.hpp"

#include "configurationanswers.hpp"

namespace turmericplank::daemon {

namespace {

using nlohmann::json;

constexpr auto OperationTimeout = std::chrono::seconds(20);
constexpr std::string_view SectionsPath = "/admin/sections/";

std::optional<std::uint64_t> parseIfMatch(std::string_view ifMatch)
{
    if (ifMatch.size() >= 2 && ifMatch.front() == '"' && ifMatch.back() == '"') {
        ifMatch = ifMatch.substr(1, ifMatch.size() - 2);
    }
    std::uint64_t revision = 0;
    const auto *end = ifMatch.data() + ifMatch.size();
    const auto result = std::from_chars(ifMatch.data(), end, revision);
    return result.ec == std::errc() && result.ptr == end ? std::optional(revision) : std::nullopt;
}

std::string authorOf(const net::HttpRequest &request)
{
    const auto author = net::header(request.headers, "x-author");
    return author.empty() ? "unknown" : std::string(author);
}

net::HttpResponse rejection(int status, std::string code, std::string message)
{
    return errorResponse({status, std::move(code), base::Outcome::NotRun, std::move(message)});
}

void logResult(std::string_view sentence, const net::HttpResponse &response, const std::string &section, const std::string &author)
{
    telemetry::logDecision("configuration", sentence, {{"section", section}, {"author", author}, {"status", response.status}});
}

} // namespace

OperatorApi::OperatorApi(Environment &environment, ConfigurationShell &shell)
    : m_environment(environment)
    , m_shell(shell)
{
    auto &routes = environment.operatorRoutes;
    routes.add("GET", "/admin/document", [this](const net::ExchangePointer &it) { answerDocument(it); });
    routes.add("POST", "/admin/diff", [this](const net::ExchangePointer &it) { answerDifference(it); });
    routes.add("PUT", std::string(SectionsPath), [this](const net::ExchangePointer &it) { answerEdit(it); });
    routes.add("POST", "/admin/accept", [this](const net::ExchangePointer &it) { answerAccept(it); });
    routes.add("GET", "/admin/status", [this](const net::ExchangePointer &it) { answerStatus(it); });
    routes.add("GET", "/admin/explain", [this](const net::ExchangePointer &it) { answerExplain(it); });
    addStatusPart("configuration", [this] { return configurationStatus(); });
}

void OperatorApi::addStatusPart(const std::string &name, StatusPart part)
{
    m_parts[name] = std::move(part);
}

void OperatorApi::answerDocument(const net::ExchangePointer &exchange)
{
    const auto view = std::make_shared<configuration::View>(m_shell.objectLookup());
    configuration::runOperation<configuration::View>(m_shell.storeDriverOptions(), view, base::now() + OperationTimeout,
                                                     [exchange](const auto &done) { exchange->respond(documentAnswer(done.result())); });
}

void OperatorApi::answerDifference(const net::ExchangePointer &exchange)
{
    const auto view = std::make_shared<configuration::View>(m_shell.objectLookup());
    configuration::runOperation<configuration::View>(m_shell.storeDriverOptions(), view, base::now() + OperationTimeout,
                                                     [exchange](const auto &done) { exchange->respond(differenceAnswer(done.result())); });
}

void OperatorApi::answerEdit(const net::ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const auto section = configuration::parseSectionName(net::path(request.target).substr(SectionsPath.size()));
    if (!section) {
        exchange->respond(rejection(404, "unknown_section", "expected site, models, adapters, priorities, placement, endpoints or services"));
        return;
    }
    const auto revision = parseIfMatch(net::header(request.headers, "if-match"));
    if (!revision) {
        exchange->respond(rejection(428, "missing_if_match", "If-Match must hold the revision of the section that the edit is based on, 0 for a new section"));
        return;
    }
    const auto author = authorOf(request);
    configuration::EditRequest edit{*section, request.body, *revision, author, operationToken(request), base::now() + OperationTimeout};
    const auto operation = std::make_shared<configuration::Edit>(edit, m_shell.objectLookup());
    configuration::runOperation<configuration::Edit>(m_shell.storeDriverOptions(), operation, edit.deadline, [exchange, section, author](const auto &done) {
        const auto response = answerTo(done.result());
        logResult("edit answered", response, std::string(configuration::toString(*section)), author);
        exchange->respond(response);
    });
}

void OperatorApi::answerAccept(const net::ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("digest") || !body["digest"].is_string()) {
        exchange->respond(rejection(400, "missing_digest", "expected a JSON object with the digest of the draft to accept"));
        return;
    }
    configuration::AcceptRequest accept{body["digest"], operationToken(request), m_shell.activationLead(), base::now() + OperationTimeout};
    const auto operation = std::make_shared<configuration::Accept>(accept, m_shell.objectLookup());
    const auto author = authorOf(request);
    configuration::runOperation<configuration::Accept>(m_shell.storeDriverOptions(), operation, accept.deadline, [this, exchange, author](const auto &done) {
        const auto response = answerTo(done.result());
        logResult("acceptance answered", response, "", author);
        exchange->respond(response);
        if (const auto *pointer = done.pointer()) {
            m_shell.noteAccepted(*pointer);
        }
    });
}

void OperatorApi::answerStatus(const net::ExchangePointer &exchange)
{
    auto body = json{{"daemon", m_environment.settings.id.text()}, {"zone", m_environment.settings.zone.text()}, {"time", base::toMilliseconds(base::now())}};
    for (const auto &[name, part] : m_parts) {
        body[name] = json::parse(part(), nullptr, false);
    }
    exchange->respond(jsonResponse(200, body));
}

void OperatorApi::answerExplain(const net::ExchangePointer &exchange)
{
    const auto key = net::queryParameter(exchange->request().target, "id");
    if (key.empty()) {
        exchange->respond(rejection(400, "missing_id", "expected the query parameter id with a request id or a name"));
        return;
    }
    auto lines = json::array();
    for (const auto &it : telemetry::decisionLog().find(key)) {
        lines.push_back({{"at", base::toMilliseconds(it.at)}, {"text", it.text}});
    }
    exchange->respond(jsonResponse(200, {{"id", key}, {"daemon", m_environment.settings.id.text()}, {"decisions", lines}}));
}

std::string OperatorApi::configurationStatus()
{
    const auto &inForce = m_shell.inForce();
    auto peers = json::object();
    for (const auto &[id, peer] : m_shell.peerRevisions()) {
        peers[id.text()] = {{"revision", peer.notice.inForce.value()},
                            {"highest", peer.notice.highest.value()},
                            {"ready", peer.notice.ready.value()},
                            {"heard_at", base::toMilliseconds(peer.heardAt)}};
    }
    auto pending = json::array();
    for (const auto &it : m_shell.pointer().entries) {
        if (it.revision > inForce.revision) {
            pending.push_back({{"revision", it.revision.value()}, {"in_force_from", base::toMilliseconds(it.inForceFrom)}});
        }
    }
    const json body = {{"revision", inForce.revision.value()},
                       {"digest", inForce.digest},
                       {"admission", toString(m_shell.admission())},
                       {"confirmed_at", base::toMilliseconds(m_shell.notice().confirmedAt)},
                       {"pending", pending},
                       {"peers", peers}};
    return body.dump();
}

/// The idempotency key of the request, or a random token if it has none. A client repeats a request under the same key.
std::string OperatorApi::operationToken(const net::HttpRequest &request)
{
    const auto key = net::header(request.headers, "idempotency-key");
    return key.empty() ? m_environment.settings.id.text() + "-" + std::to_string(m_environment.random()) : std::string(key);
}

} // namespace turmericplank::daemon
