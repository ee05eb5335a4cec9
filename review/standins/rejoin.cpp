// All daemons are killed at the same moment while two software versions of an engine serve side by side. Callers take their streams up again
// once the daemons have been back for longer than contactMs.

#include "site.hpp"

using namespace review;

namespace {

constexpr int Daemons = 3;
constexpr int Engines = 4; ///< two of v1, two of v2
constexpr int Streams = 24;
constexpr int Events = 40;
constexpr int EventMilliseconds = 300; ///< a whole stream takes 12 s
constexpr int DeadlineMilliseconds = 30000;
constexpr int LeadMilliseconds = 10000; ///< traffic starts 10 s after the machines
constexpr int StreamTime = 2500; ///< until the disruption
constexpr int DownTime = 1000;
constexpr int ContactMilliseconds = 3000; ///< contactMs of the site's sheet
constexpr int Margin = 1000; ///< after that, and for the start of the processes

struct State
{
    Record &record;
    std::mutex mutex;
    std::map<std::string, std::string> versionOf{}; ///< of the engine that began a call
};

std::string versionOf(int engine)
{
    return engine <= 2 ? "v1" : "v2";
}

std::string plainAnswer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// An engine that holds the model m all the time.
void serve(State &state, int engine, std::int64_t born, const SocketPointer &socket)
{
    const auto name = "engine-" + std::to_string(engine);
    Reader reader(socket);
    while (const auto head = reader.head(60000)) {
        reader.bytes(head->length(), 3000);
        const auto id = head->field("request-id");
        const auto target = head->word(1);
        if (target == "/-/report") {
            const Json report{
                {"stage", "mixed"}, {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}}, {"busy", false}, {"seq", 0}, {"born", born}};
            socket->send(plainAnswer(200, "Content-Type: application/json\r\n", report.dump()));
            continue;
        }
        const auto expected = head->field("expect-instance");
        if (!expected.empty() && expected != name) {
            socket->send(plainAnswer(421, "Instance-Id: " + name + "\r\n", ""));
            continue;
        }
        if (target == "/-/order") {
            socket->send(plainAnswer(409, "", ""));
            continue;
        }
        const auto last = head->field("last-event-id");
        {
            const std::lock_guard lock(state.mutex);
            state.versionOf.try_emplace(id, versionOf(engine));
            state.record.add(name + " " + versionOf(engine) + ": runs " + id + (last.empty() ? "" : " after event " + last));
        }
        if (!socket->send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal-" + name
                          + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return;
        }
        for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= Events; ++n) {
            if (!socket->send(chunk("id: " + std::to_string(n) + "\ndata: word" + std::to_string(n) + ' ' + versionOf(engine) + "\n\n"))) {
                return;
            }
            sleepFor(EventMilliseconds);
        }
        if (!socket->send("0\r\n\r\n")) {
            return;
        }
    }
}

/// Number of the last event that the caller has received whole.
int lastEvent(const std::string &text)
{
    const auto end = text.rfind("\n\n");
    const auto at = end == std::string::npos ? end : text.rfind("id: ", end);
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + 4);
}

struct Stream
{
    std::string id;
    int daemon = 1;
    std::string text; ///< events that the caller has
};

std::string streamRequest(const std::string &id, const std::string &fields)
{
    return requestText("POST", "/guide/ask", id, "how to shut the valve", DeadlineMilliseconds,
                       "Model: m\r\nToken-Usage: 10,40\r\nPrompt-Prefix: " + id.substr(id.size() - 1) + ":10\r\n" + fields);
}

/// Reads raw bytes of the response until the connection ends or the time is over.
void readStream(Stream &stream, const SocketPointer &socket, Clock::time_point end)
{
    while (Clock::now() < end && lastEvent(stream.text) < Events) {
        socket->receive(stream.text, 100);
    }
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
    const Json guide{{"name", "guide"}, {"host", "site.example"}, {"prefix", "/guide/"},  {"kind", "stream"}, {"timeoutMs", DeadlineMilliseconds},
                     {"goalMs", 400},   {"priority", 0},          {"service", "advisor"}, {"maxAttempts", 2}, {"resumable", true},
                     {"gapGoalMs", 400}};
    const Json engine{{"slots", 16},      {"kvCapacity", 100000},
                      {"weightsMb", 100}, {"adapterSlots", 4},
                      {"loadsPerS", 2},   {"models", {{{"name", "m"}, {"weightsMb", 40}, {"loadS", 0.2}, {"adapters", 0}, {"adapterMb", 1}}}}};
    site.putConfiguration(1, Json::array({guide}), Json::array({{{"name", "advisor"}, {"healthPath", "/health"}, {"maxConns", 200}, {"engine", engine}}}));
    const auto born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::vector<std::unique_ptr<Server>> servers;
    for (int n = 1; n <= Engines; ++n) {
        servers.push_back(std::make_unique<Server>(site.port(n), [&state, n, born](const SocketPointer &socket) { serve(state, n, born, socket); }));
        if (!servers.back()->isListening()) {
            return CannotRun;
        }
        site.setEndpoint("engine-" + std::to_string(n), "advisor", site.port(n),
                         {{"version", versionOf(n)}, {"born", born}, {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}}});
    }
    const auto startDaemons = [&site] {
        for (int n = 1; n <= Daemons; ++n) {
            site.startDaemon(n);
        }
    };
    const auto areReady = [&site] {
        for (int n = 1; n <= Daemons; ++n) {
            if (!site.isReady(n)) {
                return false;
            }
        }
        return true;
    };
    startDaemons();
    if (!Site::waitUntil(15000, areReady)) {
        return CannotRun;
    }
    sleepFor(LeadMilliseconds);

    std::vector<Stream> streams(Streams);
    std::vector<SocketPointer> sockets(Streams);
    std::vector<std::thread> threads;
    for (int n = 0; n < Streams; ++n) {
        auto &it = streams[n];
        it.id = "stream-" + std::to_string(n);
        it.daemon = 1 + n % Daemons;
        sockets[n] = connectTo(site.callerPort(it.daemon));
        if (!sockets[n] || !sockets[n]->send(streamRequest(it.id, ""))) {
            return CannotRun;
        }
        record.add("caller: begins " + it.id + " at entry-" + std::to_string(it.daemon));
    }
    const auto begun = Clock::now();
    for (int n = 0; n < Streams; ++n) {
        threads.emplace_back([&, n] { readStream(streams[n], sockets[n], begun + Milliseconds(StreamTime)); });
    }
    for (auto &it : threads) {
        it.join();
    }
    for (const auto &it : streams) {
        record.add("caller: has " + std::to_string(lastEvent(it.text)) + " events of " + it.id + ", " + it.text.substr(0, it.text.find("\r\n")));
    }
    threads.clear();
    if (arguments.hasTrouble) {
        for (int n = 1; n <= Daemons; ++n) {
            site.signalTo("entry-" + std::to_string(n), SIGKILL);
        }
        record.add("all daemons are killed");
        sleepFor(DownTime);
        startDaemons();
        if (!Site::waitUntil(15000, areReady)) {
            return CannotRun;
        }
        record.add("all daemons run and are ready again");
    }
    for (auto &it : sockets) {
        it.reset();
    }
    sleepFor(ContactMilliseconds + Margin);
    std::atomic<int> goOn{0};
    std::atomic<int> newBegun{0};
    std::atomic<int> mixed{0};
    int takenUp = 0;
    for (int n = 0; n < Streams; ++n) {
        const int last = lastEvent(streams[n].text);
        if (last == 0 || last == Events) {
            continue;
        }
        ++takenUp;
        threads.emplace_back([&, n, last] {
            const int daemon = 1 + (n + 1) % Daemons;
            const auto id = "again-" + std::to_string(n);
            const auto response =
                call(site.callerPort(daemon), streamRequest(id, "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + streams[n].id + "\r\n"), 3000);
            const bool isGoingOn = response.status() == 200;
            goOn += isGoingOn ? 1 : 0;
            const std::lock_guard lock(state.mutex);
            const bool isOther = isGoingOn && state.versionOf[id] != state.versionOf[streams[n].id];
            mixed += isOther ? 1 : 0;
            record.add("caller: takes " + streams[n].id + " of " + state.versionOf[streams[n].id] + " up after event " + std::to_string(last) + " as " + id
                       + " at entry-" + std::to_string(daemon) + ": " + (response.head.firstLine.empty() ? "no answer" : response.head.firstLine)
                       + (isOther ? " AT ANOTHER VERSION" : ""));
        });
    }
    for (int n = 0; n < Streams; ++n) {
        threads.emplace_back([&, n] {
            const auto id = "new-" + std::to_string(n);
            const int daemon = 1 + n % Daemons;
            const auto response = call(site.callerPort(daemon), streamRequest(id, ""), 3000);
            newBegun += response.status() == 200 ? 1 : 0;
            const std::lock_guard lock(state.mutex);
            record.add("caller: begins " + id + " at entry-" + std::to_string(daemon) + ": " + response.head.firstLine);
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    record.add("streams taken up again " + std::to_string(takenUp) + ", gone on " + std::to_string(goOn) + " (at another version " + std::to_string(mixed)
               + "); new streams " + std::to_string(Streams) + ", begun " + std::to_string(newBegun));
    if (takenUp < 12 || newBegun < Streams / 2) {
        return CannotRun;
    }
    const bool isBroken = goOn * Streams * 2 < newBegun * takenUp;
    return isBroken ? Broken : Held;
}
