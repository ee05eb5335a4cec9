#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "command.hpp"
#include "turmericplank/base/address.hpp"
#include "turmericplank/net/httptypes.hpp"

namespace turmericplank::cli {

/// @brief Options that all operators' commands share.
struct OperatorOptions
{
    std::vector<std::string> daemons; ///< operators' addresses of daemons
    std::string author;
    bool isJson = false; ///< print the answers as they are
};

/// @brief Adds the shared options to a command.
/// @param command the command
/// @param options receives their values
void addOperatorOptions(CLI::App &command, OperatorOptions &options);

/// @brief What a daemon answered.
struct OperatorAnswer
{
    std::string daemon; ///< address that answered
    int status = 0;
    nlohmann::json body; ///< discarded if it is not JSON
};

/// @brief Calls the first daemon that answers; nothing is sent twice unless no byte went out the first time.
/// @param options where to
/// @param request the call
/// @throws CLI::RuntimeError with Unreachable if none answered, with Unsettled if an answer to a change was lost
OperatorAnswer callAny(const OperatorOptions &options, const net::HttpRequest &request);

/// @brief Calls every daemon; those that do not answer have status 0.
/// @param options where to
/// @param request the call
std::vector<OperatorAnswer> callAll(const OperatorOptions &options, const net::HttpRequest &request);

/// @brief Exit code that an answer stands for.
/// @param answer the answer
ExitCode exitCodeOf(const OperatorAnswer &answer);

/// @brief Prints an answer's error with all mistakes, reasons and the difference.
/// @param answer an answer whose status is not 200
void printError(const OperatorAnswer &answer);

/// @brief Prints the answer and ends the command unless it is a success.
/// @param options whether to print JSON
/// @param answer the answer
/// @throws CLI::RuntimeError with the exit code of an error
void finish(const OperatorOptions &options, const OperatorAnswer &answer);

} // namespace turmericplank::cli
