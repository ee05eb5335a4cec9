#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

#include "turmericplank/accounts/usageallocator.hpp"
#include "turmericplank/accounts/usagelimiter.hpp"

using namespace turmericplank;
using namespace turmericplank::accounts;
using namespace std::chrono_literals;

namespace {

constexpr auto Window = 8s;
constexpr double Overage = 0.1;
constexpr double Slack = 17000;
constexpr double MeanCost = 1100;
constexpr auto Step = 10ms;
constexpr auto ExchangeDelay = 10ms;

Account limitedAccount(double perSecond, double burst)
{
    Account it;
    it.name = base::CallerName("acme");
    it.limit = {UsageUnit::Tokens, perSecond, burst, 200};
    return it;
}

/// Daemons that divide the limit of one account, in simulated time; an allocator that all of them reach unless they are cut off.
class Site
{
public:
    Site(std::size_t count, double perSecond, std::uint64_t seed)
        : m_accounts{limitedAccount(perSecond, perSecond)}
        , m_random(seed)
    {
        m_allocator.setAccounts(m_accounts, m_now);
        m_allocator.setDaemonCount(count);
        m_allocator.reset(m_now);
        for (std::size_t n = 0; n < count; ++n) {
            m_daemons.emplace_back();
            m_daemons[n].limiter.setAccounts(m_accounts, m_now);
            m_daemons[n].limiter.setDaemonCount(count);
            m_daemons[n].lastExchange = m_now - Step * static_cast<int>(n % 100);
        }
    }

    /// Plays calls that come at random.
    /// @param demand units per second over all daemons
    /// @param firstPart part of the demand that the first daemon gets; the rest is spread evenly
    void play(base::Duration time, double demand, double firstPart)
    {
        const auto end = m_now + time;
        const double perStep = demand / MeanCost * std::chrono::duration<double>(Step).count();
        for (; m_now < end; m_now += Step) {
            const int calls = std::poisson_distribution<int>(perStep)(m_random);
            for (int n = 0; n < calls; ++n) {
                const bool isFirst = std::uniform_real_distribution<double>()(m_random) < firstPart;
                submit(isFirst ? 0 : m_random() % m_daemons.size());
            }
            exchange();
        }
    }

    /// Plays callers that send two calls a second each, and move to another daemon from time to time.
    /// @param demand units per second of all callers
    /// @param stay mean time that a caller stays at a daemon
    void playCallers(base::Duration time, double demand, base::Duration stay)
    {
        constexpr double CallsPerSecond = 2;
        std::vector<std::size_t> callers(std::max<std::size_t>(1, static_cast<std::size_t>(demand / MeanCost / CallsPerSecond)));
        for (auto &it : callers) {
            it = m_random() % m_daemons.size();
        }
        const double step = std::chrono::duration<double>(Step).count();
        const double movePart = step / std::chrono::duration<double>(stay).count();
        std::uniform_real_distribution<double> chance;
        for (const auto end = m_now + time; m_now < end; m_now += Step) {
            for (auto &it : callers) {
                it = chance(m_random) < movePart ? m_random() % m_daemons.size() : it;
                if (chance(m_random) < CallsPerSecond * step) {
                    submit(it);
                }
            }
            exchange();
        }
    }

    void cutOff(std::size_t count)
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            m_daemons[n].isCutOff = n < count;
        }
    }

    /// The daemon that allocates dies; another one takes over after some time.
    void replaceAllocator(base::Duration pause)
    {
        m_allocatorFrom = m_now + pause;
        m_allocator.reset(m_now + pause);
    }

    void setLimit(double perSecond)
    {
        m_accounts = {limitedAccount(perSecond, perSecond)};
        m_allocator.setAccounts(m_accounts, m_now);
        for (auto &it : m_daemons) {
            it.limiter.setAccounts(m_accounts, m_now);
        }
    }

    /// Most units that were admitted in a window, in multiples of what the limit allows there.
    double worstWindow() const
    {
        const auto &limit = m_accounts.front().limit;
        const double seconds = std::chrono::duration<double>(Window).count();
        return m_worst / ((limit.perSecond * seconds + limit.burst) * (1 + Overage) + Slack);
    }

    void restartMeasurement()
    {
        m_admitted.clear();
        m_inWindow = m_worst = m_total = m_requested = 0;
    }

    double admittedPerSecond(base::Duration time) const
    {
        return m_total / std::chrono::duration<double>(time).count();
    }

    double admittedShare() const
    {
        return m_total / m_requested;
    }

private:
    struct Daemon
    {
        UsageLimiter limiter;
        base::Time lastExchange;
        std::optional<std::pair<base::Time, std::vector<UsageGrant>>> grants; ///< on their way
        bool isCutOff = false;
    };

    void submit(std::size_t index)
    {
        const double cost = std::min(8000.0, 300 + std::exponential_distribution<double>(1 / (MeanCost - 300))(m_random));
        m_requested += cost;
        if (!m_daemons[index].limiter.admit(m_accounts.front().name, cost, m_now, m_random).isAdmitted) {
            return;
        }
        m_total += cost;
        m_admitted.emplace_back(m_now, cost);
        m_inWindow += cost;
        while (m_admitted.front().first + Window <= m_now) {
            m_inWindow -= m_admitted.front().second;
            m_admitted.pop_front();
        }
        m_worst = std::max(m_worst, m_inWindow);
    }

    void exchange()
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            auto &it = m_daemons[n];
            if (it.grants && m_now >= it.grants->first) {
                it.limiter.applyGrants(it.grants->second, m_now);
                it.grants.reset();
            }
            const auto contended = std::max<base::Duration>(250ms, 2ms * static_cast<int>(m_daemons.size()));
            const auto interval = it.limiter.isContended() ? contended : std::max<base::Duration>(1s, contended);
            if (m_now < it.lastExchange + interval) {
                continue;
            }
            it.lastExchange = m_now;
            if (!it.isCutOff && m_now >= m_allocatorFrom) {
                const base::DaemonId id("d" + std::to_string(n));
                m_allocator.noteReport(id, it.limiter.report(m_now), m_now);
                if (m_allocator.isSettled(m_now)) {
                    it.grants.emplace(m_now + ExchangeDelay, m_allocator.grants(id, m_now));
                }
            }
        }
    }

    std::vector<Account> m_accounts;
    std::mt19937_64 m_random;
    base::Time m_now = base::Time() + 100s;
    UsageAllocator m_allocator;
    base::Time m_allocatorFrom;
    std::vector<Daemon> m_daemons;
    std::deque<std::pair<base::Time, double>> m_admitted;
    double m_inWindow = 0;
    double m_worst = 0;
    double m_total = 0;
    double m_requested = 0;
};

} // namespace

TEST_CASE("an account within its limit is served on all daemons, also if one of them gets half of its calls")
{
    for (const std::size_t count : {7, 86, 295, 410}) {
        for (const double firstPart : {0.0, 0.5}) {
            CAPTURE(count);
            CAPTURE(firstPart);
            Site site(count, 446000, 1);
            site.play(5s, 0.9 * 446000, firstPart);
            site.restartMeasurement();
            site.play(20s, 0.9 * 446000, firstPart);
            CHECK(site.admittedShare() >= 0.95);
            CHECK(site.worstWindow() <= 1);
        }
    }
}

TEST_CASE("an account that suddenly sends many times its limit uses no more than it may, and all of that")
{
    for (const std::size_t count : {7, 86, 295, 410}) {
        for (const double limit : {446000.0, 80000.0, 17000.0}) {
            for (const double factor : {2.0, 4.7}) {
                CAPTURE(count);
                CAPTURE(limit);
                CAPTURE(factor);
                Site site(count, limit, 2);
                site.play(10s, limit / 1.8, 0);
                site.play(12s, factor * limit, 0);
                CHECK(site.worstWindow() <= 1);
                site.restartMeasurement();
                site.play(20s, factor * limit, 0);
                CHECK(site.admittedPerSecond(20s) >= 0.95 * limit);
                CHECK(site.worstWindow() <= 1);
            }
        }
    }
}

TEST_CASE("a small account within its limit is served although its share on one daemon is less than one call")
{
    for (const std::size_t count : {7, 86}) {
        CAPTURE(count);
        Site site(count, 17000, 3);
        site.play(30s, 17000 / 1.8, 0);
        CHECK(site.admittedShare() >= 0.95);
    }
}

TEST_CASE("an account within its limit is served while its callers move from daemon to daemon")
{
    for (const double limit : {446000.0, 80000.0, 17000.0}) {
        const double part = 0.9;
        for (const std::uint64_t seed : {6, 7, 8}) {
            CAPTURE(limit);
            CAPTURE(seed);
            Site site(86, limit, seed);
            site.playCallers(5s, part * limit, 3s);
            site.restartMeasurement();
            site.playCallers(30s, part * limit, 3s);
            CHECK(site.admittedShare() >= 0.95);
            CHECK(site.worstWindow() <= 1);
        }
    }
}

TEST_CASE("daemons without contact to the allocator do not take an account over its limit")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        CAPTURE(seed);
        Site site(86, 446000, seed);
        site.play(10s, 446000 / 1.8, 0);
        site.cutOff(29);
        site.restartMeasurement();
        site.play(10s, 0.9 * 446000, 0);
        CHECK(site.admittedShare() >= 0.9);
        site.play(15s, 4.7 * 446000, 0);
        site.cutOff(0);
        site.play(15s, 4.7 * 446000, 0);
        CHECK(site.worstWindow() <= 1);
    }
}

TEST_CASE("the limit holds while the allocator is replaced")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        for (const double limit : {446000.0, 17000.0}) {
            CAPTURE(seed);
            CAPTURE(limit);
            Site site(86, limit, seed);
            site.play(10s, limit / 1.8, 0);
            site.replaceAllocator(5s);
            site.play(20s, 4.7 * limit, 0);
            site.replaceAllocator(5s);
            site.play(20s, 4.7 * limit, 0);
            CHECK(site.worstWindow() <= 1);
        }
    }
}

TEST_CASE("the limit holds at any number of daemons while the allocator is replaced")
{
    for (const std::size_t count : {7, 86, 295, 410}) {
        for (const double limit : {446000.0, 80000.0, 17000.0, 4200.0}) {
            for (const std::uint64_t seed : {1, 2}) {
                CAPTURE(count);
                CAPTURE(limit);
                CAPTURE(seed);
                Site site(count, limit, seed);
                site.play(10s, limit / 1.8, 0);
                site.replaceAllocator(5s);
                site.play(20s, 4.7 * limit, 0);
                site.replaceAllocator(5s);
                site.play(20s, 4.7 * limit, 0);
                CHECK(site.worstWindow() <= 1);
            }
        }
    }
}

TEST_CASE("the limit holds at any number of daemons while a third of them is without contact to the allocator")
{
    for (const std::size_t count : {7, 86, 295, 410}) {
        for (const double limit : {446000.0, 80000.0, 17000.0, 4200.0}) {
            for (const std::uint64_t seed : {1, 2}) {
                CAPTURE(count);
                CAPTURE(limit);
                CAPTURE(seed);
                Site site(count, limit, seed);
                site.play(10s, limit / 1.8, 0);
                site.cutOff(count / 3);
                site.play(10s, 0.9 * limit, 0);
                site.play(15s, 4.7 * limit, 0);
                site.cutOff(0);
                site.play(15s, 4.7 * limit, 0);
                CHECK(site.worstWindow() <= 1);
            }
        }
    }
}

TEST_CASE("an account is served at any number of daemons while a third of them is without contact to the allocator")
{
    for (const std::size_t count : {7, 86, 295, 410}) {
        for (const double limit : {446000.0, 80000.0, 17000.0, 4200.0}) {
            for (const std::uint64_t seed : {1, 2}) {
                CAPTURE(count);
                CAPTURE(limit);
                CAPTURE(seed);
                Site site(count, limit, seed);
                site.play(10s, limit / 1.8, 0);
                site.cutOff(count / 3);
                site.restartMeasurement();
                site.play(10s, 0.9 * limit, 0);
                CHECK(site.admittedShare() >= 0.9);
            }
        }
    }
}

TEST_CASE("a limit that falls to a tenth binds one window later")
{
    Site site(86, 446000, 5);
    site.play(10s, 446000 / 1.8, 0);
    site.setLimit(446000 / 18.0);
    site.play(3s, 446000 / 1.8, 0);
    site.restartMeasurement();
    site.play(20s, 446000 / 1.8, 0);
    CHECK(site.worstWindow() <= 1);
    CHECK(site.admittedPerSecond(20s) >= 0.95 * 446000 / 18.0);
}

TEST_CASE("the cost of a call that never ran is given back")
{
    UsageLimiter limiter;
    std::mt19937_64 random(1);
    const base::Time now = base::Time() + 100s;
    limiter.setAccounts({limitedAccount(100, 100)}, now);
    const base::CallerName account("acme");
    CHECK(limiter.admit(account, 100, now, random).isAdmitted);
    const auto refused = limiter.admit(account, 50, now, random);
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.retryAfter == 500ms);
    limiter.giveBack(account, 100);
    CHECK(limiter.admit(account, 50, now, random).isAdmitted);
    CHECK(limiter.admit(base::CallerName("unlimited"), 1e9, now, random).isAdmitted);
}

TEST_CASE("a version of the configuration that keeps a limit takes nothing from its account")
{
    // Refused the second call, and all calls for seconds once the grants had expired.
    UsageLimiter limiter;
    std::mt19937_64 random(1);
    base::Time now = base::Time() + 100s;
    const std::vector accounts{limitedAccount(17000, 17000)};
    const base::CallerName account("acme");
    const std::vector<UsageGrant> grants{{account, EvenPart / 86, 1}};
    limiter.setDaemonCount(86);
    limiter.setAccounts(accounts, now);
    limiter.applyGrants(grants, now);
    CHECK(limiter.admit(account, 1000, now, random).isAdmitted);
    limiter.applyGrants(grants, now);
    limiter.setAccounts(accounts, now);
    for (int n = 0; n < 3; ++n) {
        CHECK(limiter.admit(account, 1000, now, random).isAdmitted);
    }
    limiter.applyGrants(grants, now);
    limiter.setAccounts(accounts, now);
    now += 2s;
    CHECK(limiter.admit(account, 30, now, random).isAdmitted);
}

TEST_CASE("a call that is given back after it was reported does not look like a restart of its daemon")
{
    UsageAllocator allocator;
    base::Time now = base::Time() + 100s;
    allocator.setAccounts({limitedAccount(1000, 1000)}, now);
    allocator.setDaemonCount(1);
    allocator.reset(now);
    const base::DaemonId daemon("d1");
    const base::CallerName account("acme");
    const auto report = [&](double requested, double admitted) {
        now += 1s;
        allocator.noteReport(daemon, {{account, requested, admitted}}, now);
    };
    report(1e8, 1e8);
    report(1e8 + 500, 1e8 + 500);
    report(1e8 + 500, 1e8);
    report(1e8 + 600, 1e8 + 100);
    const auto grants = allocator.grants(daemon, now);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().admittedFraction == 1);
}

TEST_CASE("a call that states any number of tokens does not block its account for longer than a window")
{
    UsageAllocator allocator;
    base::Time now = base::Time() + 100s;
    allocator.setAccounts({limitedAccount(1000, 1000)}, now);
    allocator.setDaemonCount(1);
    allocator.reset(now);
    const base::DaemonId daemon("d1");
    const base::CallerName account("acme");
    allocator.noteReport(daemon, {{account, 0, 0}}, now);
    allocator.noteReport(daemon, {{account, 8e9, 8e9}}, now + 1s);
    for (int n = 0; n < 12; ++n) {
        allocator.noteReport(daemon, {{account, 8e9 + 500 * n, 8e9}}, now + 2s + n * 1s);
    }
    const auto grants = allocator.grants(daemon, now + 13s);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().admittedFraction == 1);
}

TEST_CASE("an allocator that was never told to begin grants nothing")
{
    CHECK_FALSE(UsageAllocator().isSettled(base::Time() + 100s));
}

TEST_CASE("grants name the accounts that a daemon has reported and those beyond their limit, of ten thousand")
{
    UsageAllocator allocator;
    base::Time now = base::Time() + 100s;
    std::vector<Account> accounts;
    for (int n = 0; n < 10000; ++n) {
        accounts.push_back(limitedAccount(1000, 1000));
        accounts.back().name = base::CallerName("a" + std::to_string(n));
    }
    allocator.setAccounts(accounts, now);
    allocator.setDaemonCount(2);
    allocator.reset(now);
    const base::DaemonId first("d1");
    const base::DaemonId second("d2");
    for (double total = 0; total <= 50000; total += 5000) {
        now += 1s;
        allocator.noteReport(first, {{base::CallerName("a7"), total, total}}, now);
        allocator.noteReport(second, {{base::CallerName("a8"), total / 10, total / 10}}, now);
    }
    const auto ofFirst = allocator.grants(first, now);
    REQUIRE(ofFirst.size() == 1);
    CHECK(ofFirst[0].account == base::CallerName("a7"));
    CHECK(ofFirst[0].admittedFraction < 1);
    const auto ofSecond = allocator.grants(second, now);
    REQUIRE(ofSecond.size() == 2);
    CHECK(ofSecond[0].account == base::CallerName("a8"));
    CHECK(ofSecond[0].admittedFraction == 1);
    CHECK(ofSecond[1].account == base::CallerName("a7"));
}

TEST_CASE("a small account at nine tenths of its limit is served while its callers move from daemon to daemon")
{
    constexpr double Limit = 17000;
    for (const std::uint64_t seed : {6, 7, 8, 9, 10, 11, 12, 13}) {
        CAPTURE(seed);
        Site site(86, Limit, seed);
        site.playCallers(5s, 0.9 * Limit, 3s);
        site.restartMeasurement();
        site.playCallers(30s, 0.9 * Limit, 3s);
        CHECK(site.admittedShare() >= 0.95);
        CHECK(site.worstWindow() <= 1);
    }
}

TEST_CASE("the limit holds at hundreds of daemons when a surge begins")
{
    struct Case
    {
        std::size_t count;
        double limit;
        std::uint64_t seed;
        bool isAllocatorReplaced;
    };
    for (const auto &it : std::vector<Case>{{295, 17000, 302, true}, {410, 17000, 300, true}, {295, 4200, 204, false}, {410, 80000, 206, false}}) {
        CAPTURE(it.count);
        CAPTURE(it.limit);
        CAPTURE(it.seed);
        Site site(it.count, it.limit, it.seed);
        site.play(10s, it.limit / 1.8, 0);
        for (int n = 0; n < 2; ++n) {
            if (it.isAllocatorReplaced) {
                site.replaceAllocator(5s);
            }
            site.play(20s, 4.7 * it.limit, 0);
        }
        CHECK(site.worstWindow() <= 1);
    }
}

TEST_CASE("the limit holds at 86 daemons when a surge begins without an allocator")
{
    for (const std::uint64_t seed : {300, 312}) {
        CAPTURE(seed);
        Site site(86, 17000, seed);
        site.play(10s, 17000 / 1.8, 0);
        site.replaceAllocator(5s);
        site.play(3s, 17000 / 1.8, 0);
        site.play(20s, 4.7 * 17000, 0);
        CHECK(site.worstWindow() <= 1);
    }
    Site site(86, 4200, 317);
    site.play(10s, 4200 / 1.8, 0);
    for (int n = 0; n < 2; ++n) {
        site.replaceAllocator(5s);
        site.play(20s, 4.7 * 4200, 0);
    }
    CHECK(site.worstWindow() <= 1);
}
