#include "turmericplank/gateway/crashexchange.hpp"

#include "turmericplank/daemon/timers.hpp"
#include "turmericplank/gateway/call.hpp"
#include "turmericplank/gateway/contentlossesmessage.hpp"
#include "turmericplank/telemetry/log.hpp"

namespace turmericplank::gateway {

namespace {

using requests::Fingerprint;
using telemetry::LogLevel;

constexpr const char *RowPrefix = "crashes/";

} // namespace

CrashExchange::CrashExchange(boost::asio::io_context &context, requests::CrashHistory &history, store::Table table,
                             std::function<void(const std::string &body)> send)
    : m_context(context)
    , m_history(history)
    , m_table(std::move(table))
    , m_send(std::move(send))
{
    daemon::callEvery(context, m_options.repeatInterval, [this] { maintain(); });
    readRows();
}

void CrashExchange::recordLoss(Fingerprint content, const requests::EndpointLoss &loss)
{
    m_own.insert(content);
    m_history.recordLoss(content, loss, base::now());
    scheduleSend();
}

void CrashExchange::recordSharedAnswer(Fingerprint content)
{
    m_history.recordSharedAnswer(content, base::now());
    scheduleSend();
}

void CrashExchange::scheduleSend()
{
    if (m_history.hasChanged() && !std::exchange(m_isSendScheduled, true)) {
        daemon::callAt(m_context, base::now() + m_options.sendDelay, [this] { sendChanges(); });
    }
}

void CrashExchange::handleMessage(const base::DaemonId &from, const std::string &body)
{
    const auto contents = decodeContentLosses(body);
    if (!contents) {
        telemetry::log(LogLevel::Warning, "peers", "cannot decode lost contents", {{"daemon", from.text()}, {"bytes", std::uint64_t(body.size())}});
        return;
    }
    m_history.merge(*contents, base::now());
    scheduleSend();
}

std::string CrashExchange::completeMessage() const
{
    const auto contents = m_history.all();
    return contents.empty() ? std::string() : encode(contents);
}

/// Passes on what other daemons have told as well, for daemons that are not in contact with those.
void CrashExchange::sendChanges()
{
    m_isSendScheduled = false;
    const auto changed = m_history.takeChanged();
    if (changed.empty()) {
        return;
    }
    m_send(encode(changed));
    const auto now = base::now();
    for (const auto &it : changed) {
        const bool isRefused = m_history.isRefused(it.content, now);
        if (isRefused) {
            telemetry::log(LogLevel::Warning, "requests", "refuses a content that endpoints crashed with",
                           {{"content", toString(it.content)}, {"losses", std::uint64_t(it.counted.size())}});
        }
        if (isRefused && m_own.contains(it.content) && !m_stored.contains(it.content)) {
            writeRow(it.content);
        }
    }
}

void CrashExchange::maintain()
{
    const auto now = base::now();
    m_history.expire(now);
    scheduleSend();
    if (const auto recent = m_history.recentlyChanged(now); !recent.empty()) {
        m_send(encode(recent));
    }
    std::erase_if(m_own, [&](Fingerprint it) { return m_history.lossCount(it, now) == 0; });
    for (const auto it : m_own) {
        if (!m_isReading && m_history.isRefused(it, now) && !m_stored.contains(it)) {
            writeRow(it);
        }
    }
    for (const auto it : std::set(m_stored)) {
        if (!m_history.isRefused(it, now)) {
            removeRow(it);
        }
    }
    if (m_mustRead) {
        readRows();
    }
}

void CrashExchange::readRows()
{
    m_mustRead = true;
    if (std::exchange(m_isReading, true)) {
        return;
    }
    m_mustRead = false;
    m_table.readPrefix(RowPrefix, [this](const store::ReadResult &rows) {
        m_isReading = false;
        applyRows(rows);
    });
}

void CrashExchange::noteStoreRestored()
{
    m_stored.clear();
    readRows();
}

void CrashExchange::applyRows(const store::ReadResult &rows)
{
    if (!rows) {
        m_mustRead = true;
        return;
    }
    for (const auto &row : *rows) {
        const auto contents = decodeContentLosses(row.value);
        if (!contents) {
            telemetry::log(LogLevel::Warning, "requests", "cannot decode a row of lost contents", {{"key", row.key}});
            continue;
        }
        m_history.merge(*contents, base::now());
        for (const auto &it : *contents) {
            m_stored.insert(it.content);
        }
    }
    scheduleSend();
}

/// Written again by maintain() after a failure.
void CrashExchange::writeRow(Fingerprint content)
{
    m_table.transact({{RowPrefix + toString(content), std::nullopt, encode({m_history.find(content)})}}, [this, content](const store::WriteResult &result) {
        if (result) {
            m_stored.insert(content);
        }
    });
}

void CrashExchange::removeRow(Fingerprint content)
{
    m_table.transact({{RowPrefix + toString(content), std::nullopt, std::nullopt}}, [this, content](const store::WriteResult &result) {
        if (result) {
            m_stored.erase(content);
        }
    });
}

} // namespace turmericplank::gateway
