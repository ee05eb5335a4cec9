#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "command.hpp"
#include "turmericplank/base/address.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::cli {

/// @brief Options shared by all commands for operators.
struct OperatorOptions
{
    std::vector<std::string> daemons; ///< operators' addresses of daemons
    std::string author;
    bool isJson = false; ///< whether to print the responses as JSON
};

/// @brief Adds the shared options to a command.
/// @param command the command
/// @param options receives the values
void addOperatorOptions(CLI::App &command, OperatorOptions &options);

/// @brief Response of a daemon.
struct OperatorAnswer
{
    std::string daemon; ///< address of the daemon
    int status = 0; ///< HTTP status, zero if there was no response
    nlohmann::json body; ///< discarded if it is not JSON
};

/// @brief Calls the daemons in turn until one responds; a change is sent again only if no byte of it was sent before.
/// @param options addresses of the daemons
/// @param request the request
/// @throws CLI::RuntimeError with Unreachable if none responded, with Unsettled if the response to a change was lost
OperatorAnswer callAny(const OperatorOptions &options, const net::HttpRequest &request);

/// @brief Calls every daemon.
/// @param options addresses of the daemons
/// @param request the request
/// @return one answer per daemon, with status 0 if it did not respond
std::vector<OperatorAnswer> callAll(const OperatorOptions &options, const net::HttpRequest &request);

/// @brief Converts the status of an answer to an exit code.
ExitCode exitCodeOf(const OperatorAnswer &answer);

/// @brief Prints the error in an answer with all details.
/// @param answer an answer whose status is not 200
void printError(const OperatorAnswer &answer);

/// @brief Prints the answer as JSON or its error, and ends the command if it failed.
/// @param options tells whether to print JSON
/// @param answer the answer
/// @throws CLI::RuntimeError with the exit code if the answer is an error
void finish(const OperatorOptions &options, const OperatorAnswer &answer);

} // namespace turmericplank::cli
