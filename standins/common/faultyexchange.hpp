#pragma once

#include <deque>
#include <functional>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "common/faults.hpp"
#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::standins {

/// @brief Faults in effect in one process.
struct FaultState
{
    Faults faults;
    std::uint64_t generation = 0; ///< incremented each time faults are set
    std::set<net::ExchangePointer> silencedExchanges; ///< exchanges that stay open but get no answer, even after the fault is cleared
};

/// @brief Applies the faults in effect to an exchange, so that the handlers of the stand-ins need no code for them.
class FaultyExchange : public net::HttpExchange
{
public:
    /// @param context runs the timer that delays answers
    /// @param inner exchange that the faults apply to
    /// @param state faults in effect; must outlive the exchange
    FaultyExchange(boost::asio::io_context &context, net::ExchangePointer inner, FaultState &state);

    const net::HttpRequest &request() const override;
    void respond(net::HttpResponse response) override;
    void startStream(int status, net::Headers headers) override;
    void writeChunk(std::string chunk) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    bool isCallerConnected() override;
    void setOnClosed(std::function<void()> onClosed) override;
    void setOnWritten(std::function<void()> onWritten) override;

private:
    void startDelay();
    bool isSilenced();
    void runWithFaults(std::function<void()> action);
    void runDelayed();

    net::ExchangePointer m_inner;
    FaultState &m_state;
    std::uint64_t m_generation;
    bool m_losesAnswer = false;
    bool m_isDelayed = false;
    boost::asio::steady_timer m_timer;
    std::deque<std::function<void()>> m_delayed;
};

} // namespace turmericplank::standins
