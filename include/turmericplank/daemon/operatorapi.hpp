#pragma once

#include <functional>
#include <map>
#include <string>

#include "turmericplank/daemon/configurationshell.hpp"
#include "turmericplank/daemon/environment.hpp"

namespace turmericplank::daemon {

/// @brief HTTP API for operators: document, edits, acceptance, status and explanations of decisions.
class OperatorApi
{
public:
    /// Returns one part of the status as JSON text.
    using StatusPart = std::function<std::string()>;

    /// @param environment shared parts; must outlive this object
    /// @param shell configuration shell; must outlive this object
    OperatorApi(Environment &environment, ConfigurationShell &shell);

    /// @brief Adds a part to the response to GET /admin/status.
    /// @param name key in the response
    /// @param part returns the value
    void addStatusPart(const std::string &name, StatusPart part);

private:
    void answerDocument(const net::ExchangePointer &exchange);
    void answerDifference(const net::ExchangePointer &exchange);
    void answerEdit(const net::ExchangePointer &exchange);
    void answerAccept(const net::ExchangePointer &exchange);
    void answerStatus(const net::ExchangePointer &exchange);
    void answerExplain(const net::ExchangePointer &exchange);
    std::string configurationStatus();
    std::string operationToken(const net::HttpRequest &request);

    Environment &m_environment;
    ConfigurationShell &m_shell;
    std::map<std::string, StatusPart> m_parts;
};

} // namespace turmericplank::daemon
