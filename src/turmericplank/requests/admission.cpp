#include "turmericplank/requests/admission.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericplank::requests {

namespace {

constexpr auto Classes = {base::Priority::Urgent, base::Priority::Normal, base::Priority::Bulk};
constexpr double ServiceTimeSmoothing = 0.1;
constexpr double RateSeconds = 10; ///< time constant of the rates of starts
constexpr auto MinimumRetryDelay = std::chrono::milliseconds(100);

std::size_t indexOf(base::Priority priority)
{
    return static_cast<std::size_t>(priority);
}

CallError refusal(ErrorCode code, base::Time retryAt)
{
    return CallError{code, base::Outcome::NotRun, retryAt};
}

} // namespace

void Admission::Rate::count(base::Time now)
{
    perSecond = at(now) + 1 / RateSeconds;
    countedAt = now;
}

double Admission::Rate::at(base::Time now) const
{
    return perSecond * std::exp(-std::chrono::duration<double>(now - countedAt).count() / RateSeconds);
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
    const auto limit = limitOf(request.model);
    if (request.deadline <= now) {
        return {RefuseCall{request.call, CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt}}};
    }
    if (const auto error = queueRefusal(request, model, limit, now)) {
        return {RefuseCall{request.call, *error}};
    }
    if (const auto error = callerRefusal(request, now)) {
        return {RefuseCall{request.call, *error}};
    }
    ++m_callers[request.caller].present;
    auto entry = std::make_unique<Entry>();
    entry->request = request;
    auto &stored = *m_entries.emplace(request.call, std::move(entry)).first->second;
    enqueue(stored, isAged(request, model, now) ? AgedQueue : indexOf(request.priority), model);
    startWaiting(model, request.model, now, actions);
    return actions;
}

std::optional<CallError> Admission::callerRefusal(const AdmissionRequest &request, base::Time now)
{
    if (!m_options.callerLimit) {
        return std::nullopt;
    }
    const auto limit = m_options.callerLimit(request.caller);
    auto &caller = m_callers[request.caller];
    if (limit.concurrency != 0 && caller.present >= limit.concurrency) {
        return refusal(ErrorCode::CallerConcurrencyLimit, now + MinimumRetryDelay);
    }
    if (limit.requestsPerSecond <= 0) {
        return std::nullopt;
    }
    const auto burst = std::max(1.0, limit.requestsPerSecond);
    const auto elapsed = std::chrono::duration<double>(now - caller.countedAt).count();
    caller.credit = caller.countedAt == base::Time() ? burst : std::min(burst, caller.credit + elapsed * limit.requestsPerSecond);
    caller.countedAt = now;
    if (caller.credit < 1) {
        const auto missing = std::chrono::duration<double>((1 - caller.credit) / limit.requestsPerSecond);
        return refusal(ErrorCode::CallerRateLimit, now + std::chrono::ceil<base::Duration>(missing));
    }
    caller.credit -= 1;
    return std::nullopt;
}

std::optional<CallError> Admission::queueRefusal(const AdmissionRequest &request, const ModelState &model, std::uint32_t limit, base::Time now) const
{
    if (limit == 0 || model.started < limit) {
        return std::nullopt;
    }
    const auto wait = expectedWait(model, request.priority, limit, now);
    std::size_t aheadOrBeside = 0;
    for (const auto it : Classes) {
        aheadOrBeside += goesBefore(request.priority, it) ? 0 : m_waiting[indexOf(it)];
    }
    if (aheadOrBeside >= m_options.queueLimit) {
        return refusal(ErrorCode::QueueFull, now + std::max<base::Duration>(wait, MinimumRetryDelay));
    }
    const auto service = serviceTime(model);
    if (now + wait + service > request.deadline) {
        const auto excess = now + wait + service - request.deadline;
        return refusal(ErrorCode::DeadlineTooNear, now + std::max<base::Duration>(excess, MinimumRetryDelay));
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
    double higher = 0;
    for (const auto it : Classes) {
        const bool isHigher = goesBefore(it, priority);
        ahead += it == priority || isHigher ? static_cast<double>(model.sizes[indexOf(it)]) : 0;
        higher += isHigher ? model.starts[indexOf(it)].at(now) : 0;
    }
    // Higher classes go on arriving at the rate at which they were started lately.
    const double left = std::max(capacity - higher, capacity / m_options.bulkShare);
    const double safety = priority == base::Priority::Urgent ? 1 : m_options.waitSafety;
    return std::chrono::ceil<base::Duration>(std::chrono::duration<double>(safety * ahead / left));
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
        const auto taken = now - entry.startedAt;
        if (wasAnswered && model.serviceTime.count() == 0) {
            model.serviceTime = std::max<base::Duration>(taken, base::Duration(1));
        } else if (wasAnswered) {
            const auto step = ServiceTimeSmoothing * static_cast<double>((taken - model.serviceTime).count());
            model.serviceTime = std::max(base::Duration(1), model.serviceTime + base::Duration(static_cast<std::int64_t>(step)));
        }
    } else {
        dequeue(entry, model);
    }
    erase(call);
    startWaiting(model, name, now, actions);
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
                refuse(entry, CallError{ErrorCode::DeadlinePassed, base::Outcome::NotRun, std::nullopt}, actions);
            }
        }
        startWaiting(model, name, now, actions);
    }
    return actions;
}

bool Admission::isAged(const AdmissionRequest &request, const ModelState &model, base::Time now) const
{
    if (request.priority == base::Priority::Urgent) {
        return false;
    }
    const auto &aged = model.queues[AgedQueue];
    const bool isBeforeAged = !aged.empty() && request.deadline < aged.rbegin()->request.deadline;
    return isBeforeAged || request.deadline <= now + serviceTime(model) + m_options.ageingMargin;
}

void Admission::raiseAged(ModelState &model, base::Time now)
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
    std::optional<base::Priority> first;
    std::optional<base::Priority> lowest;
    for (const auto it : Classes) {
        if (model.sizes[indexOf(it)] == 0) {
            continue;
        }
        first = !first || goesBefore(it, *first) ? it : *first;
        lowest = !lowest || goesBefore(*lowest, it) ? it : *lowest;
    }
    const bool hasAged = model.sizes[AgedQueue] != 0;
    const bool isLowestsTurn = model.startsSinceLowest >= m_options.bulkShare;
    if (hasAged && (first != base::Priority::Urgent || isLowestsTurn || model.startsSinceAged >= m_options.agedShare)) {
        return AgedQueue;
    }
    if (!first) {
        return std::nullopt;
    }
    return indexOf(isLowestsTurn ? *lowest : *first);
}

Admission::Entry *Admission::takeNext(ModelState &model)
{
    ++model.startsSinceLowest;
    ++model.startsSinceAged;
    const auto queue = nextQueue(model);
    if (!queue) {
        return nullptr;
    }
    auto &entry = *model.queues[*queue].begin();
    const bool wasLowestsTurn = model.startsSinceLowest >= m_options.bulkShare;
    if (*queue == AgedQueue) {
        model.startsSinceAged = 0;
    }
    if (wasLowestsTurn || entry.request.priority == base::Priority::Bulk) {
        model.startsSinceLowest = 0;
    }
    dequeue(entry, model);
    return &entry;
}

void Admission::startWaiting(ModelState &model, const base::ModelName &name, base::Time now, std::vector<AdmissionAction> &actions)
{
    const auto limit = limitOf(name);
    raiseAged(model, now);
    while (limit == 0 || model.started < limit) {
        auto *entry = takeNext(model);
        if (entry == nullptr) {
            return;
        }
        if (entry->request.deadline <= now + model.serviceTime / 2) {
            refuse(*entry, CallError{ErrorCode::DeadlineTooNear, base::Outcome::NotRun, now + MinimumRetryDelay}, actions);
            continue;
        }
        entry->isStarted = true;
        entry->startedAt = now;
        ++model.started;
        model.starts[indexOf(entry->request.priority)].count(now);
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

void Admission::refuse(Entry &entry, CallError error, std::vector<AdmissionAction> &actions)
{
    const auto call = entry.request.call;
    actions.emplace_back(RefuseCall{call, error});
    erase(call);
}

void Admission::erase(CallNumber call)
{
    const auto it = m_entries.find(call);
    auto &caller = m_callers[it->second->request.caller];
    --caller.present;
    m_entries.erase(it);
}

std::uint32_t Admission::limitOf(const base::ModelName &model) const
{
    return m_options.modelLimit ? m_options.modelLimit(model) : 0;
}

bool Admission::goesBefore(base::Priority left, base::Priority right) const
{
    return m_options.goesBefore ? m_options.goesBefore(left, right) : left < right;
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
