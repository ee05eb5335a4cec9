#pragma once

#include <nlohmann/json.hpp>

#include "common/program.hpp"
#include "engine/eventlog.hpp"
#include "engine/orderbook.hpp"
#include "engine/scheduler.hpp"
#include "engine/streams.hpp"

namespace turmericplank::standins::engine {

/// @brief Size, speed and lags of an engine.
struct EngineOptions
{
    std::int64_t firstTokenMilliseconds = 100; ///< of a prompt that is not cached
    std::int64_t tokenMilliseconds = 20;
    std::uint32_t concurrency = 16;
    std::uint32_t waitingLimit = 64;
    std::uint32_t memoryMib = 81920;
    bool checksFencing = false;
    std::int64_t loadLagMilliseconds = 500; ///< age of the load report
    std::int64_t eventLagMilliseconds = 500; ///< of cache events
    std::size_t cacheBlocks = 4096;
    double loadSecondsPerModel = 0.5; ///< beside the weight store's time
    std::int64_t adapterMilliseconds = 6; ///< without a weight store
    std::int64_t keepFinishedMilliseconds = 30000; ///< finished streams
    std::int64_t leavingGraceMilliseconds = 3000; ///< from the leaving mark to the first refusal
    base::Address weights; ///< weight store, port zero for none
};

/// @brief Answers the calls of a model engine.
class Engine
{
public:
    /// @param program runs the timers; outlives this object
    /// @param options size, speed and lags
    Engine(Program &program, EngineOptions options);

    /// @brief Makes a model resident before the start.
    /// @param model its name
    /// @param memoryMib memory that it holds
    /// @return false if it does not fit
    bool preload(const std::string &model, std::uint32_t memoryMib);

    /// @brief Makes an adapter resident before the start.
    /// @param adapter its name
    /// @param model its base model
    /// @return false if it does not fit or its base is absent
    bool preloadAdapter(const std::string &adapter, const std::string &model);

    /// @brief Answers one call.
    /// @param exchange the call
    void answer(const net::ExchangePointer &exchange);

private:
    void chat(const net::ExchangePointer &exchange);
    void resume(const net::ExchangePointer &exchange, const std::string &id);
    void cancel(const std::string &id);
    void cancelWhenClosed(const net::ExchangePointer &exchange, const std::string &id);
    base::Duration firstTokenTime(const ChatRequest &request);
    bool refusesWork();

    void armTimer();
    void generate();
    void finishStream(Stream &stream);

    void takeOrder(const net::ExchangePointer &exchange);
    void startWork(const std::string &orderId);
    void fetchWeights(const std::string &orderId);
    void finishOrder(const std::string &orderId);
    void finishIdleUnloads();

    nlohmann::json report() const;
    nlohmann::json inventory() const;
    nlohmann::json delayedReport();
    nlohmann::json cacheEvents(std::uint64_t from) const;
    void exportCache(const net::ExchangePointer &exchange);
    void importCache(const net::ExchangePointer &exchange);
    void cache(const std::vector<std::string> &prefixes);

    Program &m_program;
    EngineOptions m_options;
    std::int64_t m_incarnation;
    Scheduler m_scheduler;
    Streams m_streams;
    PrefixCache m_cache;
    EventLog m_events;
    OrderBook m_orders;
    std::vector<std::string> m_waitingUnloads; ///< orders whose model still runs streams
    boost::asio::steady_timer m_timer;
    std::optional<base::Time> m_armedFor;
    std::optional<base::Time> m_refuseFrom;
    std::uint64_t m_unnamedRequests = 0;
    nlohmann::json m_lastReport;
    base::Time m_reportDue{};
};

} // namespace turmericplank::standins::engine
