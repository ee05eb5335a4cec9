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

/// @brief One call within a daemon.
using CallNumber = base::Number<struct CallNumberTag>;

/// @brief What one caller may have at once; zero is no limit.
struct CallerLimit
{
    double requestsPerSecond = 0;
    std::uint32_t concurrency = 0;

    friend bool operator==(const CallerLimit &, const CallerLimit &) = default;
};

/// @brief Limits and hooks of admission.
struct AdmissionOptions
{
    std::function<std::uint32_t(const base::ModelName &)> modelLimit; ///< calls at endpoints at once; zero for no limit
    std::function<CallerLimit(const base::CallerName &)> callerLimit;
    std::size_t queueLimit = 4096; ///< calls of a class and those above it that wait, over all models
    double waitSafety = 1.2; ///< factor on the expected wait of classes below urgent
    unsigned bulkShare = 16; ///< one start in so many goes to the lowest waiting class
    unsigned agedShare = 8; ///< one start in so many goes to an aged call while urgent ones wait
    base::Duration ageingMargin = std::chrono::seconds(2); ///< a waiting call is aged this long before its latest start
    base::Duration initialServiceTime = std::chrono::milliseconds(500); ///< estimate before the first answer
    std::function<bool(base::Priority, base::Priority)> goesBefore; ///< order of classes; urgent first if empty
};

/// @brief One call that asks to be admitted.
struct AdmissionRequest
{
    CallNumber call;
    base::ModelName model;
    base::CallerName caller;
    base::Priority priority = base::Priority::Normal;
    base::Time deadline;
};

/// @brief The call may go to an endpoint.
struct StartCall
{
    CallNumber call;

    friend bool operator==(const StartCall &, const StartCall &) = default;
};

/// @brief The call is refused; it was not run.
struct RefuseCall
{
    CallNumber call;
    CallError error;

    friend bool operator==(const RefuseCall &, const RefuseCall &) = default;
};

using AdmissionAction = std::variant<StartCall, RefuseCall>;

/// @brief Orders waiting calls by class and deadline, and refuses early what cannot be answered in time.
class Admission
{
public:
    explicit Admission(AdmissionOptions options);
    ~Admission();

    /// @brief A call asks to be admitted.
    std::vector<AdmissionAction> submit(const AdmissionRequest &request, base::Time now);
    /// @brief A started call has ended, or a waiting one was withdrawn.
    /// @param call the call
    /// @param wasAnswered whether its duration counts for the estimate of service time
    /// @param now the present
    std::vector<AdmissionAction> finish(CallNumber call, bool wasAnswered, base::Time now);
    /// @brief Refuses waiting calls that can no longer be answered in time and raises those whose latest start is near.
    std::vector<AdmissionAction> tick(base::Time now);

    /// @brief Calls that wait.
    std::size_t waiting() const;
    /// @brief Calls that were started and have not ended.
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
    static constexpr std::size_t AgedQueue = ClassCount; ///< calls of lower classes whose latest start is near

    /// Starts per second, of which the last ten seconds count most.
    struct Rate
    {
        double perSecond = 0;
        base::Time countedAt;

        void count(base::Time now);
        double at(base::Time now) const;
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
        std::uint32_t present = 0;
        double credit = 0;
        base::Time countedAt;
    };

    std::optional<CallError> callerRefusal(const AdmissionRequest &request, base::Time now);
    std::optional<CallError> queueRefusal(const AdmissionRequest &request, const ModelState &model, std::uint32_t limit, base::Time now) const;
    base::Duration expectedWait(const ModelState &model, base::Priority priority, std::uint32_t limit, base::Time now) const;
    std::uint32_t limitOf(const base::ModelName &model) const;
    bool goesBefore(base::Priority left, base::Priority right) const;
    base::Duration serviceTime(const ModelState &model) const;
    void enqueue(Entry &entry, std::size_t queue, ModelState &model);
    void dequeue(Entry &entry, ModelState &model);
    bool isAged(const AdmissionRequest &request, const ModelState &model, base::Time now) const;
    void raiseAged(ModelState &model, base::Time now);
    std::optional<std::size_t> nextQueue(ModelState &model) const;
    Entry *takeNext(ModelState &model);
    void startWaiting(ModelState &model, const base::ModelName &name, base::Time now, std::vector<AdmissionAction> &actions);
    void refuse(Entry &entry, CallError error, std::vector<AdmissionAction> &actions);
    void erase(CallNumber call);

    AdmissionOptions m_options;
    std::unordered_map<CallNumber, std::unique_ptr<Entry>> m_entries;
    std::unordered_map<base::ModelName, ModelState> m_models;
    std::unordered_map<base::CallerName, CallerState> m_callers;
    std::array<std::size_t, ClassCount> m_waiting{}; ///< by class
};

} // namespace turmericplank::requests
