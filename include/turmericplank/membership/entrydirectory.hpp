#pragma once

#include <functional>
#include <map>
#include <random>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"
#include "turmericplank/membership/daemonview.hpp"

namespace turmericplank::membership {

/// @brief Options of the directory.
struct EntryDirectoryOptions
{
    std::size_t addressCount = 3; ///< max addresses in one answer
    base::Duration answerLifetime = std::chrono::seconds(10); ///< max time that an answer may be used
    double lifetimeJitter = 0.3; ///< max fraction by which a lifetime is shortened, so that callers return at different times
    double sameZoneFactor = 3.0; ///< weight of daemons in the caller's zone relative to others
    double answerWeight = 1.0; ///< load that an answer is expected to cause until a heartbeat reports it
    base::Duration answerDecayTime = std::chrono::seconds(2); ///< time constant with which issued answers stop counting as load
};

/// @brief Daemons that a caller may use, and until when.
struct EntryAnswer
{
    std::vector<base::Address> addresses; ///< in order of preference
    base::Time useUntil;
    base::Revision revision;

    friend bool operator==(const EntryAnswer &, const EntryAnswer &) = default;
};

/// @brief Why the directory has no answer for a caller.
enum class EntryDirectoryFailure {
    NoDaemon, ///< no daemon is live
    UnknownModel, ///< no cell routes the model
};

/// @brief Directs callers to daemons and records until when its answers allow the use of each daemon.
///
/// Callers reuse answers, so the effect on the load is delayed: each answer counts as load of the first daemon in it until
/// the heartbeats report the actual load. Only live daemons are included, not those that are leaving or suspect.
class EntryDirectory
{
public:
    explicit EntryDirectory(EntryDirectoryOptions options = {});

    /// @brief Chooses daemons for a caller.
    /// @param members all daemons of the cell
    /// @param zone availability zone of the caller, empty if unknown
    /// @param now current time
    /// @param random spreads callers over the daemons
    tl::expected<EntryAnswer, EntryDirectoryFailure> answer(const std::vector<Member> &members, const base::ZoneName &zone, base::Time now,
                                                            std::mt19937_64 &random);

    /// @brief Latest time up to which an issued answer allows the use of a daemon; the epoch if there is no such answer.
    base::Time lastUseUntil(const base::DaemonId &daemon) const;

    /// @brief Max time that any answer may be used; the same on all daemons.
    base::Duration answerLifetime() const;

private:
    struct IssuedAnswers
    {
        double weight = 0; ///< decaying number of answers with this daemon in first place
        base::Time at;
        base::Time useUntil;
    };

    double expectedLoad(const Member &member, base::Time now) const;

    EntryDirectoryOptions m_options;
    std::map<base::DaemonId, IssuedAnswers> m_issued;
};

} // namespace turmericplank::membership
