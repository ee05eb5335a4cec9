#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace turmericplank::requests {

/// @brief Why a stream of an engine cannot be parsed.
enum class StreamFailure { EventTooLong, InvalidChunk };

/// @brief A token of a stream, or its end.
struct StreamedToken
{
    std::uint64_t offset = 0;
    std::string chunk; ///< JSON of the event, unchanged
    bool isEnd = false;

    friend bool operator==(const StreamedToken &, const StreamedToken &) = default;
};

/// @brief Parses server-sent events, whatever the boundaries of the reads.
class EventStream
{
public:
    /// @brief Adds received bytes.
    /// @param bytes next bytes of the stream
    /// @return the tokens that are complete now
    tl::expected<std::vector<StreamedToken>, StreamFailure> feed(std::string_view bytes);

private:
    static constexpr std::size_t MaxLineBytes = 1024 * 1024;

    std::string m_buffer;
};

/// @brief Text of the first choice in a chunk, empty if there is none.
/// @param chunk JSON of the event
std::string chunkText(std::string_view chunk);

/// @brief Replaces the id in a chunk.
/// @param chunk JSON of the event
/// @param id request id that the caller knows
std::string chunkWithId(std::string_view chunk, std::string_view id);

/// @brief Body of the answer to a request without streaming.
/// @param id request id
/// @param model model name from the request
/// @param text text of all tokens
/// @param tokens number of tokens
std::string chatCompletionBody(std::string_view id, std::string_view model, std::string_view text, std::uint64_t tokens);

} // namespace turmericplank::requests
