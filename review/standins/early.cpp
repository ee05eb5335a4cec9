// An endpoint rejects a long request before it has read it, keeps the connection and reads on later.

#include "site.hpp"

using namespace review;

namespace {

constexpr std::size_t LongBodyBytes = 3'500'000; ///< below the configuration's maxBodyBytes
constexpr int ReceiveBufferBytes = 16 * 1024;
constexpr int ReadOnAfter = 500; ///< milliseconds
constexpr int Rounds = 4;
constexpr int ShortCalls = 50; ///< in each round, beside one long one: 2 in 100 requests are long

struct State
{
    Record &record;
    bool hasTrouble;
    std::atomic<int> wrongBodies{0};
    std::atomic<int> longBodies{0};
    std::atomic<int> runs{0};
};

void answer(const SocketPointer &socket, const std::string &status, const std::string &id, const std::string &more, const std::string &body)
{
    socket->send("HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// The bodies of long requests consist of the letter a.
void checkLongBody(State &state, const std::string &id, const std::string &body, std::size_t length)
{
    ++state.longBodies;
    const auto wrong = body.find_first_not_of('a');
    if (wrong == std::string::npos) {
        state.record.add("endpoint: read " + std::to_string(body.size()) + " of " + std::to_string(length) + " body bytes of " + id + ", all as sent");
        return;
    }
    ++state.wrongBodies;
    auto found = body.substr(wrong, 100);
    for (auto &it : found) {
        it = it == '\r' || it == '\n' ? '|' : it;
    }
    state.record.add("endpoint: OTHER BYTES in the body of " + id + " at " + std::to_string(wrong) + ": " + found);
}

void serve(State &state, const SocketPointer &socket)
{
    Reader reader(socket);
    while (const auto head = reader.head(20000)) {
        const auto id = head->field("request-id");
        const auto length = head->length();
        const bool isLong = length > 1'000'000;
        if (isLong && state.hasTrouble) {
            answer(socket, "503 Service Unavailable", id, "Not-Executed: 1\r\n", "");
            state.record.add("endpoint: answers " + id + " with 503 Not-Executed before it has read the body");
            sleepFor(ReadOnAfter);
            const auto body = reader.bytes(length, 3000);
            checkLongBody(state, id, body, length);
            if (body.size() < length) {
                return;
            }
            continue;
        }
        const auto body = reader.bytes(length, 3000);
        if (isLong) {
            checkLongBody(state, id, body, length);
        }
        if (body.size() < length) {
            return;
        }
        ++state.runs;
        state.record.add("endpoint: runs " + id);
        answer(socket, "200 OK", id, "Server-Seal: seal\r\n", "done");
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = readArguments(argc, argv);
    Record record(arguments.recordFile);
    State state{record, arguments.hasTrouble};
    Site site(arguments.programs, arguments.work, arguments.basePort);
    const Server server(
        site.port(1), [&state](const SocketPointer &socket) { serve(state, socket); }, ReceiveBufferBytes);
    if (!server.isListening() || !site.startStore()) {
        return CannotRun;
    }
    const Json book{{"name", "book"}, {"host", "site.example"}, {"prefix", "/book/"}, {"kind", "unsafe"}, {"timeoutMs", 3000},
                    {"goalMs", 300},  {"priority", 2},          {"service", "desk"},  {"maxAttempts", 1}};
    site.putConfiguration(1, Json::array({book}), Json::array({{{"name", "desk"}, {"healthPath", "/health"}, {"maxConns", 100}}}));
    site.setEndpoint("desk-1", "desk", site.port(1));
    site.startDaemon(1);
    if (!Site::waitUntil(15000, [&site] { return site.isReady(1); })) {
        return CannotRun;
    }
    for (int round = 0; round < Rounds; ++round) {
        const auto longId = "long-" + std::to_string(round);
        const auto longAnswer = call(site.callerPort(1), requestText("POST", "/book/" + longId, longId, std::string(LongBodyBytes, 'a')));
        record.add("caller: " + longId + " answered " + longAnswer.head.firstLine);
        for (int n = 0; n < ShortCalls; ++n) {
            const auto id = "short-" + std::to_string(round) + '-' + std::to_string(n);
            const auto shortAnswer = call(site.callerPort(1), requestText("POST", "/book/" + id, id, "two trucks"));
            record.add("caller: " + id + " answered " + shortAnswer.head.firstLine);
            sleepFor(20);
        }
        sleepFor(1500);
    }
    record.add("long bodies " + std::to_string(state.longBodies) + ", with other bytes in them " + std::to_string(state.wrongBodies) + ", requests run "
               + std::to_string(state.runs));
    const bool hasRun = state.longBodies == Rounds && state.runs > Rounds;
    if (state.wrongBodies > 0) {
        return Broken;
    }
    return hasRun ? Held : CannotRun;
}
