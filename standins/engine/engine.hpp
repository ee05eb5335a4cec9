#pragma once

#include <nlohmann/json.hpp>

#include "common/program.hpp"
#include "engine/eventlog.hpp"
#include "engine/orderregistry.hpp"
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
    void handle(const net::ExchangePointer &exchange);

private:
    void chat(const net::ExchangePointer &exchange);
    void resume(const net::ExchangePointer &exchange, const std::string &id);
    void cancel(const std::string &id);
    void cancelWhenClosed(const net::ExchangePointer &exchange, const std::string &id);
    base::Duration firstTokenTime(const ChatRequest &request);
    bool rejectsRequests();

    void armTimer();
    void generateDueTokens();
    void finishStream(Stream &stream);

    void handleOrder(const net::ExchangePointer &exchange);
    void startOrder(const std::string &orderId);
    void fetchWeights(const std::string &orderId);
    void finishOrder(const std::string &orderId);
    void finishUnusedUnloads();

    nlohmann::json loadReport() const;
    nlohmann::json inventory() const;
    nlohmann::json delayedLoadReport();
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
    OrderRegistry m_orders;
    std::vector<std::string> m_pendingUnloads; ///< orders whose model still runs streams
    boost::asio::steady_timer m_timer;
    std::optional<base::Time> m_timerDue;
    std::optional<base::Time> m_rejectFrom;
    std::uint64_t m_generatedIds = 0;
    nlohmann::json m_publishedReport;
    base::Time m_nextReportAt{};
};

} // namespace turmericplank::standins::engine
