#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include "entryfinder.hpp"
#include "loadplan.hpp"
#include "loadtally.hpp"
#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::cli {

/// @brief Options of a load: targets, duration and limits.
struct LoadOptions
{
    LoadPlanOptions plan;
    Expectation expectation;
    std::vector<base::Address> entries; ///< daemons to query for the addresses to use
    std::vector<base::Address> engines; ///< engines to call directly; if entries are given too, every other model call goes to an engine
    std::string service; ///< name of the service for bookings and lookups
    std::string bookingPath = "/visits";
    std::string lookupPath = "/visits";
    std::vector<base::Address> serviceInstances; ///< queried for the runs of each booking
    std::uint64_t count = 0; ///< maximum number of calls, zero for no limit
    base::Duration duration = std::chrono::seconds(10); ///< length of the load without grace
    base::Duration grace = std::chrono::seconds(30); ///< maximum wait for answers after the last call
    std::size_t concurrency = 1000; ///< maximum calls in progress; a call that comes due beyond it is skipped
};

/// @brief Result of a load.
struct LoadResult
{
    LoadTally daemons;
    LoadTally engines;
    BookingFaults bookings;
    std::size_t reportingInstances = 0; ///< service instances that reported their runs
    std::uint64_t skipped = 0; ///< calls skipped because of the concurrency limit
    std::uint64_t unanswered = 0; ///< calls still in progress at the end
    base::Duration elapsed{};

    /// @brief Number of wrong answers and of violations in the bookings.
    std::uint64_t wrongOutcomes() const;
};

/// @brief Sends an open-loop load and checks every answer.
class LoadRunner
{
public:
    /// @param options targets, duration and limits
    explicit LoadRunner(LoadOptions options);

    /// @brief Runs the load and returns its result.
    LoadResult run();

private:
    struct ActiveCall;
    using ActiveCallPointer = boost::intrusive_ptr<ActiveCall>;

    void planNext();
    void start(const PlannedCall &call);
    void findAddress(const ActiveCallPointer &active);
    void send(const ActiveCallPointer &active, const base::Address &to);
    static const base::Address &nextAddress(const ActiveCall &active, const std::vector<base::Address> &addresses);
    net::HttpRequest makeRequest(const ActiveCall &active) const;
    void finish(const ActiveCallPointer &active, const tl::expected<void, net::CallFailure> &result);
    bool retry(const ActiveCallPointer &active, const AnswerError &error, bool isNotSent);
    void noteNotSent(const ActiveCall &active);
    void finishService(ActiveCall &active, const AnswerError &error, bool isEndSeen);
    void noteBooking(const ActiveCall &active, Verdict verdict, const std::string &outcome);
    Verdict serviceVerdict(const ActiveCall &active) const;
    LoadTally &tally(const ActiveCall &active);
    void stopIfDone();
    void collectRuns();

    LoadOptions m_options;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_nextCall;
    boost::asio::steady_timer m_end;
    EntryFinder m_entries;
    LoadPlan m_plan;
    BookingCheck m_bookings;
    LoadResult m_result;
    base::Time m_started{};
    std::uint64_t m_planned = 0;
    std::uint64_t m_chats = 0;
    std::size_t m_inProgress = 0;
    bool m_isPlanningDone = false; ///< whether the last call was scheduled
};

} // namespace turmericplank::cli
