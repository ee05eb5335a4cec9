#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/requests/endpointloss.hpp"

namespace turmericplank::requests {

/// @brief Whether a request's content may crash endpoints.
enum class SuspectState {
    Clear,
    Suspect, ///< one endpoint was lost while running it; it may run once more, as a trial
    Blocked, ///< rejected: two endpoints were lost while running it, or the daemon of its trial restarted or left without reporting the end
};

/// @brief Asks another daemon whether the trial of a suspect may run on an endpoint.
struct TrialQuestion
{
    Fingerprint fingerprint;
    std::uint64_t sequence = 0; ///< number of the question at the asking daemon
    base::EndpointId endpoint;
    std::vector<EndpointLoss> losses; ///< losses known to the asking daemon

    friend bool operator==(const TrialQuestion &, const TrialQuestion &) = default;
};

/// @brief Reply to a question.
struct TrialReply
{
    Fingerprint fingerprint;
    std::uint64_t sequence = 0;
    bool mayRun = false; ///< whether the replying daemon agrees: it runs neither the request nor another trial on the endpoint
    std::vector<EndpointLoss> losses;

    friend bool operator==(const TrialReply &, const TrialReply &) = default;
};

/// @brief Notifies another daemon of a suspect or of the end of a trial.
struct SuspectNotification
{
    Fingerprint fingerprint;
    bool isCleared = false; ///< whether the request is no longer a suspect
    std::vector<EndpointLoss> losses;
    std::uint64_t endedTrial = 0; ///< number of the question whose trial has ended, zero if none

    friend bool operator==(const SuspectNotification &, const SuspectNotification &) = default;
};

/// @brief Sends a question to a daemon; it may be sent repeatedly.
struct AskPeer
{
    base::DaemonId to;
    TrialQuestion question;

    friend bool operator==(const AskPeer &, const AskPeer &) = default;
};

/// @brief Sends a notification to a daemon.
struct NotifyPeer
{
    base::DaemonId to;
    SuspectNotification notification;

    friend bool operator==(const NotifyPeer &, const NotifyPeer &) = default;
};

/// @brief Requests all suspects known to a daemon, because this one has just started.
struct RequestSuspects
{
    base::DaemonId to;

    friend bool operator==(const RequestSuspects &, const RequestSuspects &) = default;
};

/// @brief The trial may start; all daemons have agreed.
struct TrialGranted
{
    Fingerprint fingerprint;
    base::EndpointId endpoint;

    friend bool operator==(const TrialGranted &, const TrialGranted &) = default;
};

/// @brief The trial may not start now.
struct TrialDenied
{
    Fingerprint fingerprint;
    SuspectState state = SuspectState::Suspect;

    friend bool operator==(const TrialDenied &, const TrialDenied &) = default;
};

using SuspectAction = std::variant<AskPeer, NotifyPeer, RequestSuspects, TrialGranted, TrialDenied>;
using SuspectActions = std::vector<SuspectAction>;

/// @brief Limits and callbacks of the suspects.
struct SuspectOptions
{
    base::DaemonId self;
    std::function<std::vector<base::DaemonId>()> peers; ///< returns the other daemons that callers may reach
    std::size_t maxEntries = 4096; ///< fingerprints to keep; the oldest are dropped first
    base::Duration lifetime = std::chrono::minutes(10); ///< of an entry, from its last update
    base::Duration resendInterval = std::chrono::milliseconds(200); ///< of messages without a reply
    unsigned lossLimit = 2; ///< number of losses at which a request is blocked
};

/// @brief Records which requests were running on endpoints that were lost, and lets each run once more in a trial.
///
/// All requests of a lost endpoint become suspects, because it is unknown which of them crashed it. Each suspect then
/// runs as the only suspect on an endpoint. A request that is answered is cleared; one that crashes a second endpoint is
/// blocked. A trial starts only after every other daemon has recorded the suspect and replied that it does not run it.
/// If a caller resends the request to another daemon, it therefore does not run there at the same time as the trial.
class Suspects
{
public:
    explicit Suspects(SuspectOptions options);

    /// @brief State of a fingerprint.
    SuspectState state(Fingerprint fingerprint, base::Time now) const;
    /// @brief Time at which the entry of a suspect or blocked fingerprint expires; `now` for a clear one.
    base::Time expiresAt(Fingerprint fingerprint, base::Time now) const;

    /// @brief Records the start of an attempt.
    void attemptStarted(Fingerprint fingerprint);
    /// @brief Records the end of an attempt, whatever its result.
    void attemptEnded(Fingerprint fingerprint);
    /// @brief Records the loss of an endpoint that was running the request and notifies the peers.
    SuspectActions endpointLost(Fingerprint fingerprint, const EndpointLoss &loss, base::Time now);

    /// @brief Requests a trial on an endpoint.
    SuspectActions requestTrial(Fingerprint fingerprint, const base::EndpointId &endpoint, base::Time now);
    /// @brief Ends a trial in which the endpoint was not lost.
    /// @param isCleared whether the request was answered
    SuspectActions trialEnded(Fingerprint fingerprint, bool isCleared, base::Time now);
    /// @brief Whether a trial of this daemon is running or requested.
    bool hasTrial(Fingerprint fingerprint) const;
    /// @brief Endpoints that were lost while running the request or that have a trial of this daemon.
    std::vector<base::EndpointId> endpointsToAvoid(Fingerprint fingerprint) const;

    /// @brief Handles another daemon's question and returns the reply.
    TrialReply onQuestion(const base::DaemonId &from, const TrialQuestion &question, base::Time now, SuspectActions &actions);
    /// @brief Handles another daemon's reply.
    SuspectActions onReply(const base::DaemonId &from, const TrialReply &reply, base::Time now);
    /// @brief Handles another daemon's notification.
    void onNotification(const base::DaemonId &from, const SuspectNotification &notification, base::Time now);
    /// @brief Handles the request of a daemon that has just started and returns all entries.
    std::vector<SuspectNotification> onSuspectsRequested(const base::DaemonId &from);
    /// @brief Merges the suspects known to another daemon.
    void onSuspectsReceived(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now);
    /// @brief Whether every other daemon has sent its suspects since this one started; until then no request may run.
    bool isSynchronized() const;
    /// @brief Handles the acknowledgement of a notification, which is resent until then.
    void onAcknowledged(const base::DaemonId &from, Fingerprint fingerprint);
    /// @brief Resends unanswered messages and removes expired entries.
    SuspectActions tick(base::Time now);

    /// @brief Number of entries.
    std::size_t size() const;

private:
    struct Entry
    {
        std::set<EndpointLoss> losses;
        base::Time expiresAt;
        std::uint64_t trialSequence = 0; ///< number of the question for the trial of `trialOwner`
        std::optional<base::DaemonId> trialOwner; ///< daemon whose trial was agreed to and has not ended as far as known
        bool isOrphaned = false; ///< the owner of the trial restarted before it reported the end
        std::list<Fingerprint>::iterator agePosition; ///< in `m_byAge`
    };
    struct Trial
    {
        base::EndpointId endpoint;
        std::uint64_t sequence = 0;
        std::set<base::DaemonId> waitingFor;
        base::Time resendAt;
        bool isRunning = false;
    };

    struct Announcement
    {
        std::set<base::DaemonId> waitingFor;
        base::Time resendAt;
    };

    /// Finds or adds an entry and renews its lifetime; drops the oldest entry if there are too many.
    Entry &findOrAddEntry(Fingerprint fingerprint, base::Time now);
    void eraseEntry(Fingerprint fingerprint);
    SuspectState merge(Fingerprint fingerprint, const std::vector<EndpointLoss> &losses, base::Time now);
    bool isOrphaned(const Entry &entry) const;
    /// Whether this daemon refuses a trial; cancels its own requested trials that yield to it.
    bool refusesTrial(const base::DaemonId &from, const TrialQuestion &question, SuspectActions &actions);
    std::vector<EndpointLoss> lossesOf(Fingerprint fingerprint) const;
    void notifyPeers(Fingerprint fingerprint, bool isCleared, std::uint64_t endedTrial, SuspectActions &actions) const;
    std::uint64_t eraseTrial(Fingerprint fingerprint);
    void announce(Fingerprint fingerprint, base::Time now, SuspectActions &actions);
    void requestSuspects(base::Time now, SuspectActions &actions);
    void resendNotifications(base::Time now, SuspectActions &actions);
    SuspectActions grantIfAgreed(Fingerprint fingerprint, Trial &trial);
    std::vector<base::DaemonId> peers() const;

    SuspectOptions m_options;
    std::unordered_map<Fingerprint, Entry> m_entries;
    std::list<Fingerprint> m_byAge; ///< oldest first
    std::map<Fingerprint, Trial> m_trials;
    std::map<Fingerprint, Announcement> m_announcements;
    std::unordered_map<Fingerprint, unsigned> m_running;
    std::set<base::DaemonId> m_synchronizedPeers;
    base::Time m_requestSuspectsAt;
    bool m_isSynchronized = false;
    std::uint64_t m_lastSequence = 0;
};

} // namespace turmericplank::requests
