#include "routingengine.hpp"

#include <algorithm>

namespace turmericplank::bench {

namespace {

base::Duration milliseconds(double value)
{
    return base::Duration(static_cast<std::int64_t>(value * 1000));
}

} // namespace

FakeEngine::FakeEngine(FakeEngineOptions options, std::vector<base::ModelName> models, Hooks hooks)
    : m_options(options)
    , m_models(std::move(models))
    , m_hooks(std::move(hooks))
{
}

void FakeEngine::submit(std::uint64_t attempt, const TraceRequest &request, const base::AdapterName &adapter, base::Time now)
{
    Sequence it;
    it.attempt = attempt;
    it.priority = request.route.priority;
    it.answerLeft = request.answerTokens;
    it.promptLeft = request.route.promptTokens;
    it.prefixes = request.route.prefixes;
    if (!adapter.isEmpty()) {
        const auto known = std::find(m_adapters.begin(), m_adapters.end(), adapter);
        it.extraMilliseconds = known == m_adapters.end() ? m_options.adapterLoadMilliseconds : 0;
        if (known != m_adapters.end()) {
            m_adapters.erase(known);
        }
        m_adapters.push_front(adapter);
        if (m_adapters.size() > m_options.adapterSlots) {
            m_adapters.pop_back();
        }
    }
    m_waiting[static_cast<std::size_t>(it.priority)].push_back(std::move(it));
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
        const auto known = m_cache.find(it.fingerprint);
        if (known == m_cache.end()) {
            break;
        }
        m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, known->second);
        tokens = it.tokens;
    }
    return tokens;
}

void FakeEngine::remember(const routing::PrefixChain &prefixes)
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
        m_events.push_back({m_nextEvent++, it.fingerprint, true});
    }
    while (m_cacheTokens > m_options.cacheTokens) {
        const auto [fingerprint, tokens] = m_cacheOrder.back();
        m_cacheTokens -= tokens;
        m_cache.erase(fingerprint);
        m_cacheOrder.pop_back();
        m_events.push_back({m_nextEvent++, fingerprint, false});
    }
}

void FakeEngine::startStep(base::Time now)
{
    for (auto &queue : m_waiting) {
        while (!queue.empty() && m_running.size() < m_options.concurrency) {
            auto &it = queue.front();
            it.cachedTokens = std::min(cachedTokens(it.prefixes), it.promptLeft - std::min(it.promptLeft, 1U));
            it.promptLeft -= it.cachedTokens;
            m_running.push_back(std::move(it));
            queue.pop_front();
        }
    }
    if (m_running.empty()) {
        m_stepEndsAt = base::Time::max();
        return;
    }
    m_promptShare.assign(m_running.size(), 0);
    std::uint32_t budget = m_options.promptTokensPerStep;
    double extra = 0;
    std::size_t decoding = 0;
    for (const auto priority : {base::Priority::Urgent, base::Priority::Normal, base::Priority::Bulk}) {
        for (std::size_t n = 0; n < m_running.size(); ++n) {
            auto &it = m_running[n];
            if (it.priority != priority || it.promptLeft == 0) {
                continue;
            }
            m_promptShare[n] = std::min(budget, it.promptLeft);
            budget -= m_promptShare[n];
            extra += std::exchange(it.extraMilliseconds, 0);
        }
    }
    for (const auto &it : m_running) {
        decoding += it.promptLeft == 0 ? 1 : 0;
    }
    const double prompts = (m_options.promptTokensPerStep - budget) * m_options.promptMillisecondsPerToken;
    const double step = m_options.stepMilliseconds + m_options.stepMillisecondsPerStream * static_cast<double>(decoding) + prompts + extra;
    m_stepEndsAt = now + milliseconds(step * m_slowness);
}

void FakeEngine::finishStep()
{
    const auto now = m_stepEndsAt;
    std::vector<Sequence> left;
    std::vector<std::uint64_t> ended;
    for (std::size_t n = 0; n < m_running.size(); ++n) {
        auto &it = m_running[n];
        const bool wasDecoding = it.promptLeft == 0;
        it.promptLeft -= m_promptShare[n];
        const bool hasFirst = !wasDecoding && it.promptLeft == 0;
        if (hasFirst) {
            remember(it.prefixes);
            m_hooks.onFirstToken(it.attempt, now, it.cachedTokens);
        }
        if ((wasDecoding || hasFirst) && --it.answerLeft == 0) {
            ended.push_back(it.attempt);
        } else {
            left.push_back(std::move(it));
        }
    }
    m_running = std::move(left);
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
