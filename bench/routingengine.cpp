#include "routingengine.hpp"

#include "milliseconds.hpp"

#include <algorithm>

namespace turmericplank::bench {

FakeEngine::FakeEngine(FakeEngineOptions options, std::vector<base::ModelName> models, Hooks hooks)
    : m_options(options)
    , m_models(std::move(models))
    , m_hooks(std::move(hooks))
{
}

void FakeEngine::submit(std::uint64_t attempt, const TraceRequest &request, const base::AdapterName &adapter, base::Time now)
{
    Sequence sequence;
    sequence.attempt = attempt;
    sequence.priority = request.route.priority;
    sequence.remainingAnswerTokens = request.answerTokens;
    sequence.remainingPromptTokens = request.route.promptTokens;
    sequence.prefixes = request.route.prefixes;
    if (!adapter.isEmpty()) {
        const auto found = std::find(m_adapters.begin(), m_adapters.end(), adapter);
        sequence.extraMilliseconds = found == m_adapters.end() ? m_options.adapterLoadMilliseconds : 0;
        if (found != m_adapters.end()) {
            m_adapters.erase(found);
        }
        m_adapters.push_front(adapter);
        if (m_adapters.size() > m_options.adapterSlots) {
            m_adapters.pop_back();
        }
    }
    m_waiting[static_cast<std::size_t>(sequence.priority)].push_back(std::move(sequence));
    if (m_stepEndsAt == base::Time::max()) {
        startStep(now);
    }
}

base::Time FakeEngine::stepEndsAt() const
{
    return m_stepEndsAt;
}

std::uint32_t FakeEngine::cachedTokens(const routing::PrefixChain &prefixes)
{
    std::uint32_t tokens = 0;
    for (const auto &it : prefixes) {
        const auto found = m_cache.find(it.fingerprint);
        if (found == m_cache.end()) {
            break;
        }
        m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, found->second);
        tokens = it.tokens;
    }
    return tokens;
}

void FakeEngine::addToCache(const routing::PrefixChain &prefixes)
{
    std::uint32_t before = 0;
    for (const auto &it : prefixes) {
        const auto added = it.tokens - before;
        before = it.tokens;
        if (m_cache.contains(it.fingerprint)) {
            continue;
        }
        m_cacheOrder.emplace_front(it.fingerprint, added);
        m_cache[it.fingerprint] = m_cacheOrder.begin();
        m_cacheTokens += added;
        m_events.push_back({m_nextEventNumber++, it.fingerprint, true});
    }
    while (m_cacheTokens > m_options.cacheTokens) {
        const auto [fingerprint, tokens] = m_cacheOrder.back();
        m_cacheTokens -= tokens;
        m_cache.erase(fingerprint);
        m_cacheOrder.pop_back();
        m_events.push_back({m_nextEventNumber++, fingerprint, false});
    }
}

void FakeEngine::startStep(base::Time now)
{
    for (auto &queue : m_waiting) {
        while (!queue.empty() && m_running.size() < m_options.concurrency) {
            auto &it = queue.front();
            it.cachedTokens = std::min(cachedTokens(it.prefixes), it.remainingPromptTokens - std::min(it.remainingPromptTokens, 1U));
            it.remainingPromptTokens -= it.cachedTokens;
            m_running.push_back(std::move(it));
            queue.pop_front();
        }
    }
    if (m_running.empty()) {
        m_stepEndsAt = base::Time::max();
        return;
    }
    m_promptTokens.assign(m_running.size(), 0);
    std::uint32_t budget = m_options.promptTokensPerStep;
    double extraMilliseconds = 0;
    std::size_t decoding = 0;
    for (const auto priority : {base::Priority::Urgent, base::Priority::Normal, base::Priority::Bulk}) {
        for (std::size_t n = 0; n < m_running.size(); ++n) {
            auto &it = m_running[n];
            if (it.priority != priority || it.remainingPromptTokens == 0) {
                continue;
            }
            m_promptTokens[n] = std::min(budget, it.remainingPromptTokens);
            budget -= m_promptTokens[n];
            extraMilliseconds += std::exchange(it.extraMilliseconds, 0);
        }
    }
    for (const auto &it : m_running) {
        decoding += it.remainingPromptTokens == 0 ? 1 : 0;
    }
    const double promptMilliseconds = (m_options.promptTokensPerStep - budget) * m_options.promptMillisecondsPerToken;
    const double stepMilliseconds =
        m_options.stepMilliseconds + m_options.stepMillisecondsPerStream * static_cast<double>(decoding) + promptMilliseconds + extraMilliseconds;
    m_stepEndsAt = now + milliseconds(stepMilliseconds * m_slowness);
}

void FakeEngine::finishStep()
{
    const auto now = m_stepEndsAt;
    std::vector<Sequence> remaining;
    std::vector<std::uint64_t> ended;
    for (std::size_t n = 0; n < m_running.size(); ++n) {
        auto &it = m_running[n];
        const bool wasDecoding = it.remainingPromptTokens == 0;
        it.remainingPromptTokens -= m_promptTokens[n];
        const bool hasFirstToken = !wasDecoding && it.remainingPromptTokens == 0;
        if (hasFirstToken) {
            addToCache(it.prefixes);
            m_hooks.onFirstToken(it.attempt, now, it.cachedTokens);
        }
        if ((wasDecoding || hasFirstToken) && --it.remainingAnswerTokens == 0) {
            ended.push_back(it.attempt);
        } else {
            remaining.push_back(std::move(it));
        }
    }
    m_running = std::move(remaining);
    startStep(now);
    for (const auto it : ended) {
        m_hooks.onEnd(it, now);
    }
}

void FakeEngine::setSlowness(double factor)
{
    m_slowness = factor;
}

routing::LoadReport FakeEngine::report(base::Time now) const
{
    routing::LoadReport it;
    it.incarnation = base::Incarnation(1);
    it.takenAt = now;
    it.running = static_cast<std::uint32_t>(m_running.size());
    for (const auto &queue : m_waiting) {
        it.waiting += static_cast<std::uint32_t>(queue.size());
    }
    for (const auto &model : m_models) {
        it.resident.push_back({model, "1"});
    }
    it.adapters.assign(m_adapters.begin(), m_adapters.end());
    return it;
}

std::vector<routing::CacheEvent> FakeEngine::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace turmericplank::bench
