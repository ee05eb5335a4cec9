#pragma once

#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "turmericplank/forwarding/attempts.hpp"
#include "turmericplank/forwarding/eventcursor.hpp"
#include "turmericplank/gateway/forwarder.hpp"

namespace turmericplank::gateway {

using ParkHook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// @brief Whether a route's calls can wait: their objective lies far off.
bool isDeferred(const routes::Route &route);

/// @brief What one send of a call is doing.
struct TransferSend
{
    std::uint64_t number = 0; ///< tells late hooks of earlier sends apart
    routing::Choice choice;
    std::optional<Loan> loan;
    std::optional<AnswerHead> head;
    net::Headers headers;
    std::string body; ///< of an answer that is passed on whole
    base::Time sentAt;
    bool hasFirstEvent = false;
    bool isRelaying = false; ///< its events go to the caller as they come
};

/// @brief One caller's call on its way to an endpoint and its answer on the way back.
class Transfer : public boost::intrusive_ref_counter<Transfer, boost::thread_unsafe_counter>, public ParkHook
{
public:
    Transfer(Forwarder &forwarder, net::ExchangePointer exchange, Call call, std::shared_ptr<const routes::RouteTable> routes, const routes::Route &route,
             base::Time now);
    ~Transfer();

    /// @brief Starts the first send.
    void start();
    /// @brief Looks again for an endpoint, while the call waits here.
    void retry();
    /// @brief The forwarder goes away.
    void abandon();

private:
    using Pointer = boost::intrusive_ptr<Transfer>;

    void place();
    void park(forwarding::WaitCause cause);
    forwarding::WaitCause missingCause() const;
    bool isTooLateThere(const routing::Choice &choice) const;
    void borrow(const routing::Choice &choice);
    void onLoan(std::uint64_t number, tl::expected<Loan, LoanFailure> loan);
    void sendOn(const Loan &loan);
    SendHead sendHead(base::Time now) const;
    base::Time silenceDeadline(base::Time now) const;
    base::Time onTimeout(std::uint64_t number);
    bool hasAlternative(base::Time now);
    routing::RouteRequest routeRequest() const;
    net::HeaderAction onHeaders(std::uint64_t number, int status, const net::Headers &headers);
    void onChunk(std::uint64_t number, std::string_view piece);
    void onEnd(std::uint64_t number, net::SendOutcome outcome);
    void endWhole();
    void endSend(forwarding::SendEnd end);
    void noteRouterEnd(routing::AttemptEnd end);
    void notePace();
    routing::AttemptEnd attemptEnd(forwarding::SendEnd end) const;
    void answer(net::HttpResponse response);
    void refuse(RefusalReason reason);
    void give(forwarding::NextStep step);
    void onCallerGone();
    void onDeadline();
    void watchDeadline();
    void finish(std::string_view outcome);
    void logEnd(std::string_view outcome, base::Time now) const;
    void releaseConnection(bool isWhole);

    Forwarder &m_forwarder;
    std::shared_ptr<std::size_t> m_inProgress;
    net::ExchangePointer m_exchange;
    Call m_call;
    std::shared_ptr<const routes::RouteTable> m_routes; ///< keeps the route
    const routes::Route &m_route;
    base::ServiceName m_service;
    base::ModelName m_work;
    base::Time m_arrivedAt;
    std::optional<base::Time> m_parkedSince;
    forwarding::WaitCause m_waitCause = forwarding::WaitCause::Full;
    bool m_isEngine = false;
    base::Time m_firstEventAt;
    base::Time m_lastEventAt;
    base::Duration m_longestGap{0}; ///< between two pieces of a stream, for the log
    forwarding::Attempts m_attempts;
    forwarding::EventCursor m_cursor;
    boost::asio::steady_timer m_timer;
    std::optional<TransferSend> m_send;
    std::vector<base::EndpointId> m_excluded; ///< endpoints of earlier sends, and those without a free connection
    RefusalReason m_waitsFor = RefusalReason::NoEndpoint;
    std::uint64_t m_sendNumber = 0;
    bool m_isStreaming = false; ///< the head of the answer is on its way to the caller
    bool m_isOver = false;
};

} // namespace turmericplank::gateway
