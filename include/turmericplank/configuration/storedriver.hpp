#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "turmericplank/base/time.hpp"
#include "turmericplank/configuration/storeaction.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::configuration {

/// @brief Dependencies of the functions that execute store actions.
struct StoreDriverOptions
{
    store::Table table;
    store::ObjectStore objects;
    std::function<void(base::Time, std::function<void()>)> callAt; ///< calls a callback once at the given time
    std::function<base::Time()> now;
    std::function<void(const std::string &digest, const std::string &bytes)> onObject; ///< called for each object that is put or fetched; may be empty
};

/// @brief Key under which the object store holds a configuration object.
/// @param name digest or changeObjectName()
std::string objectStoreKey(const std::string &name);

/// @brief Executes one action. Finished has no response.
/// @param options table, object store and timers
/// @param action action to execute
/// @param onResponse called once with the response
void execute(const StoreDriverOptions &options, const StoreAction &action, std::function<void(StoreResponse)> onResponse);

/// @brief Fetches objects from the object store. Objects that do not exist are left out; one failure fails the whole fetch.
/// @param objects the object store
/// @param names digests or changeObjectName()s
/// @param onDone receives the objects by name
void fetchObjects(const store::ObjectStore &objects, const std::vector<std::string> &names,
                  std::function<void(tl::expected<ObjectCache, store::TableFailure>)> onDone);

/// @brief Runs an operation until it is finished.
/// @tparam Operation Edit, Accept or View
/// @param options table, object store and timers
/// @param operation the operation, kept alive while it runs
/// @param deadline time at which an unfinished operation expires
/// @param onDone called once with the finished operation
template<typename Operation>
void runOperation(const StoreDriverOptions &options, std::shared_ptr<Operation> operation, base::Time deadline, std::function<void(const Operation &)> onDone)
{
    struct Run
    {
        StoreDriverOptions options;
        std::shared_ptr<Operation> operation;
        std::function<void(const Operation &)> onDone;

        static void proceed(const std::shared_ptr<Run> &run, const StoreAction &action)
        {
            if (!run->onDone) {
                return;
            }
            if (std::holds_alternative<Finished>(action)) {
                const auto callback = std::exchange(run->onDone, nullptr);
                return callback(*run->operation);
            }
            execute(run->options, action, [run](const StoreResponse &response) { proceed(run, run->operation->handle(response, run->options.now())); });
        }
    };
    auto run = std::make_shared<Run>(Run{options, std::move(operation), std::move(onDone)});
    options.callAt(deadline, [run] { Run::proceed(run, run->operation->expire()); });
    Run::proceed(run, run->operation->start());
}

} // namespace turmericplank::configuration
