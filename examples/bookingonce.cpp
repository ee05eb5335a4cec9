// Submits the same booking twice to a booking ledger with an in-memory table: it is sent once and answered twice.
#include <iostream>
#include <map>

#include "turmericplank/requests/bookingledger.hpp"

using namespace turmericplank;
using namespace turmericplank::requests;

namespace {

/// An in-memory table that applies each transaction immediately.
class MemoryTable
{
public:
    store::WriteResult transact(const std::vector<store::RowWrite> &writes)
    {
        store::TableError error{store::TableFailure::Conflict, {}};
        for (const auto &it : writes) {
            const auto row = m_rows.find(it.key);
            const auto version = row == m_rows.end() ? base::RowVersion() : row->second.version;
            if (it.expectedVersion && *it.expectedVersion != version) {
                error.conflicts.push_back(row == m_rows.end() ? store::Row{it.key, version, {}} : row->second);
            }
        }
        if (!error.conflicts.empty()) {
            return tl::make_unexpected(error);
        }
        std::vector<base::RowVersion> versions;
        for (const auto &it : writes) {
            m_lastVersion = m_lastVersion.next();
            m_rows[it.key] = {it.key, m_lastVersion, it.value.value_or(std::string())};
            versions.push_back(m_lastVersion);
        }
        return versions;
    }

private:
    std::map<std::string, store::Row> m_rows;
    base::RowVersion m_lastVersion;
};

/// Executes the actions of a booking ledger and counts what was sent and answered.
struct BookingExecutor
{
    BookingLedger ledger;
    MemoryTable table;
    int sent = 0;
    int answered = 0;

    void execute(const BookingActions &actions, base::Time now)
    {
        for (const auto &action : actions) {
            if (const auto *write = std::get_if<WriteRows>(&action)) {
                execute(ledger.written(write->operation, table.transact(write->writes), now), now);
            } else if (const auto *send = std::get_if<SendBooking>(&action)) {
                ++sent;
                std::cout << "call " << send->call << " may be sent\n";
                StoredAnswer answer;
                answer.body = "booked";
                ++answered;
                execute(ledger.answered(send->call, answer, now), now);
            } else if (const auto *replay = std::get_if<ReplayAnswer>(&action)) {
                ++answered;
                std::cout << "call " << replay->call << " gets the stored answer: " << replay->answer.body << '\n';
            }
        }
    }
};

} // namespace

int main()
{
    auto now = base::timeFromMilliseconds(1'000'000);
    BookingOptions options;
    options.self = base::DaemonId("entry-1");
    int tokenCount = 0;
    options.makeToken = [&tokenCount] {
        return "token-" + std::to_string(++tokenCount);
    };
    BookingExecutor executor{BookingLedger(options), {}};
    for (const std::uint64_t number : {1U, 2U}) {
        now += std::chrono::milliseconds(100);
        const BookingRequest request{CallNumber(number), "bookings/visit-7", "digest-of-the-body", now + std::chrono::seconds(5)};
        executor.execute(executor.ledger.submit(request, now), now);
        now += std::chrono::milliseconds(100);
        executor.execute(executor.ledger.tick(now), now);
    }
    std::cout << "sent " << executor.sent << " time(s), answered " << executor.answered << " time(s)\n";
    return executor.sent == 1 && executor.answered == 2 ? 0 : 1;
}
