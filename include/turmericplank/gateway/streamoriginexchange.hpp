#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "turmericplank/discovery/endpointentry.hpp"
#include "turmericplank/forwarding/streamorigins.hpp"
#include "turmericplank/gateway/peers.hpp"
#include "turmericplank/peer/mesh.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::gateway {

/// @brief Intervals and timeouts of the exchange.
struct StreamOriginExchangeOptions
{
    base::Duration sendInterval = std::chrono::milliseconds(100); ///< a daemon that ends without notice takes the origins of this time with it
    base::Duration copyInterval = std::chrono::milliseconds(300); ///< the same while a service runs one version
    base::Duration historyInterval = std::chrono::seconds(1); ///< between comparisons of the stored versions with the listed ones
    base::Duration historyPrecision = std::chrono::seconds(15); ///< by which times in the stored versions may be wrong
    base::Duration recordedTime = std::chrono::seconds(60); ///< that is left for a version that is about to be used, as for a listed one
    base::Duration recordTimeout = std::chrono::milliseconds(300); ///< for the row to name a version; its endpoints are used afterwards in any case
    base::Duration queryTimeout = std::chrono::milliseconds(150); ///< several round trips within a region; the caller waits meanwhile
};

/// @brief Software versions of endpoints, by service.
forwarding::ListedVersions listedVersions(const std::vector<discovery::EndpointEntry> &endpoints);

/// @brief Tells other daemons at which software versions streams began, and asks them.
///
/// All daemons of the group are told while a service has several versions. Two of them keep copies at all times, as this daemon may end before it can
/// tell the others that a new version has appeared.
/// The versions that were listed lately are kept in a row of the store, for daemons that start after one of them was replaced.
class StreamOriginExchange
{
public:
    /// @param context runs the timers
    /// @param origins is filled with what others know
    /// @param mesh gets the handlers of the messages
    /// @param peers sends the messages
    /// @param table the store's rows of this product
    /// @param mayTakeAbsentRow whether an absent row means that no other version has served, since the whole system starts for the first time
    StreamOriginExchange(boost::asio::io_context &context, forwarding::StreamOrigins &origins, peer::Mesh &mesh, Peers &peers, store::Table table,
                         bool mayTakeAbsentRow);

    /// @brief Whether the row of the store names a software version.
    bool isRecorded(const base::ServiceName &service, const std::string &softwareVersion) const;

    /// @brief Writes software versions that are about to be used to the row of the store, so that they are remembered if all daemons end.
    /// @param onDone called once, also if the store does not take the row in time
    void recordVersions(const forwarding::ListedVersions &versions, std::function<void()> onDone);

    /// @brief Notes the software versions of the endpoints that are listed now.
    void noteEndpoints(const std::vector<discovery::EndpointEntry> &endpoints);

    /// @brief Tells a daemon that has just appeared what this one knows.
    void notePeerHeard(const base::DaemonId &id);

    /// @brief Notes that the store came back from an older copy, which may lack versions.
    void noteStoreRestored();

    /// @brief Asks other daemons for the version at which a stream began.
    /// @param onDone called once, with nothing if none of them knows it
    void findRemote(forwarding::CallDigest call, std::function<void(std::optional<std::string>)> onDone);

    /// @brief Reads the row that names the versions which served lately, and notes them.
    /// @param onDone called once, with whether the store has answered
    void readRecordedVersions(std::function<void(bool)> onDone);

    /// @brief Asks other daemons which versions served lately, and notes what they say.
    /// @param onDone called once
    void refreshHistory(std::function<void()> onDone);

private:
    struct Recording
    {
        forwarding::ListedVersions versions;
        std::function<void()> onDone; ///< null once it was called
    };
    using RecordingPointer = std::shared_ptr<Recording>;

    bool isRecorded(const forwarding::ListedVersions &versions) const;
    void continueRecording();
    static void end(const RecordingPointer &recording);
    void handleOrigins(const base::DaemonId &from, const std::string &body);
    void answerQuery(const std::string &body, const peer::PeerResponder &answer) const;
    void sendUnsent();
    void sendCopies();
    std::optional<std::string> completeHistory() const;
    void handleHistory(const base::DaemonId &from, const std::string &body);
    void maintainHistory();
    void readHistory();
    void applyRow(const std::vector<store::Row> &rows);
    bool isHistoryComplete(const forwarding::VersionHistory &history, base::Time now) const;
    void writeHistory(const forwarding::VersionHistory &history, base::Time now);
    bool isRowOutdated(const forwarding::VersionHistory &history, base::Time now) const;

    boost::asio::io_context &m_context;
    StreamOriginExchangeOptions m_options;
    forwarding::StreamOrigins &m_origins;
    Peers &m_peers;
    store::Table m_table;
    bool m_mayTakeAbsentRow;
    forwarding::VersionHistory m_stored; ///< as last read or written
    base::Time m_storedAt; ///< when that was; the row has the times that were left then
    base::RowVersion m_storedRow; ///< zero if the row is absent
    bool m_mustRead = true;
    bool m_isCallInProgress = false;
    std::vector<RecordingPointer> m_recordings;
    forwarding::ListedVersions m_listed; ///< versions of the endpoints that were listed last, for the log
    std::vector<base::DaemonId> m_backups; ///< daemons that have copies of all own origins but those that are still to be copied
};

} // namespace turmericplank::gateway
