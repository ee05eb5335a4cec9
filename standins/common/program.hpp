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

/// @brief Common main loop of the stand-ins: HTTP server, fault injection and shutdown on a signal.
class Program
{
public:
    /// @param app command line of the program; the options common to all stand-ins are added to it
    explicit Program(CLI::App &app);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /// @brief Event loop for the timers and sockets of the program.
    boost::asio::io_context &context();

    /// @brief Faults in effect.
    const FaultState &faults() const;

    /// @brief Serves requests until SIGTERM or SIGINT.
    /// @param handler answers each request that is neither rejected by an outage nor for /faults
    /// @return exit code of the process
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

/// @brief Ends the process immediately without cleanup, to simulate a crash.
[[noreturn]] void crash();

/// @brief Creates an HTTP response with a JSON body.
net::HttpResponse jsonResponse(int status, const nlohmann::json &body);

/// @brief Creates an HTTP error response.
/// @param status HTTP status
/// @param code stable error code for programs
net::HttpResponse errorResponse(int status, std::string_view code);

/// @brief Calls a function once after a delay.
/// @param context event loop that runs the callback
void callAfter(boost::asio::io_context &context, base::Duration delay, std::function<void()> callback);

} // namespace turmericplank::standins
