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

/// @brief Where a load goes and how long it lasts.
struct LoadOptions
{
    LoadPlanOptions plan;
    Expectation expectation;
    std::vector<base::Address> entries; ///< daemons to ask where to go
    std::vector<base::Address> engines; ///< engines that are called straight; beside entries every other model call goes there
    std::string service; ///< name of the service of bookings and lookups
    std::string bookingPath = "/visits";
    std::string lookupPath = "/visits";
    std::vector<base::Address> serviceInstances; ///< asked for the runs of each booking
    std::uint64_t count = 0; ///< calls, zero for no bound
    base::Duration duration = std::chrono::seconds(10); ///< from the first call's planning to the last one's
    base::Duration grace = std::chrono::seconds(30); ///< for the answers after the last call
    std::size_t concurrency = 1000; ///< calls in progress before a due one is left out
};

/// @brief Result of a load.
struct LoadResult
{
    LoadTally daemons;
    LoadTally engines;
    BookingFaults bookings;
    std::size_t instancesHeard = 0; ///< service instances that told their runs
    std::uint64_t leftOut = 0; ///< calls over the bound of concurrency
    std::uint64_t unanswered = 0; ///< calls still in progress at the end
    base::Duration elapsed{};

    /// @brief Answers and bookings that break a promise.
    std::uint64_t wrongOutcomes() const;
};

/// @brief Sends an open-loop load and checks every answer.
class LoadRunner
{
public:
    /// @param options where to and how long
    explicit LoadRunner(LoadOptions options);

    /// @brief Runs the load to its end.
    LoadResult run();

private:
    struct Flight;
    using FlightPointer = boost::intrusive_ptr<Flight>;

    void planNext();
    void launch(const PlannedCall &call);
    void findAddress(const FlightPointer &flight);
    void send(const FlightPointer &flight, const base::Address &to);
    static const base::Address &nextAddress(const Flight &flight, const std::vector<base::Address> &addresses);
    net::HttpRequest makeRequest(const Flight &flight) const;
    void finish(const FlightPointer &flight, const tl::expected<void, net::CallFailure> &result);
    bool sendsAgain(const FlightPointer &flight, const AnswerError &error, bool isNotSent);
    void noteNotSent(const Flight &flight);
    void finishService(Flight &flight, const AnswerError &error, bool isEndSeen);
    void noteBooking(const Flight &flight, Verdict verdict, const std::string &outcome);
    Verdict serviceVerdict(const Flight &flight) const;
    LoadTally &tally(const Flight &flight);
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
    bool m_isPlanned = false; ///< whether the last call was planned
};

} // namespace turmericplank::cli
