#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <random>
#include <unordered_map>
#include <vector>

#include "turmericplank/routing/loadreport.hpp"
#include "turmericplank/routing/prefixindex.hpp"
#include "turmericplank/routing/routetypes.hpp"

namespace turmericplank::bench {

/// @brief One request of a trace.
struct TraceRequest
{
    std::uint64_t number = 0; ///< position in the trace
    base::Time arrivesAt;
    std::size_t daemon = 0; ///< daemon that receives it
    routing::RouteRequest route;
    std::uint32_t answerTokens = 0;
};

/// @brief Result of a request.
struct RequestResult
{
    bool isAnswered = false;
    double firstTokenMilliseconds = 0;
    double tokenGapMilliseconds = 0; ///< mean time between tokens
    std::uint32_t cachedTokens = 0;
};

/// @brief Speed and limits of a fake engine.
struct FakeEngineOptions
{
    std::uint32_t concurrency = 16;
    std::uint32_t cacheTokens = 120'000;
    std::size_t adapterSlots = 16;
    double stepMilliseconds = 10;
    double stepMillisecondsPerStream = 0.5;
    double promptMillisecondsPerToken = 0.08;
    std::uint32_t promptTokensPerStep = 512;
    double adapterLoadMilliseconds = 7;
};

/// @brief An engine with continuous batching, priorities and a bounded prefix cache, in simulated time.
class FakeEngine
{
public:
    /// @brief Callbacks for the progress of a request.
    struct Hooks
    {
        std::function<void(std::uint64_t attempt, base::Time at, std::uint32_t cachedTokens)> onFirstToken;
        std::function<void(std::uint64_t attempt, base::Time at)> onEnd;
    };

    FakeEngine(FakeEngineOptions options, std::vector<base::ModelName> models, Hooks hooks);

    /// @brief Queues a request.
    /// @param attempt number that is passed to the hooks
    /// @param request the request
    /// @param adapter adapter of the request, empty for the base model
    /// @param now current time
    void submit(std::uint64_t attempt, const TraceRequest &request, const base::AdapterName &adapter, base::Time now);

    /// @brief Returns when the current step ends, `base::Time::max()` if the engine is idle.
    base::Time stepEndsAt() const;

    /// @brief Ends the current step and starts the next one.
    void finishStep();

    /// @brief Sets the factor on the duration of all further steps.
    void setSlowness(double factor);

    /// @brief Returns the current load report.
    routing::LoadReport report(base::Time now) const;

    /// @brief Returns the cache events since the last call.
    std::vector<routing::CacheEvent> takeEvents();

private:
    struct Sequence
    {
        std::uint64_t attempt = 0;
        base::Priority priority = base::Priority::Normal;
        std::uint32_t remainingPromptTokens = 0;
        std::uint32_t cachedTokens = 0;
        std::uint32_t remainingAnswerTokens = 0;
        routing::PrefixChain prefixes;
        double extraMilliseconds = 0; ///< time to load the adapter before the first step
    };

    void startStep(base::Time now);
    void addToCache(const routing::PrefixChain &prefixes);
    std::uint32_t cachedTokens(const routing::PrefixChain &prefixes);

    FakeEngineOptions m_options;
    std::vector<base::ModelName> m_models;
    Hooks m_hooks;
    std::deque<Sequence> m_waiting[3];
    std::vector<Sequence> m_running;
    std::vector<std::uint32_t> m_promptTokens; ///< prompt tokens of each running sequence in the current step
    base::Time m_stepEndsAt = base::Time::max();
    double m_slowness = 1;
    std::list<std::pair<std::uint64_t, std::uint32_t>> m_cacheOrder; ///< fingerprint, tokens added to the parent; latest use first
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::uint32_t>>::iterator> m_cache;
    std::uint64_t m_cacheTokens = 0;
    std::list<base::AdapterName> m_adapters;
    std::vector<routing::CacheEvent> m_events;
    std::uint64_t m_nextEventNumber = 1;
};

} // namespace turmericplank::bench
