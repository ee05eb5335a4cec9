#include "placementmessages.hpp"

#include <map>
#include <tuple>

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

namespace turmericplank::daemon {

namespace {

using placement::OrderAnswer;

constexpr std::uint32_t DemandVersion = 1;
constexpr std::size_t DemandFields = 3;

using ModelFields = std::map<std::string, std::tuple<std::uint64_t, std::uint64_t>>;
using AdapterFields = std::map<std::string, std::uint64_t>;

OrderAnswer parseOrderState(const std::string &state)
{
    if (state == "done") {
        return OrderAnswer::Done;
    }
    return state == "failed" ? OrderAnswer::Failed : OrderAnswer::Running;
}

} // namespace

std::string orderBody(const placement::Order &order)
{
    return nlohmann::json({{"order_id", order.id},
                           {"term", order.term.value()},
                           {"kind", placement::toString(order.kind)},
                           {"model", order.resident.model.text()},
                           {"version", order.resident.version},
                           {"adapter", order.resident.adapter.text()},
                           {"role", order.role},
                           {"memory_mib", order.memoryMib}})
        .dump();
}

OrderAnswer readOrderAnswer(const net::HttpResponse &response)
{
    constexpr int Accepted = 202;
    constexpr int Conflict = 409;
    constexpr int OutOfMemory = 507;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == Accepted && body.is_object()) {
        return parseOrderState(body.value("state", std::string()));
    }
    if (response.status == Conflict && body.is_object() && body.value("code", std::string()) == "stale_term") {
        return OrderAnswer::StaleTerm;
    }
    return response.status == OutOfMemory ? OrderAnswer::OutOfMemory : OrderAnswer::Lost;
}

std::optional<placement::Inventory> readInventory(const configuration::Document &document, const std::string &text)
{
    try {
        const auto body = nlohmann::json::parse(text);
        placement::Inventory inventory;
        inventory.incarnation = base::Incarnation(body.at("incarnation").get<std::uint64_t>());
        inventory.memoryMib = body.at("used_mib").get<std::uint32_t>();
        inventory.role = body.at("role").get<std::string>();
        inventory.highestTerm = base::Term(body.at("highest_term").get<std::uint64_t>());
        for (const auto &it : body.at("resident")) {
            inventory.residents.emplace(placement::Resident{base::ModelName(it.at("model").get<std::string>()), it.at("version").get<std::string>(), {}}, 0);
        }
        for (const auto &it : body.at("adapters")) {
            const base::AdapterName name(it.get<std::string>());
            const auto configured = document.adapters.find(name);
            const auto model = configured == document.adapters.end() ? base::ModelName() : configured->second.model;
            inventory.residents.emplace(placement::Resident{model, {}, name}, 0);
        }
        for (const auto &it : body.at("orders")) {
            inventory.orders.emplace(it.at("order_id").get<std::string>(), parseOrderState(it.at("state").get<std::string>()));
        }
        return inventory;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

std::string encodeDemand(const placement::DemandCounters &counters)
{
    ModelFields models;
    for (const auto &[name, counter] : counters.models) {
        models.emplace(name.text(), std::tuple(counter.requests, counter.streamMilliseconds));
    }
    AdapterFields adapters;
    for (const auto &[name, requests] : counters.adapters) {
        adapters.emplace(name.text(), requests);
    }
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::make_tuple(DemandVersion, models, adapters));
    return {buf.data(), buf.size()};
}

std::optional<placement::DemandCounters> decodeDemand(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto fields = handle.get().as<std::vector<msgpack::object>>();
        if (fields.size() < DemandFields) {
            return std::nullopt;
        }
        placement::DemandCounters counters;
        for (const auto &[name, counter] : fields[1].as<ModelFields>()) {
            counters.models.emplace(base::ModelName(name), placement::DemandCounter{std::get<0>(counter), std::get<1>(counter)});
        }
        for (const auto &[name, requests] : fields[2].as<AdapterFields>()) {
            counters.adapters.emplace(base::AdapterName(name), requests);
        }
        return counters;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace turmericplank::daemon
