#include "turmericplank/daemon/timers.hpp"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace turmericplank::daemon {

namespace {

namespace asio = boost::asio;

struct Repeated
{
    Repeated(asio::io_context &context, base::Duration callInterval, std::function<void()> callHook)
        : timer(context)
        , interval(callInterval)
        , hook(std::move(callHook))
    {
    }

    asio::steady_timer timer;
    base::Duration interval;
    std::function<void()> hook;
};

void wait(const std::shared_ptr<Repeated> &repeated)
{
    repeated->timer.expires_after(repeated->interval);
    repeated->timer.async_wait([repeated](boost::system::error_code ec) {
        if (!ec) {
            repeated->hook();
            wait(repeated);
        }
    });
}

} // namespace

void callEvery(asio::io_context &context, base::Duration interval, std::function<void()> hook)
{
    wait(std::make_shared<Repeated>(context, interval, std::move(hook)));
}

void callAt(asio::io_context &context, base::Time deadline, std::function<void()> hook)
{
    const auto timer = std::make_shared<asio::steady_timer>(context);
    timer->expires_after(deadline - base::now());
    timer->async_wait([timer, hook = std::move(hook)](boost::system::error_code ec) {
        if (!ec) {
            hook();
        }
    });
}

} // namespace turmericplank::daemon
