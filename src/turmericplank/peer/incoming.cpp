#include "turmericplank/peer/incoming.hpp"

#include <utility>

namespace turmericplank::peer {

namespace {

constexpr std::string_view PathPrefix = "/peer/";

struct IncomingStream
{
    std::string kind;
    base::DaemonId from;
    std::string body;
    std::shared_ptr<std::function<void()>> onCancelled;
    bool isAnswering = false;
};

/// Streams of one connection, by stream number.
struct IncomingState
{
    boost::intrusive_ptr<IncomingShared> shared;
    Http2Session *session = nullptr; ///< nothing once the connection has closed
    std::map<std::int32_t, IncomingStream> streams;
};

using StatePointer = std::shared_ptr<IncomingState>;

void takeHeader(IncomingStream &stream, std::string_view name, std::string_view value)
{
    if (name == ":path" && value.starts_with(PathPrefix)) {
        stream.kind = value.substr(PathPrefix.size());
    } else if (name == "x-from") {
        stream.from = base::DaemonId(std::string(value));
    }
}

void startAnswerOnce(const StatePointer &state, std::int32_t number)
{
    const auto it = state->streams.find(number);
    if (state->session && it != state->streams.end() && !std::exchange(it->second.isAnswering, true)) {
        state->session->startAnswer(number, {{":status", "200"}});
    }
}

PeerResponder makeAnswer(const StatePointer &state, std::int32_t number)
{
    PeerResponder answer;
    answer.write = [state, number](std::string piece) {
        startAnswerOnce(state, number);
        if (state->session) {
            state->session->write(number, std::move(piece));
        }
    };
    answer.end = [state, number] {
        startAnswerOnce(state, number);
        if (state->session) {
            state->session->end(number);
        }
    };
    answer.reject = [state, number] {
        const auto it = state->streams.find(number);
        if (state->session && it != state->streams.end()) {
            state->session->reset(number, it->second.isAnswering ? NGHTTP2_INTERNAL_ERROR : NGHTTP2_REFUSED_STREAM);
        }
    };
    answer.onCancelled = std::make_shared<std::function<void()>>();
    return answer;
}

void dispatch(const StatePointer &state, std::int32_t number)
{
    auto &stream = state->streams[number];
    const auto handler = state->shared->handlers.find(stream.kind);
    if (handler == state->shared->handlers.end() || state->shared->isStopping) {
        state->session->reset(number, NGHTTP2_REFUSED_STREAM);
        return;
    }
    auto answer = makeAnswer(state, number);
    stream.onCancelled = answer.onCancelled;
    const auto hook = handler->second;
    hook(stream.from, std::move(stream.body), std::move(answer));
}

void closeStream(const StatePointer &state, std::int32_t number, std::uint32_t errorCode)
{
    const auto it = state->streams.find(number);
    if (it == state->streams.end()) {
        return;
    }
    const auto stream = std::move(it->second);
    state->streams.erase(it);
    if (errorCode != NGHTTP2_NO_ERROR && stream.onCancelled && *stream.onCancelled) {
        (*stream.onCancelled)();
    }
}

Http2Hooks makeHooks(const StatePointer &state)
{
    Http2Hooks hooks;
    hooks.onHeader = [state](std::int32_t number, std::string_view name, std::string_view value) {
        takeHeader(state->streams[number], name, value);
    };
    hooks.onData = [state](std::int32_t number, std::string_view piece) {
        auto &body = state->streams[number].body;
        body.append(piece);
        if (body.size() > state->shared->options.maxBodyBytes) {
            body.clear();
            state->session->reset(number, NGHTTP2_REFUSED_STREAM);
        }
    };
    hooks.onRemoteEnd = [state](std::int32_t number) {
        dispatch(state, number);
    };
    hooks.onStreamClosed = [state](std::int32_t number, std::uint32_t errorCode) {
        closeStream(state, number, errorCode);
    };
    hooks.onClosed = [state] {
        auto *session = std::exchange(state->session, nullptr);
        while (!state->streams.empty()) {
            closeStream(state, state->streams.begin()->first, NGHTTP2_CANCEL);
        }
        state->shared->sessions.erase(session);
    };
    return hooks;
}

} // namespace

void serveIncoming(boost::asio::ip::tcp::socket socket, boost::intrusive_ptr<IncomingShared> shared, std::uint64_t &byteCounter)
{
    const auto state = std::make_shared<IncomingState>();
    state->shared = shared;
    const Http2Options options{true, shared->options.pingInterval, shared->options.pingTimeout};
    const auto session = boost::intrusive_ptr<Http2Session>(new Http2Session(std::move(socket), options, makeHooks(state), byteCounter));
    state->session = session.get();
    shared->sessions.emplace(session.get(), session);
    session->start();
}

} // namespace turmericplank::peer
