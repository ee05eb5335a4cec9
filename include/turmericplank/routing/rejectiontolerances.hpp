#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/time.hpp"

namespace turmericplank::routing {

/// @brief Rejections per second that each endpoint of a service survives, as last stated in an answer to one daemon.
struct RejectionTolerance
{
    base::ServiceName service;
    std::uint32_t rejectionsPerSecond = 0;
    base::Time heardAt;

    friend auto operator<=>(const RejectionTolerance &, const RejectionTolerance &) = default;
    friend bool operator==(const RejectionTolerance &, const RejectionTolerance &) = default;
};

/// @brief How long statements of endpoints hold.
struct RejectionTolerancesOptions
{
    base::Duration lifetime = std::chrono::seconds(10); ///< after the last answer with a statement; answers may be few
    /// An answer without a statement counts only if it comes this long after the last one with it, since answers of several endpoints overlap.
    base::Duration overlap = std::chrono::seconds(2);
};

/// @brief Which services currently state that their endpoints fail if they reject too many calls per second.
///
/// A statement of one endpoint holds for all endpoints of its service. It is known from this daemon's own answers or from other daemons.
class RejectionTolerances
{
public:
    explicit RejectionTolerances(RejectionTolerancesOptions options = {});

    /// @brief Applies an answer of an endpoint.
    /// @param service service of the endpoint
    /// @param rejectionsPerSecond as stated in the answer; nothing if it states none
    /// @param now current time
    void noteAnswer(const base::ServiceName &service, std::optional<std::uint32_t> rejectionsPerSecond, base::Time now);

    /// @brief Applies what another daemon has heard in answers to it.
    void notePeer(const RejectionTolerance &heard);

    /// @brief Rejections per second that each endpoint of a service survives; nothing if the service states no limit.
    std::optional<std::uint32_t> find(const base::ServiceName &service, base::Time now) const;

    /// @brief All services with a limit, and the limits.
    std::map<base::ServiceName, std::uint32_t> all(base::Time now) const;

    /// @brief Statements that this daemon has heard itself and that still hold, for the other daemons.
    std::vector<RejectionTolerance> ownStatements(base::Time now) const;

private:
    struct Service
    {
        std::optional<RejectionTolerance> own; ///< heard by this daemon
        std::optional<RejectionTolerance> latest; ///< heard by any daemon
        std::optional<base::Time> lastWithoutStatement; ///< last answer to this daemon without a statement
    };

    bool isValid(const Service &service, const std::optional<RejectionTolerance> &statement, base::Time now) const;

    RejectionTolerancesOptions m_options;
    std::map<base::ServiceName, Service> m_services;
};

} // namespace turmericplank::routing
