#include "engine/streams.hpp"

#include <algorithm>

#include "common/program.hpp"

namespace turmericplank::standins::engine {

namespace {

constexpr std::string_view EndMark = "data: [DONE]\n\n";

void sendToken(const Stream &stream, std::uint32_t index)
{
    if (!stream.isReadWhole && index >= stream.readFrom) {
        stream.reader->writeChunk(tokenEvent(stream.eventHead, index, stream.request.text.token(index)));
    }
}

void sendEnd(Stream &stream)
{
    const auto &request = stream.request;
    if (stream.isReadWhole) {
        const auto text = request.text.tokens(stream.readFrom, request.end);
        const net::Headers headers = {{"Content-Type", "application/json"}};
        stream.reader->respond({200, headers, wholeAnswer(request.id, request.model, text, request.end - stream.readFrom)});
    } else {
        stream.reader->writeChunk(std::string(EndMark));
        stream.reader->endStream();
    }
    stream.reader.reset();
}

} // namespace

bool Stream::isFinished() const
{
    return produced >= request.end;
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

void Streams::forgetFinished(base::Time now)
{
    std::erase_if(m_streams, [now](const auto &it) { return it.second.forgetAt && *it.second.forgetAt <= now; });
}

bool Streams::isInUse(const Resident &resident) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&resident](const auto &it) { return !it.second.isFinished() && it.second.resident == resident; });
}

void attach(Stream &stream, net::ExchangePointer reader, std::uint32_t from, bool isWhole)
{
    stream.reader = std::move(reader);
    stream.readFrom = from;
    stream.isReadWhole = isWhole;
    if (!isWhole) {
        stream.reader->startStream(200, {{"Content-Type", "text/event-stream"}});
    }
    for (auto n = from; n < stream.produced; ++n) {
        sendToken(stream, n);
    }
    if (stream.isFinished()) {
        sendEnd(stream);
    }
}

void produce(Stream &stream)
{
    const auto index = stream.produced++;
    if (!stream.reader) {
        return;
    }
    sendToken(stream, index);
    if (stream.isFinished()) {
        sendEnd(stream);
    }
}

} // namespace turmericplank::standins::engine
