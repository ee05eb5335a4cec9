#include "turmericplank/daemon/platformclient.hpp"

#include <array>
#include <cctype>
#include <cstdio>

#include <nlohmann/json.hpp>

#include "turmericplank/net/httpclient.hpp"

namespace turmericplank::daemon {

namespace {

using nlohmann::json;
using store::Row;
using store::TableError;
using store::TableFailure;
using Reply = tl::expected<net::HttpResponse, TableFailure>;
using ReplyHook = std::function<void(Reply)>;

struct Client
{
    boost::asio::io_context &context;
    PlatformOptions options;
};

using ClientPointer = std::shared_ptr<Client>;

TableFailure toTableFailure(net::CallFailure failure)
{
    return failure == net::CallFailure::NotSent ? TableFailure::Unavailable : TableFailure::Ambiguous;
}

void call(const ClientPointer &client, const net::HttpRequest &request, ReplyHook onReply, std::size_t attempt = 0)
{
    net::HttpCallOptions options;
    options.to = client->options.addresses[attempt];
    options.request = request;
    options.responseHeaderTimeout = client->options.timeout;
    options.bodyIdleTimeout = client->options.timeout;
    options.byteCounter = client->options.byteCounter;
    fetchResponse(client->context, std::move(options), [=](tl::expected<net::HttpResponse, net::CallFailure> response) {
        if (response) {
            onReply(std::move(*response));
        } else if (response.error() == net::CallFailure::NotSent && attempt + 1 < client->options.addresses.size()) {
            call(client, request, onReply, attempt + 1);
        } else {
            onReply(tl::make_unexpected(toTableFailure(response.error())));
        }
    });
}

std::string percentEncoded(std::string_view text)
{
    std::string buf;
    for (const char it : text) {
        if (std::isalnum(static_cast<unsigned char>(it)) != 0 || it == '-' || it == '_' || it == '.') {
            buf += it;
            continue;
        }
        std::array<char, 4> code{};
        std::snprintf(code.data(), code.size(), "%%%02X", static_cast<unsigned char>(it));
        buf += code.data();
    }
    return buf;
}

json toJson(const store::RowWrite &write)
{
    json it = {{"key", write.key}, {"expect", nullptr}, {"value", nullptr}};
    if (write.expectedVersion) {
        it["expect"] = write.expectedVersion->value();
    }
    if (write.value) {
        it["value"] = *write.value;
    }
    return it;
}

std::vector<Row> toRows(const json &rows)
{
    std::vector<Row> result;
    for (const auto &it : rows) {
        const auto &value = it.at("value");
        result.push_back({it.at("key"), base::RowVersion(it.at("version")), value.is_null() ? std::string() : value.get<std::string>()});
    }
    return result;
}

store::WriteResult toWriteResult(const Reply &reply)
{
    if (!reply) {
        return tl::make_unexpected(TableError{reply.error(), {}});
    }
    if (reply->status == 503) {
        return tl::make_unexpected(TableError{TableFailure::Unavailable, {}});
    }
    const auto body = json::parse(reply->body, nullptr, false);
    try {
        if (reply->status == 409) {
            return tl::make_unexpected(TableError{TableFailure::Conflict, toRows(body.at("conflicts"))});
        }
        std::vector<base::RowVersion> versions;
        for (const auto &it : body.at("versions")) {
            versions.emplace_back(it.get<std::uint64_t>());
        }
        return versions;
    } catch (const json::exception &) {
        return tl::make_unexpected(TableError{TableFailure::Ambiguous, {}});
    }
}

store::ReadResult toReadResult(const Reply &reply)
{
    const auto body = reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
    try {
        return toRows(body.at("rows"));
    } catch (const json::exception &) {
        return tl::make_unexpected(TableError{TableFailure::Unavailable, {}});
    }
}

tl::expected<std::vector<store::VirtualMachine>, TableFailure> toVirtualMachines(const Reply &reply)
{
    const auto body = reply && reply->status == 200 ? json::parse(reply->body, nullptr, false) : json();
    std::vector<store::VirtualMachine> vms;
    try {
        for (const auto &it : body.at("vms")) {
            const auto address = base::parseAddress(it.at("address").get<std::string>());
            vms.push_back({it.at("id"), address.value_or(base::Address()), base::ZoneName(it.at("zone")), it.at("state") == "leaving"});
        }
    } catch (const json::exception &) {
        return tl::make_unexpected(TableFailure::Unavailable);
    }
    return vms;
}

store::Table makeTable(const ClientPointer &client)
{
    store::Table table;
    table.transact = [client](const std::vector<store::RowWrite> &writes, std::function<void(store::WriteResult)> onResult) {
        json body = {{"writes", json::array()}};
        for (const auto &it : writes) {
            body["writes"].push_back(toJson(it));
        }
        const net::HttpRequest request{"POST", "/table/transact", {{"Content-Type", "application/json"}}, body.dump()};
        call(client, request, [onResult = std::move(onResult)](const Reply &reply) { onResult(toWriteResult(reply)); });
    };
    table.readPrefix = [client](const std::string &prefix, std::function<void(store::ReadResult)> onResult) {
        const net::HttpRequest request{"GET", "/table/rows?prefix=" + percentEncoded(prefix), {}, {}};
        call(client, request, [onResult = std::move(onResult)](const Reply &reply) { onResult(toReadResult(reply)); });
    };
    return table;
}

store::ObjectStore makeObjectStore(const ClientPointer &client)
{
    using PutResult = tl::expected<void, TableFailure>;
    using FetchResult = tl::expected<std::optional<std::string>, TableFailure>;
    store::ObjectStore objects;
    objects.put = [client](const std::string &name, std::string bytes, std::function<void(PutResult)> onResult) {
        const net::HttpRequest request{"PUT", "/objects/" + percentEncoded(name), {}, std::move(bytes)};
        call(client, request, [onResult = std::move(onResult)](const Reply &reply) {
            if (!reply) {
                onResult(tl::make_unexpected(reply.error()));
            } else if (reply->status >= 300) {
                onResult(tl::make_unexpected(TableFailure::Unavailable));
            } else {
                onResult({});
            }
        });
    };
    objects.fetch = [client](const std::string &name, std::function<void(FetchResult)> onResult) {
        const net::HttpRequest request{"GET", "/objects/" + percentEncoded(name), {}, {}};
        call(client, request, [onResult = std::move(onResult)](const Reply &reply) {
            if (reply && reply->status == 200) {
                onResult(std::optional<std::string>(reply->body));
            } else if (reply && reply->status == 404) {
                onResult(std::optional<std::string>());
            } else {
                onResult(tl::make_unexpected(TableFailure::Unavailable));
            }
        });
    };
    return objects;
}

} // namespace

PlatformClient makePlatformClient(boost::asio::io_context &context, PlatformOptions options)
{
    const auto client = std::make_shared<Client>(Client{context, std::move(options)});
    PlatformClient result;
    result.table = makeTable(client);
    result.objects = makeObjectStore(client);
    result.listVirtualMachines = [client](std::function<void(tl::expected<std::vector<store::VirtualMachine>, TableFailure>)> onResult) {
        call(client, {"GET", "/vms", {}, {}}, [onResult = std::move(onResult)](const Reply &reply) { onResult(toVirtualMachines(reply)); });
    };
    return result;
}

} // namespace turmericplank::daemon
