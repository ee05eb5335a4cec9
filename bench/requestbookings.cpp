#include "requestbookings.hpp"

#include <algorithm>
#include <chrono>
#include <queue>
#include <random>

#include "../src/turmericplank/requests/simulationevents.hpp"
#include "milliseconds.hpp"
#include "section.hpp"

namespace turmericplank::bench {

namespace {

using namespace requests;

struct BookingFigures
{
    double perSecond = 0; ///< bookings answered per second
    double writesPerBooking = 0; ///< table transactions per submitted booking
    double addedMilliseconds = 0; ///< median time from the submission until the booking may be sent
};

/// Runs the booking ledgers of several daemons on one store with a limited transaction rate.
BookingFigures runBookings(unsigned seed, bool claimsFirst, double offeredPerSecond)
{
    constexpr std::size_t Daemons = 8;
    constexpr double StoreRate = 300; ///< transactions per second
    constexpr double StoreMilliseconds = 5;
    constexpr double ServiceMilliseconds = 20;
    constexpr double Seconds = 20;
    struct Event
    {
        base::Time at;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return other.at < at;
        }
    };
    std::mt19937_64 random(seed);
    std::priority_queue<Event> events;
    fake::Table table;
    base::Time now{std::chrono::seconds(1'000'000)};
    base::Time storeFreeAt = now;
    std::vector<BookingLedger> ledgers;
    for (std::size_t n = 0; n < Daemons; ++n) {
        BookingOptions options;
        options.self = base::DaemonId(std::to_string(n));
        options.makeToken = [&random] {
            return std::to_string(random());
        };
        options.claimsFirst = claimsFirst;
        // Each daemon uses an equal share of the store's rate.
        options.transactionInterval = milliseconds(1000 * Daemons / StoreRate);
        ledgers.emplace_back(std::move(options));
    }
    std::map<CallNumber, base::Time> submittedAt;
    std::vector<double> addedLatencies;
    std::uint64_t done = 0;
    const auto end = now + milliseconds(Seconds * 1000);
    std::function<void(std::size_t, const BookingActions &)> perform = [&](std::size_t daemon, const BookingActions &actions) {
        for (const auto &it : actions) {
            if (const auto *write = std::get_if<WriteRows>(&it)) {
                storeFreeAt = std::max(storeFreeAt, now) + milliseconds(1000 / StoreRate);
                events.push({storeFreeAt + milliseconds(StoreMilliseconds), [&, daemon, write = *write] {
                                 perform(daemon, ledgers[daemon].written(write.operation, table.transact(write.writes), now));
                             }});
            } else if (const auto *send = std::get_if<SendBooking>(&it)) {
                addedLatencies.push_back(base::inMilliseconds(now - submittedAt[send->call]));
                events.push({now + milliseconds(ServiceMilliseconds), [&, daemon, call = send->call] {
                                 done += now <= end ? 1 : 0;
                                 perform(daemon, ledgers[daemon].answered(call, StoredAnswer{200, "text/plain", "booked"}, now));
                             }});
            }
        }
    };
    std::uint64_t submitted = 0;
    std::exponential_distribution<double> gaps(offeredPerSecond / 1000);
    std::function<void()> submit = [&] {
        const CallNumber call(++submitted);
        submittedAt[call] = now;
        const auto daemon = static_cast<std::size_t>(submitted % Daemons);
        perform(daemon, ledgers[daemon].submit(BookingRequest{call, "bookings/" + std::to_string(submitted), "d", now + std::chrono::seconds(30)}, now));
        const auto next = now + milliseconds(gaps(random));
        if (next < end) {
            events.push({next, submit});
        }
    };
    std::function<void()> tick = [&] {
        for (std::size_t n = 0; n < Daemons; ++n) {
            perform(n, ledgers[n].tick(now));
        }
        if (now < end + std::chrono::seconds(2)) {
            events.push({now + std::chrono::milliseconds(10), tick});
        }
    };
    events.push({now, submit});
    events.push({now, tick});
    while (!events.empty()) {
        const auto event = events.top();
        events.pop();
        now = event.at;
        event.run();
    }
    std::sort(addedLatencies.begin(), addedLatencies.end());
    return {static_cast<double>(done) / Seconds, static_cast<double>(table.transactions) / static_cast<double>(submitted),
            addedLatencies[addedLatencies.size() / 2]};
}

} // namespace

void measureBookings(unsigned seed)
{
    constexpr double HeavyLoad = 1200; ///< bookings per second
    constexpr double LightLoad = 20; ///< bookings per second
    const auto sentOnly = runBookings(seed, false, HeavyLoad);
    const auto claimFirst = runBookings(seed, true, HeavyLoad);
    const auto sentOnlyLight = runBookings(seed, false, LightLoad);
    const auto claimFirstLight = runBookings(seed, true, LightLoad);
    printFigure("requests.bookings_per_second", sentOnly.perSecond, "bookings/s", ">= 1000");
    printFigure("requests.table_writes_per_booking", sentOnly.writesPerBooking, "transactions", "-");
    printFigure("requests.table_writes_per_booking_light", sentOnlyLight.writesPerBooking, "transactions", "-");
    printFigure("requests.booking_added_latency", sentOnly.addedMilliseconds, "ms at the median", "-");
    printFigure("requests.booking_added_latency_light", sentOnlyLight.addedMilliseconds, "ms at the median", "-");
    printFigure("requests.claim_first.bookings_per_second", claimFirst.perSecond, "bookings/s", "-");
    printFigure("requests.claim_first.table_writes_per_booking", claimFirst.writesPerBooking, "transactions", "-");
    printFigure("requests.claim_first.table_writes_per_booking_light", claimFirstLight.writesPerBooking, "transactions", "-");
    printFigure("requests.claim_first.booking_added_latency", claimFirst.addedMilliseconds, "ms at the median", "-");
    printFigure("requests.claim_first.booking_added_latency_light", claimFirstLight.addedMilliseconds, "ms at the median", "-");
}

} // namespace turmericplank::bench
