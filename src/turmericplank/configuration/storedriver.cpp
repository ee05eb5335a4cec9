#include "turmericplank/configuration/storedriver.hpp"

#include "turmericplank/configuration/draft.hpp"

namespace turmericplank::configuration {

namespace {

template<typename Result>
struct PendingResults
{
    std::size_t outstanding = 0;
    Result result;
    std::function<void(Result)> onDone;

    void responseReceived()
    {
        outstanding -= 1;
        if (outstanding == 0) {
            onDone(std::move(result));
        }
    }
};

using PutResult = tl::expected<void, store::TableFailure>;
using FetchResult = tl::expected<ObjectCache, store::TableFailure>;

void putObjects(const StoreDriverOptions &options, const PutObjects &action, std::function<void(PutResult)> onDone)
{
    if (action.objects.empty()) {
        return onDone({});
    }
    auto pending = std::make_shared<PendingResults<PutResult>>(PendingResults<PutResult>{action.objects.size(), {}, std::move(onDone)});
    for (const auto &[name, bytes] : action.objects) {
        if (options.onObject) {
            options.onObject(name, bytes);
        }
        options.objects.put(objectStoreKey(name), bytes, [pending](const PutResult &result) {
            if (!result) {
                pending->result = result;
            }
            pending->responseReceived();
        });
    }
}

} // namespace

std::string objectStoreKey(const std::string &name)
{
    return std::string(RowPrefix) + name;
}

void fetchObjects(const store::ObjectStore &objects, const std::vector<std::string> &names, std::function<void(FetchResult)> onDone)
{
    if (names.empty()) {
        return onDone(ObjectCache());
    }
    auto pending = std::make_shared<PendingResults<FetchResult>>(PendingResults<FetchResult>{names.size(), ObjectCache(), std::move(onDone)});
    for (const auto &name : names) {
        objects.fetch(objectStoreKey(name), [pending, name](const tl::expected<std::optional<std::string>, store::TableFailure> &response) {
            auto &result = pending->result;
            if (!response) {
                result = tl::unexpected(response.error());
            } else if (result && *response) {
                result->emplace(name, **response);
            }
            pending->responseReceived();
        });
    }
}

void execute(const StoreDriverOptions &options, const StoreAction &action, std::function<void(StoreResponse)> onResponse)
{
    if (std::holds_alternative<ReadRows>(action)) {
        options.table.readPrefix(std::string(RowPrefix), [onResponse](const store::ReadResult &rows) { onResponse(RowsRead{rows}); });
    } else if (const auto *fetch = std::get_if<FetchObjects>(&action)) {
        fetchObjects(options.objects, fetch->names, [onResponse, onObject = options.onObject](const FetchResult &result) {
            for (const auto &it : result ? *result : ObjectCache()) {
                if (onObject) {
                    onObject(it.first, it.second);
                }
            }
            onResponse(ObjectsFetched{result});
        });
    } else if (const auto *put = std::get_if<PutObjects>(&action)) {
        putObjects(options, *put, [onResponse](const PutResult &result) { onResponse(ObjectsPut{result}); });
    } else if (const auto *write = std::get_if<WriteRows>(&action)) {
        options.table.transact(write->writes, [onResponse](const store::WriteResult &result) { onResponse(RowsWritten{result}); });
    } else if (const auto *wait = std::get_if<WaitUntil>(&action)) {
        options.callAt(wait->time, [onResponse] { onResponse(Waited()); });
    }
}

} // namespace turmericplank::configuration
