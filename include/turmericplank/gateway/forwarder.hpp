#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include "turmericplank/forwarding/retryadvice.hpp"
#include "turmericplank/forwarding/waiting.hpp"
#include "turmericplank/gateway/endpointpool.hpp"
#include "turmericplank/gateway/fleet.hpp"
#include "turmericplank/gateway/interface.hpp"
#include "turmericplank/gateway/settings.hpp"
#include "turmericplank/net/httpserver.hpp"
#include "turmericplank/placement/demand.hpp"
#include "turmericplank/placement/modelpace.hpp"
#include "turmericplank/requests/retrybudget.hpp"
#include "turmericplank/telemetry/logratelimiter.hpp"
#include "turmericplank/telemetry/metrics.hpp"

namespace turmericplank::gateway {

class Transfer;

/// @brief Waiting times and shares of forwarding.
struct ForwarderOptions
{
    base::Duration parkInterval = std::chrono::milliseconds(20); ///< between two looks for an endpoint of a call that waits here
    forwarding::WaitOptions wait;
    double firstEventShare = 2.5; ///< of the objective, after which a silent endpoint is given up for a stream that may go on elsewhere
    base::Duration shortestFirstEvent = std::chrono::milliseconds(1000);
    double eventGapShare = 4; ///< of the objective between two events, likewise
    double retryBudgetShare = 0.8; ///< of what the site allows; the rest is for what the daemons do not yet know of each other
    double promptTokenMilliseconds = 0.034; ///< of an engine's time, at about 30 prompt tokens a millisecond
    double answerTokenMilliseconds = 0.15; ///< of an engine's time with a batch of some 40 requests
    std::uint32_t answeredLines = 100; ///< log lines a second on calls that were answered; those on others have no bound of their own
    forwarding::RetryAdviceOptions advice;
};

/// @brief Parts of the daemon that forwarding works with.
struct ForwarderParts
{
    boost::asio::io_context &context;
    const WireFormat &wire;
    Fleet &fleet;
    routing::Router &router;
    EndpointPool &pool;
    telemetry::Metrics &metrics;
    std::mt19937_64 &random;
    std::function<std::size_t()> daemons; ///< that share the retry budget and the connections, this one included
    std::function<void(const base::ServiceName &, const base::ModelName &)> onNotResident; ///< a call waits for weights
};

/// @brief Sends each caller's call to an endpoint and its answer back.
class Forwarder
{
public:
    Forwarder(ForwarderParts parts, SiteBounds bounds, ForwarderOptions options = {});
    ~Forwarder();

    /// @brief Takes a caller's call.
    void take(const net::ExchangePointer &exchange);

    /// @brief Refuses calls that come from now on; those in progress go on.
    void refuseNew();

    /// @brief Looks again for endpoints of the calls that wait here.
    void retryParked();

    /// @brief Logs how many lines on answered calls were left out, if any.
    void tellLeftOut();

    /// @brief Calls that have no final answer yet.
    std::size_t inProgress() const;

    /// @brief Calls counted since the start, by model and adapter.
    const placement::DemandCounters &demand() const;

private:
    friend class Transfer;
    using TransferList = boost::intrusive::list<Transfer, boost::intrusive::constant_time_size<false>>;

    bool hasBudget(const base::ServiceName &service, base::Time now);
    bool mayRetry(const base::ServiceName &service, base::Time now);
    requests::RetryBudget &budget(const base::ServiceName &service);
    void countDemand(const base::ServiceName &service, const Call &call);

    ForwarderParts m_parts;
    SiteBounds m_bounds;
    ForwarderOptions m_options;
    std::map<base::ServiceName, requests::RetryBudget> m_budgets;
    telemetry::LogRateLimiter m_answeredLines;
    placement::DemandCounters m_demand;
    placement::ModelPace m_pace;
    double m_fractionOfDemand = 0; ///< milliseconds not counted yet
    std::unique_ptr<TransferList> m_parked;
    bool m_refusesNew = false;
    std::shared_ptr<std::size_t> m_inProgress = std::make_shared<std::size_t>(0); ///< hooks of late connections may outlive this
};

} // namespace turmericplank::gateway
