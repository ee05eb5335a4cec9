#include "common/program.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <boost/asio/signal_set.hpp>
#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace turmericplank::standins {

namespace {

constexpr int CrashExitCode = 70;
constexpr int BadAddressExitCode = 2;
constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;

} // namespace

Program::Program(CLI::App &app)
{
    app.add_option("--listen", m_listen, "IP:PORT to listen on")->required();
}

Program::~Program() = default;

boost::asio::io_context &Program::context()
{
    return m_context;
}

const FaultState &Program::faults() const
{
    return m_state;
}

int Program::serve(std::function<void(net::ExchangePointer)> handler)
{
    const auto address = base::parseAddress(m_listen);
    if (!address) {
        std::fprintf(stderr, "--listen: expected IP:PORT, not %s\n", m_listen.c_str());
        return BadAddressExitCode;
    }
    m_handler = std::move(handler);
    net::HttpServerOptions options;
    options.listen = *address;
    options.maxBodyBytes = MaxBodyBytes;
    options.onRequest = [this](const net::ExchangePointer &exchange) {
        dispatch(exchange);
    };
    options.onBadRequest = [](int status) {
        return errorResponse(status, "bad_request");
    };
    try {
        m_server = net::listenHttp(m_context, std::move(options));
    } catch (const boost::system::system_error &error) {
        std::fprintf(stderr, "--listen %s: %s\n", m_listen.c_str(), error.what());
        return BadAddressExitCode;
    }
    boost::asio::signal_set signals(m_context, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code &, int) { m_context.stop(); });
    m_context.run();
    return EXIT_SUCCESS;
}

void Program::dispatch(const net::ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    if (net::path(request.target) == "/faults") {
        setFaults(exchange);
        return;
    }
    if (m_state.faults.isOutage) {
        exchange->respond(errorResponse(503, "outage"));
        return;
    }
    m_handler(net::ExchangePointer(new FaultyExchange(m_context, exchange, m_state)));
}

void Program::setFaults(const net::ExchangePointer &exchange)
{
    auto faults = readFaults(exchange->request().body);
    if (!faults) {
        exchange->respond(errorResponse(400, "bad_faults"));
        return;
    }
    m_state.faults = std::move(*faults);
    ++m_state.generation;
    exchange->respond(net::HttpResponse{204, {}, {}});
}

void crash()
{
    std::_Exit(CrashExitCode);
}

net::HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    return net::HttpResponse{status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

net::HttpResponse errorResponse(int status, std::string_view code)
{
    return jsonResponse(status, {{"code", code}});
}

void callAfter(boost::asio::io_context &context, base::Duration delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code &ec) {
        if (!ec) {
            callback();
        }
    });
}

} // namespace turmericplank::standins
