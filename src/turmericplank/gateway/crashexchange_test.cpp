#include "turmericplank/gateway/crashexchange.hpp"

#include <map>

#include <doctest/doctest.h>

#include "turmericplank/gateway/contentlossesmessage.hpp"

using namespace turmericplank;
using namespace turmericplank::gateway;
using namespace std::chrono_literals;

namespace {

const requests::Fingerprint crashing(7);

/// A daemon's exchange, with rows in memory.
struct Daemon
{
    store::Table table()
    {
        store::Table it;
        it.transact = [this](const std::vector<store::RowWrite> &writes, const std::function<void(store::WriteResult)> &callback) {
            if (isStoreDown) {
                callback(tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}}));
                return;
            }
            for (const auto &write : writes) {
                if (write.value) {
                    rows[write.key] = *write.value;
                } else {
                    rows.erase(write.key);
                }
            }
            callback(std::vector<base::RowVersion>(writes.size(), base::RowVersion(1)));
        };
        it.readPrefix = [this](const std::string &prefix, const std::function<void(store::ReadResult)> &callback) {
            if (isStoreDown) {
                callback(tl::unexpected(store::TableError{store::TableFailure::Unavailable, {}}));
                return;
            }
            std::vector<store::Row> found;
            for (const auto &[key, value] : rows) {
                if (key.starts_with(prefix)) {
                    found.push_back({key, base::RowVersion(1), value});
                }
            }
            callback(found);
        };
        return it;
    }

    void crashThreeEndpoints()
    {
        for (const auto *endpoint : {"a", "b", "c"}) {
            exchange.recordLoss(crashing, {base::EndpointId(endpoint), base::Incarnation(1)});
        }
    }

    void runFor(base::Duration time)
    {
        context.restart();
        context.run_for(time);
    }

    boost::asio::io_context context;
    std::map<std::string, std::string> rows;
    bool isStoreDown = false;
    std::vector<std::string> sent;
    requests::CrashHistory history;
    CrashExchange exchange{context, history, table(), [this](const std::string &body) {
                               sent.push_back(body);
                           }};
};

} // namespace

TEST_CASE("losses with one endpoint go to the peers in one message, and are passed on by those that hear of them")
{
    Daemon first;
    Daemon second;
    first.crashThreeEndpoints();
    first.runFor(50ms);
    REQUIRE(first.sent.size() == 1);
    second.exchange.handleMessage(base::DaemonId("first"), first.sent.front());
    second.runFor(50ms);
    CHECK(second.history.isRefused(crashing, base::now()));
    REQUIRE(second.sent.size() == 1);
    CHECK(decodeContentLosses(second.sent.front()) == decodeContentLosses(first.sent.front()));
    second.exchange.handleMessage(base::DaemonId("first"), "malformed");
    CHECK(second.history.isRefused(crashing, base::now()));
}

TEST_CASE("a refused content has a row while it is refused, also after the store was away or came back from an older copy")
{
    Daemon it;
    it.isStoreDown = true;
    it.crashThreeEndpoints();
    it.runFor(50ms);
    CHECK(it.rows.empty());
    it.isStoreDown = false;
    it.runFor(1500ms);
    CHECK(it.rows.size() == 1);
    it.rows.clear();
    it.exchange.noteStoreRestored();
    it.runFor(1500ms);
    CHECK(it.rows.size() == 1);
    it.history.recordAnswer(crashing, base::now());
    it.runFor(1500ms);
    CHECK(it.rows.empty());
}

TEST_CASE("a daemon that finds that the endpoints of a row were not lost removes the row")
{
    Daemon cutOff;
    cutOff.crashThreeEndpoints();
    cutOff.runFor(50ms);
    REQUIRE(cutOff.rows.size() == 1);
    Daemon other;
    other.rows = cutOff.rows;
    const auto connectedAt = base::now();
    other.runFor(10ms);
    other.exchange.readRows();
    REQUIRE(other.history.isRefused(crashing, base::now()));
    other.runFor(10ms);
    other.history.recordSignOfLife({{base::EndpointId("a"), base::Incarnation(1)}, connectedAt, base::now()}, base::now());
    CHECK_FALSE(other.history.isRefused(crashing, base::now()));
    other.runFor(1500ms);
    CHECK(other.rows.empty());
    CHECK(other.sent.size() >= 2); // what the row says and what has changed since
}
