#pragma once

#include <deque>
#include <functional>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "common/faults.hpp"
#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::standins {

/// @brief Faults in force in one process, with a count of how often they were set.
struct FaultState
{
    Faults faults;
    std::uint64_t generation = 0; ///< grows each time that faults are set
    std::set<net::ExchangePointer> silencedExchanges; ///< exchanges that stay open for good and get nothing
};

/// @brief An exchange whose answer suffers the faults in force, so that the stand-ins' own handlers know nothing of them.
class FaultyExchange : public net::HttpExchange
{
public:
    /// @param context runs the timer of a delay
    /// @param inner the exchange of the server
    /// @param state faults in force; outlives the exchange
    FaultyExchange(boost::asio::io_context &context, net::ExchangePointer inner, FaultState &state);

    const net::HttpRequest &request() const override;
    void respond(net::HttpResponse response) override;
    void startStream(int status, net::Headers headers) override;
    void writePiece(std::string piece) override;
    void endStream() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    void setOnClosed(std::function<void()> onClosed) override;

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
