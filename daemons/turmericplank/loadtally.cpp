#include "loadtally.hpp"

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

namespace turmericplank::cli {

namespace {

constexpr const char *Answered = "answered";

nlohmann::json quantiles(const Samples &samples)
{
    return {{"p50", samples.quantile(0.5)}, {"p95", samples.quantile(0.95)}, {"p99", samples.quantile(0.99)}};
}

} // namespace

void Samples::add(base::Duration duration)
{
    m_samples.push_back(duration);
    m_isSorted = false;
}

double Samples::quantile(double share) const
{
    if (m_samples.empty()) {
        return 0;
    }
    if (!m_isSorted) {
        std::sort(m_samples.begin(), m_samples.end());
        m_isSorted = true;
    }
    const auto last = static_cast<double>(m_samples.size() - 1);
    return base::inMilliseconds(m_samples[static_cast<std::size_t>(share * last + 0.5)]);
}

LoadTally::LoadTally(Expectation expectation)
    : m_expectation(expectation)
{
}

bool LoadTally::isInTime(const AnswerCheck &check, base::Duration firstToken) const
{
    const auto &gaps = check.gaps();
    const auto total = std::accumulate(gaps.begin(), gaps.end(), base::Duration::zero());
    const auto allowed = m_expectation.tokenInterval * static_cast<std::int64_t>(gaps.size());
    return firstToken <= m_expectation.firstToken && total <= allowed;
}

void LoadTally::noteChat(const AnswerCheck &check, Verdict verdict, base::Time started)
{
    ++m_chats;
    m_tokens += check.tokens();
    if (check.tokens() > 0) {
        const auto firstToken = check.firstToken() - started;
        m_firstTokens.add(firstToken);
        m_inTime += verdict == Verdict::Whole && isInTime(check, firstToken) ? 1 : 0;
    }
    for (const auto it : check.gaps()) {
        m_gaps.add(it);
    }
    noteVerdict(verdict);
}

void LoadTally::noteService(base::Duration took, Verdict verdict)
{
    ++m_services;
    if (verdict == Verdict::Whole) {
        m_serviceTimes.add(took);
    }
    noteVerdict(verdict);
}

void LoadTally::noteVerdict(Verdict verdict)
{
    m_wrong += isWrong(verdict) ? 1 : 0;
    if (verdict != Verdict::Refused) {
        noteOutcome(verdict == Verdict::Whole ? std::string(Answered) : std::string(nameOf(verdict)));
    }
}

void LoadTally::noteOutcome(const std::string &code)
{
    ++m_outcomes[code];
}

double LoadTally::attainment() const
{
    return m_chats == 0 ? 0 : static_cast<double>(m_inTime) / static_cast<double>(m_chats);
}

std::uint64_t LoadTally::wrongAnswers() const
{
    return m_wrong;
}

std::uint64_t LoadTally::answered() const
{
    const auto it = m_outcomes.find(Answered);
    return it == m_outcomes.end() ? 0 : it->second;
}

const Samples &LoadTally::firstTokens() const
{
    return m_firstTokens;
}

nlohmann::json LoadTally::toJson(base::Duration elapsed) const
{
    const double seconds = base::inMilliseconds(elapsed) / 1000;
    return {{"model_calls", m_chats},
            {"service_calls", m_services},
            {"attainment", attainment()},
            {"wrong_answers", m_wrong},
            {"outcomes", m_outcomes},
            {"tokens_per_second", seconds > 0 ? static_cast<double>(m_tokens) / seconds : 0},
            {"first_token_ms", quantiles(m_firstTokens)},
            {"token_interval_ms", quantiles(m_gaps)},
            {"service_ms", quantiles(m_serviceTimes)}};
}

} // namespace turmericplank::cli
