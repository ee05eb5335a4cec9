#include "turmericplank/gateway/sharedread.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/daemon/timers.hpp"

namespace turmericplank::gateway {

SharedRead::SharedRead(boost::asio::io_context &context, Read read, SharedReadOptions options)
    : m_context(context)
    , m_read(std::move(read))
    , m_options(options)
{
}

void SharedRead::request(std::function<void(bool)> onDone)
{
    const auto now = base::now();
    const auto waiter = std::make_shared<Waiter>(Waiter{std::move(onDone)});
    m_waiters.push_back(waiter);
    daemon::callAt(m_context, now + m_options.timeout, [waiter] { end(waiter, false); });
    if (!std::exchange(m_isScheduled, true)) {
        daemon::callAt(m_context, std::max(now, m_nextReadFrom), [this] { startRead(); });
    }
}

void SharedRead::startRead()
{
    m_isScheduled = false;
    const auto waiters = std::exchange(m_waiters, {});
    if (std::ranges::none_of(waiters, [](const auto &it) { return it->onDone != nullptr; })) {
        return;
    }
    m_nextReadFrom = base::now() + m_options.minInterval;
    m_read([waiters](bool isRead) {
        for (const auto &it : waiters) {
            end(it, isRead);
        }
    });
}

void SharedRead::end(const WaiterPointer &waiter, bool isRead)
{
    if (const auto onDone = std::exchange(waiter->onDone, nullptr)) {
        onDone(isRead);
    }
}

} // namespace turmericplank::gateway
