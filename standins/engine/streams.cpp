#include "engine/streams.hpp"

#include <algorithm>

#include "common/program.hpp"

namespace turmericplank::standins::engine {

namespace {

constexpr std::string_view EndEvent = "data: [DONE]\n\n";

void sendToken(const Stream &stream, std::uint32_t index)
{
    if (!stream.isBuffered && index >= stream.firstTokenIndex) {
        stream.reader->writeChunk(tokenEvent(stream.eventPrefix, index, stream.request.text.token(index)));
    }
}

void sendEnd(Stream &stream)
{
    const auto &request = stream.request;
    if (stream.isBuffered) {
        const auto text = request.text.tokens(stream.firstTokenIndex, request.end);
        const net::Headers headers = {{"Content-Type", "application/json"}};
        stream.reader->respond({200, headers, chatCompletionBody(request.id, request.model, text, request.end - stream.firstTokenIndex)});
    } else {
        stream.reader->writeChunk(std::string(EndEvent));
        stream.reader->endStream();
    }
    stream.reader.reset();
}

} // namespace

bool Stream::isFinished() const
{
    return generated >= request.end;
}

Stream &Streams::add(Stream stream)
{
    const auto id = stream.request.id;
    return m_streams.insert_or_assign(id, std::move(stream)).first->second;
}

Stream *Streams::find(const std::string &id)
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : &it->second;
}

void Streams::remove(const std::string &id)
{
    m_streams.erase(id);
}

void Streams::removeExpired(base::Time now)
{
    std::erase_if(m_streams, [now](const auto &it) { return it.second.removeAt && *it.second.removeAt <= now; });
}

bool Streams::isInUse(const Resident &resident) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&resident](const auto &it) { return !it.second.isFinished() && it.second.resident == resident; });
}

void attach(Stream &stream, net::ExchangePointer reader, std::uint32_t from, bool isBuffered)
{
    stream.reader = std::move(reader);
    stream.firstTokenIndex = from;
    stream.isBuffered = isBuffered;
    if (!isBuffered) {
        stream.reader->startStream(200, {{"Content-Type", "text/event-stream"}});
    }
    for (auto n = from; n < stream.generated; ++n) {
        sendToken(stream, n);
    }
    if (stream.isFinished()) {
        sendEnd(stream);
    }
}

void generateToken(Stream &stream)
{
    const auto index = stream.generated++;
    if (!stream.reader) {
        return;
    }
    sendToken(stream, index);
    if (stream.isFinished()) {
        sendEnd(stream);
    }
}

} // namespace turmericplank::standins::engine
