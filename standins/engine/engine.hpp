#pragma once

#include <nlohmann/json.hpp>

#include "common/program.hpp"
#include "engine/eventlog.hpp"
#include "engine/orderregistry.hpp"
#include "engine/scheduler.hpp"
#include "engine/streams.hpp"

namespace turmericplank::standins::engine {

/// @brief Capacity, speed and reporting delays of an engine.
struct EngineOptions
{
    std::int64_t firstTokenMilliseconds = 100; ///< time to the first token of a prompt that is not cached
    std::int64_t tokenMilliseconds = 20;
    std::uint32_t concurrency = 16;
    std::uint32_t waitingLimit = 64;
    std::uint32_t memoryMib = 81920;
    bool checksFencing = false;
    std::int64_t loadLagMilliseconds = 500; ///< maximum age of the load report
    std::int64_t eventLagMilliseconds = 500; ///< delay before a cache event is published
    std::size_t cacheBlocks = 4096;
    double loadSecondsPerModel = 0.5; ///< load time in addition to the time taken by the weight store
    std::int64_t adapterMilliseconds = 6; ///< load time of an adapter if there is no weight store
    std::int64_t keepFinishedMilliseconds = 30000; ///< how long a finished stream can still be resumed
    std::int64_t leavingGraceMilliseconds = 3000; ///< time from reporting `leaving` to rejecting requests
    base::Address weights; ///< address of the weight store; port 0 if there is none
};

/// @brief Handles the HTTP requests to a model engine.
class Engine
{
public:
    /// @param program runs the timers; must outlive this object
    Engine(Program &program, EngineOptions options);

    /// @brief Makes a model resident at startup.
    /// @param model name of the model
    /// @param memoryMib accelerator memory that the model needs
    /// @return false if the model does not fit into the memory
    bool preload(const std::string &model, std::uint32_t memoryMib);

    /// @brief Makes an adapter resident at startup.
    /// @param adapter name of the adapter
    /// @param model name of its base model
    /// @return false if the adapter does not fit or its base model is not resident
    bool preloadAdapter(const std::string &adapter, const std::string &model);

    /// @brief Handles one HTTP request.
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
    std::vector<std::string> m_pendingUnloads; ///< ids of unload orders whose model still has running streams
    boost::asio::steady_timer m_timer;
    std::optional<base::Time> m_timerDue;
    std::optional<base::Time> m_rejectFrom;
    std::uint64_t m_generatedIds = 0;
    nlohmann::json m_publishedReport;
    base::Time m_nextReportAt{};
};

} // namespace turmericplank::standins::engine
