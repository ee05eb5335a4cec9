#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include "turmericplank/accounts/usagelimiter.hpp"
#include "turmericplank/forwarding/callage.hpp"
#include "turmericplank/forwarding/retrydelay.hpp"
#include "turmericplank/forwarding/streamorigins.hpp"
#include "turmericplank/forwarding/waiting.hpp"
#include "turmericplank/gateway/collectedbody.hpp"
#include "turmericplank/gateway/connectionpool.hpp"
#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/peerforward.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/gateway/sitestate.hpp"
#include "turmericplank/net/httpserver.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/placement/tokencostestimator.hpp"
#include "turmericplank/requests/crashhistory.hpp"
#include "turmericplank/requests/retrybudget.hpp"
#include "turmericplank/telemetry/logratelimiter.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

class ForwardedCall;

/// @brief Intervals, timeouts and limits of forwarding.
struct ForwarderOptions
{
    base::Duration waitingRetryInterval = std::chrono::milliseconds(20); ///< between attempts to find an endpoint for a waiting call
    forwarding::WaitOptions wait;
    double firstEventTimeoutFactor = 2.5; ///< timeout of the first event, in multiples of the objective; a resumable stream may then move to another endpoint
    base::Duration minEventTimeout = std::chrono::milliseconds(1000); ///< lower bound of both timeouts
    double eventGapTimeoutFactor = 4; ///< timeout of each further event, in multiples of the objective for the gap
    double retryBudgetShare = 0.8; ///< of the site's limit; the rest covers what the daemons do not know of each other yet
    double promptTokenMilliseconds = 0.034; ///< engine time, at about 30 prompt tokens per millisecond
    double answerTokenMilliseconds = 0.15; ///< engine time with a batch of about 40 requests
    base::Duration crashTime = std::chrono::milliseconds(500); ///< from a call's first event to a crash that the call itself may have caused
    base::Duration incarnationTimeout = std::chrono::milliseconds(200); ///< of an engine's answer for its incarnation; its calls do not delay it
    base::Duration originMargin = std::chrono::seconds(5); ///< how long the origin of a stream is kept after its call's deadline
    std::uint32_t maxAnsweredLinesPerSecond = 100; ///< log lines for answered calls; lines for other calls are not limited here
    std::uint32_t maxUnknownKeyLinesPerSecond = 5; ///< log lines for calls without the key of an account
    std::uint32_t maxSlowReaderLinesPerSecond = 5; ///< log lines for callers that read their streams slowly
    /// Bytes of a stream that the caller has not read, beyond which no more is read from the endpoint or the peer; reading goes on at half of it.
    std::size_t maxUnreadBytes = 64U * 1024;
    /// Whether a stream of this daemon's own caller may exceed it for now, which spares endpoints from holding what is not read.
    std::function<bool()> hasRoomForUnread = [] {
        return false;
    };
    /// Bytes of all answers that are collected at the same time before they are forwarded; an answer has 1 MiB at most.
    std::size_t maxCollectedBytes = 32U * 1024 * 1024;
    forwarding::RetryDelayOptions retryDelay;
};

/// @brief Limits of a call that another daemon has forwarded to this one.
struct CallLimits
{
    base::Time deadline; ///< for the final answer
    std::uint32_t maxSends = 1; ///< endpoints to which the call may be sent

    friend bool operator==(const CallLimits &, const CallLimits &) = default;
};

/// @brief Components of the daemon that the forwarder uses.
struct ForwarderDependencies
{
    boost::asio::io_context &context;
    const WireFormat &wire;
    SiteState &siteState;
    routing::Router &router;
    ConnectionPool &pool;
    telemetry::Metrics &metrics;
    std::mt19937_64 &random;
    forwarding::StreamOrigins &streamOrigins;
    requests::CrashHistory &crashHistory; ///< contents that endpoints were lost with
    /// Brings the view of the endpoints up to date; calls back once, with whether the versions that serve are known for certain.
    std::function<void(std::function<void(bool)>)> refreshVersions;
    /// Asks other daemons for the version at which a stream began; calls back once, with nothing if none of them knows it.
    std::function<void(forwarding::CallDigest, std::function<void(std::optional<std::string>)>)> findRemoteOrigin;
    std::function<void(requests::Fingerprint, const requests::EndpointLoss &)> onEndpointLost; ///< while it ran a content, or a part of one
    std::function<void(requests::Fingerprint)> onSharedAnswer; ///< a part of a prompt was answered without a crash
    std::function<bool()> mayTryRefused; ///< this daemon is the one that tries refused contents again
    /// Forwards a call to a daemon that may have contact to endpoints of its service; null if there is none.
    std::function<std::shared_ptr<PeerForward>(const base::ServiceName &, const PeerForwardRequest &, PeerForwardCallbacks)> forwardToPeer;
    std::function<std::size_t()> daemonCount; ///< daemons that share the retry budget and the connections, including this one
    std::function<void()> onEndpointLeaving; ///< an endpoint has said in an answer that it is leaving; peers are to be told
    std::function<void(const base::ServiceName &, const base::ModelName &)> onNotResident; ///< a call waits for a model or adapter that is not resident
    /// Called for each answer with the rejections per second that the endpoint survives, or nothing if it states none.
    std::function<void(const base::EndpointId &, std::optional<std::uint32_t>)> onRejectionTolerance;
    /// Called for each answer with the calls per second that the endpoint takes, or nothing if it states no limit.
    std::function<void(const base::EndpointId &, std::optional<double>)> onRateLimit;
    std::function<accounts::UsageDecision(const accounts::Account &, const Call &)> admitUse; ///< counts a call of an account with a limit
    std::function<void(const accounts::Account &, const Call &)> giveBackUse; ///< of an admitted call that never ran
    /// Whether this daemon would know of a later configuration than the one in force.
    std::function<bool()> isConfigurationCertain = [] {
        return true;
    };
    /// Reads the configuration; calls back once, with whether the latest one is in force now.
    std::function<void(std::function<void(bool)>)> refreshConfiguration;
};

/// @brief Forwards callers' calls to endpoints and returns the responses.
class Forwarder
{
public:
    Forwarder(ForwarderDependencies dependencies, SiteBounds bounds, ForwarderOptions options = {});
    ~Forwarder();

    /// @brief Handles a call from a caller, or one that another daemon has forwarded for its caller.
    /// @param limits of a forwarded call, which is not forwarded again
    void handleCall(const net::ExchangePointer &exchange, const std::optional<CallLimits> &limits = std::nullopt);

    /// @brief Whether new calls are accepted.
    bool acceptsCalls() const;

    /// @brief The service that a call goes to; nothing without a route.
    std::optional<base::ServiceName> serviceOf(const net::HttpRequest &request) const;

    /// @brief Rejects calls that arrive from now on, and those that have not run and would have to wait or to be sent again, since another daemon
    /// takes them at once. Other calls in progress continue.
    void rejectNewCalls();

    /// @brief Logs the calls in progress, which the end of the process cuts off.
    void logCallsInProgress() const;

    /// @brief Retries endpoint selection for all waiting calls.
    void retryWaitingCalls();

    /// @brief Logs how many log lines for answered calls were omitted, if any.
    void logOmittedLines();

    /// @brief Number of calls without a complete response.
    std::size_t callsInProgress() const;

    /// @brief Demand counted since the start, by model and adapter.
    const placement::DemandCounters &demand() const;

private:
    friend class ForwardedCall;
    struct CallList;
    using WaitingList = boost::intrusive::list<ForwardedCall, boost::intrusive::constant_time_size<false>>;

    /// How a request reached this daemon, and what is known when it is handled.
    struct Arrival
    {
        std::optional<CallLimits> limits; ///< set by the daemon that forwarded it
        base::Time at;
        bool isConfigurationCertain = true;
    };

    void admit(const net::ExchangePointer &exchange, const Arrival &arrival);
    bool matchesConfiguration(const net::HttpRequest &request) const;
    void rejectUnmatched(const net::ExchangePointer &exchange, const Call &call, RejectionReason reason);
    void rejectUnknownKey(const net::ExchangePointer &exchange, const Call &call, const routes::Route &route);
    bool rejectOverLimit(const net::ExchangePointer &exchange, const Call &call, const accounts::Account &account);
    bool consumeRetryBudget(const base::ServiceName &service, base::Time now);
    requests::RetryBudget &retryBudget(const base::ServiceName &service);
    void recordDemand(const base::ServiceName &service, const Call &call);

    ForwarderDependencies m_dependencies;
    SiteBounds m_bounds;
    ForwarderOptions m_options;
    std::map<base::ServiceName, requests::RetryBudget> m_retryBudgets;
    telemetry::LogRateLimiter m_answeredLineBudget;
    telemetry::LogRateLimiter m_peerLineBudget;
    telemetry::LogRateLimiter m_unknownKeyLineBudget;
    telemetry::LogRateLimiter m_slowReaderLineBudget;
    forwarding::CallAgeEstimator m_callAges;
    placement::DemandCounters m_demand;
    placement::TokenCostEstimator m_tokenCosts;
    double m_uncountedMilliseconds = 0; ///< fraction carried over to the next call
    std::unique_ptr<WaitingList> m_waitingCalls;
    std::unique_ptr<CallList> m_calls; ///< in progress
    CollectionBudgetPointer m_collectionBudget;
    bool m_isRejectingNewCalls = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< shared with answers of other daemons, which may come later
    /// Shared, since callbacks of late connections may outlive the forwarder.
    std::shared_ptr<std::size_t> m_callsInProgress = std::make_shared<std::size_t>(0);
};

} // namespace turmericplank::gateway
