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

/// @brief Limits of the directory.
struct EntryDirectoryOptions
{
    std::size_t addressCount = 3; ///< in one answer
    base::Duration answerLifetime = std::chrono::seconds(10); ///< longest use of an answer
    double lifetimeJitter = 0.3; ///< answers live shorter by up to this share, so that callers come back spread out
    double sameZoneFactor = 3.0; ///< how much rather a daemon in the caller's zone is taken
    double answerWeight = 1.0; ///< load that an answer is expected to bring until a heartbeat shows it
    base::Duration answerMemory = std::chrono::seconds(2); ///< how long given answers count beside the loads heard
};

/// @brief Which daemons a caller may use, and until when.
struct EntryAnswer
{
    std::vector<base::Address> addresses; ///< the first one first
    base::Time useUntil;
    base::Revision revision;

    friend bool operator==(const EntryAnswer &, const EntryAnswer &) = default;
};

/// @brief Why no daemon can be named.
enum class EntryDirectoryFailure {
    NoDaemon, ///< none is live
    UnknownModel, ///< no cell routes the model
};

/// @brief Directs callers to daemons and remembers until when which daemon may be used.
///
/// Callers keep answers, so the load follows late: each answer counts as load of the daemon that it names first until the
/// heartbeats show it. A daemon that leaves or is suspect is not named.
class EntryDirectory
{
public:
    explicit EntryDirectory(EntryDirectoryOptions options = {});

    /// @brief Answers a caller.
    /// @param members all daemons of the cell
    /// @param zone zone of the caller, empty where it is not known
    /// @param now the present
    /// @param random spreads callers
    tl::expected<EntryAnswer, EntryDirectoryFailure> answer(const std::vector<Member> &members, const base::ZoneName &zone, base::Time now,
                                                            std::mt19937_64 &random);

    /// @brief Latest time up to which an answer of this daemon names a daemon; the epoch if none does.
    base::Time lastUseUntil(const base::DaemonId &daemon) const;

    /// @brief Longest use of any answer, the same on all daemons.
    base::Duration answerLifetime() const;

private:
    struct Given
    {
        double weight = 0; ///< answers that named it first, fading
        base::Time at;
        base::Time useUntil;
    };

    double expectedLoad(const Member &member, base::Time now) const;

    EntryDirectoryOptions m_options;
    std::map<base::DaemonId, Given> m_given;
};

} // namespace turmericplank::membership
