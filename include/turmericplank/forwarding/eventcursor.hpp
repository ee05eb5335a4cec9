#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace turmericplank::forwarding {

/// @brief Max bytes between the ends of two events, which have well below 4 KB.
constexpr std::size_t MaxEventBytes = 64 * 1024;

/// @brief Why a stream cannot be followed any longer.
enum class StreamFailure {
    EventTooLong, ///< no event has ended within MaxEventBytes
};

/// @brief Splits a stream of numbered server-sent events into complete events, whatever the boundaries of the reads.
///
/// What has no number, such as a comment, is no event; it is passed on together with the next event.
/// If the stream continues at another endpoint, its bytes go to the same cursor, which drops events already passed on.
class EventCursor
{
public:
    /// @param lastEvent number of the last event that the caller already received, if any
    explicit EventCursor(std::optional<std::uint64_t> lastEvent = std::nullopt);

    /// @brief Adds received bytes.
    /// @param bytes next bytes of the stream
    /// @return bytes of the events that are complete now; after a failure the stream must be restarted
    tl::expected<std::string, StreamFailure> feed(std::string_view bytes);

    /// @brief What has come without a number since the last event; to be passed on at the end of the stream.
    std::string takeUnnumbered();

    /// @brief Whether something has come without a number since the last event.
    bool hasUnnumbered() const;

    /// @brief Starts another endpoint's stream and drops the incomplete event of the previous one.
    void restart();

    /// @brief Number of the last event that was passed on, or that the caller had at the start.
    std::optional<std::uint64_t> lastEvent() const;

    /// @brief Whether an incomplete event is buffered.
    bool hasPartialEvent() const;

    /// @brief Number of events passed on.
    std::uint64_t events() const;

private:
    std::optional<std::uint64_t> m_lastEvent;
    std::string m_buffer; ///< bytes of the incomplete event
    std::string m_unnumbered; ///< complete parts without a number, since the last event
    std::uint64_t m_events = 0;
};

} // namespace turmericplank::forwarding
