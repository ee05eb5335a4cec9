// During an upgrade one replica of a streaming service crashes and starts again at once under its id, with the newer software version. Another
// replica of the older version is silent for a second or so at that time, which is no disruption. Streams of the older version must not go on
// at the newer one.

#include "site.hpp"

using namespace review;

namespace {

constexpr int Daemons = 2;
constexpr int Replicas = 7; ///< the first two have the older version; one of seven crashes
constexpr int Streams = 42;
constexpr int Events = 50;
constexpr int EventMilliseconds = 100;
constexpr int GapObjective = 250; ///< milliseconds; gapGoalMs of the route
constexpr int SilenceMilliseconds = 1300;
constexpr int CrashAfter = 600; ///< milliseconds after the silence has begun
constexpr int DownMilliseconds = 150;
constexpr int Episodes = 8;

struct Replica
{
    std::string id;
    int port = 0;
    std::string version;
    std::int64_t born = 0;
    int generation = 0; ///< counts the starts
    bool isUp = false;
    std::vector<SocketPointer> connections;
};

struct State
{
    Record &record;
    std::mutex mutex;
    std::vector<Replica> replicas{};
    Clock::time_point silentUntil{}; ///< of the second replica
    std::map<std::string, int> runs{};
};

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// @return the generation if the replica runs
std::optional<Replica> running(State &state, std::size_t n)
{
    const std::lock_guard lock(state.mutex);
    auto it = state.replicas[n];
    it.connections.clear();
    return it.isUp ? std::optional(it) : std::nullopt;
}

bool isSame(State &state, std::size_t n, int generation)
{
    const std::lock_guard lock(state.mutex);
    return state.replicas[n].isUp && state.replicas[n].generation == generation;
}

void serve(State &state, std::size_t n, const SocketPointer &socket)
{
    const auto replica = running(state, n);
    if (!replica) {
        socket->reset();
        return;
    }
    {
        const std::lock_guard lock(state.mutex);
        state.replicas[n].connections.push_back(socket);
    }
    Reader reader(socket);
    while (const auto head = reader.head(60000)) {
        reader.bytes(head->length(), 3000);
        if (!isSame(state, n, replica->generation)) {
            return;
        }
        const auto id = head->field("request-id");
        if (head->word(1).starts_with("/-/")) {
            socket->send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (head->field("expect-instance") != replica->id) {
            socket->send("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + replica->id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const auto last = head->field("last-event-id");
        state.record.add(replica->id + ' ' + replica->version + ": runs " + id + (last.empty() ? "" : " after event " + last));
        socket->send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" + replica->id
                     + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= Events; ++number) {
            for (;;) {
                std::unique_lock lock(state.mutex);
                const bool isSilent = n == 1 && Clock::now() < state.silentUntil;
                lock.unlock();
                if (!isSilent) {
                    break;
                }
                sleepFor(10);
            }
            if (!isSame(state, n, replica->generation)
                || !socket->send(chunk("id: " + std::to_string(number) + "\ndata: word" + std::to_string(number) + ' ' + replica->version + "\n\n"))) {
                return;
            }
            sleepFor(EventMilliseconds);
        }
        socket->send("0\r\n\r\n");
    }
}

void announce(Site &site, const Replica &it)
{
    site.setEndpoint(it.id, "digest", it.port, {{"version", it.version}, {"born", it.born}});
}

/// Starts a replica under its id; the entry is written at its start.
void start(State &state, Site &site, std::size_t n, const std::string &version)
{
    Replica copy;
    {
        const std::lock_guard lock(state.mutex);
        auto &it = state.replicas[n];
        it.version = version;
        it.born = unixMilliseconds();
        ++it.generation;
        it.isUp = true;
        copy = it;
        copy.connections.clear();
    }
    announce(site, copy);
    state.record.add(copy.id + ": starts with software version " + version);
}

void crash(State &state, std::size_t n)
{
    std::vector<SocketPointer> connections;
    {
        const std::lock_guard lock(state.mutex);
        state.replicas[n].isUp = false;
        connections.swap(state.replicas[n].connections);
        state.record.add(state.replicas[n].id + ": crashes");
    }
    for (const auto &it : connections) {
        it->shutDown();
    }
}

/// @return the software versions of the events in a response
std::set<std::string> versionsOf(const std::string &text)
{
    std::set<std::string> found;
    for (const std::string version : {"v1", "v2"}) {
        if (text.find(' ' + version + "\n\n") != std::string::npos) {
            found.insert(version);
        }
    }
    return found;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = readArguments(argc, argv);
    Record record(arguments.recordFile);
    State state{record, {}};
    Site site(arguments.programs, arguments.work, arguments.basePort);
    if (!site.startStore()) {
        return CannotRun;
    }
    const Json route{{"name", "digest"}, {"host", "site.example"}, {"prefix", "/digest/"}, {"kind", "stream"},  {"timeoutMs", 15000},       {"goalMs", 400},
                     {"priority", 0},    {"service", "digest"},    {"maxAttempts", 2},     {"resumable", true}, {"gapGoalMs", GapObjective}};
    site.putConfiguration(1, Json::array({route}), Json::array({{{"name", "digest"}, {"healthPath", "/health"}, {"maxConns", 200}}}));
    std::vector<std::unique_ptr<Server>> servers;
    state.replicas.resize(Replicas);
    for (std::size_t n = 0; n < Replicas; ++n) {
        state.replicas[n].id = "digest-" + std::to_string(n + 1);
        state.replicas[n].port = site.port(1 + static_cast<int>(n));
    }
    for (std::size_t n = 0; n < Replicas; ++n) {
        servers.push_back(std::make_unique<Server>(state.replicas[n].port, [&state, n](const SocketPointer &socket) { serve(state, n, socket); }));
        if (!servers.back()->isListening()) {
            return CannotRun;
        }
        start(state, site, n, n < 2 ? "v1" : "v2");
    }
    for (int n = 1; n <= Daemons; ++n) {
        site.startDaemon(n);
    }
    if (!Site::waitUntil(15000, [&site] { return site.isReady(1) && site.isReady(2); })) {
        return CannotRun;
    }
    sleepFor(4000);

    int mixed = 0;
    int complete = 0;
    for (int episode = 0; episode < Episodes && mixed <= 2; ++episode) {
        std::vector<Response> responses(Streams);
        std::vector<std::thread> threads;
        for (int n = 0; n < Streams; ++n) {
            threads.emplace_back([&, n] {
                const auto id = "stream-" + std::to_string(episode) + '-' + std::to_string(n);
                responses[n] = call(site.callerPort(1 + n % Daemons), requestText("POST", "/digest/notice", id, "summarize", 15000), 5000);
            });
        }
        sleepFor(1500);
        {
            const std::lock_guard lock(state.mutex);
            state.silentUntil = Clock::now() + Milliseconds(SilenceMilliseconds);
        }
        record.add("digest-2 is silent for " + std::to_string(SilenceMilliseconds) + " ms");
        if (arguments.hasTrouble) {
            sleepFor(CrashAfter);
            crash(state, 0);
            sleepFor(DownMilliseconds);
            start(state, site, 0, "v2");
        }
        for (auto &it : threads) {
            it.join();
        }
        for (int n = 0; n < Streams; ++n) {
            const auto versions = versionsOf(responses[n].body);
            complete += responses[n].isComplete ? 1 : 0;
            mixed += versions.size() > 1 ? 1 : 0;
            record.add("caller: stream-" + std::to_string(episode) + '-' + std::to_string(n) + ": " + responses[n].head.firstLine
                       + (responses[n].isComplete ? ", complete" : ", cut off") + (versions.size() > 1 ? ", EVENTS OF TWO SOFTWARE VERSIONS" : ""));
        }
        if (arguments.hasTrouble) {
            // The upgrade of the first replica is taken back for the next episode.
            sleepFor(1500);
            crash(state, 0);
            sleepFor(DownMilliseconds);
            start(state, site, 0, "v1");
            sleepFor(2500);
        }
    }
    record.add("complete streams " + std::to_string(complete) + ", streams with events of two software versions " + std::to_string(mixed));
    if (mixed > 2) {
        return Broken;
    }
    return complete > Streams ? Held : CannotRun;
}
