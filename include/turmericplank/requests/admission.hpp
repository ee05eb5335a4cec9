#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include <boost/intrusive/set.hpp>

#include "turmericplank/base/identifier.hpp"
#include "turmericplank/base/number.hpp"
#include "turmericplank/base/priority.hpp"
#include "turmericplank/requests/callerror.hpp"

namespace turmericplank::requests {

/// @brief Identifies a call within a daemon.
using CallNumber = base::Number<struct CallNumberTag>;

/// @brief Limits of one caller; zero means no limit.
struct CallerLimit
{
    double requestsPerSecond = 0;
    std::uint32_t concurrency = 0; ///< calls in progress at once

    friend bool operator==(const CallerLimit &, const CallerLimit &) = default;
};

/// @brief Limits and callbacks of admission.
struct AdmissionOptions
{
    std::function<std::uint32_t(const base::ModelName &)> modelLimit; ///< calls of a model at endpoints at once; zero for no limit
    std::function<CallerLimit(const base::CallerName &)> callerLimit;
    std::size_t maxWaitingCalls = 4096; ///< waiting calls of a class and the classes above it, over all models
    double waitSafetyFactor = 1.2; ///< factor on the expected wait of classes below urgent
    unsigned lowestClassInterval = 16; ///< every n-th start goes to the lowest class that has a waiting call
    unsigned agedCallInterval = 8; ///< every n-th start goes to an aged call while urgent calls wait
    base::Duration agingMargin = std::chrono::seconds(2); ///< a waiting call counts as aged from this long before its latest possible start
    base::Duration initialServiceTime = std::chrono::milliseconds(500); ///< estimate until the first answer
    std::function<bool(base::Priority, base::Priority)> precedes; ///< order of the classes; urgent first if empty
};

/// @brief A call to be admitted.
struct AdmissionRequest
{
    CallNumber call;
    base::ModelName model;
    base::CallerName caller;
    base::Priority priority = base::Priority::Normal;
    base::Time deadline;
};

/// @brief The call may be sent to an endpoint.
struct StartCall
{
    CallNumber call;

    friend bool operator==(const StartCall &, const StartCall &) = default;
};

/// @brief The call is rejected and was not run.
struct RejectCall
{
    CallNumber call;
    CallError error;

    friend bool operator==(const RejectCall &, const RejectCall &) = default;
};

using AdmissionAction = std::variant<StartCall, RejectCall>;

/// @brief Orders waiting calls by class and deadline, and rejects early those that cannot be answered in time.
class Admission
{
public:
    explicit Admission(AdmissionOptions options);
    ~Admission();

    /// @brief Starts, queues or rejects a call.
    std::vector<AdmissionAction> submit(const AdmissionRequest &request, base::Time now);
    /// @brief Removes a started call that has ended, or a waiting call that was withdrawn.
    /// @param call the call
    /// @param wasAnswered whether its duration is used to estimate the service time
    /// @param now current time
    std::vector<AdmissionAction> finish(CallNumber call, bool wasAnswered, base::Time now);
    /// @brief Rejects waiting calls that can no longer meet their deadline, promotes aged ones and starts those that fit.
    std::vector<AdmissionAction> tick(base::Time now);

    /// @brief Number of waiting calls.
    std::size_t waiting() const;
    /// @brief Number of calls that were started and have not ended.
    std::size_t started() const;

private:
    struct Entry;
    struct ByDeadline
    {
        bool operator()(const Entry &left, const Entry &right) const;
    };
    using Hook = boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct Entry : Hook
    {
        AdmissionRequest request;
        base::Time startedAt;
        std::size_t queue = 0;
        bool isStarted = false;
    };
    using Queue = boost::intrusive::multiset<Entry, boost::intrusive::compare<ByDeadline>, boost::intrusive::constant_time_size<false>>;

    static constexpr std::size_t ClassCount = 3;
    static constexpr std::size_t AgedQueue = ClassCount; ///< index of the queue of aged calls

    /// Exponentially decaying rate of starts, with a time constant of ten seconds.
    struct Rate
    {
        double perSecond = 0;
        base::Time updatedAt;

        void record(base::Time now);
        double decayed(base::Time now) const;
    };
    struct ModelState
    {
        std::array<Queue, ClassCount + 1> queues;
        std::array<std::size_t, ClassCount + 1> sizes{};
        std::array<Rate, ClassCount> starts;
        std::uint32_t started = 0;
        unsigned startsSinceLowest = 0;
        unsigned startsSinceAged = 0;
        base::Duration serviceTime{};
    };
    struct CallerState
    {
        std::uint32_t activeCalls = 0;
        double tokens = 0; ///< of the token bucket that limits the request rate
        base::Time updatedAt;
    };

    std::optional<CallError> checkCallerLimits(const AdmissionRequest &request, base::Time now);
    std::optional<CallError> checkQueue(const AdmissionRequest &request, const ModelState &model, std::uint32_t limit, base::Time now) const;
    base::Duration expectedWait(const ModelState &model, base::Priority priority, std::uint32_t limit, base::Time now) const;
    std::uint32_t concurrencyLimit(const base::ModelName &model) const;
    bool precedes(base::Priority left, base::Priority right) const;
    base::Duration serviceTime(const ModelState &model) const;
    void enqueue(Entry &entry, std::size_t queue, ModelState &model);
    void dequeue(Entry &entry, ModelState &model);
    bool isAged(const AdmissionRequest &request, const ModelState &model, base::Time now) const;
    void promoteAgedCalls(ModelState &model, base::Time now);
    std::optional<std::size_t> nextQueue(ModelState &model) const;
    Entry *popNext(ModelState &model);
    void startWaitingCalls(ModelState &model, const base::ModelName &name, base::Time now, std::vector<AdmissionAction> &actions);
    void reject(Entry &entry, CallError error, std::vector<AdmissionAction> &actions);
    void erase(CallNumber call);

    AdmissionOptions m_options;
    std::unordered_map<CallNumber, std::unique_ptr<Entry>> m_entries;
    std::unordered_map<base::ModelName, ModelState> m_models;
    std::unordered_map<base::CallerName, CallerState> m_callers;
    std::array<std::size_t, ClassCount> m_waiting{}; ///< by class
};

} // namespace turmericplank::requests
