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

/// @brief What a daemon tells the others of its part of a limit.
struct LimitClaim
{
    double reserved = 0; ///< what it uses or is about to use
    double demand = 0; ///< what it could use

    friend auto operator<=>(const LimitClaim &, const LimitClaim &) = default;
    friend bool operator==(const LimitClaim &, const LimitClaim &) = default;
};

/// @brief A claim as it came in a heartbeat.
struct HeardClaim
{
    base::DaemonId from;
    LimitClaim claim;
    std::uint64_t acknowledged = 0; ///< highest of this daemon's heartbeats that the sender had taken in
};

/// @brief The rules of a shared limit, as hooks so that a test can show what each is for.
struct SharedLimitRules
{
    /// Whether a reservation may be used, given how many others have acknowledged it.
    std::function<bool(std::size_t acknowledged, std::size_t others)> mayUse = [](std::size_t acknowledged, std::size_t others) {
        return acknowledged == others;
    };
    /// Whether the share may still be used, given how many daemons have heard this one lately, itself included.
    std::function<bool(std::size_t hearing, std::size_t all)> isHeld = [](std::size_t hearing, std::size_t all) {
        return hearing * 2 > all || all == 1;
    };
};

/// @brief Options of a shared limit.
struct SharedLimitOptions
{
    double limit = 0;
    double floorPart = 0.08; ///< part of the limit that is split evenly and needs no agreement
    base::Duration holdFor =
        std::chrono::seconds(6); ///< share is dropped unless a majority has heard this daemon so lately; below the silence after which a daemon is gone
    SharedLimitRules rules;
};

/// @brief This daemon's part of a limit that belongs to all daemons of the cell together.
///
/// A daemon reserves, tells the others, and uses the reservation once all of them have acknowledged it and their own
/// reservations leave room: of two that reserve at once, each sees the other's before it uses its own. Giving back takes
/// effect at once. The sum of all shares therefore never exceeds the limit, whatever messages are lost. A daemon that is
/// not heard by the majority stops using its share before the others may think it gone.
class SharedLimit
{
public:
    /// @param self this daemon; of two whose reservations collide the lower name goes first
    /// @param options the limit and rules
    SharedLimit(base::DaemonId self, SharedLimitOptions options);

    /// @brief Changes the limit; a share above the new one shrinks at once.
    void setLimit(double limit);

    /// @brief Takes the other daemons that are not gone.
    /// @param others their names
    /// @param registered number of all registered daemons, gone ones included; each has its part of the floor
    void setOthers(const std::vector<base::DaemonId> &others, std::size_t registered);

    /// @brief Takes another daemon's claim.
    void noteClaim(const HeardClaim &heard);

    /// @brief Decides anew what to reserve and use; call it before each heartbeat and after each claim.
    /// @param demand what this daemon could use
    /// @param inUse what it cannot give back now, for limits of things in flight; zero for rates
    /// @param now the present
    void update(double demand, double inUse, base::Time now);

    /// @brief What to tell the others.
    /// @param sequence number of the heartbeat that carries it; never used before, not even by an earlier process of this name
    /// @param now the present
    LimitClaim claim(std::uint64_t sequence, base::Time now);

    /// @brief What this daemon may use now.
    double share(base::Time now) const;

private:
    struct Sent
    {
        std::uint64_t sequence = 0;
        base::Time at;
    };

    struct Other
    {
        LimitClaim claim;
        std::uint64_t acknowledged = 0;
        base::Time heardMeAt; ///< when the heartbeat that it acknowledged last was sent; the epoch if none was
    };

    double pool() const;
    double floorShare() const;
    double target(double demand) const;
    double othersReserved() const;
    bool isHeld(base::Time now) const;
    bool isAcknowledged() const;
    bool mustYield() const;

    base::DaemonId m_self;
    SharedLimitOptions m_options;
    std::map<base::DaemonId, Other> m_others;
    std::size_t m_registered = 1;
    std::deque<Sent> m_sent; ///< the latest heartbeats
    double m_reserved = 0;
    double m_used = 0;
    double m_demand = 0;
    std::optional<std::uint64_t> m_toldAt; ///< heartbeat that first carried the reservation
    bool m_isTold = true;
};

} // namespace turmericplank::routing
