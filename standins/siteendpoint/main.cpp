#include <cstdio>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "common/program.hpp"
#include "limitedroom.hpp"
#include "statedrate.hpp"
#include "turmericplank/net/httpclient.hpp"
#include "unframedlistener.hpp"

namespace turmericplank::standins::siteendpoint {

namespace {

using Json = nlohmann::json;

constexpr auto HeartbeatInterval = std::chrono::milliseconds(300);
constexpr auto OrderDuration = std::chrono::milliseconds(200);
constexpr auto CrashDelay = std::chrono::milliseconds(50); ///< from the first event of an answer to the crash

struct Options
{
    std::string id = "e1";
    std::string service = "advisor";
    std::string zone = "a";
    std::string version = "v1"; ///< software version
    std::string address;
    std::string store;
    std::vector<std::string> models;
    std::int64_t eventMilliseconds = 10;
    std::uint64_t events = 20;
    std::size_t eventBytes = 0; ///< minimum size of an event, which is filled up with a comment
};

std::string base64(const std::string &text)
{
    std::string buffer(4 * (text.size() / 3 + 1) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(buffer.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    buffer.resize(static_cast<std::size_t>(length));
    return buffer;
}

/// @brief An endpoint of the users' platform: answers calls with its Server-Seal header, executes orders and keeps its row in the
/// store up to date.
///
/// With models it is an engine that streams numbered events, each with a line that names its software version; without models it
/// sends each answer in one piece. GET /runs returns the number of runs of each request, GET /accounts that of each account, and how
/// many calls came with a key; POST /drain makes the endpoint report
/// that it is draining, POST /leave makes it say so in its answers only. POST /shed?seconds=N makes it reject calls and ask for a
/// pause; GET /shed returns how many came. POST /pause?ms=N makes the streams in progress send nothing for this long, and then go on.
/// POST /crash-part?id=ID makes an engine crash when it has begun to answer a prompt that has this part before its last one. POST
/// /break?after=N makes it break off streams inside the event after the Nth one, or before the first one with N=head. POST
/// /limit?tolerance=N&slots=S&work=MS&notice=MS&stated=0|1 makes a plain service run S calls at a time for MS each and fail for some
/// time when it rejects more than N in a second, and state N in its answers; from the end of the notice, no calls wait for a slot.
/// GET /limit returns the numbers of answered and rejected calls and of failures. POST /rate?per_second=R makes it state R in its answers, or nothing
/// without R; GET /rate returns how many calls came since, and how many more than it tolerates.
/// POST /flood?bytes=N makes each answer N bytes of a body that does not end, until N is zero.
class Endpoint
{
public:
    Endpoint(Program &program, Options options)
        : m_program(program)
        , m_options(std::move(options))
    {
        for (const auto &it : m_options.models) {
            m_models[it];
        }
    }

    void sendHeartbeat()
    {
        Json entry{{"service", m_options.service},
                   {"address", m_options.address},
                   {"zone", m_options.zone},
                   {"version", m_options.version},
                   {"slots", m_slots},
                   {"state", m_isDraining ? "draining" : "ready"},
                   {"coldLeftMs", 0},
                   {"seq", ++m_heartbeatSequence},
                   {"born", m_startedAt}};
        if (isEngine()) {
            entry["models"] = models();
        }
        const Json row{{"table", "servers"}, {"part", ""}, {"key", m_options.id}, {"value", base64(entry.dump())}};
        net::HttpCallOptions call;
        call.to = *base::parseAddress(m_options.store);
        call.request = {"POST", "/-/rows-tx", {{"Content-Type", "application/json"}}, Json{{"writes", {row}}}.dump()};
        net::fetchResponse(m_program.context(), std::move(call), [](const auto &) {});
        callAfter(m_program.context(), HeartbeatInterval, [this] { sendHeartbeat(); });
    }

    void handle(const net::ExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        const auto path = net::path(request.target);
        if (path == "/runs") {
            exchange->respond(jsonResponse(200, m_runs));
            return;
        }
        if (path == "/accounts") {
            exchange->respond(jsonResponse(200, {{"runs", m_runsByAccount}, {"keys", m_keysSeen}}));
            return;
        }
        if (path == "/drain") {
            m_isDraining = true;
            exchange->respond({204, {}, {}});
            return;
        }
        if (path == "/leave") {
            m_isLeaving = true;
            exchange->respond({204, {}, {}});
            return;
        }
        if (path == "/shed") {
            handleShed(exchange);
            return;
        }
        if (path == "/limit") {
            handleLimit(exchange);
            return;
        }
        if (path == "/rate") {
            handleRate(exchange);
            return;
        }
        if (path == "/crash-part") {
            m_crashingPart = net::queryParameter(request.target, "id");
            exchange->respond({204, {}, {}});
            return;
        }
        if (path == "/break") {
            const auto after = net::queryParameter(request.target, "after");
            m_breaksAtHead = after == "head";
            m_breakAfter = m_breaksAtHead ? 0 : std::stoull('0' + after);
            exchange->respond({204, {}, {}});
            return;
        }
        if (path == "/flood") {
            m_floodBytes = std::stoull('0' + net::queryParameter(request.target, "bytes"));
            exchange->respond({204, {}, {}});
            return;
        }
        if (path == "/pause") {
            m_pausedUntil = base::now() + std::chrono::milliseconds(std::stoll("0" + net::queryParameter(request.target, "ms")));
            exchange->respond({204, {}, {}});
            return;
        }
        const auto expected = header(request.headers, "Expect-Instance");
        if (!expected.empty() && expected != m_options.id) {
            exchange->respond({421, {{"Instance-Id", m_options.id}}, {}});
            return;
        }
        if (path == "/-/report") {
            exchange->respond(
                jsonResponse(200, {{"stage", "mixed"}, {"models", models()}, {"busy", m_isBusy}, {"seq", m_orderSequence}, {"born", m_startedAt}}));
        } else if (path == "/-/order") {
            handleOrder(exchange);
        } else {
            handleCall(exchange);
        }
    }

private:
    bool isEngine() const
    {
        return !m_options.models.empty();
    }

    Json models() const
    {
        auto list = Json::array();
        for (const auto &[name, adapters] : m_models) {
            list.push_back({{"name", name}, {"version", 1}, {"adapters", adapters}});
        }
        return list;
    }

    void handleShed(const net::ExchangePointer &exchange)
    {
        if (exchange->request().method == "GET") {
            exchange->respond(jsonResponse(200, m_shedCalls));
            return;
        }
        m_retryAfter = net::queryParameter(exchange->request().target, "seconds");
        m_shedCalls = 0;
        exchange->respond({204, {}, {}});
    }

    void handleRate(const net::ExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        if (request.method == "GET") {
            exchange->respond(jsonResponse(200, {{"arrivals", m_rate.arrivals()}, {"excess", m_rate.excess()}}));
            return;
        }
        m_statedRate = net::queryParameter(request.target, "per_second");
        m_rate.set(m_statedRate.empty() ? std::nullopt : std::optional(std::stod(m_statedRate)), base::now());
        exchange->respond({204, {}, {}});
    }

    void handleLimit(const net::ExchangePointer &exchange)
    {
        const auto &target = exchange->request().target;
        if (exchange->request().method == "GET") {
            exchange->respond(
                jsonResponse(200, {{"answered", m_answered}, {"rejected", m_room ? m_room->rejected : 0}, {"failures", m_room ? m_room->failures : 0}}));
            return;
        }
        const auto number = [&target](const char *name) {
            return std::stoul('0' + net::queryParameter(target, name));
        };
        LimitedRoomOptions options;
        options.tolerance = static_cast<std::uint32_t>(number("tolerance"));
        options.slots = static_cast<std::uint32_t>(number("slots"));
        options.limitedFrom = base::now() + std::chrono::milliseconds(number("notice"));
        m_workTime = std::chrono::milliseconds(number("work"));
        m_statedTolerance = number("stated") == 1 ? std::to_string(options.tolerance) : "";
        m_answered = 0;
        m_room.emplace(options);
        m_slots = options.slots;
        ++m_incarnation;
        m_waiting.clear();
        exchange->respond({204, {}, {}});
    }

    void handleLimitedCall(const net::ExchangePointer &exchange, const net::Headers &headers)
    {
        const auto admission = m_room->admit(base::now());
        switch (admission) {
        case Admission::Run:
            runLimited(exchange, headers);
            break;
        case Admission::Wait:
            m_waiting.push_back({exchange, headers});
            break;
        case Admission::Reject: {
            auto rejection = headers;
            rejection.push_back({"Not-Executed", "1"});
            exchange->respond({503, rejection, {}});
            break;
        }
        default:
            exchange->abort();
            break;
        }
        if (admission == Admission::Fail) {
            ++m_incarnation;
            m_waiting.clear();
        }
    }

    void runLimited(const net::ExchangePointer &exchange, const net::Headers &headers)
    {
        callAfter(m_program.context(), m_workTime, [this, exchange, headers, incarnation = m_incarnation] {
            if (incarnation != m_incarnation) {
                exchange->abort();
                return;
            }
            ++m_answered;
            exchange->respond({200, headers, "run by " + m_options.id + '\n'});
            if (m_room->finish()) {
                const auto next = m_waiting.front();
                m_waiting.pop_front();
                runLimited(next.exchange, next.headers);
            }
        });
    }

    void handleOrder(const net::ExchangePointer &exchange)
    {
        const auto json = Json::parse(exchange->request().body, nullptr, false);
        if (!json.is_object() || json.value("holder", "").empty()) {
            exchange->respond({400, {}, {}});
            return;
        }
        const auto fence = json.value("fence", std::uint64_t(0));
        if (fence < m_highestFence) {
            exchange->respond({412, {}, {}});
            return;
        }
        m_highestFence = fence;
        if (m_isBusy || json.value("expected", m_orderSequence) != m_orderSequence) {
            exchange->respond({409, {}, {}});
            return;
        }
        ++m_orderSequence;
        m_isBusy = true;
        exchange->respond({202, {}, {}});
        callAfter(m_program.context(), OrderDuration, [this, json] { executeOrder(json); });
    }

    void executeOrder(const Json &order)
    {
        const auto model = order.value("model", "");
        const auto adapter = order.value("adapter", "");
        const bool isLoad = order.value("operation", "") == "load";
        m_isBusy = false;
        if (!adapter.empty()) {
            isLoad ? void(m_models[model].insert(adapter)) : void(m_models[model].erase(adapter));
        } else {
            isLoad ? void(m_models[model]) : void(m_models.erase(model));
        }
    }

    bool isResident(const std::string &name) const
    {
        const auto slash = name.find('/');
        const auto it = m_models.find(name.substr(0, slash));
        return it != m_models.end() && (slash == std::string::npos || it->second.contains(name.substr(slash + 1)));
    }

    void handleCall(const net::ExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        const std::string id(header(request.headers, "Request-Id"));
        m_rate.noteArrival(base::now());
        if (!m_retryAfter.empty()) {
            ++m_shedCalls;
            exchange->respond({503, {{"Request-Id", id}, {"Not-Executed", "1"}, {"Retry-After", m_retryAfter}}, {}});
            return;
        }
        if (isEngine() && !isResident(std::string(header(request.headers, "Model")))) {
            exchange->respond({421, {{"Instance-Id", m_options.id}, {"Request-Id", id}}, {}});
            return;
        }
        if (m_program.faults().faults.crashesOn(request.body)) {
            crash();
        }
        ++m_runs[id];
        ++m_runsByAccount[std::string(header(request.headers, "Tenant"))];
        m_keysSeen += header(request.headers, "Authorization").empty() ? 0 : 1;
        net::Headers headers{{"Request-Id", id}, {"Server-Seal", "seal-" + m_options.id}, {"Content-Type", isEngine() ? "text/event-stream" : "text/plain"}};
        if (m_isLeaving || m_isDraining) {
            headers.push_back({"Server-Leaving", "1"});
        }
        if (!m_statedTolerance.empty()) {
            headers.push_back({"Server-Brittle", m_statedTolerance});
        }
        if (!m_statedRate.empty()) {
            headers.push_back({"Server-Limit", m_statedRate});
        }
        if (m_floodBytes > 0) {
            exchange->startStream(200, headers);
            exchange->writeChunk(std::string(m_floodBytes, 'x'));
            m_unended.push_back(exchange);
            return;
        }
        if (!isEngine() && m_room) {
            handleLimitedCall(exchange, headers);
            return;
        }
        if (!isEngine()) {
            exchange->respond({200, headers, "run by " + m_options.id + '\n'});
            return;
        }
        const std::string last(header(request.headers, "Last-Event-Id"));
        exchange->startStream(200, headers);
        if (hasCrashingPart(header(request.headers, "Prompt-Prefix"))) {
            callAfter(m_program.context(), CrashDelay, [] { crash(); });
        }
        if (m_breaksAtHead) {
            callAfter(m_program.context(), CrashDelay, [exchange] { exchange->abort(); });
            return;
        }
        streamEvents(exchange, last.empty() ? 1 : std::stoull(last) + 1);
    }

    /// Prompts are lists of ID:TOKENS, separated by commas.
    bool hasCrashingPart(std::string_view prompt) const
    {
        const auto list = ',' + std::string(prompt);
        const auto at = list.find(',' + m_crashingPart + ':');
        return !m_crashingPart.empty() && at != std::string::npos && list.find(',', at + 1) != std::string::npos;
    }

    void streamEvents(const net::ExchangePointer &exchange, std::uint64_t number)
    {
        const auto now = base::now();
        if (now < m_pausedUntil) {
            callAfter(m_program.context(), m_pausedUntil - now, [this, exchange, number] { streamEvents(exchange, number); });
            return;
        }
        if (number > m_options.events) {
            exchange->endStream();
            return;
        }
        if (m_breakAfter > 0 && number == m_breakAfter + 1) {
            exchange->writeChunk("id: " + std::to_string(number) + "\n");
            callAfter(m_program.context(), CrashDelay, [exchange] { exchange->abort(); });
            return;
        }
        auto event = "id: " + std::to_string(number) + "\ndata: word" + std::to_string(number) + "\ndata: " + m_options.version + "\n";
        if (event.size() < m_options.eventBytes) {
            event += ":" + std::string(m_options.eventBytes - event.size(), '.') + "\n";
        }
        exchange->writeChunk(event + "\n");
        callAfter(m_program.context(), std::chrono::milliseconds(m_options.eventMilliseconds),
                  [this, exchange, number] { streamEvents(exchange, number + 1); });
    }

    struct WaitingCall
    {
        net::ExchangePointer exchange;
        net::Headers headers;
    };

    Program &m_program;
    Options m_options;
    std::map<std::string, std::set<std::string>> m_models;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_runsByAccount; ///< by the Tenant header
    int m_keysSeen = 0; ///< calls that came with a key
    std::int64_t m_startedAt = base::toMilliseconds(base::now());
    std::uint64_t m_heartbeatSequence = 0;
    std::uint64_t m_orderSequence = 0;
    std::uint64_t m_highestFence = 0;
    bool m_isBusy = false;
    bool m_isDraining = false;
    bool m_isLeaving = false; ///< says so in its answers
    base::Time m_pausedUntil; ///< streams send nothing until then
    std::string m_crashingPart; ///< of prompts; empty for none
    bool m_breaksAtHead = false; ///< sends only the head of a stream
    std::uint64_t m_breakAfter = 0; ///< events of a stream; zero for not at all
    std::size_t m_floodBytes = 0; ///< of answers that do not end; zero for ordinary answers
    std::vector<net::ExchangePointer> m_unended; ///< answers that do not end
    std::string m_retryAfter; ///< seconds; while not empty, calls are rejected with this pause
    std::uint64_t m_shedCalls = 0;
    std::optional<LimitedRoom> m_room; ///< of a plain service; nothing for unlimited room
    std::uint32_t m_slots = 16; ///< as reported to the store
    std::chrono::milliseconds m_workTime{0}; ///< of a call, with limited room
    StatedRate m_rate;
    std::string m_statedRate; ///< as written in answers; empty if they state none
    std::string m_statedTolerance; ///< empty if answers state none
    std::deque<WaitingCall> m_waiting; ///< for a slot
    std::uint64_t m_incarnation = 0; ///< increased by a failure, which loses all calls
    std::uint64_t m_answered = 0;
};

} // namespace

} // namespace turmericplank::standins::siteendpoint

int main(int argc, char **argv)
{
    using namespace turmericplank::standins;
    CLI::App app("Stand-in for an endpoint of the users' platform: a model engine, or a plain service if it has no models.");
    siteendpoint::Options options;
    app.add_option("--id", options.id, "key of its row in the store");
    app.add_option("--service", options.service, "service to which it belongs");
    app.add_option("--zone", options.zone, "availability zone");
    app.add_option("--version", options.version, "software version that it reports to the store and names in its events");
    app.add_option("--address", options.address, "address that it reports to the store")->required();
    app.add_option("--store", options.store, "address of the metadata store")->required();
    app.add_option("--model", options.models, "resident model; may be repeated");
    app.add_option("--event-ms", options.eventMilliseconds, "time between two events");
    app.add_option("--events", options.events, "number of events per stream");
    app.add_option("--event-bytes", options.eventBytes, "size of an event, if it is larger than its text");
    std::string unframed;
    app.add_option("--unframed", unframed, "IP:PORT where answers have neither a length nor chunks and end with their connection");
    Program program(app);
    CLI11_PARSE(app, argc, argv);
    siteendpoint::Endpoint endpoint(program, options);
    std::optional<siteendpoint::UnframedListener> unframedListener;
    if (!unframed.empty()) {
        const auto address = turmericplank::base::parseAddress(unframed);
        const auto upstream = turmericplank::base::parseAddress(app.get_option("--listen")->as<std::string>());
        if (!address || !upstream) {
            std::fprintf(stderr, "--unframed: expected IP:PORT, not %s\n", unframed.c_str());
            return 2;
        }
        unframedListener.emplace(program.context(), *address, *upstream);
    }
    endpoint.sendHeartbeat();
    return program.serve([&endpoint](const turmericplank::net::ExchangePointer &exchange) { endpoint.handle(exchange); });
}
