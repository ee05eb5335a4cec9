#pragma once

#include <map>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::placement {

/// @brief Parameters of the token cost estimate.
struct TokenCostOptions
{
    base::Duration window = std::chrono::seconds(15); ///< the smallest gap is forgotten after one to two windows
    std::uint32_t minStreams = 8; ///< streams of a model within two windows that an estimate needs
    double minRelativeCost = 0.15; ///< lower bound of a model's token cost relative to the slowest model
};

/// @brief Estimates the engine time per token of each model relative to the slowest model.
///
/// When demand moves from a fast model to a slow one with the same number of requests, it needs up to four times the
/// engines. The estimate uses the smallest mean gap between the events of a stream, which is the time per token on a lightly
/// loaded engine; the delay added by load is excluded.
class TokenCostEstimator
{
public:
    explicit TokenCostEstimator(TokenCostOptions options = {});

    /// @brief Records a finished stream.
    /// @param gap mean time between the stream's events
    void recordStream(const base::ModelName &model, base::Duration gap, base::Time now);

    /// @brief Engine time per token relative to the slowest model; 1 for the slowest model and for models with too few streams.
    double relativeCost(const base::ModelName &model) const;

private:
    struct Window
    {
        base::Duration minGap{0};
        std::uint32_t streams = 0;
    };
    struct Model
    {
        Window current;
        Window previous;
        base::Time currentUntil;
    };

    /// @brief Smallest gap in both windows; zero if too few streams were recorded.
    base::Duration minGap(const Model &model) const;

    TokenCostOptions m_options;
    std::map<base::ModelName, Model> m_models;
};

} // namespace turmericplank::placement
