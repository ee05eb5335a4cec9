#include "turmericplank/gateway/accountlimits.hpp"

#include <algorithm>
#include <utility>

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/accountusemessage.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using telemetry::LogLevel;

constexpr const char *ReportKind = "gateway/accounts";
constexpr auto AnswerTimeout = std::chrono::milliseconds(500); ///< a later answer describes earlier demand
constexpr auto RefusalEndTime = std::chrono::seconds(2); ///< without a refused call, until the limit counts as no longer reached
constexpr std::size_t MaxAccountLabels = 64; ///< further accounts share one label, so that metrics stay small

} // namespace

AccountLimits::AccountLimits(boost::asio::io_context &context, const base::DaemonId &self, const SiteState &siteState, peer::Mesh &mesh, Peers &peers,
                             telemetry::Metrics &metrics, std::mt19937_64 &random, AccountLimitsOptions options)
    : m_self(self)
    , m_siteState(siteState)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_random(random)
    , m_options(options)
{
    mesh.handle(ReportKind, [this](const base::DaemonId &from, const std::string &body, const peer::PeerResponder &answer) {
        const auto uses = decodeAccountUses(body);
        if (!uses) {
            telemetry::log(LogLevel::Warning, "accounts", "cannot decode a report", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        }
        const auto now = base::now();
        if (!uses || !updateRole(now)) {
            answer.reject();
            return;
        }
        m_allocator.noteReport(from, *uses, now);
        if (!m_allocator.isSettled(now)) {
            answer.reject();
            return;
        }
        answer.write(encode(m_allocator.grants(from, now)));
        answer.end();
    });
    daemon::callEvery(context, m_options.checkInterval, [this] { exchange(base::now()); });
}

void AccountLimits::updateConfiguration(base::Time now)
{
    const auto &accounts = m_siteState.routes()->configuration().accounts;
    m_limiter.setDaemonCount(m_peers.otherDaemonCount() + 1);
    m_limiter.setAccounts(accounts.value_or(std::vector<accounts::Account>()), now);
    m_allocator.setAccounts(accounts.value_or(std::vector<accounts::Account>()), now);
    if (accounts) {
        const auto limited = std::ranges::count_if(*accounts, [](const auto &it) { return it.limit.isLimited(); });
        telemetry::log(LogLevel::Info, "accounts", "in force",
                       {{"revision", m_siteState.routes()->configuration().revision.value()},
                        {"accounts", std::uint64_t(accounts->size())},
                        {"limited", static_cast<std::uint64_t>(limited)},
                        {"priorities", std::uint64_t(m_siteState.routes()->accountPriorities().size())}});
    }
}

accounts::UsageDecision AccountLimits::admit(const accounts::Account &account, const Call &call, base::Time now)
{
    if (!account.limit.isLimited()) {
        return {};
    }
    const auto decision = m_limiter.admit(account.name, accounts::usageOf(account.limit, call.statedTokens), now, m_random);
    noteDecision(account.name, decision.isAdmitted, now);
    return decision;
}

void AccountLimits::giveBack(const accounts::Account &account, const Call &call)
{
    if (account.limit.isLimited()) {
        m_limiter.giveBack(account.name, accounts::usageOf(account.limit, call.statedTokens));
    }
}

void AccountLimits::noteDecision(const base::CallerName &account, bool isAdmitted, base::Time now)
{
    if (isAdmitted) {
        return;
    }
    const bool hasLabel = m_labels.contains(account) || m_labels.size() < MaxAccountLabels;
    if (hasLabel) {
        m_labels.insert(account);
    }
    m_metrics.count("account_calls_refused_total{account=\"" + (hasLabel ? account.text() : "other") + "\"}");
    if (m_refusedAt.insert_or_assign(account, now).second) {
        telemetry::log(LogLevel::Warning, "accounts", "limit reached", {{"account", account.text()}});
    }
}

/// A daemon that becomes the lease holder knows nothing of the use so far; reports may come before it notices by itself.
/// @return whether this daemon divides the limits
bool AccountLimits::updateRole(base::Time now)
{
    const auto isHolder = m_peers.isLeaseHolder();
    if (isHolder) {
        m_allocator.setDaemonCount(m_peers.otherDaemonCount() + 1);
    }
    if (isHolder && !m_isAllocating) {
        m_allocator.reset(now);
    }
    m_isAllocating = isHolder;
    return isHolder;
}

/// Tells operators when limits are kept without the lease holder, since small accounts are refused more often then.
void AccountLimits::noteGrants(base::Time now)
{
    const auto areFresh = m_limiter.hasFreshGrants(now);
    m_metrics.setGauge("accounts_grants_fresh", areFresh ? 1 : 0);
    if (std::exchange(m_areGrantsFresh, areFresh) != areFresh) {
        telemetry::log(areFresh ? LogLevel::Info : LogLevel::Warning, "accounts", areFresh ? "grants received" : "grants expired");
    }
}

void AccountLimits::exchange(base::Time now)
{
    updateRole(now);
    std::erase_if(m_refusedAt, [now](const auto &it) {
        const bool isOver = now >= it.second + RefusalEndTime;
        if (isOver) {
            telemetry::log(LogLevel::Info, "accounts", "limit no longer reached", {{"account", it.first.text()}});
        }
        return isOver;
    });
    if (!m_limiter.hasLimits()) {
        return;
    }
    noteGrants(now);
    const auto daemons = m_peers.otherDaemonCount() + 1;
    const auto shortest = std::max<base::Duration>(m_options.contendedInterval, m_options.intervalPerDaemon * static_cast<std::int64_t>(daemons));
    const auto interval = m_limiter.isContended() ? shortest : std::max(m_options.interval, shortest);
    if (now < m_reportedAt + interval) {
        return;
    }
    m_reportedAt = now;
    m_limiter.setDaemonCount(daemons);
    m_metrics.setGauge("accounts_limited", static_cast<double>(m_limiter.limitedAccounts()));
    const auto report = m_limiter.report(now);
    if (updateRole(now)) {
        m_allocator.noteReport(m_self, report, now);
        if (m_allocator.isSettled(now)) {
            m_limiter.applyGrants(m_allocator.grants(m_self, now), now);
        }
        return;
    }
    if (const auto holder = m_peers.leaseHolder()) {
        m_peers.ask(*holder, ReportKind, encode(report), AnswerTimeout, [this](std::string_view answer) {
            if (const auto grants = decodeUsageGrants(answer)) {
                m_limiter.applyGrants(*grants, base::now());
            }
        });
    }
}

} // namespace turmericplank::gateway
