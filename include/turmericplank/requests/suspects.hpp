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

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::requests {

/// @brief Hash of a request's content, whoever sends it and under whichever name.
using Fingerprint = base::Number<struct FingerprintTag>;

/// @brief What is held against a request's content.
enum class Standing {
    Clear,
    Suspect, ///< one endpoint went down with it; it may run once more, as a trial
    Condemned, ///< two endpoints went down with it
};

/// @brief An endpoint that went down with a request on it; one that starts again and goes down again is lost twice.
struct EndpointLoss
{
    base::EndpointId endpoint;
    base::Incarnation incarnation; ///< as last reported before the request was sent; zero for endpoints that report none

    friend auto operator<=>(const EndpointLoss &, const EndpointLoss &) = default;
    friend bool operator==(const EndpointLoss &, const EndpointLoss &) = default;
};

/// @brief Asks another daemon whether a suspect may run on an endpoint.
struct TrialQuestion
{
    Fingerprint fingerprint;
    std::uint64_t sequence = 0; ///< names the question at its asker
    base::EndpointId endpoint;
    std::vector<EndpointLoss> lost; ///< as far as the asker knows

    friend bool operator==(const TrialQuestion &, const TrialQuestion &) = default;
};

/// @brief Answer to a question.
struct TrialReply
{
    Fingerprint fingerprint;
    std::uint64_t sequence = 0;
    bool mayRun = false; ///< neither the content nor another trial on the endpoint is under way here
    std::vector<EndpointLoss> lost;

    friend bool operator==(const TrialReply &, const TrialReply &) = default;
};

/// @brief A trial's end, told to the other daemons.
struct SuspectNotification
{
    Fingerprint fingerprint;
    bool isCleared = false;
    std::vector<EndpointLoss> lost;
    std::uint64_t endedTrial = 0; ///< question whose trial has ended with this word, zero for none

    friend bool operator==(const SuspectNotification &, const SuspectNotification &) = default;
};

/// @brief Send a question to a daemon; asking again is harmless.
struct AskPeer
{
    base::DaemonId to;
    TrialQuestion question;

    friend bool operator==(const AskPeer &, const AskPeer &) = default;
};

/// @brief Send a notification to a daemon.
struct NotifyPeer
{
    base::DaemonId to;
    SuspectNotification notification;

    friend bool operator==(const NotifyPeer &, const NotifyPeer &) = default;
};

/// @brief Ask a daemon for all that it remembers, because this one has just started.
struct RequestSuspects
{
    base::DaemonId to;

    friend bool operator==(const RequestSuspects &, const RequestSuspects &) = default;
};

/// @brief Every daemon agreed: the trial may start.
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
    Standing standing = Standing::Suspect;

    friend bool operator==(const TrialDenied &, const TrialDenied &) = default;
};

using SuspectAction = std::variant<AskPeer, NotifyPeer, RequestSuspects, TrialGranted, TrialDenied>;
using SuspectActions = std::vector<SuspectAction>;

/// @brief Bounds and hooks of the suspects.
struct SuspectOptions
{
    base::DaemonId self;
    std::function<std::vector<base::DaemonId>()> peers; ///< the other daemons that callers may reach
    std::size_t limit = 4096; ///< fingerprints that are remembered, oldest forgotten first
    base::Duration lifetime = std::chrono::minutes(10); ///< from the last loss
    base::Duration askAgain = std::chrono::milliseconds(200);
    unsigned lossLimit = 2; ///< losses after which a request is condemned
};

/// @brief Remembers which requests were on endpoints that went down, and lets each run alone once more.
///
/// All requests of a lost endpoint become suspects, because nothing tells which of them broke it. Each suspect is then
/// run as the only suspect on its endpoint: the innocent are cleared by their answers, and the one that brings its second
/// endpoint down is condemned. A trial starts only after every other daemon has recorded the suspect and has said that it
/// does not run it, so that a caller who resends elsewhere cannot have it run beside the trial.
class Suspects
{
public:
    explicit Suspects(SuspectOptions options);

    /// @brief What is held against a fingerprint.
    Standing standing(Fingerprint fingerprint, base::Time now) const;
    /// @brief When a condemned or suspect fingerprint is forgotten; the present for a clear one.
    base::Time until(Fingerprint fingerprint, base::Time now) const;

    /// @brief An attempt goes out.
    void attemptBegan(Fingerprint fingerprint);
    /// @brief An attempt is over, however it ended.
    void attemptEnded(Fingerprint fingerprint);
    /// @brief An endpoint went down with the request on it.
    SuspectActions endpointLost(Fingerprint fingerprint, const EndpointLoss &loss, base::Time now);

    /// @brief Asks for a trial on an endpoint.
    SuspectActions askTrial(Fingerprint fingerprint, const base::EndpointId &endpoint, base::Time now);
    /// @brief The trial's request was answered, or ended otherwise with its endpoint still up.
    SuspectActions trialEnded(Fingerprint fingerprint, bool isCleared, base::Time now);
    /// @brief Whether a trial runs or is asked for here.
    bool isTrying(Fingerprint fingerprint) const;
    /// @brief Endpoints that went down with the request or hold another trial of this daemon.
    std::vector<base::EndpointId> avoid(Fingerprint fingerprint) const;

    /// @brief Another daemon asks.
    TrialReply onQuestion(const base::DaemonId &from, const TrialQuestion &question, base::Time now, SuspectActions &actions);
    /// @brief Another daemon replied.
    SuspectActions onReply(const base::DaemonId &from, const TrialReply &reply, base::Time now);
    /// @brief Another daemon's trial ended.
    void onNotification(const base::DaemonId &from, const SuspectNotification &notification, base::Time now);
    /// @brief Another daemon has just started and asks for all that is remembered here.
    std::vector<SuspectNotification> onSuspectsAsked(const base::DaemonId &from);
    /// @brief What another daemon remembers.
    void onSuspects(const base::DaemonId &from, const std::vector<SuspectNotification> &suspects, base::Time now);
    /// @brief Whether every other daemon has told what it remembers since this one started; until then nothing may run.
    bool isInformed() const;
    /// @brief Another daemon has taken in what it was told; until then it is told again.
    void onTold(const base::DaemonId &from, Fingerprint fingerprint);
    /// @brief Asks and tells again, and forgets what has expired.
    SuspectActions tick(base::Time now);

    /// @brief Fingerprints that are remembered.
    std::size_t size() const;

private:
    struct Entry
    {
        std::set<EndpointLoss> lost;
        base::Time expiresAt;
        std::uint64_t triedSequence = 0; ///< names the question of that trial
        std::optional<base::DaemonId> triedBy; ///< another daemon asked for a trial whose end is not known
        bool isOrphaned = false; ///< the daemon that tried it restarted before it told the end
        std::list<Fingerprint>::iterator age;
    };
    struct Trial
    {
        base::EndpointId endpoint;
        std::uint64_t sequence = 0;
        std::set<base::DaemonId> waitingFor;
        base::Time askAgainAt;
        bool isRunning = false;
    };

    struct Announcement
    {
        std::set<base::DaemonId> waitingFor;
        base::Time tellAgainAt;
    };

    Entry &remember(Fingerprint fingerprint, base::Time now);
    void forget(Fingerprint fingerprint);
    Standing merge(Fingerprint fingerprint, const std::vector<EndpointLoss> &lost, base::Time now);
    bool isOrphaned(const Entry &entry) const;
    bool blocks(const base::DaemonId &from, const TrialQuestion &question, SuspectActions &actions);
    std::vector<EndpointLoss> lostWith(Fingerprint fingerprint) const;
    void tellAll(Fingerprint fingerprint, bool isCleared, std::uint64_t endedTrial, SuspectActions &actions) const;
    std::uint64_t eraseTrial(Fingerprint fingerprint);
    void announce(Fingerprint fingerprint, base::Time now, SuspectActions &actions);
    void askSuspects(base::Time now, SuspectActions &actions);
    void tellAgain(base::Time now, SuspectActions &actions);
    SuspectActions grantIfAgreed(Fingerprint fingerprint, Trial &trial);
    std::vector<base::DaemonId> peers() const;

    SuspectOptions m_options;
    std::unordered_map<Fingerprint, Entry> m_entries;
    std::list<Fingerprint> m_ages;
    std::map<Fingerprint, Trial> m_trials;
    std::map<Fingerprint, Announcement> m_announcements;
    std::unordered_map<Fingerprint, unsigned> m_running;
    std::set<base::DaemonId> m_informedBy;
    base::Time m_askSuspectsAt;
    bool m_isInformed = false;
    std::uint64_t m_lastSequence = 0;
};

} // namespace turmericplank::requests
