#include <map>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "common/program.hpp"
#include "turmericplank/base/digest.hpp"

namespace turmericplank::standins::service {

namespace {

using nlohmann::json;

struct Options
{
    std::string instance = "service-1";
    std::int64_t latencyMilliseconds = 5;
};

/// @brief Runs every call and counts the runs per idempotency key, so that tests can detect repeated runs.
class Service
{
public:
    Service(Program &program, Options options)
        : m_program(program)
        , m_options(std::move(options))
    {
    }

    void handle(const net::ExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        if (request.method == "GET" && net::path(request.target) == "/runs") {
            exchange->respond(jsonResponse(200, runs()));
            return;
        }
        if (m_program.faults().faults.crashesOn(request.body)) {
            crash();
        }
        run(exchange);
    }

private:
    void run(const net::ExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        const std::string key(net::header(request.headers, "Idempotency-Key"));
        const auto count = ++m_runs[key][base::digest(request.method + ' ' + request.target + '\n' + request.body)];
        const json body = {{"instance", m_options.instance}, {"runs", count},          {"key", key},
                           {"method", request.method},       {"path", request.target}, {"body", request.body}};
        callAfter(m_program.context(), std::chrono::milliseconds(m_options.latencyMilliseconds),
                  [exchange, body] { exchange->respond(jsonResponse(200, body)); });
    }

    json runs() const
    {
        json list = json::array();
        for (const auto &[key, bodies] : m_runs) {
            if (key.empty()) {
                continue;
            }
            std::uint64_t total = 0;
            for (const auto &[body, count] : bodies) {
                total += count;
            }
            list.push_back({{"key", key}, {"runs", total}});
        }
        return list;
    }

    Program &m_program;
    Options m_options;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_runs;
};

} // namespace

} // namespace turmericplank::standins::service

int main(int argc, char **argv)
{
    using namespace turmericplank::standins;
    CLI::App app("Stand-in for a plain service: runs every call and counts the runs per idempotency key.");
    Program program(app);
    service::Options options;
    app.add_option("--instance", options.instance, "instance name in the answers");
    app.add_option("--latency-ms", options.latencyMilliseconds, "duration of a call");
    CLI11_PARSE(app, argc, argv);
    service::Service service(program, options);
    return program.serve([&service](const turmericplank::net::ExchangePointer &exchange) { service.handle(exchange); });
}
