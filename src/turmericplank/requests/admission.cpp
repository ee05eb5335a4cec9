#include "turmericplank/requests/admission.hpp"

#include <algorithm>

namespace turmericplank::requests {

namespace {

constexpr auto Classes = {base::Priority::Urgent, base::Priority::Normal, base::Priority::Bulk};
constexpr double ServiceTimeSmoothing = 0.1;
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

bool Admission::ByDeadline::operator()(const Entry &left, const Entry &right) const
{
    return left.request.deadline < right.request.deadline;
}

Admission::Admission(AdmissionOptions options)
    : m_options(std::move(options))
{
}

Admission::~Admission() = default;

std::vector<AdmissionAction> Admission::arrive(const AdmissionRequest &request, base::Time now)
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
    enqueue(stored, model);
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
    const auto wait = expectedWait(model, request.priority, limit);
    if (m_waiting >= m_options.queueLimit) {
        return refusal(ErrorCode::QueueFull, now + std::max<base::Duration>(wait, MinimumRetryDelay));
    }
    const auto service = model.serviceTime.count() == 0 ? m_options.initialServiceTime : model.serviceTime;
    if (now + wait + service > request.deadline) {
        const auto excess = now + wait + service - request.deadline;
        return refusal(ErrorCode::DeadlineTooNear, now + std::max<base::Duration>(excess, MinimumRetryDelay));
    }
    return std::nullopt;
}

base::Duration Admission::expectedWait(const ModelState &model, base::Priority priority, std::uint32_t limit) const
{
    std::size_t ahead = 0;
    for (const auto it : Classes) {
        if (it == priority || goesBefore(it, priority)) {
            ahead += model.sizes[indexOf(it)];
        }
    }
    const auto service = model.serviceTime.count() == 0 ? m_options.initialServiceTime : model.serviceTime;
    return service * (ahead + 1) / limit;
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
        raiseAged(model, now);
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

void Admission::raiseAged(ModelState &model, base::Time now)
{
    const auto service = model.serviceTime.count() == 0 ? m_options.initialServiceTime : model.serviceTime;
    const auto latest = now + service + m_options.ageingMargin;
    for (const auto it : {base::Priority::Normal, base::Priority::Bulk}) {
        auto &queue = model.queues[indexOf(it)];
        while (!queue.empty() && queue.begin()->request.deadline <= latest) {
            auto &entry = *queue.begin();
            dequeue(entry, model);
            entry.request.priority = base::Priority::Urgent;
            enqueue(entry, model);
        }
    }
}

Admission::Entry *Admission::takeNext(ModelState &model)
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
    if (!first) {
        return nullptr;
    }
    ++model.startsSinceLowest;
    auto chosen = *first;
    if (first != lowest && model.startsSinceLowest >= m_options.bulkShare) {
        chosen = *lowest;
    }
    if (chosen == *lowest) {
        model.startsSinceLowest = 0;
    }
    auto &entry = *model.queues[indexOf(chosen)].begin();
    dequeue(entry, model);
    return &entry;
}

void Admission::startWaiting(ModelState &model, const base::ModelName &name, base::Time now, std::vector<AdmissionAction> &actions)
{
    const auto limit = limitOf(name);
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
        actions.emplace_back(StartCall{entry->request.call});
    }
}

void Admission::enqueue(Entry &entry, ModelState &model)
{
    model.queues[indexOf(entry.request.priority)].insert(entry);
    ++model.sizes[indexOf(entry.request.priority)];
    ++m_waiting;
}

void Admission::dequeue(Entry &entry, ModelState &model)
{
    entry.unlink();
    --model.sizes[indexOf(entry.request.priority)];
    --m_waiting;
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
    return m_waiting;
}

std::size_t Admission::started() const
{
    return m_entries.size() - m_waiting;
}

} // namespace turmericplank::requests
