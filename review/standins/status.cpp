// For four seconds all replicas fail 45 in 100 of their requests, some of them with statuses that not every HTTP library knows by name.

#include "site.hpp"

using namespace review;

namespace {

constexpr int Replicas = 3;
constexpr int Calls = 240;
constexpr int FailedOfTwenty = 9; ///< requests of a replica while it fails
constexpr int FailingMilliseconds = 4000;
constexpr int FailureStatuses[] = {529, 500, 425, 520}; ///< 425 is a registered status

struct State
{
    Record &record;
    bool hasTrouble;
    std::mutex mutex;
    std::map<std::string, int> statusOf{}; ///< last status that a replica gave to a request
    int failures = 0;
    std::map<int, int> requestsOf{}; ///< of each replica
    Clock::time_point failsUntil{};
};

std::string respond(State &state, int replica, const std::string &id)
{
    const std::lock_guard lock(state.mutex);
    const bool fails = state.hasTrouble && Clock::now() < state.failsUntil && state.requestsOf[replica]++ % 20 < FailedOfTwenty;
    const int status = fails ? FailureStatuses[state.failures++ % std::size(FailureStatuses)] : 200;
    state.statusOf[id] = status;
    state.record.add("replica desk-" + std::to_string(replica) + ": runs " + id + ", answers " + std::to_string(status));
    const std::string body = fails ? "failed" : "done";
    return "HTTP/1.1 " + std::to_string(status) + (fails ? " Failed" : " OK") + "\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" + std::to_string(replica)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void serve(State &state, int replica, const SocketPointer &socket)
{
    Reader reader(socket);
    while (const auto head = reader.head(20000)) {
        const auto length = head->length();
        if (reader.bytes(length, 3000).size() < length || !socket->send(respond(state, replica, head->field("request-id")))) {
            return;
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = readArguments(argc, argv);
    Record record(arguments.recordFile);
    State state{record, arguments.hasTrouble, {}};
    Site site(arguments.programs, arguments.work, arguments.basePort);
    if (!site.startStore()) {
        return CannotRun;
    }
    const auto route = [](const char *name, const char *kind, int attempts) {
        return Json{{"name", name},  {"host", "site.example"}, {"prefix", std::string("/") + name + "/"},
                    {"kind", kind},  {"timeoutMs", 3000},      {"goalMs", 300},
                    {"priority", 2}, {"service", "desk"},      {"maxAttempts", attempts}};
    };
    site.putConfiguration(1, Json::array({route("book", "unsafe", 1), route("check", "safe", 2)}),
                          Json::array({{{"name", "desk"}, {"healthPath", "/health"}, {"maxConns", 100}}}));
    std::vector<std::unique_ptr<Server>> servers;
    for (int n = 0; n < Replicas; ++n) {
        servers.push_back(std::make_unique<Server>(site.port(1 + n), [&state, n](const SocketPointer &socket) { serve(state, n, socket); }));
        if (!servers.back()->isListening()) {
            return CannotRun;
        }
        site.setEndpoint("desk-" + std::to_string(n), "desk", site.port(1 + n));
    }
    for (const int n : {1, 2}) {
        site.startDaemon(n);
    }
    if (!Site::waitUntil(15000, [&site] { return site.isReady(1) && site.isReady(2); })) {
        return CannotRun;
    }
    sleepFor(3000);
    {
        const std::lock_guard lock(state.mutex);
        state.failsUntil = Clock::now() + Milliseconds(FailingMilliseconds);
    }
    int wrong = 0;
    int right = 0;
    for (int n = 0; n < Calls; ++n) {
        const bool isBooking = n % 3 != 0;
        const auto id = (isBooking ? "book-" : "check-") + std::to_string(n);
        const auto response =
            call(site.callerPort(1 + n % 2), requestText(isBooking ? "POST" : "GET", (isBooking ? "/book/" : "/check/") + id, id, isBooking ? "visit" : ""));
        sleepFor(60);
        const std::lock_guard lock(state.mutex);
        const bool isSealed = !response.head.field("server-seal").empty();
        const int given = state.statusOf.contains(id) ? state.statusOf[id] : 0;
        const bool isOther = isSealed && response.head.word(1) != std::to_string(given);
        (isOther ? wrong : right) += isSealed ? 1 : 0;
        record.add("caller: " + id + " answered " + response.head.firstLine + (isSealed ? " (sealed)" : "")
                   + (isOther ? "  OTHER STATUS than the replica's " + std::to_string(given) : ""));
    }
    record.add("sealed answers with the replica's status " + std::to_string(right) + ", with another one " + std::to_string(wrong));
    if (wrong > 0) {
        return Broken;
    }
    return right > Calls / 2 ? Held : CannotRun;
}
