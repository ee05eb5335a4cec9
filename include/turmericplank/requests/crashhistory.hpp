#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/requests/endpointloss.hpp"

namespace turmericplank::requests {

/// @brief The endpoints that were lost while they ran a content, or a part of one, as daemons tell each other and keep it in the store.
struct ContentLosses
{
    Fingerprint content;
    std::vector<EndpointLoss> counted; ///< losses that count against the content
    std::vector<EndpointLoss> cleared; ///< losses that don't, since the content was answered later
    bool isProven = false; ///< a shared content that some daemon has seen answered lately
    std::uint32_t trials = 0; ///< calls that were let run although the content was refused

    friend bool operator==(const ContentLosses &, const ContentLosses &) = default;
};

/// @brief An answer, or a part of one, that an endpoint has just sent.
struct SignOfLife
{
    EndpointLoss endpoint; ///< and its incarnation
    base::Time connectedAt; ///< when the connection was opened
    base::Time sentAt; ///< when the call was sent
};

/// @brief What a trial of refused contents can show.
enum class TrialKind {
    Single, ///< whether one content or one part crashes endpoints
    Combined, ///< whether one of several parts does, which may be lost together
};

/// @brief Limits of CrashHistory.
struct CrashHistoryOptions
{
    std::size_t lossLimit = 3; ///< losses at which a content is refused; one or two may be those of another request beside it
    std::size_t provenLossLimit = 6; ///< the same for proven contents, which are more often lost beside another one
    base::Duration provenLossTime = std::chrono::seconds(10); ///< from the first to the last of those losses; endpoints that fail together are lost at once
    std::size_t maxProven = 4096; ///< proven contents to remember
    std::size_t maxLosses = 16; ///< to remember of one content
    std::size_t maxContents = 4096; ///< those whose last change is the oldest go first, except for some refused ones
    std::size_t maxKeptRefused = 64; ///< refused contents to keep although others have changed later
    base::Duration lifetime = std::chrono::minutes(10); ///< of what is known of a content, from its last change
    base::Duration trialDelay = std::chrono::seconds(4); ///< from the last loss until a refused content is tried again
    std::int64_t trialDelayFactor = 5; ///< by which the delay grows with each trial; two trials in the first minute
    base::Duration combinedTrialDelay = std::chrono::seconds(1); ///< after a single trial would have been due
    base::Duration inFlightTime = std::chrono::seconds(1); ///< in which bytes that an endpoint sent before it was lost may still arrive
    base::Duration repeatTime = std::chrono::seconds(5); ///< in which a change is sent again; a silent connection is noticed earlier
};

/// @brief Remembers which endpoints were lost while they ran a content, and which contents are refused for that.
///
/// Unlike Suspects, it asks no other daemon before a request runs, so it suits sites where daemons come and go: each daemon counts
/// what it knows. What several daemons know merges in any order and any number of times, also through others, to the same result.
class CrashHistory
{
public:
    explicit CrashHistory(CrashHistoryOptions options = {});

    /// @brief Records that an endpoint was lost while it ran a content.
    void recordLoss(Fingerprint content, const EndpointLoss &loss, base::Time now);

    /// @brief Records that a content was answered: its losses so far had another cause.
    void recordAnswer(Fingerprint content, base::Time now);

    /// @brief Records that a content which many requests share was answered, and remembers it as proven.
    void recordSharedAnswer(Fingerprint content, base::Time now);

    /// @brief Records that an endpoint answers: if it was thought lost before, only connections to it were, and its losses don't count.
    /// @return number of contents of which a loss no longer counts
    std::size_t recordSignOfLife(const SignOfLife &sign, base::Time now);

    /// @brief Merges what another daemon or an earlier one knew.
    void merge(const std::vector<ContentLosses> &contents, base::Time now);

    /// @brief Whether a content has been lost with so many endpoints that it is refused.
    bool isRefused(Fingerprint content, base::Time now) const;

    /// @brief Starts a trial of refused contents if one is due for each of them, since the endpoints may have been lost for another reason.
    /// @return whether one call with all of them may run
    bool beginTrial(const std::vector<Fingerprint> &contents, TrialKind kind, base::Time now);

    /// @brief Number of losses that count against a content.
    std::size_t lossCount(Fingerprint content, base::Time now) const;

    /// @brief Whether anything has changed since the last call of takeChanged().
    bool hasChanged() const;

    /// @brief What has changed since the last call.
    std::vector<ContentLosses> takeChanged();

    /// @brief What has changed within the repeat time, to be sent again to peers that may have missed it.
    std::vector<ContentLosses> recentlyChanged(base::Time now) const;

    /// @brief All that is known.
    std::vector<ContentLosses> all() const;

    /// @brief What is known of one content.
    ContentLosses find(Fingerprint content) const;

    /// @brief Drops what is older than the lifetime.
    void expire(base::Time now);

private:
    struct Entry
    {
        std::map<EndpointLoss, bool> losses; ///< and whether each one counts
        bool isProven = false;
        std::uint32_t trials = 0;
        base::Time firstLossAt; ///< of those that count
        base::Time lastLossAt;
        base::Time nextTrialAt;
        base::Time repeatUntil;
        base::Time expiresAt;
    };

    using ExpiryIndex = std::set<std::pair<base::Time, Fingerprint>>;

    /// Proven contents of the last one or two periods of half a lifetime.
    class ProvenContents
    {
    public:
        void add(Fingerprint content, base::Time now, const CrashHistoryOptions &options);
        bool contains(Fingerprint content, base::Time now) const;

    private:
        std::unordered_set<Fingerprint> m_current;
        std::unordered_set<Fingerprint> m_previous;
        base::Time m_periodEnd;
        base::Time m_validUntil;
    };

    bool isTrialDue(Fingerprint content, TrialKind kind, base::Time now) const;
    ExpiryIndex::const_iterator findLeastNeeded(base::Time now) const;
    Entry &touch(Fingerprint content, base::Time now);
    void mergeInto(const ContentLosses &content, base::Time now);
    void noteNewLosses(const std::map<EndpointLoss, bool> &losses, const std::map<EndpointLoss, bool> &known, base::Time now);
    void limitLosses(std::map<EndpointLoss, bool> &losses, const std::map<EndpointLoss, bool> &known) const;
    static std::size_t countedLosses(const Entry &entry);
    base::Duration trialDelay(const Entry &entry) const;
    ContentLosses toMessage(Fingerprint content, const Entry &entry) const;

    CrashHistoryOptions m_options;
    std::map<Fingerprint, Entry> m_entries;
    ExpiryIndex m_byExpiry;
    std::set<Fingerprint> m_changed;
    ProvenContents m_proven;
    std::map<EndpointLoss, base::Time> m_lostEndpoints; ///< and when this daemon last learned of a loss; without those that have answered since
};

} // namespace turmericplank::requests
