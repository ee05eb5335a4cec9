#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericplank::forwarding {

/// @brief Follows the numbered events of a stream, however its bytes are cut, and passes on only whole events.
///
/// A stream that goes on at another endpoint is fed to the same cursor: events that were passed on already are left out.
class EventCursor
{
public:
    /// @param lastEvent number of the last event that the caller already has, if any
    explicit EventCursor(std::optional<std::uint64_t> lastEvent = std::nullopt);

    /// @brief Takes the next bytes.
    /// @param bytes as they came
    /// @return bytes of the events that are whole now
    std::string feed(std::string_view bytes);

    /// @brief An endpoint's stream begins; what is left of an event of the one before is dropped.
    void restart();

    /// @brief Number of the last event that was passed on or that the caller had.
    std::optional<std::uint64_t> lastEvent() const;

    /// @brief Whether bytes of an event that is not whole are held.
    bool hasPartialEvent() const;

    /// @brief Events passed on.
    std::uint64_t events() const;

private:
    std::optional<std::uint64_t> m_lastEvent;
    std::string m_rest;
    std::uint64_t m_events = 0;
};

} // namespace turmericplank::forwarding
