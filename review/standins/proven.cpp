// A part of prompts that engines answered before begins to crash each engine that begins to write an answer on it.

#include "site.hpp"

using namespace review;

namespace {

constexpr int Daemons = 3;
constexpr int Engines = 12;
constexpr int Models = 4;
constexpr int Events = 12;
constexpr int EventMilliseconds = 60;
constexpr int DownMilliseconds = 2500; ///< an engine that crashes is back after some seconds
constexpr int LoadMilliseconds = 300;
constexpr int SoundTime = 6000; ///< in which the part is answered
constexpr int CrashingTime = 16000;
constexpr int ContactMilliseconds = 3000;
constexpr int SoundInterval = 60; ///< milliseconds between two sound requests
constexpr int PartInterval = 400; ///< between two requests with the part
constexpr int ToleratedSends = 3;
constexpr std::size_t CountedCrash = 5;
const char *const Part = "dd"; ///< its id

struct Engine
{
    std::string id;
    int port = 0;
    std::int64_t born = 0;
    int generation = 0; ///< counts the starts
    bool isUp = false;
    std::set<std::string> models;
    bool isBusy = false;
    std::uint64_t sequence = 0; ///< orders accepted
    std::vector<SocketPointer> connections;
};

struct State
{
    Record &record;
    Site *site = nullptr;
    std::mutex mutex{};
    std::vector<Engine> engines{};
    bool isCrashing = false;
    std::vector<Clock::time_point> crashes{};
    std::vector<Clock::time_point> partArrivals{};
    std::atomic<bool> isEnding{false};
};

std::string plainAnswer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string model(std::size_t n)
{
    return "m" + std::to_string(n % Models);
}

Json modelsOf(const Engine &it)
{
    auto list = Json::array();
    for (const auto &name : it.models) {
        list.push_back({{"name", name}, {"version", 1}, {"adapters", Json::array()}});
    }
    return list;
}

void announce(State &state, std::size_t n)
{
    Json more;
    std::string id;
    int port = 0;
    {
        const std::lock_guard lock(state.mutex);
        const auto &it = state.engines[n];
        more = {{"born", it.born}, {"models", modelsOf(it)}, {"zone", "z" + std::to_string(1 + n % Daemons)}};
        id = it.id;
        port = it.port;
    }
    state.site->setEndpoint(id, "advisor", port, more);
}

void startEngine(State &state, std::size_t n, std::set<std::string> models)
{
    {
        const std::lock_guard lock(state.mutex);
        auto &it = state.engines[n];
        it.born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        ++it.generation;
        it.id = "engine-" + std::to_string(n + 1) + '-' + std::to_string(it.generation);
        it.isUp = true;
        it.isBusy = false;
        it.sequence = 0;
        it.models = std::move(models);
    }
    announce(state, n);
}

/// The engine's process ends, and another one with another id starts at its address some seconds later, empty.
void crash(State &state, std::size_t n, const std::string &request)
{
    std::vector<SocketPointer> connections;
    std::string id;
    {
        const std::lock_guard lock(state.mutex);
        auto &it = state.engines[n];
        if (!it.isUp) {
            return;
        }
        it.isUp = false;
        id = it.id;
        connections.swap(it.connections);
        state.crashes.push_back(Clock::now());
        state.record.add(id + ": CRASH " + std::to_string(state.crashes.size()) + " as it begins to answer " + request);
    }
    for (const auto &it : connections) {
        it->shutDown();
    }
    std::thread([&state, n, id] {
        sleepFor(DownMilliseconds);
        state.site->removeEndpoint(id);
        if (!state.isEnding) {
            startEngine(state, n, {});
        }
    }).detach();
}

/// @return the status line of the answer to an order
std::string handleOrder(State &state, std::size_t n, const Json &order)
{
    const std::lock_guard lock(state.mutex);
    auto &it = state.engines[n];
    const auto name = order.value("model", "");
    const bool isLoad = order.value("operation", "") == "load";
    if (it.isBusy || order.value("expected", it.sequence) != it.sequence) {
        return "409 Conflict";
    }
    if (it.models.contains(name) == isLoad) {
        return "200 OK";
    }
    it.isBusy = true;
    ++it.sequence;
    std::thread([&state, n, name, isLoad, generation = it.generation] {
        sleepFor(LoadMilliseconds);
        {
            const std::lock_guard inner(state.mutex);
            auto &engine = state.engines[n];
            if (engine.generation != generation || !engine.isUp) {
                return;
            }
            engine.isBusy = false;
            isLoad ? void(engine.models.insert(name)) : void(engine.models.erase(name));
        }
        announce(state, n);
    }).detach();
    return "202 Accepted";
}

bool isSame(State &state, std::size_t n, int generation)
{
    const std::lock_guard lock(state.mutex);
    return state.engines[n].isUp && state.engines[n].generation == generation;
}

void streamAnswer(State &state, std::size_t n, int generation, const std::string &id, int last, const SocketPointer &socket)
{
    socket->send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = last + 1; number <= Events; ++number) {
        if (!isSame(state, n, generation) || !socket->send(chunk("id: " + std::to_string(number) + "\ndata: word\n\n"))) {
            return;
        }
        sleepFor(EventMilliseconds);
    }
    socket->send("0\r\n\r\n");
}

void serve(State &state, std::size_t n, const SocketPointer &socket)
{
    Engine own;
    {
        const std::lock_guard lock(state.mutex);
        auto &it = state.engines[n];
        if (!it.isUp) {
            socket->reset();
            return;
        }
        it.connections.push_back(socket);
        own = it;
        own.connections.clear();
    }
    Reader reader(socket);
    while (const auto head = reader.head(60000)) {
        const auto body = reader.bytes(head->length(), 3000);
        if (!isSame(state, n, own.generation)) {
            return;
        }
        const auto target = head->word(1);
        const auto id = head->field("request-id");
        const auto expected = head->field("expect-instance");
        bool holdsModel = false;
        Json report;
        {
            const std::lock_guard lock(state.mutex);
            const auto &it = state.engines[n];
            holdsModel = it.models.contains(head->field("model"));
            report = {{"stage", "mixed"}, {"models", modelsOf(it)}, {"busy", it.isBusy}, {"seq", it.sequence}, {"born", it.born}};
        }
        if (!expected.empty() && expected != own.id) {
            socket->send(plainAnswer("421 Misdirected Request", "Instance-Id: " + own.id + "\r\nRequest-Id: " + id + "\r\n", ""));
        } else if (target == "/-/report") {
            socket->send(plainAnswer("200 OK", "Content-Type: application/json\r\n", report.dump()));
        } else if (target == "/-/order") {
            socket->send(plainAnswer(handleOrder(state, n, Json::parse(body, nullptr, false)), "", ""));
        } else if (!holdsModel) {
            socket->send(plainAnswer("421 Misdirected Request", "Instance-Id: " + own.id + "\r\nRequest-Id: " + id + "\r\n", ""));
        } else {
            const bool hasPart = head->field("prompt-prefix").find(std::string(Part) + ':') != std::string::npos;
            bool crashes = false;
            if (hasPart) {
                const std::lock_guard lock(state.mutex);
                crashes = state.isCrashing;
                if (crashes) {
                    state.partArrivals.push_back(Clock::now());
                }
            }
            if (crashes) {
                crash(state, n, id);
                return;
            }
            const auto last = head->field("last-event-id");
            streamAnswer(state, n, own.generation, id, last.empty() ? 0 : std::stoi(last), socket);
        }
    }
}

std::string streamRequest(const std::string &id, const std::string &part, int number)
{
    char own[20];
    std::snprintf(own, sizeof own, "%x", 0x100000 + number);
    return requestText("POST", "/guide/" + id, id, "question " + id, 4000,
                       "Model: " + model(static_cast<std::size_t>(number)) + "\r\nToken-Usage: 30,40\r\nPrompt-Prefix: aa:10," + part + ":10," + own
                           + ":10\r\n");
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = readArguments(argc, argv);
    Record record(arguments.recordFile);
    Site site(arguments.programs, arguments.work, arguments.basePort);
    State state{record, &site};
    if (!site.startStore()) {
        return CannotRun;
    }
    const Json guide{{"name", "guide"}, {"host", "site.example"}, {"prefix", "/guide/"}, {"kind", "stream"},  {"timeoutMs", 4000}, {"goalMs", 400},
                     {"priority", 0},   {"service", "advisor"},   {"maxAttempts", 2},    {"resumable", true}, {"gapGoalMs", 300}};
    auto models = Json::array();
    for (std::size_t n = 0; n < Models; ++n) {
        models.push_back({{"name", model(n)}, {"weightsMb", 40}, {"loadS", 0.3}, {"adapters", 0}, {"adapterMb", 1}});
    }
    const Json engine{{"slots", 32}, {"kvCapacity", 100000}, {"weightsMb", 100}, {"adapterSlots", 4}, {"loadsPerS", 8}, {"models", models}};
    site.putConfiguration(1, Json::array({guide}), Json::array({{{"name", "advisor"}, {"healthPath", "/health"}, {"maxConns", 200}, {"engine", engine}}}));
    std::vector<std::unique_ptr<Server>> servers;
    state.engines.resize(Engines);
    for (std::size_t n = 0; n < Engines; ++n) {
        state.engines[n].port = site.port(1 + static_cast<int>(n));
        servers.push_back(std::make_unique<Server>(state.engines[n].port, [&state, n](const SocketPointer &socket) { serve(state, n, socket); }));
        if (!servers.back()->isListening()) {
            return CannotRun;
        }
        startEngine(state, n, {model(n)});
    }
    for (int n = 1; n <= Daemons; ++n) {
        site.startDaemon(n);
    }
    const auto areReady = [&site] {
        return site.isReady(1) && site.isReady(2) && site.isReady(3);
    };
    if (!Site::waitUntil(15000, areReady)) {
        return CannotRun;
    }
    sleepFor(10000);

    std::atomic<int> soundAnswers{0};
    std::atomic<int> partAnswers{0};
    std::vector<std::thread> threads;
    const auto begun = Clock::now();
    int number = 0;
    auto nextPart = begun;
    bool wasCrashing = false;
    const auto end = begun + Milliseconds(SoundTime + CrashingTime);
    while (Clock::now() < end) {
        const auto now = Clock::now();
        if (!wasCrashing && arguments.hasTrouble && now >= begun + Milliseconds(SoundTime)) {
            const std::lock_guard lock(state.mutex);
            wasCrashing = state.isCrashing = true;
            record.add("from now on each engine that begins to write an answer on part " + std::string(Part) + " crashes");
        }
        const bool hasPart = now >= nextPart;
        if (hasPart) {
            nextPart += Milliseconds(PartInterval);
        }
        threads.emplace_back([&, hasPart, number] {
            const auto id = (hasPart ? "part-" : "sound-") + std::to_string(number);
            const auto response = call(site.callerPort(1 + number % Daemons), streamRequest(id, hasPart ? Part : "bb", number), 4000);
            const bool isWhole = response.status() == 200 && response.isComplete;
            (hasPart ? partAnswers : soundAnswers) += isWhole ? 1 : 0;
            if (hasPart || !isWhole) {
                record.add("caller: " + id + ": " + (response.head.firstLine.empty() ? "no answer" : response.head.firstLine) + (isWhole ? ", complete" : ""));
            }
        });
        ++number;
        sleepFor(SoundInterval);
    }
    for (auto &it : threads) {
        it.join();
    }
    state.isEnding = true;
    std::size_t sends = 0;
    const std::lock_guard lock(state.mutex);
    if (state.crashes.size() >= CountedCrash) {
        const auto from = state.crashes[CountedCrash - 1] + Milliseconds(ContactMilliseconds);
        for (const auto &it : state.partArrivals) {
            sends += it > from ? 1 : 0;
        }
    }
    record.add("requests with the part answered " + std::to_string(partAnswers) + ", sound ones " + std::to_string(soundAnswers) + "; crashes "
               + std::to_string(state.crashes.size())
               + ", requests with the part that reached engines later than contactMs after the fifth crash: " + std::to_string(sends));
    if (partAnswers < 3) {
        std::_Exit(CannotRun);
    }
    std::fflush(nullptr);
    const int code = sends > ToleratedSends ? Broken : Held;
    for (int n = 1; n <= Daemons; ++n) {
        site.signalTo("entry-" + std::to_string(n), SIGKILL);
    }
    site.signalTo("store", SIGKILL);
    std::_Exit(code);
}
