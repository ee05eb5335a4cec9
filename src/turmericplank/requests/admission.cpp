#include "turmericplank/requests/admission.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericplank::requests {

namespace {

constexpr auto Classes = {base::Priority::Urgent, base::Priority::Normal, base::Priority::Bulk};
constexpr double ServiceTimeSmoothing = 0.1; ///< weight of a new duration in the moving average
constexpr double RateTimeConstantSeconds = 10; ///< of the rates of starts
constexpr auto MinRetryDelay = std::chrono::milliseconds(100);

std::size_t indexOf(base::Priority priority)
{
    return static_cast<std::size_t>(priority);
}

CallError rejection(ErrorCode code, base::Time retryAt)
{
    return CallError{code, base::Outcome::NotRun, retryAt};
}

} // namespace

void Admission::Rate::record(base::Time now)
{
    perSecond = decayed(now) + 1 / RateTimeConstantSeconds;
    updatedAt = now;
}

double Admission::Rate::decayed(base::Time now) const
{
    return perSecond * std::exp(-std::chrono::duration<double>(now - updatedAt).count() / RateTimeConstantSeconds);
}

bool Admission::ByDeadline::operator()(const Entry &left, const Entry &right) const
{
    return left.request.deadline < right.request.deadline;
}

Admission::Admission(AdmissionOptions options)
    : m_options(std::move(options))
{
}

Admission::~Admission() = default;

std::vector<AdmissionAction> Admission::submit(const AdmissionRequest &request, base::Time now)
{
    std::vector<AdmissionAction> actions;
    auto &model = m_models[request.model];
    const auto limit = concurrencyLimit(request.model);
    if (request.deadline <= now) {
        return {RejectCall{request.call, CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt}}};
    }
    if (const auto error = checkQueue(request, model, limit, now)) {
        return {RejectCall{request.call, *error}};
    }
    if (const auto error = checkCallerLimits(request, now)) {
        return {RejectCall{request.call, *error}};
    }
    ++m_callers[request.caller].activeCalls;
    auto entry = std::make_unique<Entry>();
    entry->request = request;
    auto &stored = *m_entries.emplace(request.call, std::move(entry)).first->second;
    enqueue(stored, isAged(request, model, now) ? AgedQueue : indexOf(request.priority), model);
    startWaitingCalls(model, request.model, now, actions);
    return actions;
}

std::optional<CallError> Admission::checkCallerLimits(const AdmissionRequest &request, base::Time now)
{
    if (!m_options.callerLimit) {
        return std::nullopt;
    }
    const auto limit = m_options.callerLimit(request.caller);
    auto &caller = m_callers[request.caller];
    if (limit.concurrency != 0 && caller.activeCalls >= limit.concurrency) {
        return rejection(ErrorCode::CallerConcurrencyLimit, now + MinRetryDelay);
    }
    if (limit.requestsPerSecond <= 0) {
        return std::nullopt;
    }
    const auto burst = std::max(1.0, limit.requestsPerSecond);
    const auto elapsed = std::chrono::duration<double>(now - caller.updatedAt).count();
    caller.tokens = caller.updatedAt == base::Time() ? burst : std::min(burst, caller.tokens + elapsed * limit.requestsPerSecond);
    caller.updatedAt = now;
    if (caller.tokens < 1) {
        const auto timeToNextToken = std::chrono::duration<double>((1 - caller.tokens) / limit.requestsPerSecond);
        return rejection(ErrorCode::CallerRateLimit, now + std::chrono::ceil<base::Duration>(timeToNextToken));
    }
    caller.tokens -= 1;
    return std::nullopt;
}

std::optional<CallError> Admission::checkQueue(const AdmissionRequest &request, const ModelState &model, std::uint32_t limit, base::Time now) const
{
    if (limit == 0 || model.started < limit) {
        return std::nullopt;
    }
    const auto wait = expectedWait(model, request.priority, limit, now);
    std::size_t sameOrHigherClass = 0;
    for (const auto it : Classes) {
        sameOrHigherClass += precedes(request.priority, it) ? 0 : m_waiting[indexOf(it)];
    }
    if (sameOrHigherClass >= m_options.maxWaitingCalls) {
        return rejection(ErrorCode::QueueFull, now + std::max<base::Duration>(wait, MinRetryDelay));
    }
    const auto service = serviceTime(model);
    if (now + wait + service > request.deadline) {
        const auto excess = now + wait + service - request.deadline;
        return rejection(ErrorCode::DeadlineTooNear, now + std::max<base::Duration>(excess, MinRetryDelay));
    }
    return std::nullopt;
}

base::Duration Admission::serviceTime(const ModelState &model) const
{
    return model.serviceTime.count() == 0 ? m_options.initialServiceTime : model.serviceTime;
}

base::Duration Admission::expectedWait(const ModelState &model, base::Priority priority, std::uint32_t limit, base::Time now) const
{
    const double capacity = limit / std::chrono::duration<double>(serviceTime(model)).count();
    double ahead = 1;
    double higherRate = 0;
    for (const auto it : Classes) {
        const bool isHigher = precedes(it, priority);
        ahead += it == priority || isHigher ? static_cast<double>(model.sizes[indexOf(it)]) : 0;
        higherRate += isHigher ? model.starts[indexOf(it)].decayed(now) : 0;
    }
    // Assumes that calls of higher classes keep arriving at the rate at which they were started recently.
    const double available = std::max(capacity - higherRate, capacity / m_options.lowestClassInterval);
    const double safety = priority == base::Priority::Urgent ? 1 : m_options.waitSafetyFactor;
    return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(safety * ahead / available));
}

std::vector<AdmissionAction> Admission::finish(CallNumber call, bool wasAnswered, base::Time now)
{
    std::vector<AdmissionAction> actions;
    const auto it = m_entries.find(call);
    if (it == m_entries.end()) {
        return actions;
    }
    auto &entry = *it->second;
    const auto name = entry.request.model;
    auto &model = m_models[name];
    if (entry.isStarted) {
        --model.started;
        const auto duration = now - entry.startedAt;
        if (wasAnswered && model.serviceTime.count() == 0) {
            model.serviceTime = std::max<base::Duration>(duration, base::Duration(1));
        } else if (wasAnswered) {
            const auto step = ServiceTimeSmoothing * static_cast<double>((duration - model.serviceTime).count());
            model.serviceTime = std::max(base::Duration(1), model.serviceTime + base::Duration(static_cast<std::int64_t>(step)));
        }
    } else {
        dequeue(entry, model);
    }
    erase(call);
    startWaitingCalls(model, name, now, actions);
    return actions;
}

std::vector<AdmissionAction> Admission::tick(base::Time now)
{
    std::vector<AdmissionAction> actions;
    for (auto &[name, model] : m_models) {
        for (auto &queue : model.queues) {
            while (!queue.empty() && queue.begin()->request.deadline <= now) {
                auto &entry = *queue.begin();
                dequeue(entry, model);
                reject(entry, CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt}, actions);
            }
        }
        startWaitingCalls(model, name, now, actions);
    }
    return actions;
}

bool Admission::isAged(const AdmissionRequest &request, const ModelState &model, base::Time now) const
{
    if (request.priority == base::Priority::Urgent) {
        return false;
    }
    const auto &aged = model.queues[AgedQueue];
    const bool precedesAged = !aged.empty() && request.deadline < aged.rbegin()->request.deadline;
    return precedesAged || request.deadline <= now + serviceTime(model) + m_options.agingMargin;
}

void Admission::promoteAgedCalls(ModelState &model, base::Time now)
{
    for (const auto it : {base::Priority::Normal, base::Priority::Bulk}) {
        auto &queue = model.queues[indexOf(it)];
        while (!queue.empty() && isAged(queue.begin()->request, model, now)) {
            auto &entry = *queue.begin();
            dequeue(entry, model);
            enqueue(entry, AgedQueue, model);
        }
    }
}

std::optional<std::size_t> Admission::nextQueue(ModelState &model) const
{
    std::optional<base::Priority> highest;
    std::optional<base::Priority> lowest;
    for (const auto it : Classes) {
        if (model.sizes[indexOf(it)] == 0) {
            continue;
        }
        highest = !highest || precedes(it, *highest) ? it : *highest;
        lowest = !lowest || precedes(*lowest, it) ? it : *lowest;
    }
    const bool hasAged = model.sizes[AgedQueue] != 0;
    const bool isLowestClassDue = model.startsSinceLowest >= m_options.lowestClassInterval;
    if (hasAged && (highest != base::Priority::Urgent || isLowestClassDue || model.startsSinceAged >= m_options.agedCallInterval)) {
        return AgedQueue;
    }
    if (!highest) {
        return std::nullopt;
    }
    return indexOf(isLowestClassDue ? *lowest : *highest);
}

Admission::Entry *Admission::popNext(ModelState &model)
{
    ++model.startsSinceLowest;
    ++model.startsSinceAged;
    const auto queue = nextQueue(model);
    if (!queue) {
        return nullptr;
    }
    auto &entry = *model.queues[*queue].begin();
    const bool wasLowestClassDue = model.startsSinceLowest >= m_options.lowestClassInterval;
    if (*queue == AgedQueue) {
        model.startsSinceAged = 0;
    }
    if (wasLowestClassDue || entry.request.priority == base::Priority::Bulk) {
        model.startsSinceLowest = 0;
    }
    dequeue(entry, model);
    return &entry;
}

void Admission::startWaitingCalls(ModelState &model, const base::ModelName &name, base::Time now, std::vector<AdmissionAction> &actions)
{
    const auto limit = concurrencyLimit(name);
    promoteAgedCalls(model, now);
    while (limit == 0 || model.started < limit) {
        auto *entry = popNext(model);
        if (entry == nullptr) {
            return;
        }
        if (entry->request.deadline <= now + model.serviceTime / 2) {
            reject(*entry, CallError{ErrorCode::DeadlineTooNear, base::Outcome::NotRun, now + MinRetryDelay}, actions);
            continue;
        }
        entry->isStarted = true;
        entry->startedAt = now;
        ++model.started;
        model.starts[indexOf(entry->request.priority)].record(now);
        actions.emplace_back(StartCall{entry->request.call});
    }
}

void Admission::enqueue(Entry &entry, std::size_t queue, ModelState &model)
{
    entry.queue = queue;
    model.queues[queue].insert(entry);
    ++model.sizes[queue];
    ++m_waiting[indexOf(entry.request.priority)];
}

void Admission::dequeue(Entry &entry, ModelState &model)
{
    entry.unlink();
    --model.sizes[entry.queue];
    --m_waiting[indexOf(entry.request.priority)];
}

void Admission::reject(Entry &entry, CallError error, std::vector<AdmissionAction> &actions)
{
    const auto call = entry.request.call;
    actions.emplace_back(RejectCall{call, error});
    erase(call);
}

void Admission::erase(CallNumber call)
{
    const auto it = m_entries.find(call);
    auto &caller = m_callers[it->second->request.caller];
    --caller.activeCalls;
    m_entries.erase(it);
}

std::uint32_t Admission::concurrencyLimit(const base::ModelName &model) const
{
    return m_options.modelLimit ? m_options.modelLimit(model) : 0;
}

bool Admission::precedes(base::Priority left, base::Priority right) const
{
    return m_options.precedes ? m_options.precedes(left, right) : left < right;
}

std::size_t Admission::waiting() const
{
    return std::accumulate(m_waiting.begin(), m_waiting.end(), std::size_t(0));
}

std::size_t Admission::started() const
{
    return m_entries.size() - waiting();
}

} // namespace turmericplank::requests
