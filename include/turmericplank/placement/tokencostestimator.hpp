#pragma once

#include <map>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::placement {

/// @brief Bounds of the estimate of models' paces.
struct TokenCostOptions
{
    base::Duration window = std::chrono::seconds(15); ///< least gaps older than one to two windows are forgotten
    std::uint32_t leastStreams = 8; ///< of a model within a window, before its pace counts
    double leastPace = 0.15; ///< a model is not taken to be faster than this, relative to the slowest
};

/// @brief Learns how much engine time a token of each model takes, relative to the slowest model.
///
/// Load pattern: demand moves from a fast model to a slow one with the same number of requests, which needs up to four times
/// the engines. The least mean gap between the events of a stream is what a model takes on an engine that has little else
/// to do; what load adds to it is left out.
class TokenCostEstimator
{
public:
    explicit TokenCostEstimator(TokenCostOptions options = {});

    /// @brief Takes a whole stream.
    /// @param gap mean time between its events
    void recordStream(const base::ModelName &model, base::Duration gap, base::Time now);

    /// @brief Engine time of a token, 1 for the slowest model and for models that too little is known of.
    double relativeCost(const base::ModelName &model) const;

private:
    struct Window
    {
        base::Duration least{0};
        std::uint32_t streams = 0;
    };
    struct Model
    {
        Window current;
        Window before;
        base::Time currentUntil;
    };

    /// @brief Least gap of both windows; zero if too few streams were seen.
    base::Duration leastGap(const Model &model) const;

    TokenCostOptions m_options;
    std::map<base::ModelName, Model> m_models;
};

} // namespace turmericplank::placement
