#include "engine/engine.hpp"

#include <charconv>

#include "engine/prefixcache.hpp"

namespace turmericplank::standins::engine {

namespace {

using nlohmann::json;

constexpr std::string_view StreamsPath = "/v1/streams/";
constexpr double CachedPromptSaving = 0.8; // share of the time to first token saved if the whole prompt is cached
constexpr std::size_t EventCapacity = 8192; ///< published cache events that are kept for readers

std::uint64_t readNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

Engine::Engine(Program &program, EngineOptions options)
    : m_program(program)
    , m_options(std::move(options))
    , m_incarnation(base::toMilliseconds(base::now()))
    , m_scheduler({m_options.concurrency, m_options.waitingLimit, std::chrono::milliseconds(m_options.tokenMilliseconds)})
    , m_cache(m_options.cacheBlocks)
    , m_events(std::chrono::milliseconds(m_options.eventLagMilliseconds), EventCapacity, static_cast<std::uint64_t>(m_incarnation))
    , m_orders(m_options.memoryMib, m_options.checksFencing)
    , m_timer(program.context())
{
}

void Engine::handle(const net::ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const std::string path(net::path(request.target));
    const auto route = request.method + ' ' + path;
    if (route == "POST /v1/chat/completions") {
        chat(exchange);
    } else if (path.starts_with(StreamsPath) && request.method == "GET") {
        resume(exchange, path.substr(StreamsPath.size()));
    } else if (path.starts_with(StreamsPath) && request.method == "DELETE") {
        cancel(path.substr(StreamsPath.size()));
        exchange->respond({204, {}, {}});
    } else if (route == "GET /load") {
        exchange->respond(jsonResponse(200, delayedLoadReport()));
    } else if (route == "GET /inventory") {
        exchange->respond(jsonResponse(200, inventory()));
    } else if (route == "POST /orders") {
        handleOrder(exchange);
    } else if (route == "GET /cache_events") {
        exchange->respond(jsonResponse(200, cacheEvents(readNumber(net::queryParameter(request.target, "from")))));
    } else if (route == "POST /kv/export") {
        exportCache(exchange);
    } else if (route == "POST /kv/import") {
        importCache(exchange);
    } else {
        exchange->respond(errorResponse(404, "unknown_path"));
    }
}

bool Engine::rejectsRequests()
{
    const auto now = base::now();
    if (!m_program.faults().faults.isLeaving) {
        m_rejectFrom.reset();
    } else if (!m_rejectFrom) {
        m_rejectFrom = now + std::chrono::milliseconds(m_options.leavingGraceMilliseconds);
    }
    return m_rejectFrom && *m_rejectFrom <= now;
}

void Engine::chat(const net::ExchangePointer &exchange)
{
    auto request = readChatRequest(exchange->request());
    if (!request) {
        exchange->respond(errorResponse(400, "bad_request"));
        return;
    }
    if (rejectsRequests()) {
        exchange->respond(errorResponse(503, "leaving"));
        return;
    }
    const auto resident = m_orders.resolve(request->model);
    if (!resident) {
        exchange->respond(errorResponse(404, "model_not_resident"));
        return;
    }
    if (request->id.empty()) {
        request->id = "unnamed-" + std::to_string(++m_generatedIds);
    }
    const auto id = request->id;
    cancel(id);
    const bool isStreamed = request->isStreamed;
    const auto offset = request->offset;
    const Job job{id, request->priority, firstTokenTime(*request), request->end - offset};
    if (job.tokens > 0 && !m_scheduler.admit(job, base::now())) {
        exchange->respond(errorResponse(429, "overloaded"));
        return;
    }
    const bool crashesEngine = m_program.faults().faults.crashesOn(exchange->request().body);
    auto prefix = eventPrefix(id, request->model);
    auto &stream = m_streams.add({std::move(*request), std::move(prefix), *resident, offset, crashesEngine, {}, 0, false, std::nullopt});
    cancelWhenClosed(exchange, id);
    attach(stream, exchange, offset, !isStreamed);
    armTimer();
}

base::Duration Engine::firstTokenTime(const ChatRequest &request)
{
    const auto prefixes = prefixHashes(request.model, request.prompt);
    const auto cached = static_cast<double>(m_cache.cachedPrefixCount(prefixes));
    const double share = prefixes.empty() ? 0 : cached / static_cast<double>(prefixes.size());
    cache(prefixes);
    const double milliseconds = static_cast<double>(m_options.firstTokenMilliseconds) * (1 - CachedPromptSaving * share);
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

void Engine::cache(const std::vector<std::string> &prefixes)
{
    for (const auto &it : m_cache.insert(prefixes)) {
        m_events.record(it, base::now(), m_program.faults().faults.eventDropProbability);
    }
}

void Engine::cancelWhenClosed(const net::ExchangePointer &exchange, const std::string &id)
{
    exchange->setOnClosed([this, id, reader = exchange.get()] {
        const auto *stream = m_streams.find(id);
        if (stream != nullptr && stream->reader.get() == reader) {
            cancel(id);
        }
    });
}

void Engine::resume(const net::ExchangePointer &exchange, const std::string &id)
{
    auto *stream = m_streams.find(id);
    if (stream == nullptr) {
        exchange->respond(errorResponse(404, "unknown_stream"));
        return;
    }
    cancelWhenClosed(exchange, id);
    const auto from = readNumber(net::queryParameter(exchange->request().target, "from"));
    attach(*stream, exchange, static_cast<std::uint32_t>(from), false);
}

void Engine::cancel(const std::string &id)
{
    m_scheduler.cancel(id, base::now());
    m_streams.remove(id);
    armTimer();
    finishUnusedUnloads();
}

void Engine::armTimer()
{
    const auto due = m_scheduler.nextDue();
    if (!due || (m_timerDue && *m_timerDue <= *due)) {
        return;
    }
    m_timerDue = due;
    m_timer.expires_after(*due - base::now());
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            m_timerDue.reset();
            generateDueTokens();
        }
    });
}

void Engine::generateDueTokens()
{
    for (const auto &it : m_scheduler.advance(base::now())) {
        auto *stream = m_streams.find(it.id);
        if (stream == nullptr) {
            continue;
        }
        if (stream->crashesEngine) {
            crash();
        }
        generateToken(*stream);
        if (it.isLast) {
            finishStream(*stream);
        }
    }
    armTimer();
}

void Engine::finishStream(Stream &stream)
{
    const auto now = base::now();
    stream.removeAt = now + std::chrono::milliseconds(m_options.keepFinishedMilliseconds);
    m_streams.removeExpired(now);
    finishUnusedUnloads();
}

json Engine::cacheEvents(std::uint64_t from) const
{
    json list = json::array();
    auto next = from;
    for (const auto &it : m_events.visible(from, base::now())) {
        list.push_back({{"seq", it.sequence}, {"prefix", it.change.prefix}, {"action", it.change.isAdded ? "added" : "removed"}});
        next = it.sequence + 1;
    }
    return {{"events", list}, {"next", next}};
}

void Engine::exportCache(const net::ExchangePointer &exchange)
{
    const auto body = json::parse(exchange->request().body, nullptr, false);
    const auto prefix = body.is_object() ? body.value("prefix", std::string()) : std::string();
    if (!m_cache.contains(prefix)) {
        exchange->respond(errorResponse(404, "unknown_prefix"));
        return;
    }
    exchange->respond(jsonResponse(200, {{"bytes", "kv:" + prefix}}));
}

void Engine::importCache(const net::ExchangePointer &exchange)
{
    const auto body = json::parse(exchange->request().body, nullptr, false);
    const auto prefix = body.is_object() ? body.value("prefix", std::string()) : std::string();
    if (prefix.empty() || body.value("bytes", json()) != "kv:" + prefix) {
        exchange->respond(errorResponse(400, "bad_request"));
        return;
    }
    cache({prefix});
    exchange->respond({204, {}, {}});
}

} // namespace turmericplank::standins::engine
