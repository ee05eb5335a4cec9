#pragma once

#include <map>
#include <optional>
#include <string>

#include "engine/chatrequest.hpp"
#include "engine/orderregistry.hpp"
#include "turmericplank/net/httpserver.hpp"

namespace turmericplank::standins::engine {

/// @brief A token stream and the exchange that receives it.
struct Stream
{
    ChatRequest request;
    std::string eventPrefix; ///< common start of all events, see eventPrefix()
    Resident resident; ///< model and version that serve the stream
    std::uint32_t generated = 0; ///< index after the last generated token
    bool crashesEngine = false; ///< whether the process crashes when the first token is due
    net::ExchangePointer reader; ///< null if no caller is connected
    std::uint32_t firstTokenIndex = 0; ///< index of the first token that the reader wants
    bool isBuffered = false; ///< whether the reader gets all tokens in one answer at the end
    std::optional<base::Time> removeAt; ///< set when the stream is finished

    /// @brief Whether all tokens are generated.
    bool isFinished() const;
};

/// @brief Streams of an engine by request id. Finished streams are kept for a while so that callers can resume them.
class Streams
{
public:
    /// @brief Adds a stream; replaces an earlier one with the same request id.
    Stream &add(Stream stream);

    /// @brief Finds a stream.
    /// @param id request id
    /// @return null if there is no such stream
    Stream *find(const std::string &id);

    /// @brief Removes a stream.
    /// @param id request id
    void remove(const std::string &id);

    /// @brief Removes the finished streams whose retention time is over.
    void removeExpired(base::Time now);

    /// @brief Whether a model in one version serves an unfinished stream.
    bool isInUse(const Resident &resident) const;

private:
    std::map<std::string, Stream> m_streams;
};

/// @brief Attaches a reader to a stream and sends it the tokens generated so far.
/// @param reader exchange that receives the stream from now on
/// @param from index of the first token that the reader wants
/// @param isBuffered whether the reader wants all tokens in one answer at the end
void attach(Stream &stream, net::ExchangePointer reader, std::uint32_t from, bool isBuffered);

/// @brief Generates the next token of a stream and sends it to the reader.
/// @param stream a stream that is not finished
void generateToken(Stream &stream);

} // namespace turmericplank::standins::engine
