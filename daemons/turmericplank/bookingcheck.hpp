#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace turmericplank::cli {

/// @brief Violations found in the bookings of a load.
struct BookingFaults
{
    std::uint64_t doubleRuns = 0; ///< keys that ran more than once
    std::uint64_t falseNotRun = 0; ///< keys that ran although every response said not_run
    std::uint64_t lost = 0; ///< keys that were answered but did not run
    std::uint64_t unequalAnswers = 0; ///< keys that received different answers

    friend bool operator==(const BookingFaults &, const BookingFaults &) = default;
};

/// @brief Compares the answers to bookings with the runs that the services report.
class BookingCheck
{
public:
    /// @brief Records an answer.
    /// @param key idempotency key of the booking
    /// @param body body of the answer
    void noteAnswered(const std::string &key, const std::string &body);

    /// @brief Records an error with the outcome not_run.
    void noteNotRun(const std::string &key);

    /// @brief Records that the outcome of a booking is unknown.
    void noteUnknown(const std::string &key);

    /// @brief Records the runs that a service instance reports; keys that are not part of the load are ignored.
    /// @param key idempotency key of the booking
    /// @param runs number of runs at the instance
    void noteRuns(const std::string &key, std::uint64_t runs);

    /// @brief Returns the violations; must be called after all answers and reports were recorded.
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
