#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

#include "scriptedengine.hpp"
#include "turmericplank/gateway/forwarder.hpp"
#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::gateway::testing {

/// @brief A caller's request without a connection; records the response.
class FakeExchange final : public net::HttpExchange
{
public:
    explicit FakeExchange(net::HttpRequest request)
        : m_request(std::move(request))
    {
    }

    const net::HttpRequest &request() const override
    {
        return m_request;
    }
    void respond(net::HttpResponse response) override
    {
        status = response.status;
        body = std::move(response.body);
        isComplete = true;
    }
    void startStream(int streamStatus, net::Headers) override
    {
        status = streamStatus;
    }
    void writeChunk(std::string chunk) override
    {
        body += chunk;
    }
    void endStream() override
    {
        isComplete = true;
    }
    void abort() override
    {
        isCutOff = true;
    }
    std::size_t queuedBytes() const override
    {
        return isReading ? 0 : body.size() - readBytes;
    }
    void setOnWritten(std::function<void()> callback) override
    {
        onWritten = std::move(callback);
    }
    /// Reads some of what has been written, while the caller does not read by itself.
    void read(std::size_t bytes)
    {
        readBytes = std::min(body.size(), readBytes + bytes);
        if (const auto callback = onWritten) {
            callback();
        }
    }
    bool isCallerConnected() override
    {
        return !hasCallerLeft;
    }
    void setOnClosed(std::function<void()> callback) override
    {
        onClosed = std::move(callback);
    }
    bool hasEnded() const
    {
        return isComplete || isCutOff;
    }

    int status = 0;
    std::string body;
    bool isComplete = false;
    bool isCutOff = false; ///< the connection was closed before the response was complete
    bool hasCallerLeft = false; ///< and the forwarder has not been told yet
    bool isReading = true; ///< the caller reads all that is written at once
    std::size_t readBytes = 0; ///< while it does not
    std::function<void()> onClosed;
    std::function<void()> onWritten;

private:
    net::HttpRequest m_request;
};

/// @brief Wire format with as few headers as the tests need. Prompt has the ids of the prompt's parts, separated by blanks. Timeout-Ms is the time
/// after which the caller leaves, Remaining-Ms what is left of it when the call is sent to an endpoint.
inline WireFormat testWireFormat()
{
    WireFormat wire;
    wire.decodeCall = [](const net::HttpRequest &request) {
        Call call;
        call.id = std::string(header(request.headers, "Request-Id"));
        call.host = "h";
        call.model = base::ModelName("m");
        const std::string last(header(request.headers, "Last-Event-Id"));
        call.lastEventId = last.empty() ? std::optional<std::uint64_t>() : std::stoull(last);
        call.resumedCall = std::string(header(request.headers, "Resumes"));
        const auto key = header(request.headers, "Key");
        call.key = key.empty() ? std::nullopt : std::optional(accounts::digestKey(key));
        const std::string timeout(header(request.headers, "Timeout-Ms"));
        call.callerTimeout = timeout.empty() ? std::optional<base::Duration>() : std::chrono::milliseconds(std::stoll(timeout));
        std::istringstream parts{std::string(header(request.headers, "Prompt"))};
        for (std::uint64_t id = 0; parts >> id;) {
            call.prompt.push_back({id, 10});
        }
        return call;
    };
    wire.makeAttemptRequest = [](const net::HttpRequest &request, const AttemptHeaders &head) {
        net::HttpRequest attempt{
            request.method,
            request.target,
            {{"Request-Id", std::string(header(request.headers, "Request-Id"))}, {"Prompt", std::string(header(request.headers, "Prompt"))}},
            request.body};
        if (head.remainingTime) {
            attempt.headers.push_back({"Remaining-Ms", std::to_string(base::inMilliseconds(*head.remainingTime))});
        }
        attempt.headers.push_back({"Urgency", std::to_string(head.urgency)});
        if (head.account) {
            attempt.headers.push_back({"Account", head.account->text()});
        }
        if (head.lastEventId) {
            attempt.headers.push_back({"Last-Event-Id", std::to_string(*head.lastEventId)});
        }
        return attempt;
    };
    wire.decodeResponseHead = [](int status, const net::Headers &headers) {
        ResponseHead head;
        head.status = status;
        head.callId = std::string(header(headers, "Request-Id"));
        head.isAuthentic = !header(headers, "Server-Seal").empty();
        head.isNotRun = !header(headers, "Not-Executed").empty();
        const std::string tolerance(header(headers, "Tolerance"));
        head.rejectionTolerance = tolerance.empty() ? std::nullopt : std::optional(static_cast<std::uint32_t>(std::stoul(tolerance)));
        const std::string limit(header(headers, "Calls-Per-Second"));
        head.callsPerSecond = limit.empty() ? std::nullopt : std::optional(std::stod(limit));
        return head;
    };
    wire.forwardedHeaders = [](const net::Headers &headers) {
        return headers;
    };
    wire.makeRejection = [](const Rejection &rejection) {
        if (rejection.reason == RejectionReason::UnknownKey || rejection.reason == RejectionReason::LimitExceeded) {
            return net::HttpResponse{rejection.reason == RejectionReason::UnknownKey ? 401 : 429, {}, std::string(toString(rejection.reason))};
        }
        const bool mayHaveRun = rejection.reason == RejectionReason::OutcomeUnknown || rejection.reason == RejectionReason::TimedOut;
        return net::HttpResponse{mayHaveRun ? 502 : 503, {}, std::string(toString(rejection.reason))};
    };
    wire.makeStateRequest = [] {
        return net::HttpRequest{"GET", std::string(StateTarget), {}, {}};
    };
    wire.decodeState = [](const net::HttpResponse &response) {
        placement::EngineState state;
        state.incarnation = base::Incarnation(response.status == 200 ? std::stoull(response.body) : 0);
        return response.status == 200 ? std::optional(state) : std::nullopt;
    };
    return wire;
}

/// @brief A daemon's forwarder with engines "a" and "b", which hold the model, and one resumable route with short time limits.
///
/// Engine "a" is closer, so that it gets each call first.
class TestSite
{
public:
    /// @param firstPort port of engine "a"; "b" has the next one
    /// @param sendLimit endpoints to which one call may be sent
    /// @param lastRank of the last route; the others have 0 and 1
    explicit TestSite(std::uint16_t firstPort, std::uint32_t sendLimit = 2, std::uint32_t lastRank = 1)
        : m_lastRank(lastRank)
        , a(m_context, "a", firstPort)
        , b(m_context, "b", static_cast<std::uint16_t>(firstPort + 1))
    {
        m_siteState.applyConfiguration(configuration(sendLimit), base::now());
        m_streamOrigins.noteHistory({}, base::now());
        applyEntries({a.entry(), b.entry()});
    }

    /// Applies one read of the endpoints' entries.
    /// @param connectionLimit of each endpoint
    void applyEntries(const std::vector<discovery::EndpointEntry> &entries, std::uint32_t connectionLimit = 10)
    {
        m_siteState.applyEntries(entries, base::now());
        for (const auto &it : entries) {
            m_pool.setEndpoint(it.id, it.service, it.address, it.incarnation, connectionLimit);
        }
        std::map<base::ServiceName, std::set<std::string>> versions;
        for (const auto &[id, it] : m_siteState.endpoints()) {
            versions[it.service].insert(it.softwareVersion);
        }
        m_streamOrigins.noteVersions(versions, base::now());
    }

    /// Puts a configuration with accounts in force, as a later revision than that of the site.
    void setAccounts(std::uint64_t revision, std::vector<accounts::Account> accounts)
    {
        auto it = configuration(2);
        it->revision = base::Revision(revision);
        it->accounts = std::move(accounts);
        it->routes.back().isPublic = true;
        m_siteState.applyConfiguration(it, base::now());
    }

    /// Begins a call.
    boost::intrusive_ptr<FakeExchange> begin(net::Headers headers, std::string target = "/r/x", std::string body = "question")
    {
        const boost::intrusive_ptr<FakeExchange> exchange(new FakeExchange({"POST", std::move(target), std::move(headers), std::move(body)}));
        m_forwarder.handleCall(exchange);
        return exchange;
    }

    /// Sends a call and returns when it has ended, or after some time.
    boost::intrusive_ptr<FakeExchange> call(net::Headers headers, base::Duration timeout = std::chrono::seconds(5), std::string target = "/r/x")
    {
        const auto exchange = begin(std::move(headers), std::move(target));
        const auto deadline = base::now() + timeout;
        while (!exchange->hasEnded() && base::now() < deadline) {
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds(5));
            m_forwarder.retryWaitingCalls();
        }
        return exchange;
    }

    /// Handles what has arrived and the timers that have expired, for some time.
    void runFor(base::Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    void retryWaitingCalls()
    {
        m_forwarder.retryWaitingCalls();
    }

    void rejectNewCalls()
    {
        m_forwarder.rejectNewCalls();
    }

    boost::asio::io_context &context()
    {
        return m_context;
    }

    forwarding::StreamOrigins &streamOrigins()
    {
        return m_streamOrigins;
    }

    std::size_t callsInProgress() const
    {
        return m_forwarder.callsInProgress();
    }

    std::size_t openConnections() const
    {
        return m_pool.openConnectionCount();
    }

private:
    std::shared_ptr<routes::SiteConfiguration> configuration(std::uint32_t sendLimit) const
    {
        auto it = std::make_shared<routes::SiteConfiguration>();
        it->revision = base::Revision(1);
        routes::ServiceSpec service;
        service.name = base::ServiceName("s");
        service.connectionLimit = 100;
        service.engine.emplace();
        service.engine->models.push_back({base::ModelName("m"), 1, {}, 0, 0});
        it->services.emplace(service.name, service);
        routes::Route route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/r/";
        route.kind = {false, true, true};
        route.timeout = std::chrono::seconds(4);
        route.objective = std::chrono::milliseconds(400);
        route.eventGapObjective = std::chrono::milliseconds(20);
        route.sendLimit = sendLimit;
        route.services.push_back({service.name, 1});
        it->routes.push_back(route);
        route.name = "u"; // streams that must not run twice
        route.prefix = "/u/";
        route.kind = {false, true, false};
        route.rank = 1;
        it->routes.push_back(route);
        route.name = "o"; // calls that must not run twice
        route.prefix = "/o/";
        route.kind = {false, false, false};
        route.rank = m_lastRank;
        it->routes.push_back(route);
        return it;
    }

    ForwarderDependencies dependencies()
    {
        return {m_context,
                m_wire,
                m_siteState,
                m_router,
                m_pool,
                m_metrics,
                m_random,
                m_streamOrigins,
                crashHistory,
                [this](const std::function<void(bool)> &callback) {
                    ++refreshes;
                    callback(true);
                },
                [this](forwarding::CallDigest call, const std::function<void(std::optional<std::string>)> &callback) {
                    const auto it = remoteOrigins.find(call);
                    callback(it == remoteOrigins.end() ? std::nullopt : std::optional(it->second));
                },
                [this](requests::Fingerprint content, const requests::EndpointLoss &loss) { crashHistory.recordLoss(content, loss, base::now()); },
                [this](requests::Fingerprint content) { crashHistory.recordSharedAnswer(content, base::now()); },
                [] { return true; },
                [](const base::ServiceName &, const PeerForwardRequest &, const PeerForwardCallbacks &) { return std::shared_ptr<PeerForward>(); },
                [] { return std::size_t(1); },
                [] {},
                [](const base::ServiceName &, const base::ModelName &) {},
                [](const base::EndpointId &, std::optional<std::uint32_t>) {},
                [](const base::EndpointId &, std::optional<double>) {},
                [this](const accounts::Account &account, const Call &) {
                    ++admissions[account.name];
                    return accounts::UsageDecision{!isLimitReached, std::chrono::milliseconds(250)};
                },
                [this](const accounts::Account &account, const Call &) {
                    --admissions[account.name];
                }};
    }

    static routing::RouterOptions routerOptions()
    {
        routing::RouterOptions it;
        it.zoneDistance = [](const base::ZoneName &zone) {
            return zone == base::ZoneName("a") ? base::Duration(0) : base::Duration(std::chrono::milliseconds(10));
        };
        return it;
    }

    static requests::CrashHistoryOptions crashHistoryOptions()
    {
        requests::CrashHistoryOptions it;
        it.trialDelay = std::chrono::milliseconds(100);
        return it;
    }

    static ForwarderOptions options()
    {
        ForwarderOptions it;
        it.minEventTimeout = std::chrono::milliseconds(100);
        it.firstEventTimeoutFactor = 0.25;
        return it;
    }

    boost::asio::io_context m_context;

    std::uint32_t m_lastRank;

public:
    ScriptedEngine a;
    ScriptedEngine b;
    std::map<forwarding::CallDigest, std::string> remoteOrigins; ///< known to daemons that are asked
    requests::CrashHistory crashHistory{crashHistoryOptions()};
    int refreshes = 0; ///< requests for a read of the entries
    std::map<base::CallerName, int> admissions; ///< calls that count toward the limit of each account
    bool isLimitReached = false; ///< of all accounts

private:
    WireFormat m_wire = testWireFormat();
    telemetry::Metrics m_metrics;
    std::mt19937_64 m_random{1};
    routing::Router m_router{routerOptions()};
    SiteState m_siteState{m_router};
    ConnectionPool m_pool{m_context, {}};
    forwarding::StreamOrigins m_streamOrigins;
    Forwarder m_forwarder{dependencies(), SiteBounds(), options()};
};

} // namespace turmericplank::gateway::testing
