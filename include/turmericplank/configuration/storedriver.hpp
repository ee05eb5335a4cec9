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

/// @brief What a driver needs of its surroundings.
struct StoreDriverOptions
{
    store::Table table;
    store::ObjectStore objects;
    std::function<void(base::Time, std::function<void()>)> callAt; ///< calls a hook once at a time
    std::function<base::Time()> now;
    std::function<void(const std::string &digest, const std::string &bytes)> onObject; ///< told of each object put or fetched; may be empty
};

/// @brief Name in the object store of an object of the configuration.
/// @param name digest or changeName()
std::string storedName(const std::string &name);

/// @brief Carries out one step and hands its answer over, once; Finished has no answer.
/// @param options where to
/// @param step what to do
/// @param onAnswer gets the answer
void carryOut(const StoreDriverOptions &options, const StoreStep &step, std::function<void(StoreAnswer)> onAnswer);

/// @brief Fetches objects from the object store; absent ones are left out, any failure fails all.
/// @param objects where from
/// @param names digests or changeName()s
/// @param onDone gets the objects by name
void fetchObjects(const store::ObjectStore &objects, const std::vector<std::string> &names,
                  std::function<void(tl::expected<ObjectCache, store::TableFailure>)> onDone);

/// @brief Runs an Edit or an Accept to its end.
/// @tparam Operation Edit or Accept
/// @param options where to
/// @param operation the operation, which is kept alive
/// @param deadline when it is ended
/// @param onDone called once, when the result is there
template<typename Operation>
void runOperation(const StoreDriverOptions &options, std::shared_ptr<Operation> operation, base::Time deadline, std::function<void(const Operation &)> onDone)
{
    struct Run
    {
        StoreDriverOptions options;
        std::shared_ptr<Operation> operation;
        std::function<void(const Operation &)> onDone;

        static void take(const std::shared_ptr<Run> &run, const StoreStep &step)
        {
            if (!run->onDone) {
                return;
            }
            if (std::holds_alternative<Finished>(step)) {
                const auto hook = std::exchange(run->onDone, nullptr);
                return hook(*run->operation);
            }
            carryOut(run->options, step, [run](const StoreAnswer &answer) { take(run, run->operation->handle(answer, run->options.now())); });
        }
    };
    auto run = std::make_shared<Run>(Run{options, std::move(operation), std::move(onDone)});
    options.callAt(deadline, [run] { Run::take(run, run->operation->expire()); });
    Run::take(run, run->operation->start());
}

} // namespace turmericplank::configuration
