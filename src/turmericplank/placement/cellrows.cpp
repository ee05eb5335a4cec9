#include "turmericplank/placement/cellrows.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace turmericplank::placement {

namespace {

constexpr std::array<std::pair<OrderKind, std::string_view>, 6> KindNames = {{{OrderKind::Load, "load"},
                                                                              {OrderKind::Unload, "unload"},
                                                                              {OrderKind::LoadAdapter, "load_adapter"},
                                                                              {OrderKind::UnloadAdapter, "unload_adapter"},
                                                                              {OrderKind::SetRole, "set_role"},
                                                                              {OrderKind::SetTerm, "set_term"}}};

bool hasStrings(const nlohmann::json &json, std::initializer_list<const char *> keys)
{
    return std::all_of(keys.begin(), keys.end(), [&json](const auto *key) { return json.contains(key) && json[key].is_string(); });
}

bool hasNumbers(const nlohmann::json &json, std::initializer_list<const char *> keys)
{
    return std::all_of(keys.begin(), keys.end(), [&json](const auto *key) { return json.contains(key) && json[key].is_number_unsigned(); });
}

} // namespace

std::string_view toString(OrderKind kind)
{
    const auto it = std::find_if(KindNames.begin(), KindNames.end(), [kind](const auto &it) { return it.first == kind; });
    return it->second;
}

std::optional<OrderKind> parseOrderKind(std::string_view text)
{
    const auto it = std::find_if(KindNames.begin(), KindNames.end(), [text](const auto &it) { return it.second == text; });
    return it == KindNames.end() ? std::nullopt : std::optional(it->first);
}

std::string CellKeys::prefix() const
{
    return "placement/" + cell.text() + '/';
}

std::string CellKeys::lease() const
{
    return prefix() + "lease";
}

std::string CellKeys::order(const std::string &id) const
{
    return prefix() + "order/" + id;
}

std::string CellKeys::holder(const base::DaemonId &id) const
{
    return prefix() + "holder/" + id.text();
}

std::string encode(const Order &order)
{
    return nlohmann::json({{"order_id", order.id},
                           {"term", order.term.value()},
                           {"kind", toString(order.kind)},
                           {"endpoint", order.endpoint.text()},
                           {"holder", order.holder.text()},
                           {"model", order.resident.model.text()},
                           {"version", order.resident.version},
                           {"adapter", order.resident.adapter.text()},
                           {"role", order.role},
                           {"memory_mib", order.memoryMib}})
        .dump();
}

std::optional<Order> decodeOrder(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool isComplete = json.is_object() && hasStrings(json, {"order_id", "kind", "endpoint", "holder", "model", "version", "adapter", "role"})
        && hasNumbers(json, {"term", "memory_mib"});
    const auto kind = isComplete ? parseOrderKind(json["kind"].get<std::string>()) : std::nullopt;
    if (!kind) {
        return std::nullopt;
    }
    return Order{json["order_id"].get<std::string>(),
                 base::Term(json["term"].get<std::uint64_t>()),
                 *kind,
                 base::EndpointId(json["endpoint"].get<std::string>()),
                 base::DaemonId(json["holder"].get<std::string>()),
                 {base::ModelName(json["model"].get<std::string>()), json["version"].get<std::string>(), base::AdapterName(json["adapter"].get<std::string>())},
                 json["role"].get<std::string>(),
                 json["memory_mib"].get<std::uint32_t>()};
}

std::string encode(const HolderRow &row)
{
    return nlohmann::json({{"held", row.held.value()}, {"acknowledged", row.acknowledged.value()}}).dump();
}

std::optional<HolderRow> decodeHolderRow(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !hasNumbers(json, {"held", "acknowledged"})) {
        return std::nullopt;
    }
    return HolderRow{base::Term(json["held"].get<std::uint64_t>()), base::Term(json["acknowledged"].get<std::uint64_t>())};
}

CellRows readCellRows(const CellKeys &keys, const std::vector<store::Row> &rows)
{
    const auto orderPrefix = keys.order("");
    const auto holderPrefix = keys.holder(base::DaemonId());
    CellRows result;
    for (const auto &row : rows) {
        if (row.key.starts_with(orderPrefix)) {
            const auto order = decodeOrder(row.value);
            order ? result.orders.push_back(*order) : static_cast<void>(++result.unreadable);
        } else if (row.key.starts_with(holderPrefix)) {
            const auto holder = decodeHolderRow(row.value);
            const base::DaemonId id(row.key.substr(holderPrefix.size()));
            holder ? static_cast<void>(result.holders.emplace(id, *holder)) : static_cast<void>(++result.unreadable);
            result.holderVersions.emplace(id, row.version);
        }
    }
    return result;
}

} // namespace turmericplank::placement
