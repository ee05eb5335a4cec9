#pragma once

#include <map>
#include <string>

#include "common/program.hpp"
#include "platform/table.hpp"
#include "platform/vmlist.hpp"
#include "platform/weightstore.hpp"

namespace turmericplank::standins::platform {

/// @brief Speed and lag of the platform's services.
struct PlatformOptions
{
    std::int64_t latencyMilliseconds = 2; ///< of each table and object call
    std::int64_t vmListLagMilliseconds = 2000; ///< until a change of the list of VMs is seen
    double writesPerSecond = 300;
    double readsPerSecond = 2000;
    WeightStoreOptions weights;
};

/// @brief Answers the calls of the platform's table, object store, list of VMs and weight store.
class Platform
{
public:
    /// @param program runs the timers; outlives this object
    /// @param options speed and lag
    Platform(Program &program, PlatformOptions options);

    /// @brief Answers one call.
    /// @param exchange the call
    void handle(const net::ExchangePointer &exchange);

private:
    using Operation = std::function<net::HttpResponse()>;

    void performPaced(RatePacer &pacer, const net::ExchangePointer &exchange, Operation operation);
    net::HttpResponse transact(const std::string &body);
    net::HttpResponse readRows(const std::string &target) const;
    net::HttpResponse readObject(const std::string &name) const;
    void loadWeights(const net::ExchangePointer &exchange);

    Program &m_program;
    PlatformOptions m_options;
    RatePacer m_writePacer;
    RatePacer m_readPacer;
    Table m_table;
    std::map<std::string, std::string> m_objects;
    VmList m_vms;
    WeightStore m_weights;
};

} // namespace turmericplank::standins::platform
