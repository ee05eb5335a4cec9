#pragma once

#include <map>
#include <string>

#include "common/program.hpp"
#include "platform/table.hpp"
#include "platform/vmlist.hpp"
#include "platform/weightstore.hpp"

namespace turmericplank::standins::platform {

/// @brief Speed and delays of the platform services.
struct PlatformOptions
{
    std::int64_t latencyMilliseconds = 2; ///< duration of each table or object store call
    std::int64_t vmListLagMilliseconds = 2000; ///< delay until readers see a change to the list of VMs
    double writesPerSecond = 300;
    double readsPerSecond = 2000;
    WeightStoreOptions weights;
};

/// @brief Handles the HTTP requests to the table, the object store, the list of VMs and the weight store.
class Platform
{
public:
    /// @param program runs the timers; must outlive this object
    Platform(Program &program, PlatformOptions options);

    /// @brief Handles one HTTP request.
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
