#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <CLI/CLI.hpp>
#include <nlohmann/json_fwd.hpp>

#include "common/faultyexchange.hpp"

namespace turmericplank::standins {

/// @brief What a stand-in's main function does around its handler: the listener, the faults and the end by signal.
class Program
{
public:
    /// @param app the program's command line; receives the options of every stand-in
    explicit Program(CLI::App &app);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /// @brief Runs timers and sockets of the program.
    boost::asio::io_context &context();

    /// @brief Faults in force.
    const FaultState &faults() const;

    /// @brief Serves until SIGTERM or SIGINT.
    /// @param handler answers each exchange that no fault has swallowed
    /// @return the exit code
    int serve(std::function<void(net::ExchangePointer)> handler);

private:
    void dispatch(const net::ExchangePointer &exchange);
    void setFaults(const net::ExchangePointer &exchange);

    boost::asio::io_context m_context;
    FaultState m_state;
    std::string m_listen;
    std::function<void(net::ExchangePointer)> m_handler;
    std::unique_ptr<net::HttpServer> m_server;
};

/// @brief Ends the process at once, the way that a crash does.
[[noreturn]] void crash();

/// @brief An answer with a JSON body.
/// @param status HTTP status
/// @param body the body
net::HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// @brief An error answer with a code.
/// @param status HTTP status
/// @param code stable word of the error
net::HttpResponse errorResponse(int status, std::string_view code);

/// @brief Calls a hook once after a while.
/// @param context runs the hook
/// @param wait how long
/// @param hook what to call
void callAfter(boost::asio::io_context &context, base::Duration delay, std::function<void()> callback);

} // namespace turmericplank::standins
