#include "routingtrace.hpp"

#include <algorithm>
#include <cmath>

namespace turmericplank::bench {

namespace {

constexpr std::uint32_t SystemPromptTokens = 400; ///< tokens that all prompts of a model start with
constexpr std::uint32_t BulkTokens = 3000;
constexpr double ConversationShare = 0.75; ///< share of the requests that belong to a conversation
constexpr double BulkShare = 0.1;
constexpr double AdapterShare = 0.5;
constexpr double DaemonChangeShare = 0.3; ///< share of the turns for which a conversation's daemon is drawn again
constexpr double BurstFactor = 3;

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::size_t randomModelIndex(std::mt19937_64 &random, std::size_t count)
{
    // Power law: the first few models get most of the requests.
    const double x = std::pow(uniform(random), 2.2);
    return std::min(count - 1, static_cast<std::size_t>(x * static_cast<double>(count)));
}

RoutingSite makeSite(RoutingSite site)
{
    for (std::size_t n = 0; n < site.models; ++n) {
        site.modelNames.emplace_back("model-" + std::to_string(n));
    }
    site.residents.resize(site.endpoints);
    std::size_t next = 0;
    for (std::size_t n = 0; n < site.models; ++n) {
        // Popular models are resident on more endpoints; every model on at least two.
        const double share = 2.0 / static_cast<double>(n + 1);
        const auto replicas = std::clamp<std::size_t>(static_cast<std::size_t>(share * static_cast<double>(site.endpoints)), 2, site.endpoints - 2);
        for (std::size_t k = 0; k < replicas; ++k) {
            site.residents[next++ % site.endpoints].push_back(site.modelNames[n]);
        }
    }
    for (std::size_t n = 0; n < site.adapters; ++n) {
        site.adapterModels.emplace(base::AdapterName("adapter-" + std::to_string(n)), site.modelNames[n % site.models]);
    }
    return site;
}

struct Conversation
{
    base::ModelName model;
    routing::PrefixChain prefixes;
    std::size_t daemon = 0;
    base::Priority priority = base::Priority::Normal;
    int turnsLeft = 0;
};

class TraceGenerator
{
public:
    TraceGenerator(const RoutingSite &site, TraceKind kind, unsigned seed)
        : m_site(site)
        , m_kind(kind)
        , m_random(seed)
    {
    }

    std::vector<TraceRequest> make()
    {
        auto now = TraceStart;
        while (now < TraceStart + TraceLength) {
            const bool isBurst = m_kind == TraceKind::Bursts && (now - TraceStart) % std::chrono::seconds(30) > std::chrono::seconds(22);
            const double rate = m_site.requestsPerSecond * (isBurst ? BurstFactor : 1) * (m_kind == TraceKind::Bursts ? 0.62 : 1);
            now += base::Duration(static_cast<std::int64_t>(-std::log(1 - uniform(m_random)) / rate * 1e6));
            add(now, isBurst);
        }
        return std::move(m_trace);
    }

private:
    base::ModelName pickModel(bool isBurst)
    {
        const auto rank = isBurst && uniform(m_random) < 0.6 ? 1 : randomModelIndex(m_random, m_site.models);
        const auto &model = m_site.modelNames[rank];
        if (uniform(m_random) >= AdapterShare) {
            return model;
        }
        std::vector<base::AdapterName> adapters;
        for (const auto &[adapter, base] : m_site.adapterModels) {
            if (base == model) {
                adapters.push_back(adapter);
            }
        }
        return adapters.empty() ? model : base::ModelName(adapters[m_random() % adapters.size()].text());
    }

    void extend(routing::PrefixChain &prefixes, std::uint32_t tokens)
    {
        const auto before = prefixes.empty() ? 0 : prefixes.back().tokens;
        prefixes.push_back({m_random(), before + tokens});
    }

    routing::PrefixChain systemPrompt(const base::ModelName &model)
    {
        return {{std::hash<base::ModelName>()(model), SystemPromptTokens}};
    }

    void add(base::Time now, bool isBurst)
    {
        TraceRequest request;
        request.number = m_trace.size();
        request.arrivesAt = now;
        request.daemon = m_random() % m_site.daemons;
        const double draw = uniform(m_random);
        if (draw < ConversationShare) {
            continueConversation(request, isBurst);
        } else {
            request.route.model = pickModel(isBurst);
            request.route.prefixes = systemPrompt(request.route.model);
            const bool isBulk = draw >= 1 - BulkShare;
            extend(request.route.prefixes, isBulk ? BulkTokens : 100 + static_cast<std::uint32_t>(m_random() % 300));
            request.route.priority = isBulk ? base::Priority::Bulk : base::Priority::Urgent;
        }
        request.route.promptTokens = request.route.prefixes.back().tokens;
        request.answerTokens = 40 + static_cast<std::uint32_t>(m_random() % 160);
        request.route.deadline = now + std::chrono::milliseconds(request.route.priority == base::Priority::Bulk ? 10000 : 1500);
        m_trace.push_back(std::move(request));
    }

    void continueConversation(TraceRequest &request, bool isBurst)
    {
        constexpr std::size_t OpenConversations = 300;
        if (m_openConversations.size() < OpenConversations || isBurst) {
            Conversation conversation;
            conversation.model = pickModel(isBurst);
            conversation.prefixes = systemPrompt(conversation.model);
            extend(conversation.prefixes, 200 + static_cast<std::uint32_t>(m_random() % 1200));
            conversation.daemon = request.daemon;
            conversation.priority = uniform(m_random) < 0.5 ? base::Priority::Urgent : base::Priority::Normal;
            conversation.turnsLeft = 2 + static_cast<int>(m_random() % 10);
            m_openConversations.push_back(std::move(conversation));
        }
        const auto index = m_random() % m_openConversations.size();
        auto &current = m_openConversations[index];
        if (uniform(m_random) < DaemonChangeShare) {
            current.daemon = request.daemon;
        }
        extend(current.prefixes, 60 + static_cast<std::uint32_t>(m_random() % 240));
        request.daemon = current.daemon;
        request.route.model = current.model;
        request.route.prefixes = current.prefixes;
        request.route.priority = current.priority;
        if (--current.turnsLeft == 0) {
            m_openConversations[index] = std::move(m_openConversations.back());
            m_openConversations.pop_back();
        }
    }

    const RoutingSite &m_site;
    TraceKind m_kind;
    std::mt19937_64 m_random;
    std::vector<Conversation> m_openConversations;
    std::vector<TraceRequest> m_trace;
};

} // namespace

std::string toString(TraceKind kind)
{
    switch (kind) {
    case TraceKind::Conversations:
        return "conversations";
    case TraceKind::Bursts:
        return "bursts";
    case TraceKind::SlowEndpoint:
        return "slow_endpoint";
    case TraceKind::FailingEndpoint:
        return "failing_endpoint";
    }
    return "unknown";
}

RoutingSite txCentral()
{
    RoutingSite it;
    it.name = "tx-central";
    it.endpoints = 12;
    it.models = 20;
    it.adapters = 75;
    it.zoneDelayMilliseconds = 1.5;
    it.requestsPerSecond = 50;
    return makeSite(std::move(it));
}

RoutingSite qcEst()
{
    RoutingSite it;
    it.name = "qc-est";
    it.endpoints = 18;
    it.models = 35;
    it.adapters = 95;
    it.zoneDelayMilliseconds = 1;
    it.requestsPerSecond = 75;
    return makeSite(std::move(it));
}

std::vector<TraceRequest> makeTrace(const RoutingSite &site, TraceKind kind, unsigned seed)
{
    return TraceGenerator(site, kind, seed).make();
}

} // namespace turmericplank::bench
