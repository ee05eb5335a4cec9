#include <list>

#include <CLI/CLI.hpp>

#include "common/program.hpp"
#include "sitestore/tables.hpp"

namespace turmericplank::standins::sitestore {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxRows = 500; ///< rows in one answer to a read

/// @brief The metadata store of the users' platform: transactions, reads and reads that wait for a change (long polling).
///
/// POST /copy keeps a copy of the rows; POST /restore brings the store back from it in a new era.
class Store
{
public:
    explicit Store(Program &program)
        : m_program(program)
    {
    }

    void handle(const net::ExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        const auto path = net::path(request.target);
        if (path == "/copy") {
            m_copy = m_tables;
            exchange->respond({204, {}, {}});
        } else if (path == "/restore") {
            restore();
            exchange->respond({204, {}, {}});
        } else if (path == "/-/rows-tx") {
            transact(exchange);
        } else if (path == "/-/rows-get") {
            read(exchange);
        } else if (path == "/-/rows-feed") {
            watch(exchange);
        } else {
            exchange->respond(errorResponse(404, "no_such_call"));
        }
    }

private:
    struct Watch
    {
        std::string table;
        std::uint64_t after = 0;
        net::ExchangePointer exchange;
    };

    /// Returns to the state of the last copy; waits for changes end.
    void restore()
    {
        m_tables = m_copy;
        ++m_era;
        m_watches.remove_if([this](const Watch &it) { return answerWatch(it, true); });
    }

    void respond(const net::ExchangePointer &exchange, net::HttpResponse response) const
    {
        response.headers.push_back({"Store-Era", std::to_string(m_era)});
        exchange->respond(std::move(response));
    }

    void transact(const net::ExchangePointer &exchange)
    {
        const auto json = Json::parse(exchange->request().body, nullptr, false);
        if (!json.is_object()) {
            respond(exchange, errorResponse(400, "not_json"));
            return;
        }
        const auto [status, body] = m_tables.transact(json);
        respond(exchange, jsonResponse(status, body));
        m_watches.remove_if([this](const Watch &it) { return answerWatch(it, false); });
    }

    void read(const net::ExchangePointer &exchange)
    {
        const auto parameter = [&exchange](const char *name) {
            return net::queryParameter(exchange->request().target, name);
        };
        const auto limit = parameter("limit").empty() ? MaxRows : std::min(MaxRows, std::size_t(std::stoul(parameter("limit"))));
        respond(exchange, jsonResponse(200, m_tables.rows(parameter("table"), parameter("part"), parameter("from"), limit)));
    }

    void watch(const net::ExchangePointer &exchange)
    {
        const auto &target = exchange->request().target;
        const Watch watch{net::queryParameter(target, "table"), std::stoull(net::queryParameter(target, "after")), exchange};
        if (answerWatch(watch, false)) {
            return;
        }
        m_watches.push_back(watch);
        callAfter(m_program.context(), std::chrono::milliseconds(std::stoul(net::queryParameter(target, "waitMs"))),
                  [this, exchange] { m_watches.remove_if([&](const Watch &it) { return it.exchange == exchange && answerWatch(it, true); }); });
    }

    bool answerWatch(const Watch &watch, bool hasTimedOut)
    {
        if (!m_tables.hasVersion(watch.after)) {
            respond(watch.exchange, errorResponse(410, "no_such_version"));
            return true;
        }
        const auto changes = m_tables.changes(watch.table, watch.after);
        if (changes.empty() && !hasTimedOut) {
            return false;
        }
        respond(watch.exchange, jsonResponse(200, {{"rows", changes}, {"ver", m_tables.version()}}));
        return true;
    }

    Program &m_program;
    Tables m_tables;
    Tables m_copy;
    std::uint64_t m_era = 1;
    std::list<Watch> m_watches;
};

} // namespace

} // namespace turmericplank::standins::sitestore

int main(int argc, char **argv)
{
    using namespace turmericplank::standins;
    CLI::App app("Stand-in for the metadata store of the users' platform: rows in tables, transactions and a feed of changes.");
    Program program(app);
    CLI11_PARSE(app, argc, argv);
    sitestore::Store store(program);
    return program.serve([&store](const turmericplank::net::ExchangePointer &exchange) { store.handle(exchange); });
}
