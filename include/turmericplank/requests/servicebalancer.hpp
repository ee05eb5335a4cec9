#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "turmericplank/requests/endpointchoice.hpp"

namespace turmericplank::requests {

/// @brief Chooses the instance of a plain service: the least busy one that has not failed lately.
class ServiceBalancer
{
public:
    /// @brief Chooses among a service's instances.
    /// @param instances those that may be used
    /// @param query what is asked; its avoid list is respected
    /// @param now the present
    std::optional<EndpointChoice> choose(const std::vector<EndpointChoice> &instances, const ChoiceQuery &query, base::Time now);
    /// @brief A call was sent.
    void sent(const base::EndpointId &instance);
    /// @brief A call ended.
    void ended(const base::EndpointId &instance, AttemptResult end, base::Time now);
    /// @brief A call was cancelled by its caller.
    void cancelled(const base::EndpointId &instance);

private:
    struct State
    {
        std::uint32_t running = 0;
        base::Time doubtfulUntil; ///< after a failure, used only where nothing else is left
        std::uint64_t lastChosen = 0;
    };

    std::unordered_map<base::EndpointId, State> m_states;
    std::uint64_t m_choices = 0;
};

} // namespace turmericplank::requests
