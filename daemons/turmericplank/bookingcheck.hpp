#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace turmericplank::cli {

/// @brief What was found wrong with the bookings of a load.
struct BookingFaults
{
    std::uint64_t doubleRuns = 0; ///< keys that ran more than once
    std::uint64_t falseNotRun = 0; ///< keys that ran although every answer said not_run
    std::uint64_t lost = 0; ///< keys that were answered but never ran
    std::uint64_t unequalAnswers = 0; ///< keys that were answered with different bodies

    friend bool operator==(const BookingFaults &, const BookingFaults &) = default;
};

/// @brief Compares what callers were told of their bookings with what the services ran.
class BookingCheck
{
public:
    /// @brief Notes an answer.
    /// @param key the booking
    /// @param body the answer
    void noteAnswered(const std::string &key, const std::string &body);

    /// @brief Notes an error that said not_run.
    /// @param key the booking
    void noteNotRun(const std::string &key);

    /// @brief Notes that nothing is known of a booking.
    /// @param key the booking
    void noteUnknown(const std::string &key);

    /// @brief Notes runs that a service instance reports.
    /// @param key the booking
    /// @param runs how often it ran there
    void noteRuns(const std::string &key, std::uint64_t runs);

    /// @brief Compares; to be called once all answers and reports are in.
    BookingFaults faults() const;

private:
    struct Booking
    {
        std::string body;
        bool isAnswered = false;
        bool isUnknown = false;
        bool hasUnequalAnswers = false;
        std::uint64_t runs = 0;
    };

    std::map<std::string, Booking> m_bookings;
};

} // namespace turmericplank::cli
