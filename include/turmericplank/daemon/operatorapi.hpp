#pragma once

#include <functional>
#include <map>
#include <string>

#include "turmericplank/daemon/configurationshell.hpp"
#include "turmericplank/daemon/environment.hpp"

namespace turmericplank::daemon {

/// @brief Serves the operators' paths: document, edits, acceptance, status and explain.
class OperatorApi
{
public:
    /// Makes one part of the status as JSON text.
    using StatusPart = std::function<std::string()>;

    /// @param environment shared parts, which outlive this
    /// @param shell the configuration, which outlives this
    OperatorApi(Environment &environment, ConfigurationShell &shell);

    /// @brief Adds a part to GET /admin/status.
    /// @param name key in the answer
    /// @param part makes its value
    void addStatusPart(const std::string &name, StatusPart part);

private:
    void answerDocument(const net::ExchangePointer &exchange);
    void answerDifference(const net::ExchangePointer &exchange);
    void answerEdit(const net::ExchangePointer &exchange);
    void answerAccept(const net::ExchangePointer &exchange);
    void answerStatus(const net::ExchangePointer &exchange);
    void answerExplain(const net::ExchangePointer &exchange);
    std::string configurationStatus();
    std::string token(const net::HttpRequest &request);

    Environment &m_environment;
    ConfigurationShell &m_shell;
    std::map<std::string, StatusPart> m_parts;
};

} // namespace turmericplank::daemon
