#include "common/faultyexchange.hpp"

namespace turmericplank::standins {

FaultyExchange::FaultyExchange(boost::asio::io_context &context, net::ExchangePointer inner, FaultState &state)
    : m_inner(std::move(inner))
    , m_state(state)
    , m_generation(state.generation)
    , m_timer(context)
{
    if (state.faults.answersToLose > 0) {
        --state.faults.answersToLose;
        m_losesAnswer = true;
    }
    m_isDelayed = state.faults.delay > base::Duration::zero();
}

const net::HttpRequest &FaultyExchange::request() const
{
    return m_inner->request();
}

bool FaultyExchange::isSilenced()
{
    const bool startedAfterFault = m_generation == m_state.generation;
    if (m_state.faults.isSilent && !(startedAfterFault && m_state.faults.silencesOpenOnly)) {
        m_state.silencedExchanges.insert(m_inner);
    }
    return m_state.silencedExchanges.count(m_inner) > 0;
}

void FaultyExchange::startDelay()
{
    m_timer.expires_after(m_state.faults.delay);
    m_timer.async_wait([self = boost::intrusive_ptr<FaultyExchange>(this)](const boost::system::error_code &ec) {
        if (!ec) {
            self->runDelayed();
        }
    });
}

void FaultyExchange::runDelayed()
{
    m_isDelayed = false;
    auto actions = std::move(m_delayed);
    m_delayed.clear();
    for (const auto &action : actions) {
        runWithFaults(action);
    }
}

void FaultyExchange::runWithFaults(std::function<void()> action)
{
    if (m_isDelayed) {
        if (m_delayed.empty()) {
            startDelay();
        }
        m_delayed.push_back(std::move(action));
        return;
    }
    if (m_losesAnswer) {
        m_inner->abort();
        return;
    }
    if (!isSilenced()) {
        action();
    }
}

void FaultyExchange::respond(net::HttpResponse response)
{
    runWithFaults([inner = m_inner, response = std::move(response)] { inner->respond(response); });
}

void FaultyExchange::startStream(int status, net::Headers headers)
{
    runWithFaults([inner = m_inner, status, headers = std::move(headers)] { inner->startStream(status, headers); });
}

void FaultyExchange::writeChunk(std::string chunk)
{
    runWithFaults([inner = m_inner, chunk = std::move(chunk)] { inner->writeChunk(chunk); });
}

void FaultyExchange::endStream()
{
    runWithFaults([inner = m_inner] { inner->endStream(); });
}

void FaultyExchange::abort()
{
    m_inner->abort();
}

std::size_t FaultyExchange::queuedBytes() const
{
    return m_inner->queuedBytes();
}

bool FaultyExchange::isCallerConnected()
{
    return m_inner->isCallerConnected();
}

void FaultyExchange::setOnWritten(std::function<void()> onWritten)
{
    m_inner->setOnWritten(std::move(onWritten));
}

void FaultyExchange::setOnClosed(std::function<void()> onClosed)
{
    // A silent connection simulates a network path that has lost its state, so its closing is not reported either.
    boost::intrusive_ptr<FaultyExchange> self(this);
    m_inner->setOnClosed([self, onClosed = std::move(onClosed)] {
        if (!self->m_losesAnswer && !self->isSilenced()) {
            onClosed();
        }
        self->m_state.silencedExchanges.erase(self->m_inner);
    });
}

} // namespace turmericplank::standins
