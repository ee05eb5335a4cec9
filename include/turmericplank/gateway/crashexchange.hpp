#pragma once

#include <functional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/requests/crashhistory.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::gateway {

/// @brief Intervals of the exchange.
struct CrashExchangeOptions
{
    base::Duration sendDelay = std::chrono::milliseconds(10); ///< from a change to its message, to collect all losses with one endpoint
    base::Duration repeatInterval = std::chrono::seconds(1); ///< between two messages that repeat recent changes, and between two tries of a call to the store
};

/// @brief Tells other daemons which contents endpoints were lost with, and keeps the refused ones in the store.
///
/// The rows are for daemons that start while no other one knows, and for those that hear no other one. A row is removed when its
/// content is no longer refused, by each daemon that has written or read it.
class CrashExchange
{
public:
    /// @param context runs the timers
    /// @param history is filled with what others know
    /// @param table the store's rows of this product
    /// @param send sends a message to all daemons that this one sends its status to
    CrashExchange(boost::asio::io_context &context, requests::CrashHistory &history, store::Table table, std::function<void(const std::string &body)> send);

    /// @brief Records that this daemon has lost an endpoint while it ran a content, or a part of one.
    void recordLoss(requests::Fingerprint content, const requests::EndpointLoss &loss);

    /// @brief Records that a content which many calls share was answered.
    void recordSharedAnswer(requests::Fingerprint content);

    /// @brief Applies another daemon's message.
    void handleMessage(const base::DaemonId &from, const std::string &body);

    /// @brief A message with all that is known, for a daemon that has just appeared; empty if nothing is known.
    std::string completeMessage() const;

    /// @brief Reads the rows again, since other daemons may have written some that they cannot tell this one.
    void readRows();

    /// @brief Notes that the store came back from an older copy, which may lack rows: they are written again.
    void noteStoreRestored();

private:
    void scheduleSend();
    void sendChanges();
    void maintain();
    void applyRows(const store::ReadResult &rows);
    void writeRow(requests::Fingerprint content);
    void removeRow(requests::Fingerprint content);

    boost::asio::io_context &m_context;
    CrashExchangeOptions m_options;
    requests::CrashHistory &m_history;
    store::Table m_table;
    std::function<void(const std::string &body)> m_send;
    std::set<requests::Fingerprint> m_own; ///< contents with which this daemon has lost an endpoint
    std::set<requests::Fingerprint> m_stored; ///< contents that have a row
    bool m_isSendScheduled = false;
    bool m_isReading = false;
    bool m_mustRead = true;
};

} // namespace turmericplank::gateway
