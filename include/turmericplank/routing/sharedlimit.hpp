#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief A daemon's claim on a shared limit, as sent to the other daemons.
struct LimitClaim
{
    double reserved = 0; ///< amount that it uses or is about to use
    double demand = 0; ///< amount that it could use

    friend auto operator<=>(const LimitClaim &, const LimitClaim &) = default;
    friend bool operator==(const LimitClaim &, const LimitClaim &) = default;
};

/// @brief A claim received in a heartbeat.
struct ReceivedClaim
{
    base::DaemonId from;
    LimitClaim claim;
    std::uint64_t acknowledged = 0; ///< highest sequence of this daemon's heartbeats that the sender had received
};

/// @brief Rules of a shared limit. They can be replaced so that a test can show what fails without each of them.
struct SharedLimitRules
{
    /// Whether a reservation may be used, given how many of the other daemons have acknowledged it.
    std::function<bool(std::size_t acknowledged, std::size_t others)> mayUse = [](std::size_t acknowledged, std::size_t others) {
        return acknowledged == others;
    };
    /// Whether the share may still be used, given how many daemons have recently heard this one, itself included.
    std::function<bool(std::size_t acknowledging, std::size_t all)> isLeaseValid = [](std::size_t acknowledging, std::size_t all) {
        return acknowledging * 2 > all || all == 1;
    };
};

/// @brief Options of a shared limit.
struct SharedLimitOptions
{
    double limit = 0;
    double guaranteedPart = 0.08; ///< fraction of the limit that is split evenly and needs no agreement
    /// A share expires unless a majority heard this daemon within this time. Must be shorter than the silence after which a
    /// daemon counts as gone.
    base::Duration leaseDuration = std::chrono::seconds(6);
    SharedLimitRules rules;
};

/// @brief This daemon's share of a limit that applies to all daemons of the cell together.
///
/// A daemon reserves an amount, announces it, and uses it once all other daemons have acknowledged it and their own
/// reservations leave enough capacity: of two daemons that reserve at the same time, each sees the other's reservation
/// before it uses its own. Releasing takes effect at once. The sum of all shares therefore never exceeds the limit,
/// whichever messages are lost. A daemon that the majority does not hear stops using its share before the others may
/// consider it gone.
class SharedLimit
{
public:
    /// @param self this daemon; if two reservations conflict, the daemon with the lower name wins
    /// @param options the limit and its rules
    SharedLimit(base::DaemonId self, SharedLimitOptions options);

    /// @brief Changes the limit; a lower limit reduces the share in proportion at once.
    void setLimit(double limit);

    /// @brief Sets the other daemons that are not gone.
    /// @param others their names
    /// @param registered number of all registered daemons, gone ones included; each has an equal part of the guaranteed part
    void setOthers(const std::vector<base::DaemonId> &others, std::size_t registered);

    /// @brief Records another daemon's claim.
    void noteClaim(const ReceivedClaim &heard);

    /// @brief Recomputes the reservation and the share; to be called before each heartbeat and after each claim.
    /// @param demand amount that this daemon could use
    /// @param inUse amount that it cannot release now, for limits on concurrent operations; zero for rates
    /// @param now current time
    void update(double demand, double inUse, base::Time now);

    /// @brief The claim to send to the other daemons.
    /// @param sequence sequence number of the heartbeat that carries the claim; must not have been used before, not even by an
    ///        earlier process of the same name
    /// @param now current time
    LimitClaim claim(std::uint64_t sequence, base::Time now);

    /// @brief Amount that this daemon may use now.
    double share(base::Time now) const;

private:
    struct SentHeartbeat
    {
        std::uint64_t sequence = 0;
        base::Time at;
    };

    struct OtherDaemon
    {
        LimitClaim claim;
        std::uint64_t acknowledged = 0;
        base::Time acknowledgedSentAt; ///< send time of the last heartbeat that it acknowledged; the epoch if there is none
    };

    double pool() const;
    double guaranteedShare() const;
    double target(double demand) const;
    double othersReserved() const;
    bool isLeaseValid(base::Time now) const;
    bool isAcknowledged() const;
    bool mustYield() const;

    base::DaemonId m_self;
    SharedLimitOptions m_options;
    std::map<base::DaemonId, OtherDaemon> m_others;
    std::size_t m_registered = 1;
    std::deque<SentHeartbeat> m_sent; ///< latest heartbeats
    double m_reserved = 0;
    double m_used = 0;
    double m_demand = 0;
    std::optional<std::uint64_t> m_announcedIn; ///< sequence of the heartbeat that first carried the reservation
    bool m_isAnnounced = true;
};

} // namespace turmericplank::routing
