#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

/// @brief What a call of the load asks for.
enum class CallKind {
    Chat, ///< a streamed answer of a model
    Booking, ///< an unrepeatable call of a service
    Lookup, ///< an idempotent call of a service
};

/// @brief A model and its share of the model calls.
struct ModelShare
{
    std::string model;
    double weight = 1;
};

/// @brief Mix and rate of a load.
struct LoadPlanOptions
{
    double callsPerSecond = 10;
    std::vector<ModelShare> models;
    double bookingShare = 0; ///< of all calls
    double lookupShare = 0; ///< of all calls
    double duplicateShare = 0; ///< of the bookings, sent twice at once under one key
    double urgentShare = 0.5; ///< of the model calls
    double bulkShare = 0.1; ///< of the model calls
    std::uint32_t fewestTokens = 20;
    std::uint32_t mostTokens = 60;
    std::uint64_t seed = 1;
};

/// @brief One call of the load.
struct PlannedCall
{
    base::Duration after{}; ///< from the start of the load
    CallKind kind = CallKind::Chat;
    std::string id; ///< request id; key of a booking
    std::string model;
    base::Priority priority = base::Priority::Normal;
    std::uint32_t tokens = 0;
    std::string question; ///< text that is in no other call
    bool isDuplicated = false;

    friend bool operator==(const PlannedCall &, const PlannedCall &) = default;
};

/// @brief Draws the calls of an open-loop load: their times do not depend on the answers.
class LoadPlan
{
public:
    /// @param options mix and rate
    explicit LoadPlan(LoadPlanOptions options);

    /// @brief The next call.
    PlannedCall next();

private:
    void drawChat(PlannedCall &call);
    bool draw(double share);

    LoadPlanOptions m_options;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_models;
    base::Duration m_after{};
    std::uint64_t m_count = 0;
};

} // namespace turmericplank::cli
