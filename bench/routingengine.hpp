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
    std::uint64_t number = 0;
    base::Time arrivesAt;
    std::size_t daemon = 0;
    routing::RouteRequest route;
    std::uint32_t answerTokens = 0;
};

/// @brief What became of a request.
struct RequestResult
{
    bool isAnswered = false;
    double firstTokenMilliseconds = 0;
    double tokenGapMilliseconds = 0; ///< mean
    std::uint32_t cachedTokens = 0;
};

/// @brief Speed and sizes of a fake engine.
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
    struct Hooks
    {
        std::function<void(std::uint64_t attempt, base::Time at, std::uint32_t cachedTokens)> onFirstToken;
        std::function<void(std::uint64_t attempt, base::Time at)> onEnd;
    };

    FakeEngine(FakeEngineOptions options, std::vector<base::ModelName> models, Hooks hooks);

    /// @brief Queues a request.
    /// @param attempt its name in the hooks
    /// @param request what to run
    /// @param adapter empty for the base model
    /// @param now the present
    /// @return when the next step ends, if the engine was idle
    void submit(std::uint64_t attempt, const TraceRequest &request, const base::AdapterName &adapter, base::Time now);

    /// @brief When the step in progress ends; the far future if idle.
    base::Time stepEndsAt() const;

    /// @brief Ends the step and starts the next one.
    void finishStep();

    /// @brief Factor on all times from now on.
    void setSlowness(double factor);

    /// @brief The load report as of now.
    routing::LoadReport report(base::Time now) const;

    /// @brief Cache events since the last call.
    std::vector<routing::CacheEvent> takeEvents();

private:
    struct Sequence
    {
        std::uint64_t attempt = 0;
        base::Priority priority = base::Priority::Normal;
        std::uint32_t promptLeft = 0;
        std::uint32_t cachedTokens = 0;
        std::uint32_t answerLeft = 0;
        routing::PrefixChain prefixes;
        double extraMilliseconds = 0; ///< adapter load before the first step
    };

    void startStep(base::Time now);
    void remember(const routing::PrefixChain &prefixes);
    std::uint32_t cachedTokens(const routing::PrefixChain &prefixes);

    FakeEngineOptions m_options;
    std::vector<base::ModelName> m_models;
    Hooks m_hooks;
    std::deque<Sequence> m_waiting[3];
    std::vector<Sequence> m_running;
    std::vector<std::uint32_t> m_promptShare; ///< prompt tokens of each running one in this step
    base::Time m_stepEndsAt = base::Time::max();
    double m_slowness = 1;
    std::list<std::pair<std::uint64_t, std::uint32_t>> m_cacheOrder; ///< fingerprint and tokens that it adds to its parent
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, std::uint32_t>>::iterator> m_cache;
    std::uint64_t m_cacheTokens = 0;
    std::list<base::AdapterName> m_adapters;
    std::vector<routing::CacheEvent> m_events;
    std::uint64_t m_nextEvent = 1;
};

} // namespace turmericplank::bench
