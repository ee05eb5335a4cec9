#include "turmericplank/peer/incomingconnection.hpp"

#include <utility>
#include <vector>

namespace turmericplank::peer {

namespace {

constexpr std::string_view PathPrefix = "/peer/";
constexpr int MaxDeferringReads = 16; ///< reads in a row, of 32 KB each, after which calls are handled although more bytes have arrived

struct IncomingStream
{
    std::string kind;
    base::DaemonId from;
    std::string body;
    std::shared_ptr<std::function<void()>> onCancelled;
    std::shared_ptr<std::function<void()>> onWritten;
    bool hasStartedResponse = false;
};

/// One accepted connection and its streams by id.
struct IncomingConnection
{
    boost::intrusive_ptr<IncomingContext> context;
    Http2Session *session = nullptr; ///< null once the connection has closed
    std::map<std::int32_t, IncomingStream> streams;
    std::vector<std::int32_t> receivedCalls; ///< streams whose calls are complete and not handled yet
    int deferringReads = 0;
};

using IncomingConnectionPointer = std::shared_ptr<IncomingConnection>;

void applyHeader(IncomingStream &stream, std::string_view name, std::string_view value)
{
    if (name == ":path" && value.starts_with(PathPrefix)) {
        stream.kind = value.substr(PathPrefix.size());
    } else if (name == "x-from") {
        stream.from = base::DaemonId(std::string(value));
    }
}

void ensureResponseStarted(const IncomingConnectionPointer &connection, std::int32_t streamId)
{
    const auto it = connection->streams.find(streamId);
    if (connection->session && it != connection->streams.end() && !std::exchange(it->second.hasStartedResponse, true)) {
        connection->session->startResponse(streamId, {{":status", "200"}});
    }
}

PeerResponder makeResponder(const IncomingConnectionPointer &connection, std::int32_t streamId)
{
    PeerResponder responder;
    responder.write = [connection, streamId](std::string chunk) {
        ensureResponseStarted(connection, streamId);
        if (connection->session) {
            connection->session->write(streamId, std::move(chunk));
        }
    };
    responder.end = [connection, streamId] {
        ensureResponseStarted(connection, streamId);
        if (connection->session) {
            connection->session->end(streamId);
        }
    };
    responder.reject = [connection, streamId] {
        const auto it = connection->streams.find(streamId);
        if (connection->session && it != connection->streams.end()) {
            connection->session->reset(streamId, it->second.hasStartedResponse ? NGHTTP2_INTERNAL_ERROR : NGHTTP2_REFUSED_STREAM);
        }
    };
    responder.queuedBytes = [connection, streamId] {
        return connection->session ? connection->session->queuedBytes(streamId) : std::size_t(0);
    };
    responder.onCancelled = std::make_shared<std::function<void()>>();
    responder.onWritten = std::make_shared<std::function<void()>>();
    return responder;
}

void dispatch(const IncomingConnectionPointer &connection, std::int32_t streamId)
{
    auto &stream = connection->streams[streamId];
    const auto handler = connection->context->handlers.find(stream.kind);
    if (handler == connection->context->handlers.end() || connection->context->isStopping) {
        connection->session->reset(streamId, NGHTTP2_REFUSED_STREAM);
        return;
    }
    auto responder = makeResponder(connection, streamId);
    stream.onCancelled = responder.onCancelled;
    stream.onWritten = responder.onWritten;
    const auto callback = handler->second;
    callback(stream.from, std::move(stream.body), std::move(responder));
}

/// Calls are handled once everything that has arrived is decoded, since their cancellation may be part of it.
void dispatchReceived(const IncomingConnectionPointer &connection, bool hasMore)
{
    if (hasMore && ++connection->deferringReads < MaxDeferringReads) {
        return;
    }
    connection->deferringReads = 0;
    for (const auto streamId : std::exchange(connection->receivedCalls, {})) {
        if (connection->session && connection->streams.contains(streamId)) {
            dispatch(connection, streamId);
        }
    }
}

void closeStream(const IncomingConnectionPointer &connection, std::int32_t streamId, std::uint32_t errorCode)
{
    const auto it = connection->streams.find(streamId);
    if (it == connection->streams.end()) {
        return;
    }
    const auto stream = std::move(it->second);
    connection->streams.erase(it);
    if (errorCode != NGHTTP2_NO_ERROR && stream.onCancelled && *stream.onCancelled) {
        // The callback may release what it belongs to.
        const auto onCancelled = std::exchange(*stream.onCancelled, nullptr);
        onCancelled();
    }
}

void noteWritten(const IncomingConnectionPointer &connection, std::int32_t streamId)
{
    const auto it = connection->streams.find(streamId);
    if (it == connection->streams.end() || !it->second.onWritten) {
        return;
    }
    // The callback may release what it belongs to.
    if (const auto onWritten = *it->second.onWritten) {
        onWritten();
    }
}

Http2Callbacks makeCallbacks(const IncomingConnectionPointer &connection)
{
    Http2Callbacks callbacks;
    callbacks.onHeader = [connection](std::int32_t streamId, std::string_view name, std::string_view value) {
        applyHeader(connection->streams[streamId], name, value);
    };
    callbacks.onData = [connection](std::int32_t streamId, std::string_view chunk) {
        auto &body = connection->streams[streamId].body;
        body.append(chunk);
        if (body.size() > connection->context->options.maxBodyBytes) {
            body.clear();
            connection->session->reset(streamId, NGHTTP2_REFUSED_STREAM);
        }
    };
    callbacks.onEndStream = [connection](std::int32_t streamId) {
        connection->receivedCalls.push_back(streamId);
    };
    callbacks.onRead = [connection](bool hasMore) {
        dispatchReceived(connection, hasMore);
    };
    callbacks.onStreamClosed = [connection](std::int32_t streamId, std::uint32_t errorCode) {
        closeStream(connection, streamId, errorCode);
    };
    callbacks.onWritten = [connection](std::int32_t streamId) {
        noteWritten(connection, streamId);
    };
    callbacks.onClosed = [connection] {
        auto *session = std::exchange(connection->session, nullptr);
        while (!connection->streams.empty()) {
            closeStream(connection, connection->streams.begin()->first, NGHTTP2_CANCEL);
        }
        connection->context->sessions.erase(session);
    };
    return callbacks;
}

} // namespace

void serveIncomingConnection(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<IncomingContext> context, std::uint64_t &byteCounter)
{
    const auto connection = std::make_shared<IncomingConnection>();
    connection->context = context;
    const Http2Options options{true, context->options.pingInterval, context->options.pingTimeout};
    const auto session = boost::intrusive_ptr<Http2Session>(new Http2Session(std::move(socket), options, makeCallbacks(connection), byteCounter));
    connection->session = session.get();
    context->sessions.emplace(session.get(), session);
    session->start();
}

} // namespace turmericplank::peer
