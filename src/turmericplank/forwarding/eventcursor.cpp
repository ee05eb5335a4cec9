#include "turmericplank/forwarding/eventcursor.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericplank::forwarding {

namespace {

/// Position after the blank line that ends the first event; npos if the event is incomplete.
/// @param from position before which no event ends
std::size_t eventEnd(std::string_view text, std::size_t from = 0)
{
    for (auto n = text.find('\n', from); n != std::string_view::npos; n = text.find('\n', n + 1)) {
        if (n + 1 < text.size() && text[n + 1] == '\n') {
            return n + 2;
        }
        if (n + 2 < text.size() && text[n + 1] == '\r' && text[n + 2] == '\n') {
            return n + 3;
        }
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    for (std::size_t begin = 0; begin < event.size();) {
        const auto end = std::min(event.find('\n', begin), event.size());
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        const auto [position, ec] = std::from_chars(line.data(), line.data() + line.size(), number);
        return ec == std::errc() ? std::optional(number) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

EventCursor::EventCursor(std::optional<std::uint64_t> lastEvent)
    : m_lastEvent(lastEvent)
{
}

tl::expected<std::string, StreamFailure> EventCursor::feed(std::string_view bytes)
{
    constexpr std::size_t MaxSplitEnd = 2; ///< bytes of a blank line of which the rest has not arrived
    const auto searched = m_buffer.size() - std::min(m_buffer.size(), MaxSplitEnd);
    m_buffer.append(bytes);
    auto lastEvent = m_lastEvent;
    auto events = m_events;
    auto unnumbered = m_unnumbered;
    std::string complete;
    std::string_view remaining = m_buffer;
    for (auto end = eventEnd(remaining, searched); end != std::string_view::npos; end = eventEnd(remaining)) {
        const auto event = remaining.substr(0, end);
        remaining.remove_prefix(end);
        const auto number = eventNumber(event);
        if (!number) {
            unnumbered.append(event);
            continue;
        }
        const bool isRepeated = lastEvent && *number <= *lastEvent;
        if (!isRepeated) {
            lastEvent = number;
            ++events;
            complete.append(unnumbered).append(event);
        }
        unnumbered.clear();
    }
    if (unnumbered.size() + remaining.size() > MaxEventBytes) {
        restart();
        return tl::make_unexpected(StreamFailure::EventTooLong);
    }
    m_buffer.erase(0, m_buffer.size() - remaining.size());
    m_lastEvent = lastEvent;
    m_events = events;
    m_unnumbered = std::move(unnumbered);
    return complete;
}

std::string EventCursor::takeUnnumbered()
{
    return std::exchange(m_unnumbered, {});
}

bool EventCursor::hasUnnumbered() const
{
    return !m_unnumbered.empty();
}

void EventCursor::restart()
{
    m_buffer.clear();
    m_unnumbered.clear();
}

std::optional<std::uint64_t> EventCursor::lastEvent() const
{
    return m_lastEvent;
}

bool EventCursor::hasPartialEvent() const
{
    return !m_buffer.empty();
}

std::uint64_t EventCursor::events() const
{
    return m_events;
}

} // namespace turmericplank::forwarding
