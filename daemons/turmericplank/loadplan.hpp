#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "turmericplank/base/priority.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::cli {

/// @brief Kind of a call in the load.
enum class CallKind {
    Chat, ///< model call with a streamed answer
    Booking, ///< service call that must not run twice
    Lookup, ///< idempotent service call
};

/// @brief A model and its share of the model calls.
struct ModelShare
{
    std::string model;
    double weight = 1;
};

/// @brief Rate and mix of a load.
struct LoadPlanOptions
{
    double callsPerSecond = 10;
    std::vector<ModelShare> models;
    double bookingShare = 0; ///< fraction of all calls
    double lookupShare = 0; ///< fraction of all calls
    double duplicateShare = 0; ///< fraction of the bookings that are sent twice at the same time with the same key
    double urgentShare = 0.5; ///< fraction of the model calls with urgent priority
    double bulkShare = 0.1; ///< fraction of the model calls with bulk priority
    std::uint32_t minTokens = 20;
    std::uint32_t maxTokens = 60;
    std::uint64_t seed = 1;
};

/// @brief One call in the load.
struct PlannedCall
{
    base::Duration startOffset{}; ///< time from the start of the load
    CallKind kind = CallKind::Chat;
    std::string id; ///< request id; also the idempotency key of a booking
    std::string model;
    base::Priority priority = base::Priority::Normal;
    std::uint32_t tokens = 0;
    std::string question; ///< unique text of the call
    bool isDuplicated = false;

    friend bool operator==(const PlannedCall &, const PlannedCall &) = default;
};

/// @brief Generates the calls of an open-loop load: their times do not depend on the answers.
class LoadPlan
{
public:
    /// @param options rate and mix
    explicit LoadPlan(LoadPlanOptions options);

    /// @brief Generates the next call.
    PlannedCall next();

private:
    void drawChat(PlannedCall &call);
    bool draw(double share);

    LoadPlanOptions m_options;
    std::mt19937_64 m_random;
    std::discrete_distribution<std::size_t> m_models;
    base::Duration m_offset{};
    std::uint64_t m_count = 0;
};

} // namespace turmericplank::cli
