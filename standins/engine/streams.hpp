#pragma once

#include <map>
#include <optional>
#include <string>

#include "engine/chatrequest.hpp"
#include "engine/orderregistry.hpp"
#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::standins::engine {

/// @brief One stream of tokens and the caller that reads it.
struct Stream
{
    ChatRequest request;
    std::string eventPrefix; ///< start of each event
    Resident resident; ///< model and version that it runs on
    std::uint32_t generated = 0; ///< index after the last token that was generated
    bool crashesEngine = false; ///< whether its first token ends the process
    net::ExchangePointer reader; ///< nobody if its caller is lost
    std::uint32_t firstTokenIndex = 0; ///< first token of the reader
    bool isBuffered = false; ///< whether the reader gets one answer at the end
    std::optional<base::Time> removeAt; ///< set when it is finished

    /// @brief Whether all tokens were generated.
    bool isFinished() const;
};

/// @brief Streams of an engine by request id; finished ones are kept for a while so that they can be resumed.
class Streams
{
public:
    /// @brief Adds a stream in place of an older one of the same id.
    /// @param stream the stream
    Stream &add(Stream stream);

    /// @brief Finds a stream.
    /// @param id the request
    /// @return nothing if it is unknown
    Stream *find(const std::string &id);

    /// @brief Drops a stream.
    /// @param id the request
    void remove(const std::string &id);

    /// @brief Drops finished streams that were kept long enough.
    /// @param now the present
    void removeExpired(base::Time now);

    /// @brief Whether an unfinished stream runs on a model of one version.
    /// @param resident model and version
    bool isInUse(const Resident &resident) const;

private:
    std::map<std::string, Stream> m_streams;
};

/// @brief Attaches a reader to a stream and sends what was generated already.
/// @param stream the stream
/// @param reader who reads it from now on
/// @param from first token that the reader wants
/// @param isBuffered whether it wants one answer at the end
void attach(Stream &stream, net::ExchangePointer reader, std::uint32_t from, bool isBuffered);

/// @brief Generates the next token of a stream and sends it to its reader.
/// @param stream an unfinished stream
void generateToken(Stream &stream);

} // namespace turmericplank::standins::engine
