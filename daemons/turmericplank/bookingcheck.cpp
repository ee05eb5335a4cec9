#include "bookingcheck.hpp"

namespace turmericplank::cli {

void BookingCheck::noteAnswered(const std::string &key, const std::string &body)
{
    auto &booking = m_bookings[key];
    if (booking.isAnswered && booking.body != body) {
        booking.hasUnequalAnswers = true;
    }
    booking.isAnswered = true;
    booking.body = body;
}

void BookingCheck::noteNotRun(const std::string &key)
{
    m_bookings[key];
}

void BookingCheck::noteUnknown(const std::string &key)
{
    m_bookings[key].isUnknown = true;
}

void BookingCheck::noteRuns(const std::string &key, std::uint64_t runs)
{
    const auto it = m_bookings.find(key);
    if (it != m_bookings.end()) {
        it->second.runs += runs;
    }
}

BookingFaults BookingCheck::faults() const
{
    BookingFaults faults;
    for (const auto &[key, it] : m_bookings) {
        const bool isNotRun = !it.isAnswered && !it.isUnknown;
        faults.doubleRuns += it.runs > 1 ? 1 : 0;
        faults.falseNotRun += isNotRun && it.runs > 0 ? 1 : 0;
        faults.lost += it.isAnswered && it.runs == 0 ? 1 : 0;
        faults.unequalAnswers += it.hasUnequalAnswers ? 1 : 0;
    }
    return faults;
}

} // namespace turmericplank::cli
