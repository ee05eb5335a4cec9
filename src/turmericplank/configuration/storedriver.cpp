#include "turmericplank/configuration/storedriver.hpp"

#include "turmericplank/configuration/draft.hpp"

namespace turmericplank::configuration {

namespace {

template<typename Result>
struct Gathering
{
    std::size_t outstanding = 0;
    Result result;
    std::function<void(Result)> onDone;

    void answered()
    {
        outstanding -= 1;
        if (outstanding == 0) {
            onDone(std::move(result));
        }
    }
};

using PutResult = tl::expected<void, store::TableFailure>;
using FetchResult = tl::expected<ObjectCache, store::TableFailure>;

void putObjects(const StoreDriverOptions &options, const PutObjects &step, std::function<void(PutResult)> onDone)
{
    if (step.objects.empty()) {
        return onDone({});
    }
    auto gathering = std::make_shared<Gathering<PutResult>>(Gathering<PutResult>{step.objects.size(), {}, std::move(onDone)});
    for (const auto &[name, bytes] : step.objects) {
        if (options.onObject) {
            options.onObject(name, bytes);
        }
        options.objects.put(storedName(name), bytes, [gathering](const PutResult &result) {
            if (!result) {
                gathering->result = result;
            }
            gathering->answered();
        });
    }
}

} // namespace

std::string storedName(const std::string &name)
{
    return std::string(RowPrefix) + name;
}

void fetchObjects(const store::ObjectStore &objects, const std::vector<std::string> &names, std::function<void(FetchResult)> onDone)
{
    if (names.empty()) {
        return onDone(ObjectCache());
    }
    auto gathering = std::make_shared<Gathering<FetchResult>>(Gathering<FetchResult>{names.size(), ObjectCache(), std::move(onDone)});
    for (const auto &name : names) {
        objects.fetch(storedName(name), [gathering, name](const tl::expected<std::optional<std::string>, store::TableFailure> &answer) {
            auto &result = gathering->result;
            if (!answer) {
                result = tl::unexpected(answer.error());
            } else if (result && *answer) {
                result->emplace(name, **answer);
            }
            gathering->answered();
        });
    }
}

void carryOut(const StoreDriverOptions &options, const StoreStep &step, std::function<void(StoreAnswer)> onAnswer)
{
    if (std::holds_alternative<ReadRows>(step)) {
        options.table.readPrefix(std::string(RowPrefix), [onAnswer](const store::ReadResult &rows) { onAnswer(RowsRead{rows}); });
    } else if (const auto *fetch = std::get_if<FetchObjects>(&step)) {
        fetchObjects(options.objects, fetch->names, [onAnswer, hook = options.onObject](const FetchResult &result) {
            for (const auto &it : result ? *result : ObjectCache()) {
                if (hook) {
                    hook(it.first, it.second);
                }
            }
            onAnswer(ObjectsFetched{result});
        });
    } else if (const auto *put = std::get_if<PutObjects>(&step)) {
        putObjects(options, *put, [onAnswer](const PutResult &result) { onAnswer(ObjectsPut{result}); });
    } else if (const auto *write = std::get_if<WriteRows>(&step)) {
        options.table.transact(write->writes, [onAnswer](const store::WriteResult &result) { onAnswer(RowsWritten{result}); });
    } else if (const auto *wait = std::get_if<WaitUntil>(&step)) {
        options.callAt(wait->time, [onAnswer] { onAnswer(Waited()); });
    }
}

} // namespace turmericplank::configuration
