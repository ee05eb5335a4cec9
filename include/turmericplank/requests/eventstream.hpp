#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace turmericplank::requests {

/// @brief Why an engine's stream cannot be followed.
enum class StreamFailure { EventTooLong, NotAChunk };

/// @brief One token of a stream, or its end.
struct StreamedToken
{
    std::uint64_t offset = 0;
    std::string chunk; ///< the event's JSON as it came
    bool isEnd = false;

    friend bool operator==(const StreamedToken &, const StreamedToken &) = default;
};

/// @brief Takes server-sent events apart, however they are cut into pieces.
class EventStream
{
public:
    /// @brief Takes the next bytes.
    /// @param bytes as they came
    /// @return the tokens that are complete now
    tl::expected<std::vector<StreamedToken>, StreamFailure> feed(std::string_view bytes);

private:
    static constexpr std::size_t LineLimit = 1024 * 1024; ///< bytes

    std::string m_rest;
};

/// @brief The text of a chunk's first choice, empty if it has none.
/// @param chunk the event's JSON
std::string chunkText(std::string_view chunk);

/// @brief A chunk under the name that the caller knows.
/// @param chunk the event's JSON
/// @param id name of the request
std::string chunkWithId(std::string_view chunk, std::string_view id);

/// @brief The answer of a caller that did not ask for a stream.
/// @param id name of the request
/// @param model as the caller wrote it
/// @param text all tokens
/// @param tokens how many they are
std::string chatCompletionBody(std::string_view id, std::string_view model, std::string_view text, std::uint64_t tokens);

} // namespace turmericplank::requests
