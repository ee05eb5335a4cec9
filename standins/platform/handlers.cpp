#include "platform/handlers.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace turmericplank::standins::platform {

namespace {

using nlohmann::json;

constexpr base::Duration MaxPacingDelay = std::chrono::seconds(2);
constexpr std::string_view ObjectsPath = "/objects/";
constexpr std::string_view WeightsPath = "/weights/";

json toJson(const Row &row)
{
    return {{"key", row.key}, {"version", row.version.value()}, {"value", row.value}};
}

json toJson(const std::vector<Row> &rows)
{
    json list = json::array();
    for (const auto &it : rows) {
        list.push_back(toJson(it));
    }
    return list;
}

RowWrite readWrite(const json &entry)
{
    RowWrite write;
    write.key = entry.at("key").get<std::string>();
    if (entry.contains("expect") && !entry.at("expect").is_null()) {
        write.expectedVersion = base::RowVersion(entry.at("expect").get<std::uint64_t>());
    }
    if (!entry.at("value").is_null()) {
        write.value = entry.at("value").get<std::string>();
    }
    return write;
}

std::uint32_t readNumber(const std::string &text)
{
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

Platform::Platform(Program &program, PlatformOptions options)
    : m_program(program)
    , m_options(options)
    , m_writePacer(options.writesPerSecond)
    , m_readPacer(options.readsPerSecond)
    , m_vms(R"({"vms":[]})")
    , m_weights(options.weights)
{
}

void Platform::handle(const net::ExchangePointer &exchange)
{
    const auto &request = exchange->request();
    const std::string path(net::path(request.target));
    const bool isRead = request.method == "GET";
    if (path == "/table/transact" && request.method == "POST") {
        performPaced(m_writePacer, exchange, [this, exchange] { return transact(exchange->request().body); });
    } else if (path == "/table/rows" && isRead) {
        performPaced(m_readPacer, exchange, [this, exchange] { return readRows(exchange->request().target); });
    } else if (path.starts_with(ObjectsPath) && request.method == "PUT") {
        performPaced(m_writePacer, exchange, [this, exchange, name = path.substr(ObjectsPath.size())] {
            m_objects[name] = exchange->request().body;
            return net::HttpResponse{204, {}, {}};
        });
    } else if (path.starts_with(ObjectsPath) && isRead) {
        performPaced(m_readPacer, exchange, [this, name = path.substr(ObjectsPath.size())] { return readObject(name); });
    } else if (path == "/vms" && request.method == "PUT") {
        m_vms.replace(request.body, base::now() + std::chrono::milliseconds(m_options.vmListLagMilliseconds));
        exchange->respond(net::HttpResponse{204, {}, {}});
    } else if (path == "/vms" && isRead) {
        exchange->respond(net::HttpResponse{200, {{"Content-Type", "application/json"}}, m_vms.visible(base::now())});
    } else if (path.starts_with(WeightsPath) && isRead) {
        loadWeights(exchange);
    } else {
        exchange->respond(errorResponse(404, "unknown_path"));
    }
}

void Platform::performPaced(RatePacer &pacer, const net::ExchangePointer &exchange, Operation operation)
{
    const auto now = base::now();
    if (pacer.delayAt(now) > MaxPacingDelay) {
        exchange->respond(errorResponse(503, "overloaded"));
        return;
    }
    const auto pacingDelay = pacer.reserve(now) - now;
    const base::Duration half = std::chrono::microseconds(m_options.latencyMilliseconds * 500);
    callAfter(m_program.context(), pacingDelay + half, [this, exchange, half, operation = std::move(operation)] {
        auto response = operation();
        callAfter(m_program.context(), half, [exchange, response = std::move(response)] { exchange->respond(response); });
    });
}

net::HttpResponse Platform::transact(const std::string &body)
{
    std::vector<RowWrite> writes;
    try {
        const auto document = json::parse(body);
        for (const auto &it : document.at("writes")) {
            writes.push_back(readWrite(it));
        }
    } catch (const json::exception &) {
        return errorResponse(400, "bad_request");
    }
    const auto result = m_table.transact(writes);
    if (!result) {
        return jsonResponse(409, {{"conflicts", toJson(result.error())}});
    }
    json versions = json::array();
    for (const auto it : *result) {
        versions.push_back(it.value());
    }
    return jsonResponse(200, {{"versions", versions}});
}

net::HttpResponse Platform::readRows(const std::string &target) const
{
    return jsonResponse(200, {{"rows", toJson(m_table.rows(net::queryParameter(target, "prefix")))}});
}

net::HttpResponse Platform::readObject(const std::string &name) const
{
    const auto it = m_objects.find(name);
    if (it == m_objects.end()) {
        return errorResponse(404, "unknown_object");
    }
    return net::HttpResponse{200, {{"Content-Type", "application/octet-stream"}}, it->second};
}

void Platform::loadWeights(const net::ExchangePointer &exchange)
{
    const auto &target = exchange->request().target;
    const bool isAdapter = net::queryParameter(target, "kind") == "adapter";
    const auto now = base::now();
    const auto finishedAt = isAdapter ? m_weights.startAdapterLoad(now) : m_weights.startModelLoad(readNumber(net::queryParameter(target, "mib")), now);
    callAfter(m_program.context(), finishedAt - now, [this, exchange, isAdapter] {
        if (isAdapter) {
            m_weights.finishAdapterLoad();
        } else {
            m_weights.finishModelLoad();
        }
        exchange->respond(jsonResponse(200, json::object()));
    });
}

} // namespace turmericplank::standins::platform
