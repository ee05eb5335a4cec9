#pragma once

#include "turmericplank/daemon/environment.hpp"

namespace turmericplank::daemon {

/// @brief Answers callers who ask for an entry.
class FrontDoor
{
public:
    /// @param environment shared parts, which outlive this
    explicit FrontDoor(Environment &environment);

private:
    void answerEntry(const net::ExchangePointer &exchange);

    Environment &m_environment;
};

} // namespace turmericplank::daemon
